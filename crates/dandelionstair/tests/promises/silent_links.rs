//! Connections that go silent while new ones work are replaced, from a new local port.

use std::time::{
    Duration,
    Instant, //
};

use serde_json::json;
use stair_standin::{
    engine,
    proxy::TcpProxy, //
};

use crate::support::{
    Answer, Ask, Caller, Options, World, eventually, measured::Measured, world::dump,
};

/// Time to recover for links that are in use.
const RECOVERY: Duration = Duration::from_secs(2);

/// Time in which a configuration has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(8);

const ROUNDS: usize = 5;

/// Streams of some three seconds.
fn streaming() -> Options {
    Options {
        engine: engine::Options {
            per_token: Duration::from_millis(10),
            ..engine::Options::default()
        },
        ..Options::default()
    }
}

/// Begins a stream that may not run twice and returns once it runs.
async fn begin(world: &World, caller: Caller, marker: &str) -> tokio::task::JoinHandle<Answer> {
    let ask = Ask::completion("m", marker, 300)
        .streamed()
        .repeatable(false);
    let stream = tokio::spawn(async move { caller.ask(&ask).await });
    let marker: Box<str> = marker.into();
    world
        .recorder
        .until(|r| r.runs.iter().any(|r| r.marker == marker))
        .await;
    stream
}

// Something between an entry and an agent loses track of their connection in the middle of a
// stream. The caller notices a pause and nothing else.
#[tokio::test(flavor = "multi_thread")]
async fn entry_to_agent() {
    let world = World::start(streaming()).await;
    let path = &world.agents[world.holder("m")].to_link;
    let mut gaps = Measured::default();

    for round in 0..ROUNDS {
        let marker = format!("s{round}");
        let stream = begin(&world, world.caller(0), &marker).await;
        let ports = path.opened();
        path.blackhole_existing();
        let answer = stream.await.expect("the caller lives");

        assert!(answer.is_whole_stream(), "{answer:?}");
        assert!(path.opened() > ports, "no new local port");
        assert_eq!(world.recorder.runs_of(&marker).len(), 1);
        gaps.add(answer.longest_gap);
    }

    println!("entry to agent, in use: pause of the stream: {gaps}");
    assert!(gaps.max() < RECOVERY, "{gaps}");
}

// The same happens while nobody uses the connection. The next caller, who finds it in the pool, is
// served all the same; also one whose work may not run twice.
#[tokio::test(flavor = "multi_thread")]
async fn entry_to_agent_idle() {
    let world = World::start(Options::default()).await;
    let path = &world.agents[world.holder("m")].to_link;
    let mut times = Measured::default();

    for round in 0..ROUNDS {
        for is_repeatable in [true, false] {
            let marker = format!("i{round}-{is_repeatable}");
            let warm = Ask::completion("m", "warm", 1);
            let warm = world.caller(0).ask(&warm).await;
            assert!(warm.is_answered(), "{warm:?}");
            let ports = path.opened();
            path.blackhole_existing();
            let ask = Ask::completion("m", &marker, 1).repeatable(is_repeatable);
            let answer = world.caller(0).ask(&ask).await;

            assert!(answer.is_answered(), "{answer:?}");
            assert!(path.opened() > ports, "no new local port");
            if !is_repeatable {
                assert_eq!(world.recorder.runs_of(&marker).len(), 1);
            }
            times.add(answer.took);
        }
    }

    println!("entry to agent, idle: first request answered after: {times}");
    assert!(times.max() < RECOVERY, "{times}");
}

// A caller's connection goes silent after it has sent billed work. It opens a new one and asks
// again with the same key: it hears of the first request at once and nothing runs twice. Another
// caller behind the same path is served on its new connection.
#[tokio::test(flavor = "multi_thread")]
async fn caller_to_entry() {
    let world = World::start(streaming()).await;
    let path = TcpProxy::start(world.entries[0].listen).await;
    let path = path.expect("starts");
    let mut times = Measured::default();

    for round in 0..ROUNDS {
        let marker = format!("b{round}");
        let billed = Ask::completion("m", &marker, 100)
            .repeatable(false)
            .once(&marker);
        let caller = Caller::new(path.addr());
        let lost = caller.clone();
        let ask = billed.clone();
        let lost = tokio::spawn(async move { lost.ask(&ask).await });
        world
            .recorder
            .until(|r| r.runs.iter().any(|r| *r.marker == *marker))
            .await;
        let opened = path.opened();
        path.blackhole_existing();
        let again = Caller::new(path.addr()).ask(&billed).await;
        let other = Caller::new(path.addr())
            .ask(&Ask::completion("m", "other", 1))
            .await;

        assert_eq!(again.error("code"), "duplicate", "{again:?}");
        assert_eq!(&*again.verdict, "may-have-run");
        assert!(other.is_answered(), "{other:?}");
        assert!(path.opened() > opened);
        assert_eq!(world.recorder.runs_of(&marker).len(), 1);
        lost.abort();
        times.add(again.took);
        times.add(other.took);
    }

    println!("caller to entry: answered on a new connection after: {times}");
    assert!(times.max() < RECOVERY, "{times}");
}

// An agent's pooled connection to its engine goes silent while nobody uses it. The next request,
// which may not run twice, is served on a new one.
#[tokio::test(flavor = "multi_thread")]
async fn agent_to_engine_idle() {
    let world = World::start(Options::default()).await;
    let path = &world.agents[world.holder("m")].to_target;
    let mut times = Measured::default();

    for round in 0..ROUNDS {
        // Several at once leave several connections in the pool.
        let mut warm = tokio::task::JoinSet::new();
        for _ in 0..8 {
            let caller = world.caller(0);
            warm.spawn(async move { caller.ask(&Ask::completion("m", "warm", 5)).await });
        }
        let warm = warm.join_all().await;
        assert!(warm.iter().all(Answer::is_answered), "{warm:?}");
        // The agent takes no pooled connection that was idle for longer than a second.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let opened = path.opened();
        path.blackhole_existing();
        let marker = format!("e{round}");
        let ask = Ask::completion("m", &marker, 1).repeatable(false);
        let answer = world.caller(0).ask(&ask).await;

        assert!(answer.is_answered(), "{answer:?}");
        assert!(path.opened() > opened);
        assert_eq!(world.recorder.runs_of(&marker).len(), 1);
        times.add(answer.took);
    }

    println!("agent to engine, idle: first request answered after: {times}");
    assert!(times.max() < RECOVERY, "{times}");
}

// The connection to the engine goes silent in the middle of a run. The engine cannot be asked for
// the rest, so the caller hears that the work may have run, and the next request is served.
#[tokio::test(flavor = "multi_thread")]
async fn agent_to_engine() {
    let opts = Options {
        agent_limits: json!({ "target_silence_ms": 1_000 }),
        ..streaming()
    };
    let world = World::start(opts).await;
    let path = &world.agents[world.holder("m")].to_target;
    let mut times = Measured::default();

    for round in 0..ROUNDS {
        let marker = format!("s{round}");
        let stream = begin(&world, world.caller(0), &marker).await;
        path.blackhole_existing();
        let since = Instant::now();
        let answer = stream.await.expect("the caller lives");
        times.add(since.elapsed());
        let next = world.caller(0).ask(&Ask::completion("m", "next", 1)).await;

        assert!(!answer.is_whole_stream(), "{answer:?}");
        assert!(answer.body.contains("may-have-run"), "{answer:?}");
        assert!(next.is_answered(), "{next:?}");
        assert!(next.took < RECOVERY, "{next:?}");
        assert_eq!(world.recorder.runs_of(&marker).len(), 1);
    }

    println!("agent to engine, in use: told after: {times}");
    assert!(times.max() < RECOVERY, "{times}");
}

/// Applies a change that every process is told, waits until it is in force in all of them and
/// returns the time.
async fn change(world: &World, round: usize) -> Duration {
    let mut catalogue = world.catalogue();
    catalogue.policy.engine_concurrency += 1 + round as u16;
    let since = Instant::now();
    let version = world.apply(&catalogue).await;
    for entry in &world.entries {
        eventually("the configuration is in force at the entry", async || {
            let dump = dump(entry.operator).await;
            dump["control"]["status"]["config"].as_u64() >= Some(version)
        })
        .await;
    }
    for agent in &world.agents {
        eventually("the configuration is in force at the agent", async || {
            let dump = dump(agent.operator).await;
            dump["config"].as_u64() >= Some(version)
        })
        .await;
    }
    since.elapsed()
}

// The watches of all entries go silent at the same moment, and then an operator applies a change.
// It is in force everywhere within its 8 s.
#[tokio::test(flavor = "multi_thread")]
async fn watch() {
    let world = World::start(Options::default()).await;
    let mut times = Measured::default();

    for round in 0..ROUNDS {
        let opened: Vec<u64> = world
            .entries
            .iter()
            .map(|e| e.to_platform.opened())
            .collect();
        for entry in &world.entries {
            entry.to_platform.blackhole_existing();
        }
        times.add(change(&world, round).await);
        for (entry, before) in world.entries.iter().zip(opened) {
            assert!(entry.to_platform.opened() > before);
        }
    }

    println!("watch: a change was in force everywhere after: {times}");
    assert!(times.max() < IN_FORCE, "{times}");
}

// All connections of an entry to the platform go silent, and the next billed request has its key
// claimed all the same.
#[tokio::test(flavor = "multi_thread")]
async fn claim() {
    let world = World::start(Options::default()).await;
    let mut times = Measured::default();

    for round in 0..ROUNDS {
        let billed = |marker: &str| {
            Ask::completion("m", marker, 1)
                .repeatable(false)
                .once(marker)
        };
        let warm = world.caller(0).ask(&billed(&format!("w{round}"))).await;
        assert!(warm.is_answered(), "{warm:?}");
        // The entry takes no pooled connection that was idle for longer than a second.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        world.entries[0].to_platform.blackhole_existing();
        let marker = format!("k{round}");
        let answer = world.caller(0).ask(&billed(&marker)).await;

        assert!(answer.is_answered(), "{answer:?}");
        assert_eq!(world.recorder.runs_of(&marker).len(), 1);
        times.add(answer.took);
    }

    println!("claim: billed request answered after: {times}");
    assert!(times.max() < RECOVERY, "{times}");
}

// The control links of all agents go silent at the same moment, and then an operator applies a
// change. The agents come back from new ports, and it is in force everywhere within its 8 s.
#[tokio::test(flavor = "multi_thread")]
async fn agent_to_entry() {
    let world = World::start(Options::default()).await;
    let mut times = Measured::default();

    for round in 0..3 {
        let ports: Vec<u64> = world.entries.iter().map(|e| e.to_link.opened()).collect();
        for entry in &world.entries {
            entry.to_link.blackhole_existing();
        }
        times.add(change(&world, round).await);
        for (entry, before) in world.entries.iter().zip(ports) {
            entry.to_link.until_opened(before + 1).await;
        }
    }

    println!("agent to entry: a change was in force everywhere after: {times}");
    assert!(times.max() < IN_FORCE, "{times}");
}

// Both entries are replaced while an agent's connections to the platform are silent. The agent
// finds the new entries all the same.
#[tokio::test(flavor = "multi_thread")]
async fn agent_to_platform() {
    let mut world = World::start(Options::default()).await;
    let since = Instant::now();
    for agent in &world.agents {
        agent.to_platform.blackhole_existing();
    }
    for i in 0..2 {
        world.entries[i].process.kill().await;
        world.platform.remove_vm(&world.entries[i].name);
    }
    world.add_entry().await;

    let ask = Ask::completion("m", "a", 1);
    eventually("the new entry's agents are linked", async || {
        let dump = dump(world.entries[2].operator).await;
        let agents = dump["control"]["agents"].as_array();
        agents.is_some_and(|a| a.len() == world.agents.len())
    })
    .await;
    let answer = world.caller(2).ask(&ask).await;

    println!("agent to platform: linked after {:.1?}", since.elapsed());
    assert!(answer.is_answered(), "{answer:?}");
}
