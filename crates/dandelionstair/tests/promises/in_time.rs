//! Every request gets its answer or its refusal in time, and a refusal is not held back.

use std::time::{
    Duration,
    Instant, //
};

use stair_standin::{
    engine,
    platform::Outage, //
};
use tokio::task::JoinSet;

use crate::support::{
    Answer,
    Ask,
    Options,
    World,
    eventually,
    measured::Measured,
    world::ModelSpec, //
};

/// No answer comes later than its deadline plus this. It is for the way back and for a machine
/// that is busy with other tests; the entry itself answers at the deadline.
const MARGIN: Duration = Duration::from_millis(500);

/// A refusal that needs nobody's answer comes within this.
const AT_ONCE: Duration = Duration::from_millis(250);

/// An attempt to open a link, or the silence of one, is decided within about 1.3 s; both targets
/// of a model are tried.
const BOTH_TRIED: Duration = Duration::from_millis(3_500);

fn check(answer: &Answer, timeout: Duration) {
    assert_ne!(answer.status, 0, "the connection was cut: {answer:?}");
    assert!(answer.whole, "the answer was cut: {answer:?}");
    assert!(answer.took <= timeout + MARGIN, "too late: {answer:?}");
    if answer.is_answered() {
        return;
    }
    let known = ["not-run", "may-have-run"];
    assert!(known.contains(&&*answer.verdict), "no verdict: {answer:?}");
    assert!(
        answer.retry_after.is_some(),
        "no time to come back: {answer:?}"
    );
}

async fn ask_all(world: &World, n: usize, timeout: Duration) -> Vec<Answer> {
    let mut asks = JoinSet::new();
    for i in 0..n {
        let caller = world.caller(i % world.entries.len());
        let ask = Ask::completion("m", &format!("r{i}"), 5).within(timeout);
        asks.spawn(async move { caller.ask(&ask).await });
    }
    let answers = asks.join_all().await;
    answers.iter().for_each(|a| check(a, timeout));
    answers
}

fn longest(answers: &[Answer]) -> Duration {
    answers.iter().map(|a| a.took).max().unwrap_or_default()
}

fn two_engines() -> Options {
    Options {
        models: vec![ModelSpec::new("m", 2)],
        ..Options::default()
    }
}

// Three times as many requests come as the engines can run, of both tiers. Callers of the better
// tier are to be served as long as there is capacity for them, and everybody who is not served is
// to hear it in time, most of them at once.
#[tokio::test(flavor = "multi_thread")]
async fn saturation() {
    const TIMEOUT: Duration = Duration::from_secs(2);
    const TIME: Duration = Duration::from_secs(8);
    // Four at once on each of two engines, a quarter of a second each: 32 a second.
    const REQUESTS: u32 = 768;
    let opts = Options {
        engine: engine::Options {
            per_token: Duration::from_millis(10),
            concurrency: 4,
            ..engine::Options::default()
        },
        concurrency: 4,
        ..two_engines()
    };
    let world = World::start(opts).await;
    // The agents learn how long a run takes.
    ask_all(&world, 4, Duration::from_secs(20)).await;

    let mut asks = JoinSet::new();
    let began = Instant::now();
    for i in 0..REQUESTS {
        tokio::time::sleep_until((began + TIME * i / REQUESTS).into()).await;
        let caller = world.caller(i as usize % 2);
        let ask = Ask::completion("m", &format!("s{i}"), 25).within(TIMEOUT);
        let is_batch = i % 3 != 0;
        let ask = if is_batch { ask.batch() } else { ask };
        asks.spawn(async move { (is_batch, caller.ask(&ask).await) });
    }
    let answers = asks.join_all().await;

    answers.iter().for_each(|(_, a)| check(a, TIMEOUT));
    let answered = answers.iter().filter(|(_, a)| a.is_answered()).count();
    let better = answers.iter().filter(|(is_batch, _)| !is_batch);
    let served = better.clone().filter(|(_, a)| a.is_answered()).count();
    let refused = answers.iter().filter(|(_, a)| !a.is_answered());
    let refused: Measured = refused.map(|(_, a)| a.took).collect();
    println!(
        "saturation: {answered} of {REQUESTS} answered, {served} of {} of the better tier; \
         refused after {refused}, p90 {:.1?}, p99 {:.1?}",
        better.clone().count(),
        refused.percentile(90),
        refused.percentile(99),
    );
    assert!(answered >= 160, "only {answered} answered");
    assert!(served * 10 >= better.count() * 7, "only {served} served");
    assert!(
        refused.percentile(50) < AT_ONCE,
        "refusals are held: {refused}"
    );
}

// The processes beside both targets die at the same moment, and nothing tells the entries. Callers
// are to hear within seconds that nobody can serve them now.
#[tokio::test(flavor = "multi_thread")]
async fn targets_killed() {
    let mut world = World::start(two_engines()).await;
    ask_all(&world, 4, Duration::from_secs(20)).await;

    for agent in &mut world.agents {
        agent.process.kill().await;
    }
    let answers = ask_all(&world, 40, Duration::from_secs(20)).await;
    let again = ask_all(&world, 40, Duration::from_secs(20)).await;

    println!(
        "targets killed: told within {:.1?}, then {:.1?}",
        longest(&answers),
        longest(&again)
    );
    assert!(answers.iter().all(|a| !a.is_answered()));
    assert!(longest(&answers) < BOTH_TRIED, "{:?}", longest(&answers));
    assert!(longest(&again) < BOTH_TRIED, "{:?}", longest(&again));
}

// Both target VMs are paused: their connections stay open and deliver nothing. Callers are to hear
// within seconds, and to be served again when the VMs go on.
#[tokio::test(flavor = "multi_thread")]
async fn targets_frozen() {
    let world = World::start(two_engines()).await;
    ask_all(&world, 4, Duration::from_secs(20)).await;

    for agent in &world.agents {
        agent.process.freeze();
    }
    let answers = ask_all(&world, 40, Duration::from_secs(20)).await;
    for agent in &world.agents {
        agent.process.thaw();
    }

    println!("targets frozen: told within {:.1?}", longest(&answers));
    assert!(answers.iter().all(|a| !a.is_answered()));
    assert!(longest(&answers) < BOTH_TRIED, "{:?}", longest(&answers));
    eventually("the model is served again", async || {
        let answer = world.caller(0).ask(&Ask::completion("m", "after", 3)).await;
        check(&answer, Duration::from_secs(30));
        answer.is_answered()
    })
    .await;
}

// The only VM that holds a model is reclaimed. The model is to be served by another one as soon as
// the platform's list lacks the VM, and until then callers are to be refused within seconds.
#[tokio::test(flavor = "multi_thread")]
async fn vm_gone() {
    let mut world = World::start(Options::default()).await;
    ask_all(&world, 4, Duration::from_secs(20)).await;
    let gone = world.holder("m");

    world.agents[gone].process.kill().await;
    let name = world.agents[gone].name.clone();
    let refused = ask_all(&world, 10, Duration::from_secs(20)).await;
    world.platform.remove_vm(&name);
    let began = Instant::now();
    eventually("the model is served elsewhere", async || {
        let answers = ask_all(&world, 2, Duration::from_secs(20)).await;
        answers.iter().all(Answer::is_answered)
    })
    .await;

    println!(
        "VM gone: told within {:.1?}, served elsewhere {:.1?} after the list lacked it",
        longest(&refused),
        began.elapsed()
    );
    assert!(longest(&refused) < BOTH_TRIED, "{:?}", longest(&refused));
}

// The platform is down, in each of the ways in which it can be. A model that is not loaded is to
// wake up all the same, and a caller whose idempotency key cannot be claimed is to hear it soon.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let models = ["m", "n", "o"];
    let opts = Options {
        models: models.iter().map(|m| ModelSpec::new(m, 1)).collect(),
        ..Options::default()
    };
    let world = World::start(opts).await;
    let faults = world.platform.faults();

    let outages = [Outage::Refuse, Outage::Unavailable, Outage::BlackHole];
    for (outage, model) in outages.into_iter().zip(models) {
        faults
            .set_outage(outage)
            .await
            .expect("the address is kept");
        let cold = Ask::completion(model, "cold", 3);
        let woken = world.caller(0).ask(&cold).await;
        let key = format!("key-{model}");
        let billed = Ask::completion(model, "billed", 3).repeatable(false);
        let refused = world.caller(1).ask(&billed.once(&key)).await;

        println!(
            "platform down ({outage:?}): woken in {:.1?}, claim refused in {:.1?}",
            woken.took, refused.took
        );
        assert!(woken.is_answered(), "{woken:?}");
        check(&refused, Duration::from_secs(2));
        assert_eq!(&*refused.verdict, "not-run", "{refused:?}");
        assert_eq!(refused.error("code"), "platform-down");
    }
    assert!(world.recorder.runs_of("billed").is_empty());
}

// An engine accepts everything and gets on with nothing. Callers are to get their refusal at their
// deadline, and none that may have run is to be called not run.
#[tokio::test(flavor = "multi_thread")]
async fn engine_stalls() {
    const TIMEOUT: Duration = Duration::from_millis(1_500);
    let world = World::start(two_engines()).await;
    ask_all(&world, 4, Duration::from_secs(20)).await;

    for engine in &world.engines {
        engine.set_faults(|f| f.stall = true);
    }
    let answers = ask_all(&world, 40, TIMEOUT).await;

    println!("engine stalls: told within {:.1?}", longest(&answers));
    assert!(answers.iter().all(|a| !a.is_answered()));
}

// An engine's process dies and does not come back. Its agent lives and holds requests for it, and
// the other engine could serve them; their callers must not wait until their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn engine_gone() {
    const TIMEOUT: Duration = Duration::from_secs(20);
    let world = World::start(two_engines()).await;
    ask_all(&world, 8, TIMEOUT).await;

    world.engines[0].crash().await.expect("it can be stopped");
    let answers = ask_all(&world, 40, TIMEOUT).await;

    println!("engine gone: told within {:.1?}", longest(&answers));
    assert!(longest(&answers) < Duration::from_secs(6), "{answers:?}");
    let answered = answers.iter().filter(|a| a.is_answered()).count();
    assert!(answered > 20, "only {answered} of 40 were answered");
}

// Something between an agent and its engine swallows everything. Callers are to get their refusal
// at their deadline, also those whose model would have to be loaded.
#[tokio::test(flavor = "multi_thread")]
async fn target_silent() {
    const TIMEOUT: Duration = Duration::from_millis(1_500);
    let world = World::start(two_engines()).await;

    for agent in &world.agents {
        agent.to_target.blackhole_all();
    }
    let answers = ask_all(&world, 20, TIMEOUT).await;

    println!("target silent: told within {:.1?}", longest(&answers));
    assert!(answers.iter().all(|a| !a.is_answered()));
}

// The weight store is slow, and a load takes longer than a caller can wait. The caller is to get
// its refusal in time, and to find the model loaded when it comes back.
#[tokio::test(flavor = "multi_thread")]
async fn slow_load() {
    const TIMEOUT: Duration = Duration::from_millis(1_500);
    let opts = Options {
        engine: engine::Options {
            load_from_remote: Duration::from_secs(4),
            ..engine::Options::default()
        },
        ..Options::default()
    };
    let world = World::start(opts).await;

    let refused = ask_all(&world, 10, TIMEOUT).await;
    println!("slow load: told within {:.1?}", longest(&refused));
    assert!(refused.iter().all(|a| !a.is_answered()));
    eventually("the model has been loaded", async || {
        let answers = ask_all(&world, 1, TIMEOUT).await;
        answers[0].is_answered()
    })
    .await;

    assert_eq!(world.recorder.loads("m").len(), 1);
}

// The paths between an entry and the targets go silent while requests wait and run. Nobody is to
// be held until the deadline for it.
#[tokio::test(flavor = "multi_thread")]
async fn link_silent() {
    const TIMEOUT: Duration = Duration::from_secs(10);
    let opts = Options {
        engine: engine::Options {
            per_token: Duration::from_millis(20),
            concurrency: 2,
            ..engine::Options::default()
        },
        concurrency: 2,
        ..two_engines()
    };
    let world = World::start(opts).await;
    ask_all(&world, 4, Duration::from_secs(20)).await;

    let mut asks = JoinSet::new();
    for i in 0..16 {
        let caller = world.caller(i % 2);
        let ask = Ask::completion("m", &format!("l{i}"), 30).within(TIMEOUT);
        asks.spawn(async move { caller.ask(&ask).await });
    }
    let runs = |r: &stair_standin::recorder::Records| r.runs.iter().any(|r| &*r.marker == "l0");
    world.recorder.until(runs).await;
    for agent in &world.agents {
        agent.to_link.blackhole_existing();
    }
    let answers = asks.join_all().await;

    answers.iter().for_each(|a| check(a, TIMEOUT));
    let answered = answers.iter().filter(|a| a.is_answered()).count();
    println!(
        "link silent: {answered} of {} answered, all told within {:.1?}",
        answers.len(),
        longest(&answers)
    );
    assert!(longest(&answers) < TIMEOUT - Duration::from_secs(2));
}

// An operator declares a model that fits on no engine. Its callers are to hear at once that nobody
// can serve it, not after a while.
#[tokio::test(flavor = "multi_thread")]
async fn no_holder() {
    let world = World::start(Options::default()).await;
    let mut specs = world.opts.models.clone();
    specs.push(ModelSpec {
        memory_mib: 1 << 20,
        ..ModelSpec::new("vast", 1)
    });
    let catalogue = world.catalogue_of(&specs);
    world.apply(&catalogue).await;
    let ask = Ask::completion("vast", "v", 1);
    eventually("the model is declared", async || {
        world.caller(0).ask(&ask).await.status != 404
    })
    .await;

    let answer = world.caller(0).ask(&ask).await;

    check(&answer, AT_ONCE);
    assert_eq!(answer.error("code"), "no-target");
    assert_eq!(&*answer.verdict, "not-run");
    assert!(answer.took < AT_ONCE, "{answer:?}");
}
