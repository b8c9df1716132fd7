//! Targets that shut down or ask for a backoff in their responses, behind agents.

use std::time::{
    Duration,
    Instant, //
};

use hyper::header::HeaderValue;
use stair_standin::server::Rejection;
use tokio::{
    task::JoinSet,
    time::{
        interval,
        sleep, //
    },
};

use crate::support::{
    Answer, Ask, Options, World, eventually,
    world::{
        ModelSpec,
        dump, //
    },
};

/// Time after the first such response within which a target that shuts down may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after a rejection within which requests that were sent before it may arrive.
const BACKOFF_SLACK: Duration = Duration::from_millis(500);

/// Calls that a target may get within a backoff.
const BACKOFF_EXTRA: usize = 2;

/// Requests per second of each kind.
const PER_S: u32 = 10;

/// Sends one request after the other through all entries in turn.
async fn send<F>(world: &World, time: Duration, ask: F) -> Vec<Answer>
where
    F: Fn(u32) -> Ask,
{
    let mut ticks = interval(Duration::from_secs(1) / PER_S);
    let end = Instant::now() + time;
    let mut calls = JoinSet::new();
    let mut n = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let caller = world.caller(n as usize % world.entries.len());
        let ask = ask(n);
        calls.spawn(async move { caller.ask(&ask).await });
        n += 1;
    }
    calls.join_all().await
}

fn completion(n: u32) -> Ask {
    Ask::completion("m", &format!("a{n}"), 10).within(Duration::from_secs(2))
}

fn lookup(n: u32) -> Ask {
    Ask::service("lookup/find", &format!("l{n}")).within(Duration::from_secs(2))
}

/// Starts a world in which each engine has the model loaded.
async fn start(engines: usize) -> World {
    let world = World::start(Options {
        engines,
        entries: 3,
        services: 2,
        models: vec![ModelSpec::new("m", engines as u16)],
        ..Options::default()
    })
    .await;
    eventually("the model is loaded", async || {
        send(&world, Duration::from_millis(500), completion).await;
        world.engines.iter().all(|e| !e.status().models.is_empty())
    })
    .await;
    world
}

/// Runs at a target since some time.
fn runs(world: &World, target: &str, since: Instant) -> usize {
    let at = |r: &stair_standin::recorder::Run| *r.target == *target && r.started > since;
    world.recorder.runs(at).len()
}

/// The most calls within one backoff.
fn most_within(received: &[Instant], rejected: &[Instant], time: Duration) -> usize {
    let within = |at: &Instant| {
        let (from, to) = (*at + BACKOFF_SLACK, *at + time);
        received.iter().filter(|t| **t > from && **t < to).count()
    };
    rejected.iter().map(within).max().unwrap_or(0)
}

// An agent sends requests to a target that has stated that it shuts down, or callers are refused for it.
#[tokio::test(flavor = "multi_thread")]
async fn drain_at_agents() {
    let world = start(2).await;
    let begun = Instant::now();
    let (engine, service) = {
        let time = Duration::from_secs(1);
        tokio::join!(
            send(&world, time, completion),
            send(&world, time, lookup) //
        );
        let busier = |kind: &str| {
            let count = |n: &usize| runs(&world, &format!("{kind}-{n}"), begun);
            (0..2).max_by_key(count).expect("one of two")
        };
        (busier("engine"), busier("lookup"))
    };
    let state = async {
        sleep(Duration::from_secs(1)).await;
        world.engines[engine].drain(true);
        world.services[service].drain(true);
        Instant::now()
    };
    let time = Duration::from_secs(6);
    let (stated, models, lookups) = tokio::join!(
        state,
        send(&world, time, completion),
        send(&world, time, lookup),
    );
    let drained = [
        (format!("engine-{engine}"), engine),
        (format!("lookup-{service}"), 2 + service),
    ];
    for (name, agent) in drained {
        let late = runs(&world, &name, stated + DRAIN_TIME);
        assert_eq!(late, 0, "{name}");
        let dump = dump(world.agents[agent].operator).await;
        assert_eq!(dump["leaving"], true, "{name}");
    }
    let answers = models.iter().chain(&lookups);
    let refused: Vec<&Answer> = answers.filter(|a| !a.is_answered()).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

// The incarnation after one that drained gets no requests or no grants.
#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_with_incarnation() {
    let world = start(1).await;
    world.engines[0].drain(true);
    send(&world, Duration::from_secs(2), completion).await;
    let dump = dump(world.agents[0].operator).await;
    assert_eq!(dump["leaving"], true);
    world.engines[0].crash().await.expect("it ends");
    sleep(Duration::from_millis(500)).await;
    world.engines[0].drain(false);
    world.engines[0].restart().expect("it starts");
    eventually("the next incarnation serves", async || {
        world.caller(0).ask(&completion(1000)).await.is_answered()
    })
    .await;
}

// A target that has asked its agent for a backoff gets calls within it, or its callers wait in vain.
#[tokio::test(flavor = "multi_thread")]
async fn backoff_at_agents() {
    for (secs, not_run) in [("2", true), ("1.5", false)] {
        let world = start(2).await;
        let reject = |rejection: Option<Rejection>| {
            world
                .engines
                .iter()
                .for_each(|e| e.reject(rejection.clone()));
            world
                .services
                .iter()
                .for_each(|s| s.reject(rejection.clone()));
        };
        let rejection = Rejection {
            retry_after: HeaderValue::from_static(secs),
            not_run,
        };
        let change = async {
            for _ in 0..3 {
                sleep(Duration::from_secs(2)).await;
                reject(Some(rejection.clone()));
                sleep(Duration::from_millis(700)).await;
                reject(None);
            }
        };
        let time = Duration::from_secs(8);
        let ((), model, service) = tokio::join!(
            change,
            send(&world, time, completion),
            send(&world, time, lookup),
        );
        let stated = Duration::from_secs_f64(secs.parse().expect("a number"));
        let engines = world.engines.iter().map(|e| (e.received(), e.rejected()));
        let services = world.services.iter().map(|s| (s.received(), s.rejected()));
        for (received, rejected) in engines.chain(services) {
            let most = most_within(&received, &rejected, stated);
            assert!(most <= BACKOFF_EXTRA, "{secs}: {most}");
        }
        for answer in model.iter().chain(&service).filter(|a| !a.is_answered()) {
            if not_run {
                assert_eq!(&*answer.verdict, "not-run", "{answer:?}");
                assert!(answer.retry_after.is_some(), "{answer:?}");
            }
        }
        eventually("all is served", async || {
            let model = world.caller(0).ask(&completion(1000)).await;
            let service = world.caller(0).ask(&lookup(1000)).await;
            model.is_answered() && service.is_answered()
        })
        .await;
    }
}
