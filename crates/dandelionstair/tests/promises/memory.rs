//! Accelerator memory is never overcommitted.

use std::time::Duration;

use serde_json::json;
use stair_config::Adapter;
use stair_standin::{
    engine,
    recorder::Action, //
};

use crate::support::{
    Ask,
    Options,
    World,
    model_mut,
    world::ModelSpec, //
};

/// Two models of this size do not fit in one engine, and one with a small one does.
const LARGE_MIB: u32 = 60_000;
const SMALL_MIB: u32 = 30_000;

fn options(memory_mib: u32, models: &[&str], checks_fence: bool) -> Options {
    let spec = |name: &&str| ModelSpec {
        memory_mib,
        ..ModelSpec::new(name, 1)
    };
    Options {
        engines: 1,
        engine: engine::Options {
            checks_fence,
            ..engine::Options::default()
        },
        models: models.iter().map(spec).collect(),
        ..Options::default()
    }
}

fn slow(world: &World, factor: u32) {
    world.engines[0].set_faults(|f| f.slow_factor = Some(factor));
}

/// Asks in the background until it is answered. On a busy machine a single request may be refused,
/// and what the test waits for would never come.
fn ask_only(world: &World, model: &str) -> tokio::task::JoinHandle<()> {
    let caller = world.caller(0);
    let ask = Ask::completion(model, "only", 2);
    tokio::spawn(async move { while !caller.ask(&ask).await.is_answered() {} })
}

async fn until_begun(world: &World, model: &str, action: fn(Action) -> bool) {
    let begun = |c: &stair_standin::recorder::Change| &*c.model == model && action(c.action);
    world.recorder.until(|r| r.changes.iter().any(begun)).await;
}

fn is_load(action: Action) -> bool {
    matches!(action, Action::Load(_))
}

async fn until_all_served(world: &World, models: &[&str]) {
    for model in models {
        world.until_served(0, model).await;
        world.until_served(1, model).await;
    }
    world.assert_memory_kept();
}

// Callers wake three times as many models as fit, at both entries and in both tiers, while unloads
// take long and the answers of some orders are lost. An agent that took what it does not know for
// free memory would load more than the accelerator holds, and the engine would fail for all.
#[tokio::test(flavor = "multi_thread")]
async fn burst_of_models() {
    let models = ["a", "b", "c", "d", "e", "f"];
    let mut opts = options(SMALL_MIB, &models, false);
    opts.engine.unload = Duration::from_millis(300);
    let world = World::start(opts).await;
    world.engines[0].set_faults(|f| f.lose_answers = 4);
    let mut asks = tokio::task::JoinSet::new();
    for i in 0..48 {
        let caller = world.caller(i % 2);
        let ask = Ask::completion(models[i % 6], &format!("burst-{i}"), 3);
        let ask = if i % 4 < 2 { ask.batch() } else { ask };
        asks.spawn(async move { caller.ask(&ask).await });
    }

    let answers = asks.join_all().await;

    let refused = |a: &crate::support::Answer| a.status >= 400 && &*a.verdict == "not-run";
    assert!(
        answers.iter().all(|a| a.is_answered() || refused(a)),
        "{answers:?}"
    );
    until_all_served(&world, &models).await;
}

// The engine crashes in the middle of a load and comes back empty. Its agent must neither load
// beside what it only believes to be there, nor wait for it for good.
#[tokio::test(flavor = "multi_thread")]
async fn engine_crash() {
    let world = World::start(options(LARGE_MIB, &["a", "b"], true)).await;
    slow(&world, 20);
    let asking = ask_only(&world, "a");
    until_begun(&world, "a", is_load).await;
    world.engines[0].crash().await.expect("it crashes");
    let other = ask_only(&world, "b");
    world.engines[0].restart().expect("it starts");

    slow(&world, 1);
    until_all_served(&world, &["a", "b"]).await;
    asking.abort();
    other.abort();
}

// The agent dies between an order and its answer. The engine goes on loading, and its replacement
// must not take the memory for free while other models are asked for.
#[tokio::test(flavor = "multi_thread")]
async fn killed_after_order() {
    let mut world = World::start(options(LARGE_MIB, &["a", "b"], false)).await;
    slow(&world, 40);
    let asking = ask_only(&world, "a");
    until_begun(&world, "a", is_load).await;

    world.agents[0].process.kill().await;
    world.restart_agent(0).await;

    until_all_served(&world, &["b", "a"]).await;
    asking.abort();
}

// The same while the engine loads an adapter, which takes memory beside its base model.
#[tokio::test(flavor = "multi_thread")]
async fn killed_in_adapter_load() {
    let mut world = World::start(options(SMALL_MIB, &["a", "b"], false)).await;
    world.apply(&with_adapter(&world, "1")).await;
    world.until_served(0, "a").await;
    slow(&world, 60);
    let asking = ask_only(&world, "a/x");
    until_begun(&world, "a/x", is_load).await;

    world.agents[0].process.kill().await;
    world.restart_agent(0).await;

    until_all_served(&world, &["b", "a/x", "a"]).await;
    asking.abort();
}

/// Declares an adapter that fits beside one of the two models and not beside both.
fn with_adapter(world: &World, version: &str) -> stair_config::Catalogue {
    let mut catalogue = world.catalogue();
    let adapter = Adapter {
        name: "x".try_into().expect("a good name"),
        version: version.into(),
        memory_mib: SMALL_MIB,
    };
    let model = model_mut(&mut catalogue, "a");
    model.version = version.into();
    model.adapters = vec![adapter];
    catalogue
}

// The engine's VM is paused together with its agent in the middle of an unload, or only the agent
// is, and the answers come while it sleeps.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_in_unload() {
    let world = World::start(options(LARGE_MIB, &["a", "b"], true)).await;
    world.until_served(0, "a").await;
    slow(&world, 50);
    let asking = ask_only(&world, "b");
    until_begun(&world, "a", |action| action == Action::Unload).await;

    world.agents[0].process.freeze();
    world.engines[0].until(|s| s.models.is_empty()).await;
    world.engines[0].crash().await.expect("it crashes");
    world.engines[0].restart().expect("it starts");
    world.agents[0].process.thaw();

    slow(&world, 1);
    until_all_served(&world, &["a", "b"]).await;
    asking.abort();
}

// A new version of a model and its adapter is applied while callers use them. The old one goes
// before the new one comes, or both take memory at once.
#[tokio::test(flavor = "multi_thread")]
async fn new_version() {
    let world = World::start(options(SMALL_MIB, &["a", "b"], true)).await;
    world.apply(&with_adapter(&world, "1")).await;
    until_all_served(&world, &["a", "a/x", "b"]).await;
    let caller = world.caller(1);
    let busy = tokio::spawn(async move {
        loop {
            let ask = Ask::completion("a/x", "busy", 20).within(Duration::from_secs(5));
            caller.ask(&ask).await;
        }
    });

    for version in ["2", "3"] {
        world.apply(&with_adapter(&world, version)).await;
        let of_engine = |s: &engine::Status| {
            let mut models = s.models.iter();
            models.any(|m| {
                &*m.version == version && m.adapters.iter().any(|a| &*a.version == version)
            })
        };
        world.engines[0].until(of_engine).await;
    }

    busy.abort();
    until_all_served(&world, &["a", "a/x", "b"]).await;
}

/// How the agent comes to know nothing of an order that is still under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Late {
    /// It gives up waiting for the answer.
    TimedOut,
    /// It is replaced.
    Killed,
}

// An order to load is still under way to the engine when its agent gives it up or dies, and it
// arrives after the engine's list was read. The list shows free memory that the order is about to
// take, and another model is loaded into it.
async fn late_order(late: Late, checks_fence: bool, delay: Duration) {
    let mut opts = options(LARGE_MIB, &["a", "b"], checks_fence);
    if late == Late::TimedOut {
        opts.agent_limits = json!({ "load_timeout_ms": 300 });
    }
    let mut world = World::start(opts).await;
    let to_target = &world.agents[0].to_target;
    to_target.delay(delay);
    let read = to_target.read();
    let asking = ask_only(&world, "a");
    to_target.until_read(read + 1).await;
    asking.abort();
    // The end of the connection is read, and passed on after the order.
    if late == Late::Killed {
        world.agents[0].process.kill().await;
    }
    world.agents[0].to_target.until_read(read + 2).await;
    world.agents[0].to_target.pass();
    if late == Late::Killed {
        world.restart_agent(0).await;
    }
    world.until_served(1, "b").await;
    world
        .holds_past_limits("the memory is kept", async || {
            world.recorder.peak_memory("engine-0") <= world.opts.engine.memory_mib
        })
        .await;
    until_all_served(&world, &["a", "b"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_order_timed_out() {
    late_order(Late::TimedOut, true, Duration::from_secs(4)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_order_timed_out_unfenced() {
    late_order(Late::TimedOut, false, Duration::from_secs(1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_order_of_dead() {
    late_order(Late::Killed, true, Duration::from_secs(4)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_order_of_dead_unfenced() {
    late_order(Late::Killed, false, Duration::from_secs(1)).await;
}
