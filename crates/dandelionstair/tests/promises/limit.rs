//! Limits that targets name for all entries and agents together.

use std::time::{
    Duration,
    Instant, //
};

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

/// Time within which all processes have to know a limit.
const CONTACT_TIME: Duration = Duration::from_secs(3);

const WINDOW: Duration = Duration::from_secs(4);

/// Time for which a limit holds.
const LIMITED: Duration = Duration::from_secs(10);

/// Requests per second of each kind.
const PER_S: u32 = 10;

/// The most calls in [`WINDOW`] from `from` on.
fn most(received: &[Instant], from: Instant) -> usize {
    let mut counted: Vec<Instant> = received.iter().filter(|t| **t >= from).copied().collect();
    counted.sort();
    let windows = counted.iter().enumerate();
    let counts = windows.map(|(i, t)| counted[i..].partition_point(|u| *u < *t + WINDOW));
    counts.max().unwrap_or(0)
}

fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Sends one request after the other through all entries in turn.
async fn send<F>(world: &World, per_s: u32, time: Duration, ask: F) -> Vec<Answer>
where
    F: Fn(u32) -> Ask,
{
    let mut ticks = interval(Duration::from_secs(1) / per_s);
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
    Ask::completion("m", &format!("limit-{n}"), 10).within(Duration::from_secs(2))
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
        send(&world, 20, Duration::from_millis(500), completion).await;
        world.engines.iter().all(|e| !e.status().models.is_empty())
    })
    .await;
    world
}

// An agent sends its target more than the target's limit, or callers are refused for a limit of one
// target of two.
#[tokio::test(flavor = "multi_thread")]
async fn limit_at_agents() {
    for (text, per_s) in [("1", 1.0), ("0", 0.0), ("2.5", 2.5)] {
        let world = start(2).await;
        let named = async {
            sleep(Duration::from_secs(1)).await;
            world.engines[0].name_limit(Some(text));
            world.services[0].name_limit(Some(text));
            Instant::now()
        };
        let (named, model, service) = tokio::join!(
            named,
            send(&world, PER_S, LIMITED, completion),
            send(&world, PER_S, LIMITED, |n| Ask::service(
                "lookup/find",
                &format!("l{n}")
            )),
        );
        let from = named + CONTACT_TIME;
        for received in [
            world.engines[0].received(),
            world.services[0].received(), //
        ] {
            let most = most(&received, from);
            assert!(most <= allowed(per_s), "{text}: {most}");
        }
        let answers = model.iter().chain(&service);
        let refused: Vec<&Answer> = answers.filter(|a| !a.is_answered()).collect();
        assert!(refused.is_empty(), "{text}: {refused:?}");
    }
}

// More is refused than the limit forces, refusals come late, or name a time that is not true.
#[tokio::test(flavor = "multi_thread")]
async fn limit_refuses_at_once() {
    let world = start(1).await;
    world.engines[0].name_limit(Some("4"));
    send(&world, 4, Duration::from_secs(1), completion).await;
    let begun = Instant::now();
    let answers = send(&world, 12, Duration::from_secs(8), completion).await;
    let took = begun.elapsed().as_secs_f64();
    let served = answers.iter().filter(|a| a.is_answered()).count();
    assert!(served as f64 >= 0.8 * 4.0 * 8.0, "{served} in {took} s");
    let refused: Vec<&Answer> = answers.iter().filter(|a| !a.is_answered()).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert_eq!(&*answer.verdict, "not-run", "{answer:?}");
        assert!(answer.took < Duration::from_secs(1), "{answer:?}");
        assert!(
            answer.retry_after.is_some_and(|s| (1..=3).contains(&s)),
            "{answer:?}"
        );
    }
}

// A restarted agent does not know the limit until its target has named it again, or a lifted limit
// stays.
#[tokio::test(flavor = "multi_thread")]
async fn limit_outlasts_agent() {
    let mut world = start(1).await;
    world.engines[0].name_limit(Some("1"));
    send(&world, 4, Duration::from_secs(2), completion).await;
    let limit = async |world: &World| {
        let dump = dump(world.agents[0].operator).await;
        dump["limit"]["limit"]["rate"].as_f64()
    };
    assert_eq!(limit(&world).await, Some(1.0));
    // Responses name no limit until the restarted agent has the entries' word for it.
    world.agents[0].process.kill().await;
    world.restart_agent(0).await;
    eventually("the agent serves", async || {
        world.caller(0).ask(&completion(100)).await.is_answered()
    })
    .await;
    let before = world.engines[0].received().len();
    send(&world, 10, Duration::from_secs(4), completion).await;
    let sent = world.engines[0].received().len() - before;
    assert!(sent <= allowed(1.0), "{sent}");
    world.engines[0].name_limit(None);
    eventually("the limit is lifted", async || {
        world.caller(0).ask(&completion(200)).await;
        limit(&world).await.is_none()
    })
    .await;
    let answers = send(&world, 20, Duration::from_secs(1), completion).await;
    assert!(answers.iter().all(Answer::is_answered));
}
