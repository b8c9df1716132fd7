//! "Not run" is true: what was refused so has not run and never does.

use std::time::Duration;

use serde_json::json;
use stair_standin::{
    engine,
    platform::Outage, //
};

use crate::support::{
    Options, World,
    told::{
        Burst,
        Told,
        check_not_run,
        print_counts, //
    },
    world::ModelSpec,
};

const SHORT: Duration = Duration::from_millis(1_500);

/// Two models, of which `billed` may not be repeated; few slots, so that requests wait.
fn options() -> Options {
    let billed = ModelSpec {
        repeatable: false,
        ..ModelSpec::new("billed", 2)
    };
    Options {
        models: vec![billed, ModelSpec::new("m", 2)],
        concurrency: 4,
        engine: engine::Options {
            concurrency: 4,
            per_token: Duration::from_millis(10),
            ..engine::Options::default()
        },
        entry_limits: json!({ "drain_linger_ms": 0, "max_connections": 2000 }),
        ..Options::default()
    }
}

/// Sends requests of both models by both entries, some with little time.
fn burst(world: &World, name: &str, requests: usize) -> Burst {
    let callers = [world.caller(0), world.caller(1)];
    let mut burst = Burst::default();
    for i in 0..requests {
        let model = if i % 2 == 0 { "billed" } else { "m" };
        let marker = format!("{name}-{i}");
        let caller = &callers[i / 2 % 2];
        burst.send(caller, model, marker, 20, i % 3 == 0, |ask| match i % 5 {
            0 => ask.within(SHORT),
            1 => ask.batch(),
            _ => ask.within(SHORT * 4),
        });
    }
    burst
}

async fn check(world: &mut World, what: &str, told: &[Told]) -> usize {
    print_counts(what, told);
    for told in told {
        told.check_text();
    }
    check_not_run(world, told).await
}

// Far more is asked for than the engines can do. Requests are refused at once, displaced by a
// higher tier, and given up on when their time has passed, at the moment when others are started.
#[tokio::test(flavor = "multi_thread")]
async fn saturated() {
    let mut world = World::start(options()).await;

    let told = burst(&world, "full", 600).told().await;

    let not_run = check(&mut world, "saturated", &told).await;
    assert!(not_run > 50, "only {not_run} were refused");
}

// An agent is frozen while requests wait in it, are told that they can run, and are started. Their
// callers are answered meanwhile. When it wakes it finds the messages of all this time and must
// not run what was refused.
#[tokio::test(flavor = "multi_thread")]
async fn thawed_agent() {
    let mut world = World::start(options()).await;
    let burst = burst(&world, "thaw", 200);

    world.recorder.until(|r| r.runs.len() >= 10).await;
    for agent in &world.agents {
        agent.process.freeze();
    }
    let told = burst.told().await;
    for agent in &world.agents {
        agent.process.thaw();
    }

    let not_run = check(&mut world, "thawed agent", &told).await;
    assert!(not_run > 0, "nothing was refused as not run");
}

// Links break and fall silent while offers, starts and withdrawals are under way on them. An entry
// that does not know whether a start arrived must not say that it did not.
#[tokio::test(flavor = "multi_thread")]
async fn broken_links() {
    let mut world = World::start(options()).await;
    let burst = burst(&world, "link", 300);

    for n in [10, 30, 50, 70] {
        world.recorder.until(move |r| r.runs.len() >= n).await;
        world.agents[n / 10 % 2].to_link.cut();
        world.agents[n / 10 % 2]
            .to_link
            .delay(Duration::from_millis(40));
        world.agents[(n / 10 + 1) % 2].to_link.blackhole_existing();
    }
    let told = burst.told().await;

    let not_run = check(&mut world, "broken links", &told).await;
    assert!(not_run > 0, "nothing was refused as not run");
}

// The connections to the engines break as requests are sent on them. A request that may have
// reached the engine has perhaps run.
#[tokio::test(flavor = "multi_thread")]
async fn broken_target_connections() {
    let mut world = World::start(options()).await;
    let burst = burst(&world, "target", 300);

    for n in [5, 20, 40, 60] {
        world.recorder.until(move |r| r.runs.len() >= n).await;
        for agent in &world.agents {
            agent.to_target.cut();
        }
    }
    world.engines[0].crash().await.expect("it can be stopped");
    let told = burst.told().await;
    world.engines[0].restart().expect("it can be started");

    let not_run = check(&mut world, "broken target connections", &told).await;
    assert!(not_run > 0, "nothing was refused as not run");
}

// Both agents are killed, one after the other, while requests wait and run in them.
#[tokio::test(flavor = "multi_thread")]
async fn killed_agents() {
    let mut world = World::start(options()).await;
    let burst = burst(&world, "kill", 200);

    for i in 0..2 {
        world
            .recorder
            .until(move |r| r.runs.len() >= 10 * (i + 1))
            .await;
        world.agents[i].process.kill().await;
    }
    let told = burst.told().await;
    for i in 0..2 {
        world.restart_agent(i).await;
    }

    let not_run = check(&mut world, "killed agents", &told).await;
    assert!(not_run > 0, "nothing was refused as not run");
}

// An agent and an entry are told to stop while requests wait in them. What waits is sent back as
// not run, and what was just started goes on.
#[tokio::test(flavor = "multi_thread")]
async fn leaving() {
    let mut world = World::start(options()).await;
    let burst = burst(&world, "leave", 300);

    world.recorder.until(|r| r.runs.len() >= 10).await;
    world.agents[0].process.terminate();
    world.recorder.until(|r| r.runs.len() >= 20).await;
    world.entries[0].process.terminate();
    let late = self::burst(&world, "late", 20);
    let mut told = burst.told().await;
    told.extend(late.told().await);

    let not_run = check(&mut world, "leaving", &told).await;
    assert!(not_run > 0, "nothing was refused as not run");
}

// The platform fails in every way while keys are claimed. The claim may or may not be there then;
// the request has not run in either case.
#[tokio::test(flavor = "multi_thread")]
async fn outage_at_claim() {
    let mut world = World::start(options()).await;
    let mut all = Vec::new();
    let outages = [Outage::Unavailable, Outage::BlackHole, Outage::Refuse];
    for (n, outage) in outages.into_iter().enumerate() {
        let mut burst = Burst::default();
        for i in 0..60 {
            let key = format!("outage-{n}-{i}");
            let marker = key.clone();
            burst.send(&world.caller(i % 2), "billed", marker, 20, false, |ask| {
                ask.once(&key)
            });
        }
        let wanted = 10 * (n + 1);
        world.recorder.until(move |r| r.runs.len() >= wanted).await;
        let faults = world.platform.faults();
        faults.hold_answers(1, n % 2 == 0);
        faults.set_outage(outage).await.expect("it can be stopped");
        all.extend(burst.told().await);
        let faults = world.platform.faults();
        faults
            .set_outage(Outage::None)
            .await
            .expect("it comes back");
    }

    let not_run = check(&mut world, "outage at claim", &all).await;
    assert!(not_run > 0, "nothing was refused as not run");
}
