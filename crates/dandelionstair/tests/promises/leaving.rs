//! A target that is leaving gets no new work after a few seconds.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use stair_platform::VmState;
use tokio::task::JoinSet;

use crate::support::{
    Answer,
    Ask,
    Caller,
    Options,
    World,
    eventually, //
};

/// "A few seconds" until the last run starts at a target that leaves.
const FEW_SECONDS: Duration = Duration::from_secs(3);

/// Callers that ask all the time until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<Answer>>,
}

impl Load {
    fn start(callers: Vec<Caller>, ask: Ask) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut set = JoinSet::new();
        for caller in callers {
            let (stop, ask) = (stop.clone(), ask.clone());
            set.spawn(async move {
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    answers.push(caller.ask(&ask).await);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                answers
            });
        }
        Self { stop, callers: set }
    }

    /// Stops the callers and returns what they got, each answer whole or surely not run.
    async fn end(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        let answers = self.callers.join_all().await;
        let answers: Vec<Answer> = answers.into_iter().flatten().collect();
        for answer in &answers {
            let fine = answer.is_answered() || answer.surely_not_run();
            assert!(fine, "neither answered nor not run: {answer:?}");
        }
        answers
    }
}

/// Returns how long after a moment the last run started at a target.
fn last_start(world: &World, target: &str, since: Instant) -> Duration {
    let runs = world.recorder.runs(|r| &*r.target == target);
    let last = runs.iter().map(|r| r.started).max();
    last.map_or(Duration::ZERO, |at| at.saturating_duration_since(since))
}

/// Waits until another engine holds the only grant of the model and serves at every entry.
async fn until_moved(world: &World, from: &str) {
    eventually("the grant has moved", async || {
        let grants = world.grants("m");
        grants.len() == 1 && grants[0].target.as_str() != from
    })
    .await;
    for i in 0..world.entries.len() {
        eventually("the model is served", async || {
            let ask = Ask::completion("m", "after", 1);
            world.caller(i).ask(&ask).await.is_answered()
        })
        .await;
    }
}

fn callers(world: &World) -> Vec<Caller> {
    (0..8)
        .map(|i| world.caller(i % world.entries.len()))
        .collect()
}

fn report(what: &str, last: Duration, moved: Duration, answers: &[Answer]) {
    let refused = answers.iter().filter(|a| !a.is_answered()).count();
    println!(
        "{what}: last run {last:.1?} and the grant moved {moved:.1?} after it; {refused} of {} \
         refused meanwhile",
        answers.len()
    );
}

/// Moves the model off its holder under load and checks the records.
async fn moves_off<F>(world: &mut World, what: &str, leave: F)
where
    F: FnOnce(&mut World, usize),
{
    let from = world.holder("m");
    let name = world.agents[from].name.clone();
    let load = Load::start(callers(world), Ask::completion("m", "load", 2));
    world.recorder.until(|r| r.runs.len() > 100).await;

    let since = Instant::now();
    leave(world, from);
    until_moved(world, &name).await;
    let moved = since.elapsed();
    // Longer than the time that is allowed, so that a late run would show.
    tokio::time::sleep_until((since + FEW_SECONDS * 2).into()).await;
    let answers = load.end().await;

    let last = last_start(world, &name, since);
    report(what, last, moved, &answers);
    assert!(last < FEW_SECONDS, "work came {last:?} after it");
    assert_eq!(world.recorder.max_holders("m"), 1);
}

// The platform's list says that a VM is leaving. Nobody tells its agent. Callers go on to be
// served, by another engine.
#[tokio::test(flavor = "multi_thread")]
async fn listed_leaving() {
    let mut world = World::start(Options::default()).await;

    moves_off(&mut world, "listed as leaving", |world, i| {
        let name = world.agents[i].name.clone();
        world.platform.set_vm_state(&name, VmState::Leaving);
    })
    .await;
}

// A VM is told to stop, and the platform's list lags far behind: it goes on to call the VM live,
// also when its agent has ended. The model that it held must not be lost until the list has
// noticed.
#[tokio::test(flavor = "multi_thread")]
async fn list_lags() {
    let mut world = World::start(Options::default()).await;
    world.platform.faults().set_vm_lag(Duration::from_secs(600));

    moves_off(&mut world, "told to stop, list lags", |world, i| {
        world.agents[i].process.terminate();
    })
    .await;

    let i = world
        .agents
        .iter_mut()
        .position(|a| a.process.has_ended())
        .expect("the agent has ended");
    assert!(world.agents[i].process.ended().await.success());
}

// The agent hears first and says so, and the list follows a moment later.
#[tokio::test(flavor = "multi_thread")]
async fn agent_hears_first() {
    let mut world = World::start(Options::default()).await;
    world.platform.faults().set_vm_lag(Duration::from_secs(1));

    moves_off(&mut world, "agent hears first", |world, i| {
        let name = world.agents[i].name.clone();
        world.platform.set_vm_state(&name, VmState::Leaving);
        world.agents[i].process.terminate();
    })
    .await;
}

// One entry is cut off from the platform when a VM begins to leave, and goes on to think that the
// VM is live. The requests that it takes must not go there for longer than the others'.
#[tokio::test(flavor = "multi_thread")]
async fn entry_cut_off() {
    let opts = Options {
        engines: 0,
        models: Vec::new(),
        services: 2,
        ..Options::default()
    };
    let world = World::start(opts).await;
    let name = world.agents[0].name.clone();
    let load = Load::start(vec![world.caller(1); 8], Ask::service("lookup/find", "s"));
    let runs_there = |r: &stair_standin::recorder::Records| {
        let there = r.runs.iter().filter(|r| *r.target == *name);
        there.count() > 20
    };
    world.recorder.until(runs_there).await;

    world.entries[1].to_platform.blackhole_all();
    let since = Instant::now();
    world.platform.set_vm_state(&name, VmState::Leaving);
    tokio::time::sleep_until((since + FEW_SECONDS * 2).into()).await;
    let answers = load.end().await;

    let last = last_start(&world, &name, since);
    let refused = answers.iter().filter(|a| !a.is_answered()).count();
    println!(
        "entry cut off: last run {last:.1?} after it; {refused} of {} refused",
        answers.len()
    );
    assert!(last < FEW_SECONDS, "work came {last:?} after it");
    assert_eq!(refused, 0);
}
