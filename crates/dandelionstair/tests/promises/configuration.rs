//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::Output,
    time::{
        Duration,
        Instant, //
    },
};

use stair_config::Catalogue;
use stair_platform::load;
use stair_standin::platform::Outage;
use tokio::{
    process::Command,
    sync::watch,
    task::JoinHandle, //
};

use crate::support::{
    LIMIT,
    ModelSpec,
    Options,
    World,
    eventually,
    world, //
};

/// Within this time an accepted configuration is in force everywhere.
const SECONDS: Duration = Duration::from_secs(8);

const APPLIED: i32 = 0;
const CONFLICT: i32 = 3;
const NOT_IN_TIME: i32 = 4;

/// Between two looks at a process.
const POLL: Duration = Duration::from_millis(20);

/// Marks a catalogue by a value that every entry and every agent acts on.
fn marked(world: &World, mark: u32) -> Catalogue {
    let mut catalogue = world.catalogue();
    catalogue.tiers[1].timeout_ms = mark;
    catalogue
}

/// Writes a catalogue as declarations.
fn declared(world: &World, name: &str, catalogue: &Catalogue) -> PathBuf {
    let value = serde_json::to_value(catalogue).expect("a catalogue is JSON");
    world.write(name, &value)
}

/// Runs `dandelionstair apply`.
async fn apply(world: &World, path: &PathBuf, more: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_dandelionstair"))
        .arg("apply")
        .arg(path)
        .arg("--platform")
        .arg(world.platform.addr().to_string())
        .args(more)
        .output();
    output.await.expect("the shipped binary runs")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("it exits by itself")
}

async fn applied(world: &World) -> load::InForce {
    let found = load::load(&world.store()).await;
    let found = found.expect("the platform can be read");
    found.expect("a configuration is in force")
}

async fn version(operator: SocketAddr) -> u64 {
    let status = world::status(operator).await;
    status["config"].as_u64().unwrap_or(0)
}

fn operators(world: &World) -> Vec<SocketAddr> {
    let entries = world.entries.iter().map(|e| e.operator);
    entries
        .chain(world.agents.iter().map(|a| a.operator))
        .collect()
}

async fn until_everywhere(world: &World, wanted: u64) {
    for operator in operators(world) {
        until_at(operator, wanted).await;
    }
}

async fn until_at(operator: SocketAddr, wanted: u64) {
    eventually("the version is in force", async || {
        version(operator).await >= wanted
    })
    .await;
}

async fn time_until(operator: SocketAddr, wanted: u64, began: Instant) -> Duration {
    while version(operator).await < wanted && began.elapsed() < LIMIT {
        tokio::time::sleep(POLL).await;
    }
    began.elapsed()
}

/// Looks at processes all the time and notes each version that is lower than an earlier one.
struct Observer {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Vec<String>>>,
}

impl Observer {
    fn start<I>(operators: I) -> Self
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let (stop, stopped) = watch::channel(false);
        let tasks = operators.into_iter();
        let tasks = tasks.map(|o| tokio::spawn(observe(o, stopped.clone())));
        Self {
            tasks: tasks.collect(),
            stop,
        }
    }

    async fn assert_only_rose(self) {
        self.stop.send_replace(true);
        for task in self.tasks {
            let fallen = task.await.expect("the task ends");
            assert!(fallen.is_empty(), "versions went back: {fallen:?}");
        }
    }
}

async fn observe(operator: SocketAddr, stopped: watch::Receiver<bool>) -> Vec<String> {
    let mut fallen = Vec::new();
    let mut highest = 0;
    while !*stopped.borrow() {
        // A process that is frozen or gone says nothing; that is no lower version.
        if let Some(now) = world::status(operator).await["config"].as_u64() {
            if now < highest {
                fallen.push(format!("{operator}: {highest} then {now}"));
            }
            highest = highest.max(now);
        }
        tokio::time::sleep(POLL).await;
    }
    fallen
}

// Two operators start from the same version and run the command at the same moment. Were their
// changes mixed, each would find half of the other's work in force; were both accepted, the first
// would be lost without a word.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    const ROUNDS: u32 = 6;
    let world = World::start(Options::default()).await;
    let observer = Observer::start(operators(&world));

    for round in 0..ROUNDS {
        let before = applied(&world).await.version.0;
        let marks = [10_000 + round, 20_000 + round];
        let catalogues = marks.map(|m| marked(&world, m));
        let paths = [0, 1].map(|i| declared(&world, &format!("race-{i}"), &catalogues[i]));
        let from = before.to_string();
        let more = ["--from", from.as_str()];
        let (a, b) = tokio::join!(
            apply(&world, &paths[0], &more),
            apply(&world, &paths[1], &more)
        );

        let mut codes = [code(&a), code(&b)];
        let winner = codes.iter().position(|c| *c == APPLIED);
        codes.sort_unstable();
        assert_eq!(codes, [APPLIED, CONFLICT], "{a:?} {b:?}");
        let found = applied(&world).await;
        assert_eq!(found.version.0, before + 1);
        assert_eq!(found.catalogue, catalogues[winner.expect("one is 0")]);
        until_everywhere(&world, before + 1).await;
        for entry in &world.entries {
            let dump = world::dump(entry.operator).await;
            let held = &dump["control"]["state"]["config"]["catalogue"];
            let wanted = serde_json::to_value(&found.catalogue).expect("it is JSON");
            assert_eq!(*held, wanted);
        }
    }
    observer.assert_only_rose().await;
}

// The platform commits an apply, and its answer never reaches the operator's command. An operator
// who is told "failed" applies again, perhaps over a colleague's later change.
#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_answer() {
    let world = World::start(Options::default()).await;
    let observer = Observer::start(operators(&world));

    for (i, silent) in [false, true].into_iter().enumerate() {
        let before = applied(&world).await.version.0;
        let catalogue = marked(&world, 11_000 + i as u32);
        let path = declared(&world, "lost", &catalogue);
        // The changed chunk and the manifest.
        match silent {
            false => world.platform.faults().lose_answers(2, true),
            true => world.platform.faults().hold_answers(2, true),
        }

        let output = apply(&world, &path, &[]).await;

        assert_eq!(code(&output), APPLIED, "{output:?}");
        let found = applied(&world).await;
        assert_eq!(found.version.0, before + 1);
        assert_eq!(found.catalogue, catalogue);
        until_everywhere(&world, before + 1).await;
    }
    observer.assert_only_rose().await;
}

// The commit is lost on its way to the platform. An operator who is told "applied" believes in a
// version that nobody has.
#[tokio::test(flavor = "multi_thread")]
async fn lost_commit() {
    let opts = Options {
        models: vec![ModelSpec::new("m", 1), ModelSpec::new("n", 1)],
        ..Options::default()
    };
    let world = World::start(opts).await;
    let before = applied(&world).await;
    // Without the model nothing but the manifest has to be written.
    let mut catalogue = before.catalogue.clone();
    catalogue.models.pop();
    let path = declared(&world, "lost", &catalogue);
    world.platform.faults().lose_answers(1, false);

    let output = apply(&world, &path, &["--timeout", "3"]).await;

    assert_eq!(code(&output), NOT_IN_TIME, "{output:?}");
    assert_eq!(applied(&world).await.version, before.version);
    let again = apply(&world, &path, &[]).await;
    assert_eq!(code(&again), APPLIED, "{again:?}");
    // An agent that does not hold the model has nothing to learn.
    for entry in &world.entries {
        until_at(entry.operator, before.version.0 + 1).await;
    }
}

// One entry cannot reach the platform while a change is applied. Its agents would be left behind
// with it, had they no link to another entry, and it must catch up by itself when the path is
// back.
#[tokio::test(flavor = "multi_thread")]
async fn entry_cut_off() {
    let world = World::start(Options::default()).await;
    let observer = Observer::start(operators(&world));
    world.entries[0].to_platform.blackhole_all();

    let second = world.apply(&marked(&world, 13_000)).await;
    let third = world.apply(&marked(&world, 13_001)).await;

    for agent in &world.agents {
        until_at(agent.operator, third).await;
    }
    until_at(world.entries[1].operator, third).await;
    assert!(version(world.entries[0].operator).await < second);
    world.entries[0].to_platform.pass();
    until_at(world.entries[0].operator, third).await;
    observer.assert_only_rose().await;
}

// The connection of a waiting watch goes silent: nothing arrives and nothing fails. The entry
// would wait for changes that the platform has long sent, and its callers meet the old tiers.
#[tokio::test(flavor = "multi_thread")]
async fn silent_watch() {
    let world = World::start(Options::default()).await;
    let observer = Observer::start(operators(&world));
    for entry in &world.entries {
        entry.to_platform.blackhole_existing();
    }
    let began = Instant::now();

    let next = world.apply(&marked(&world, 14_000)).await;
    until_everywhere(&world, next).await;

    let took = began.elapsed();
    println!("a silent watch: in force everywhere after {took:?}");
    assert!(took < SECONDS, "in force only after {took:?}");
    observer.assert_only_rose().await;
}

// An entry starts while the platform is down. It would refuse every caller for as long as the
// outage lasts, though its peers serve. One peer has been cut off before a change and answers
// first; its old version must not stay in force at the new entry.
#[tokio::test(flavor = "multi_thread")]
async fn start_in_outage() {
    let mut world = World::start(Options::default()).await;
    world.entries[0].to_platform.blackhole_all();
    let next = world.apply(&marked(&world, 15_000)).await;
    until_at(world.entries[1].operator, next).await;
    assert!(version(world.entries[0].operator).await < next);
    let faults = world.platform.faults();
    faults.set_outage(Outage::Unavailable).await.expect("works");
    world.entries[1].to_link.delay(Duration::from_millis(200));

    world.add_entry().await;

    let started = world.entries[2].operator;
    let observer = Observer::start([started]);
    until_at(started, next).await;
    let dump = world::dump(started).await;
    assert_eq!(dump["control"]["status"]["confirmed"], false);
    let ask = crate::support::Ask::completion("m", "outage", 4);
    let answer = world.caller(2).ask(&ask).await;
    assert!(answer.is_answered(), "{answer:?}");
    let faults = world.platform.faults();
    faults.set_outage(Outage::None).await.expect("works");
    eventually("the platform has confirmed it", async || {
        world::status(started).await["confirmed"] == true
    })
    .await;
    assert_eq!(version(started).await, next);
    observer.assert_only_rose().await;
}

// An entry starts while the platform is down and no peer can be reached at that moment. It would
// stay empty for the whole outage if it asked its peers only once.
#[tokio::test(flavor = "multi_thread")]
async fn peers_late() {
    let mut world = World::start(Options::default()).await;
    let next = world.apply(&marked(&world, 15_500)).await;
    until_everywhere(&world, next).await;
    let faults = world.platform.faults();
    faults.set_outage(Outage::Unavailable).await.expect("works");
    for entry in &world.entries {
        entry.to_link.blackhole_all();
    }
    world.add_entry().await;
    let started = world.entries[2].operator;
    eventually("the peers were asked in vain", async || {
        world.entries[2].process.log().contains("did not answer")
    })
    .await;

    for entry in &world.entries {
        entry.to_link.pass();
    }

    until_at(started, next).await;
}

// An agent is restarted while one of its entries is cut off from the platform and lags. The new
// process gets the old version from that entry, perhaps last, and must end with the new one.
#[tokio::test(flavor = "multi_thread")]
async fn agent_restarted() {
    let mut world = World::start(Options::default()).await;
    world.entries[0].to_platform.blackhole_all();
    let next = world.apply(&marked(&world, 16_000)).await;
    until_at(world.agents[0].operator, next).await;
    world.agents[0].process.kill().await;
    world.entries[0].to_link.delay(Duration::from_millis(200));

    world.restart_agent(0).await;

    let observer = Observer::start([world.agents[0].operator]);
    until_at(world.agents[0].operator, next).await;
    eventually("both entries are linked", async || {
        let dump = world::dump(world.entries[0].operator).await;
        let agents = dump["control"]["agents"].as_array().cloned();
        agents.unwrap_or_default().len() == world.agents.len()
    })
    .await;
    assert_eq!(version(world.agents[0].operator).await, next);
    observer.assert_only_rose().await;
}

// A change is taken back soon after. One entry sees both at once and finds that nothing changed
// for its agents; another is cut off between the two. Its agents got the first change from it and
// would keep it, though every entry that can be reached has the second.
#[tokio::test(flavor = "multi_thread")]
async fn taken_back() {
    let world = World::start(Options::default()).await;
    let observer = Observer::start(operators(&world));
    let old = marked(&world, 30_000);
    world.entries[0].to_platform.blackhole_all();
    let first = world.apply(&marked(&world, 17_000)).await;
    for agent in &world.agents {
        until_at(agent.operator, first).await;
    }
    world.entries[1].to_platform.blackhole_all();
    let second = world.apply(&old).await;
    // Its watch from before would bring the first change alone.
    eventually("the silent watch was given up", async || {
        world.entries[0].process.log().contains("The watch failed")
    })
    .await;

    world.entries[0].to_platform.pass();

    until_at(world.entries[0].operator, second).await;
    for agent in &world.agents {
        until_at(agent.operator, second).await;
    }
    observer.assert_only_rose().await;
}

// The platform has forgotten its history, as after a compaction, so that no watch can go on.
// An entry that took this for "no change" would never hear of one again.
#[tokio::test(flavor = "multi_thread")]
async fn history_forgotten() {
    let world = World::start(Options::default()).await;
    let observer = Observer::start(operators(&world));
    world.entries[0].to_platform.blackhole_all();
    let next = world.apply(&marked(&world, 18_000)).await;
    until_at(world.entries[1].operator, next).await;
    world.platform.faults().forget_history();
    let last = world.apply(&marked(&world, 18_001)).await;
    world.entries[0].to_platform.pass();

    until_everywhere(&world, last).await;

    observer.assert_only_rose().await;
}

// The operator waits with `--wait` until a change is in force, and then relies on it. A process
// that still has the old version at that moment would meet him with old tiers or old models.
#[tokio::test(flavor = "multi_thread")]
async fn apply_waits() {
    const ROUNDS: u32 = 10;
    let world = World::start(Options::default()).await;
    let entries: Vec<String> = world
        .entries
        .iter()
        .map(|e| e.operator.to_string())
        .collect();
    let mut more = vec!["--wait"];
    for entry in &entries {
        more.extend(["--entry", entry.as_str()]);
    }
    for round in 0..ROUNDS {
        let before = applied(&world).await.version.0;
        let path = declared(&world, "waited", &marked(&world, 19_000 + round));

        let output = apply(&world, &path, &more).await;

        assert_eq!(code(&output), APPLIED, "{output:?}");
        for operator in operators(&world) {
            assert_eq!(version(operator).await, before + 1);
        }
    }
    // What an entry that is cut off has not got is not said to be in force.
    world.entries[0].to_platform.blackhole_all();
    let path = declared(&world, "waited", &marked(&world, 19_999));
    more.extend(["--timeout", "3"]);
    let output = apply(&world, &path, &more).await;
    assert_eq!(code(&output), NOT_IN_TIME, "{output:?}");
}

// Each change has to reach every process; an operator who waits for it counts the seconds.
#[tokio::test(flavor = "multi_thread")]
async fn within_seconds() {
    const ROUNDS: u32 = 10;
    let opts = Options {
        entries: 3,
        engines: 3,
        ..Options::default()
    };
    let world = World::start(opts).await;
    let mut took = Vec::new();
    for round in 0..ROUNDS {
        let path = declared(&world, "timed", &marked(&world, 21_000 + round));
        let began = Instant::now();
        let output = apply(&world, &path, &[]).await;
        assert_eq!(code(&output), APPLIED, "{output:?}");
        let next = applied(&world).await.version.0;
        let mut waits = tokio::task::JoinSet::new();
        for operator in operators(&world) {
            waits.spawn(time_until(operator, next, began));
        }
        took.extend(waits.join_all().await);
    }
    took.sort_unstable();
    let p50 = took[took.len() / 2];
    let max = took[took.len() - 1];
    println!(
        "apply to in force, {} looks: p50 {p50:?}, max {max:?}",
        took.len()
    );
    assert!(max < SECONDS, "in force only after {max:?}");
}
