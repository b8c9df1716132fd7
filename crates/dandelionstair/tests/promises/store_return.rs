//! The platform comes back from a copy of an earlier state, and callers don't notice.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use stair_platform::{
    Kind,
    VmState, //
};
use stair_standin::platform::{
    Outage,
    Return, //
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::sleep, //
};

use crate::{
    at_most_once::options as billed,
    support::{
        Ask,
        Options,
        World,
        eventually,
        world::{
            self,
            ModelSpec, //
        }, //
    },
};

/// Time after the platform has accepted a change within which it holds everywhere.
const BOUND: Duration = Duration::from_secs(2);

/// Longer than the time in which all that a copy lacks is written again.
const SETTLING: Duration = Duration::from_secs(5);

const AWAY: Duration = Duration::from_millis(700);

/// Comes back from the last copy after a short outage.
async fn restore(world: &World, how: Return) {
    let faults = world.platform.faults();
    faults.set_outage(Outage::Unavailable).await.expect("set");
    sleep(AWAY).await;
    faults.restore(how);
    faults.set_outage(Outage::None).await.expect("set");
}

/// Calls a model through each entry all the time, and notes the calls that are not served.
struct Load {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(world: &World, model: &'static str) -> Self {
        let (stop, stopped) = watch::channel(false);
        let entries = 0..world.entries.len();
        let tasks = entries.map(|n| {
            let (caller, stopped) = (world.caller(n), stopped.clone());
            tokio::spawn(async move {
                let mut unserved = Vec::new();
                while !*stopped.borrow() {
                    let answer = caller.ask(&Ask::completion(model, "load", 2)).await;
                    if !answer.is_answered() {
                        unserved.push(format!("entry {n}: {} {}", answer.status, answer.verdict));
                    }
                    sleep(Duration::from_millis(50)).await;
                }
                unserved
            })
        });
        Self {
            tasks: tasks.collect(),
            stop,
        }
    }

    async fn stop(self) -> Vec<String> {
        self.stop.send_replace(true);
        let mut unserved = Vec::new();
        for task in self.tasks {
            unserved.extend(task.await.expect("the task ends"));
        }
        unserved
    }
}

async fn era(operator: SocketAddr) -> u64 {
    let status = world::status(operator).await;
    status["era"].as_u64().unwrap_or(0)
}

fn two_engines() -> Options {
    Options {
        engines: 2,
        models: vec![ModelSpec::new("m", 1)],
        ..Options::default()
    }
}

fn token(world: &World, target: &str) -> u64 {
    let record = world.platform.get(Kind::Incarnation, target);
    record.map_or(0, |r| r.value["token"].as_u64().unwrap_or(0))
}

/// The grant of a model and the record of its holder's second incarnation are lost with the copy.
async fn lost_grants(how: Return) {
    let mut world = World::start(Options {
        models: Vec::new(),
        ..two_engines()
    })
    .await;
    for i in 0..2 {
        world.restart_agent(i).await;
    }
    world.platform.faults().take_copy();
    world.opts.models = vec![ModelSpec::new("m", 1)];
    let version = world.apply(&world.catalogue()).await;
    for i in 0..2 {
        world.agents[i].process.kill().await;
        world.restart_agent(i).await;
    }
    world.until_granted().await;
    world.until_served(0, "m").await;
    world.until_served(1, "m").await;
    let held = world.grants("m");
    let names: Vec<Box<str>> = world.agents.iter().map(|a| a.name.clone()).collect();
    let tokens: Vec<u64> = names.iter().map(|n| token(&world, n)).collect();
    let loads = world.recorder.loads("m").len();
    let load = Load::start(&world, "m");

    restore(&world, how).await;
    sleep(SETTLING).await;

    let unserved = load.stop().await;
    assert!(unserved.is_empty(), "{how:?}: {unserved:?}");
    assert_eq!(world.grants("m"), held, "{how:?}");
    let now: Vec<u64> = names.iter().map(|n| token(&world, n)).collect();
    assert_eq!(now, tokens, "{how:?}");
    assert_eq!(world.recorder.loads("m").len(), loads, "{how:?}");
    for entry in &world.entries {
        assert_eq!(era(entry.operator).await, 1, "{how:?}");
        let status = world::status(entry.operator).await;
        assert_eq!(status["config"], version, "{how:?}");
    }
    // A start after the return gets a token that was never given out.
    world.agents[0].process.kill().await;
    world.restart_agent(0).await;
    assert!(token(&world, &names[0]) > tokens[0], "{how:?}");
}

// Grants, records and the configuration are written again, and no model is loaded twice or unloaded.
#[tokio::test(flavor = "multi_thread")]
async fn grants_lost() {
    lost_grants(Return::Stated).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn grants_lost_unstated() {
    lost_grants(Return::Unstated).await;
}

// A caller repeats a request with its idempotency key through another entry after the claim was lost.
#[tokio::test(flavor = "multi_thread")]
async fn claim_lost() {
    let world = World::start(billed(1)).await;
    world.platform.faults().take_copy();
    let ask = Ask::completion("billed", "claimed", 4).once("claimed");
    assert!(world.caller(0).ask(&ask).await.is_answered());

    restore(&world, Return::Unstated).await;
    eventually("the entry knows of the return", async || {
        era(world.entries[1].operator).await == 1
    })
    .await;
    let repeated = world.caller(1).ask(&ask).await;

    assert_eq!(&*repeated.verdict, "may-have-run", "{}", repeated.status);
    assert_eq!(world.recorder.runs_of("claimed").len(), 1);
}

// Applies that were lost must not outrank the first one after the return. Each one of a series of
// returns loses an apply.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_lost() {
    let world = World::start(two_engines()).await;
    let mut mark = 20_000;
    let mut marked = || {
        mark += 1;
        let mut catalogue = world.catalogue();
        catalogue.tiers[1].timeout_ms = mark;
        catalogue
    };
    for n in 0..3 {
        world.platform.faults().take_copy();
        let lost = world.apply(&marked()).await;
        world.apply(&marked()).await;
        let how = match n % 2 {
            0 => Return::Stated,
            _ => Return::Unstated,
        };
        restore(&world, how).await;
        let catalogue = marked();
        let version = world.apply(&catalogue).await;
        let begun = Instant::now();
        assert!(version > lost + 1, "{version} after {lost}");
        for entry in &world.entries {
            eventually("the version is in force", async || {
                world::status(entry.operator).await["config"] == version
            })
            .await;
        }
        assert!(begun.elapsed() < BOUND, "{:?}", begun.elapsed());
        for agent in &world.agents {
            eventually("the version is in force", async || {
                world::status(agent.operator).await["config"] == version
            })
            .await;
        }
    }
}

// A VM that is leaving is live again in the copy, and one that was removed is listed again.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_lost() {
    let world = World::start(two_engines()).await;
    world.until_served(0, "m").await;
    world.platform.faults().take_copy();
    let holder = world.holder("m");
    let leaving = world.agents[holder].name.clone();
    world.platform.set_vm_state(&leaving, VmState::Leaving);
    eventually("the grant has moved", async || {
        let held = world.grants("m");
        held.len() == 1 && *held[0].target.as_str() != *leaving
    })
    .await;
    world.until_served(0, "m").await;
    let load = Load::start(&world, "m");

    restore(&world, Return::Unstated).await;
    let begun = Instant::now();
    while begun.elapsed() < SETTLING {
        let in_force = world::dump(world.entries[0].operator).await;
        let shards = in_force["control"]["state"]["shards"].as_array().cloned();
        let granted = shards.into_iter().flatten().any(|s| {
            let grants = s["value"]["grants"].as_array().cloned();
            let mut grants = grants.into_iter().flatten();
            grants.any(|g| g["target"] == *leaving && g["revoking"] == false)
        });
        assert!(!granted, "the leaving VM has a grant again");
        sleep(Duration::from_millis(50)).await;
    }
    let unserved = load.stop().await;
    assert!(unserved.is_empty(), "{unserved:?}");
    let most = world.recorder.max_holders("m");
    assert!(most <= 2, "{most} engines held the model");
}
