//! Requests that end their targets, beside other requests and failures of other processes.

use std::time::{
    Duration,
    Instant, //
};

use stair_standin::{
    engine,
    recorder::{
        Recorder,
        Run, //
    },
};
use tokio::{
    task::JoinSet,
    time::sleep, //
};

use crate::support::{
    Answer,
    Ask,
    Caller,
    Options,
    World,
    eventually,
    world::ModelSpec, //
};

/// Begins the marker of each request that ends its targets.
pub(crate) const DEADLY: &str = "deadly";

/// Time from the start of a run to the end of its target.
const DEATH_TIME: Duration = Duration::from_millis(30);

/// Length of a deadly request's answer, a millisecond each: longer than it takes to end the target.
const TOKENS: u32 = 300;

/// Time of a deadly load if nothing ended its target: longer than it takes to end the target, also on a busy machine.
/// A load that completed once would be repeated from disk in 20 ms, before the target ends.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Time until the target is back.
const DOWN: Duration = Duration::from_millis(300);

/// Time for all entries to know, from the third crash on.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Runs of one request that may begin later than that.
pub(crate) const MAX_RETRIES: usize = 3;

/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(12);

/// Attempts of an ordinary caller.
const TRIES: usize = 6;

#[derive(Debug, Clone, Copy)]
struct Load {
    engines: usize,
    replicas: u16,
    deadly: usize,
    /// Callers of each deadly request.
    senders: usize,
    /// Callers of ordinary requests of the same model.
    ordinary: usize,
    /// Pause between crashes of engines by themselves.
    crashes: Option<Duration>,
}

const LOAD: Load = Load {
    engines: 3,
    replicas: 3,
    deadly: 1,
    senders: 1,
    ordinary: 0,
    crashes: None,
};

#[derive(Debug, Default)]
struct Ordinary {
    answered: usize,
    failed: usize,
    quarantined: usize,
}

/// What ends an engine, and what brings it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    End,
    Return,
}

async fn start(load: Load) -> World {
    World::start(Options {
        engines: load.engines,
        models: vec![ModelSpec::new("m", load.replicas)],
        ..Options::default()
    })
    .await
}

fn is_deadly(run: &Run) -> bool {
    run.marker.starts_with(DEADLY)
}

/// Targets of deadly runs, and when they began.
pub(crate) fn deadly_runs(recorder: &Recorder) -> Vec<(Box<str>, Instant)> {
    let runs = recorder.runs(is_deadly).into_iter();
    runs.map(|r| (r.target, r.started)).collect()
}

/// Ends each engine that begins deadly work, for as long as it is awaited.
pub(crate) async fn end_engines<F>(world: &World, crashes: Option<Duration>, deadly: F)
where
    F: Fn(&Recorder) -> Vec<(Box<str>, Instant)>,
{
    let mut seen = deadly(&world.recorder).len();
    let mut changes: Vec<(Instant, usize, Change)> = Vec::new();
    let mut next_crash = crashes.map(|pause| Instant::now() + pause);
    let mut crashed = 0;
    loop {
        let begun = deadly(&world.recorder);
        for (target, started) in &begun[seen..] {
            let engine = world.agent_of(target);
            if !changes.iter().any(|(_, e, _)| *e == engine) {
                changes.push((*started + DEATH_TIME, engine, Change::End));
            }
        }
        seen = begun.len();
        if let (Some(at), Some(pause)) = (next_crash, crashes)
            && at <= Instant::now()
        {
            next_crash = Some(at + pause);
            let engine = crashed % world.engines.len();
            crashed += 1;
            if !changes.iter().any(|(_, e, _)| *e == engine) {
                changes.push((at, engine, Change::End));
            }
        }
        let now = Instant::now();
        for i in (0..changes.len()).rev() {
            let (at, engine, change) = changes[i];
            if at > now {
                continue;
            }
            changes.swap_remove(i);
            match change {
                Change::End => {
                    world.engines[engine].crash().await.expect("it crashes");
                    changes.push((now + DOWN, engine, Change::Return));
                }
                Change::Return => world.engines[engine].restart().expect("it starts"),
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}

fn deadly(n: usize) -> Ask {
    Ask::completion("m", &format!("{DEADLY}-{n}"), TOKENS).within(Duration::from_secs(2))
}

/// Sends one request again and again, by all entries.
async fn send_deadly(callers: Vec<Caller>, n: usize) {
    let begun = Instant::now();
    let mut attempt = n;
    while begun.elapsed() < DURATION {
        callers[attempt % callers.len()].ask(&deadly(n)).await;
        attempt += 1;
        sleep(Duration::from_millis(100)).await;
    }
}

async fn send_ordinary(callers: Vec<Caller>, n: usize) -> Ordinary {
    let begun = Instant::now();
    let mut counts = Ordinary::default();
    let mut request = 0;
    while begun.elapsed() < DURATION {
        request += 1;
        let marker = format!("ordinary-{n}-{request}");
        let ask = Ask::completion("m", &marker, 100).within(Duration::from_secs(2));
        let mut answered = false;
        for attempt in 0..TRIES {
            let answer = callers[(n + attempt) % callers.len()].ask(&ask).await;
            counts.quarantined += usize::from(is_quarantined(&answer));
            answered = answer.is_answered();
            if answered {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        match answered {
            true => counts.answered += 1,
            false => counts.failed += 1,
        }
        sleep(Duration::from_millis(20)).await;
    }
    counts
}

pub(crate) fn is_quarantined(answer: &Answer) -> bool {
    answer.error("code") == "quarantined"
}

pub(crate) fn callers(world: &World) -> Vec<Caller> {
    (0..world.entries.len()).map(|n| world.caller(n)).collect()
}

/// Sends the load, and checks the runs of each deadly request.
async fn send(world: &World, load: Load) -> Ordinary {
    let mut senders = JoinSet::new();
    for n in 0..load.deadly * load.senders {
        senders.spawn(send_deadly(callers(world), n % load.deadly));
    }
    let mut ordinary = JoinSet::new();
    for n in 0..load.ordinary {
        ordinary.spawn(send_ordinary(callers(world), n));
    }
    let mut counts = Ordinary::default();
    let sent = async {
        while senders.join_next().await.is_some() {}
        while let Some(one) = ordinary.join_next().await {
            let one = one.expect("no panic");
            counts.answered += one.answered;
            counts.failed += one.failed;
            counts.quarantined += one.quarantined;
        }
    };
    tokio::select! {
        () = end_engines(world, load.crashes, deadly_runs) => {}
        () = sent => {}
    }
    for n in 0..load.deadly {
        check_runs(world, n);
    }
    println!("{load:?}: {counts:?}");
    counts
}

fn check_runs(world: &World, n: usize) {
    let runs = world.recorder.runs_of(&format!("{DEADLY}-{n}"));
    let late = runs.get(2).map_or(0, |third| {
        let known = third.started + CONTACT_TIME;
        runs.iter().filter(|r| r.started > known).count()
    });
    println!("{DEADLY}-{n}: {late} late of {} runs", runs.len());
    assert!(late <= MAX_RETRIES, "{late} of {}", runs.len());
}

// Several requests end the engines of one model at once, beside ordinary ones.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_several() {
    let load = Load {
        deadly: 4,
        senders: 2,
        ordinary: 4,
        ..LOAD
    };
    let world = start(load).await;
    let ordinary = send(&world, load).await;
    assert_eq!(ordinary.quarantined, 0, "{ordinary:?}");
}

// Engines that end by themselves make no request a suspect for long.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_spares_ordinary() {
    let load = Load {
        deadly: 0,
        ordinary: 8,
        crashes: Some(Duration::from_millis(600)),
        ..LOAD
    };
    let world = start(load).await;
    let ordinary = send(&world, load).await;
    assert_eq!(ordinary.quarantined, 0, "{ordinary:?}");
    assert!(ordinary.answered > 100, "{ordinary:?}");
}

// The refusal comes at once, is true, and names the time left.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_refusal() {
    let world = start(LOAD).await;
    send(&world, LOAD).await;
    let before = world.recorder.runs(is_deadly).len();
    for caller in callers(&world) {
        let answer = caller.ask(&deadly(0)).await;
        assert!(is_quarantined(&answer), "{answer:?}");
        assert_eq!((answer.status, &*answer.verdict), (503, "not-run"));
        assert!(answer.retry_after.is_some_and(|s| s > 0 && s <= 60));
        assert!(answer.took < Duration::from_secs(1), "{answer:?}");
    }
    assert_eq!(world.recorder.runs(is_deadly).len(), before);
}

// An entry that starts later learns of the quarantine from the agents, and agents that start later
// from the entries.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_outlasts_processes() {
    let mut world = start(LOAD).await;
    send(&world, LOAD).await;
    let before = world.recorder.runs(is_deadly).len();
    world.entries[0].process.kill().await;
    world.add_entry().await;
    refused_at(&world, 2, 1).await;
    for i in 0..world.agents.len() {
        world.agents[i].process.kill().await;
        world.restart_agent(i).await;
        let name = world.agents[i].name.clone();
        until_linked(&world, 1, &format!("{name}@2")).await;
    }
    world.entries[1].process.kill().await;
    world.add_entry().await;
    refused_at(&world, 3, 2).await;
    assert_eq!(world.recorder.runs(is_deadly).len(), before);
}

/// Waits until an entry has its stream to an agent's ledger, and received what it knows.
async fn until_linked(world: &World, entry: usize, agent: &str) {
    let operator = world.entries[entry].operator;
    eventually("the ledger is linked", async || {
        let dump = crate::support::world::dump(operator).await;
        let ledgers = dump["traffic"]["ledgers"].as_array();
        ledgers.is_some_and(|l| l.iter().any(|name| name == agent))
    })
    .await;
}

async fn refused_at(world: &World, entry: usize, incarnation: u32) {
    for agent in &world.agents {
        until_linked(world, entry, &format!("{}@{incarnation}", agent.name)).await;
    }
    let answer = world.caller(entry).ask(&deadly(0)).await;
    assert!(is_quarantined(&answer), "{answer:?}");
}

// Callers that leave before the engine ends are not the end of its request's trail.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_after_leaving() {
    let world = start(LOAD).await;
    let callers = callers(&world);
    let leaving = async {
        let begun = Instant::now();
        while begun.elapsed() < DURATION {
            let ask = deadly(0).within(Duration::from_millis(700));
            let caller = &callers[0];
            let left = tokio::time::timeout(Duration::from_millis(400), caller.ask(&ask));
            let _ = left.await;
            sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::select! {
        () = end_engines(&world, None, deadly_runs) => {}
        () = leaving => {}
    }
    check_runs(&world, 0);
}

// The agent ends with its engine, as when the request takes the whole VM down.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_ended_vms() {
    let mut world = start(LOAD).await;
    let mut sender = JoinSet::new();
    sender.spawn(send_deadly(callers(&world), 0));
    let mut seen = 0;
    while !sender.is_empty() {
        let runs = world.recorder.runs(is_deadly);
        for run in &runs[seen..] {
            let engine = world.agent_of(&run.target);
            sleep(DEATH_TIME).await;
            world.engines[engine].crash().await.expect("it crashes");
            world.agents[engine].process.kill().await;
            sleep(DOWN).await;
            world.engines[engine].restart().expect("it starts");
            world.restart_agent(engine).await;
        }
        seen = runs.len();
        let _ = tokio::time::timeout(Duration::from_millis(5), sender.join_next()).await;
    }
    check_runs(&world, 0);
}

// The load of a model ends its engine each time, and callers ask for the model again and again.
#[tokio::test(flavor = "multi_thread")]
async fn deadly_load_at_agents() {
    let world = World::start(Options {
        engines: 3,
        models: vec![ModelSpec::new("deadly", 3), ModelSpec::new("m", 3)],
        engine: engine::Options {
            load_from_memory: LOAD_TIME,
            load_from_disk: LOAD_TIME,
            load_from_remote: LOAD_TIME,
            ..engine::Options::default()
        },
        ..Options::default()
    })
    .await;
    let callers = callers(&world);
    let loads = |r: &Recorder| {
        let loads = r.loads("deadly").into_iter();
        loads.map(|l| (l.target, l.started)).collect()
    };
    let asking = async {
        let begun = Instant::now();
        let mut n = 0;
        while begun.elapsed() < DURATION * 2 {
            n += 1;
            let ask = Ask::completion("deadly", &format!("ask-{n}"), 10);
            let ask = ask.within(Duration::from_secs(2));
            callers[n % callers.len()].ask(&ask).await;
            sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::select! {
        () = end_engines(&world, None, loads) => {}
        () = asking => {}
    }
    let loads = world.recorder.loads("deadly");
    let known = loads.get(2).expect("three crashes").started + CONTACT_TIME;
    let late = loads.iter().filter(|l| l.started > known).count();
    assert!(late <= MAX_RETRIES, "{late} of {}", loads.len());
}
