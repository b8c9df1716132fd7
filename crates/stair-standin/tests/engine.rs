//! The model engine's stand-in, by its HTTP API and its records.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::{
    Value,
    json, //
};
use stair_http::client::{
    Answer,
    Client,
    Error,
    Options as ClientOptions, //
};
use stair_standin::{
    Engine,
    Recorder,
    engine::{
        Cached,
        HeldState,
        Options,
        Status,
        text, //
    },
    recorder::{
        Run,
        Source, //
    }, //
};

const LONG: Duration = Duration::from_secs(20);
/// Longer than any test, for work that is not meant to end.
const FOREVER: Duration = Duration::from_secs(3600);
const SHORT: Duration = Duration::from_millis(200);
const MAX_BYTES: usize = 1 << 20;

struct Bench {
    engine: Engine,
    recorder: Recorder,
    client: Client,
}

async fn start(opts: Options) -> Bench {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let recorder = Recorder::new();
    let engine = Engine::start(any, opts, recorder.clone()).await;
    let engine = engine.expect("a free port");
    let client = Client::new(engine.addr(), ClientOptions::default());
    Bench {
        engine,
        recorder,
        client,
    }
}

async fn send(client: &Client, path: &str, body: Value) -> Result<Answer, Error> {
    let req = Request::post(path)
        .header("x-request-id", "id-1")
        .body(Full::from(body.to_string()))
        .expect("a request");
    client.send(req, LONG).await
}

async fn post(client: &Client, path: &str, body: Value) -> Result<(u16, Value), Error> {
    let answer = send(client, path, body).await?;
    let status = answer.head.status.as_u16();
    let body = answer.collect(MAX_BYTES, LONG).await?;
    Ok((status, serde_json::from_slice(&body).expect("JSON")))
}

fn order(model: &str, fence: u64) -> Value {
    json!({ "model": model, "version": "1", "memory_mib": 100, "fence": fence })
}

async fn load(bench: &Bench, model: &str, fence: u64) -> u16 {
    let answer = post(&bench.client, "/engine/load", order(model, fence)).await;
    answer.expect("an answer").0
}

async fn unload(bench: &Bench, model: &str, fence: u64) -> u16 {
    let answer = post(&bench.client, "/engine/unload", order(model, fence)).await;
    answer.expect("an answer").0
}

fn ask(model: &str, marker: &str, stream: bool) -> Value {
    json!({
        "model": model,
        "prompt": "p",
        "messages": [{ "role": "user", "content": "p" }],
        "user": marker,
        "max_tokens": 5,
        "stream": stream,
    })
}

#[tokio::test]
async fn load_and_unload() {
    let cached = Cached {
        model: "b".into(),
        source: Source::Memory,
    };
    let bench = start(Options {
        memory_mib: 150,
        cached: vec![cached],
        ..Options::default()
    })
    .await;
    assert_eq!(load(&bench, "a", 1).await, 200);
    assert_eq!(load(&bench, "a", 1).await, 200);
    let (_, answer) = post(&bench.client, "/engine/load", order("b", 1))
        .await
        .expect("an answer");
    assert_eq!(answer["source"], "memory");
    let models = bench.engine.status().models;
    assert!(models.iter().all(|m| m.state == HeldState::Loaded));
    assert_eq!(models.len(), 2);
    assert_eq!(bench.recorder.peak_memory("engine"), 200);

    assert_eq!(unload(&bench, "a", 1).await, 200);
    assert_eq!(unload(&bench, "a", 1).await, 404);
    assert_eq!(bench.engine.status().models.len(), 1);
    let (loads, unloads) = (bench.recorder.loads("a"), bench.recorder.unloads("a"));
    assert_eq!((loads.len(), unloads.len()), (1, 1));
    assert!(loads[0].completed && unloads[0].completed);
}

/// An agent that was replaced goes on giving orders. An engine that checks fencing tokens refuses
/// them, another kind obeys.
#[tokio::test]
async fn stale_fence() {
    for (checks_fence, status) in [(true, 409), (false, 200)] {
        let bench = start(Options {
            checks_fence,
            ..Options::default()
        })
        .await;
        assert_eq!(load(&bench, "a", 7).await, 200);
        assert_eq!(load(&bench, "b", 6).await, status);
        assert_eq!(unload(&bench, "a", 6).await, status);
        assert_eq!(bench.engine.status().fence, 7);
    }
}

#[tokio::test]
async fn memory_refusal() {
    let bench = start(Options {
        memory_mib: 150,
        refuse_overcommit: true,
        ..Options::default()
    })
    .await;
    assert_eq!(load(&bench, "a", 1).await, 200);
    assert_eq!(load(&bench, "b", 1).await, 507);
    assert_eq!(bench.recorder.peak_memory("engine"), 100);
}

/// A model is moved to another engine. If that one begins before the first has let go of its
/// memory, two engines hold the model, and the records have to show it.
#[tokio::test]
async fn holder_count() {
    let bench = start(Options::default()).await;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let opts = Options {
        name: "slow".into(),
        unload: FOREVER,
        ..Options::default()
    };
    let slow = Engine::start(any, opts, bench.recorder.clone()).await;
    let slow = slow.expect("a free port");
    let client = Client::new(slow.addr(), ClientOptions::default());

    load(&bench, "a", 1).await;
    unload(&bench, "a", 1).await;
    let loaded = post(&client, "/engine/load", order("a", 1)).await;
    assert_eq!(loaded.expect("an answer").0, 200);
    assert_eq!(bench.recorder.max_holders("a"), 1);

    tokio::spawn(async move { post(&client, "/engine/unload", order("a", 1)).await });
    slow.until(|s| s.models[0].state == HeldState::Unloading)
        .await;
    load(&bench, "a", 1).await;
    assert_eq!(bench.recorder.max_holders("a"), 2);
}

#[tokio::test]
async fn adapters() {
    let bench = start(Options::default()).await;
    let mut adapter = order("a", 1);
    adapter["adapter"] = json!("x");
    let orphan = post(&bench.client, "/engine/adapters/load", adapter.clone()).await;
    assert_eq!(orphan.expect("an answer").0, 404);
    load(&bench, "a", 1).await;
    let loaded = post(&bench.client, "/engine/adapters/load", adapter).await;
    assert_eq!(loaded.expect("an answer").0, 200);
    assert_eq!(&*bench.engine.status().models[0].adapters[0].name, "x");

    let asked = ask("a/x", "m1", false);
    let run = post(&bench.client, "/v1/completions", asked.clone()).await;
    assert_eq!(run.expect("an answer").0, 200);
    unload(&bench, "a", 1).await;
    let run = post(&bench.client, "/v1/completions", asked).await;
    assert_eq!(run.expect("an answer").0, 404);
    assert_eq!(bench.engine.status().models, []);
}

#[tokio::test]
async fn whole_answers() {
    let bench = start(Options::default()).await;
    load(&bench, "a", 1).await;
    let client = &bench.client;
    let (_, answer) = post(client, "/v1/completions", ask("a", "m1", false))
        .await
        .expect("an answer");
    assert_eq!(answer["choices"][0]["text"], text("m1", 5));
    let (_, answer) = post(client, "/v1/chat/completions", ask("a", "m2", false))
        .await
        .expect("an answer");
    assert_eq!(answer["choices"][0]["message"]["content"], text("m2", 5));
    let runs = bench.recorder.runs_of("m1");
    assert!(runs.len() == 1 && runs[0].completed);
    assert_eq!(bench.recorder.runs_by_id("id-1").len(), 2);
}

async fn stream(bench: &Bench, marker: &str) -> Result<Bytes, Error> {
    let asked = ask("a", marker, true);
    let answer = send(&bench.client, "/v1/chat/completions", asked).await?;
    answer.collect(MAX_BYTES, LONG).await
}

#[tokio::test]
async fn streams() {
    let bench = start(Options::default()).await;
    load(&bench, "a", 1).await;
    let all = stream(&bench, "m1").await.expect("a stream");
    let all = str::from_utf8(&all).expect("text");
    let events: Vec<&str> = all.split_terminator("\n\n").collect();
    let (last, chunks) = events.split_last().expect("events");
    assert_eq!(*last, "data: [DONE]");
    let content = |event: &&str| {
        let json: Value = serde_json::from_str(&event["data: ".len()..]).expect("JSON");
        let text = &json["choices"][0]["delta"]["content"];
        text.as_str().expect("text").to_owned()
    };
    let joined: String = chunks.iter().map(content).collect();
    assert_eq!(joined, text("m1", 5));
}

/// The engine's connection breaks in the middle of an answer. The caller gets what was sent and
/// an error, and never an answer that looks whole.
#[tokio::test]
async fn cut_answers() {
    let bench = start(Options::default()).await;
    load(&bench, "a", 1).await;
    bench.engine.set_faults(|f| f.cut_after = Some(30));
    let cut = stream(&bench, "m1").await;
    assert!(matches!(cut, Err(Error::Lost(_))), "{cut:?}");
    let cut = post(&bench.client, "/v1/completions", ask("a", "m2", false)).await;
    assert!(matches!(cut, Err(Error::Lost(_))), "{cut:?}");
    bench
        .recorder
        .until(|r| r.runs.len() == 2 && r.runs.iter().all(|run| run.ended.is_some()))
        .await;
    assert!(bench.recorder.runs(|run| run.completed).is_empty());
}

/// A caller hangs up while its request runs, or while it waits for a place. The engine stops
/// working on it.
#[tokio::test]
async fn cancelled_runs() {
    let bench = start(Options {
        per_token: FOREVER,
        concurrency: 1,
        ..Options::default()
    })
    .await;
    load(&bench, "a", 1).await;
    let mut streams = send(&bench.client, "/v1/completions", ask("a", "m1", true)).await;
    let first = streams.as_mut().expect("an answer").chunk(LONG).await;
    assert!(first.is_ok(), "{first:?}");
    assert_eq!(bench.engine.status().running, 1);
    drop(streams);
    bench.engine.until(|s| s.running == 0).await;

    let sender = |marker| {
        let client = bench.client.clone();
        let asked = ask("a", marker, false);
        tokio::spawn(async move { post(&client, "/v1/completions", asked).await })
    };
    let runs = sender("m1");
    bench.engine.until(|s| s.running == 1).await;
    let waits = sender("m2");
    bench.engine.until(|s| s.waiting == 1).await;
    waits.abort();
    bench.engine.until(|s| s.waiting == 0).await;
    runs.abort();
    bench.engine.until(|s| s.running == 0).await;

    assert_eq!(bench.recorder.runs_of("m2").len(), 0);
    let cancelled = |run: &Run| run.ended.is_some() && !run.completed;
    assert_eq!(bench.recorder.runs(cancelled).len(), 2);
}

/// The answer to a load is lost, or the one who ordered it dies in the middle. The model is
/// loaded all the same.
#[tokio::test]
async fn lost_load_answer() {
    let bench = start(Options {
        load_from_remote: SHORT,
        ..Options::default()
    })
    .await;
    bench.engine.set_faults(|f| f.lose_answers = 1);
    let lost = post(&bench.client, "/engine/load", order("a", 1)).await;
    assert!(matches!(lost, Err(Error::Lost(_))), "{lost:?}");
    assert_eq!(bench.engine.status().models[0].state, HeldState::Loaded);

    let client = bench.client.clone();
    let orders = tokio::spawn(async move { post(&client, "/engine/load", order("b", 1)).await });
    bench.engine.until(|s| s.models.len() == 2).await;
    orders.abort();
    let loaded = |s: &Status| s.models[1].state == HeldState::Loaded;
    bench.engine.until(loaded).await;
}

#[tokio::test]
async fn failed_load() {
    let bench = start(Options::default()).await;
    bench.engine.set_faults(|f| f.fail_loads = true);
    assert_eq!(load(&bench, "a", 1).await, 500);
    assert_eq!(bench.engine.status().models, []);
    bench.engine.set_faults(|f| f.fail_loads = false);
    assert_eq!(load(&bench, "a", 1).await, 200);
    assert_eq!(bench.recorder.loads("a").len(), 2);
}

/// An engine crashes with a model loaded and another in the middle of its load, and comes back
/// empty. What it began before has no effect afterwards.
#[tokio::test]
async fn crash() {
    let bench = start(Options {
        cached: vec![Cached {
            model: "a".into(),
            source: Source::Memory,
        }],
        load_from_remote: FOREVER,
        ..Options::default()
    })
    .await;
    load(&bench, "a", 1).await;
    let client = bench.client.clone();
    let orders = tokio::spawn(async move { post(&client, "/engine/load", order("b", 1)).await });
    bench.engine.until(|s| s.models.len() == 2).await;
    bench.engine.crash().await.expect("crashed");
    let lost = orders.await.expect("no panic");
    assert!(matches!(lost, Err(Error::Lost(_))), "{lost:?}");
    let refused = post(&bench.client, "/engine/load", order("a", 1)).await;
    assert!(matches!(refused, Err(Error::NotSent(_))), "{refused:?}");

    bench.engine.restart().expect("restarted");
    assert_eq!(bench.engine.status().models, []);
    assert_eq!(load(&bench, "a", 1).await, 200);
    assert_eq!(bench.recorder.max_holders("a"), 1);
    bench.recorder.until(|r| r.changes[1].ended.is_some()).await;
    assert!(!bench.recorder.loads("b")[0].completed);
}

/// The engine accepts connections and gets on with nothing, then recovers.
#[tokio::test]
async fn stall() {
    let bench = start(Options::default()).await;
    load(&bench, "a", 1).await;
    bench.engine.set_faults(|f| f.stall = true);
    let req = Request::get("/engine").body(Full::default());
    let silent = bench.client.send(req.expect("a request"), SHORT).await;
    assert!(matches!(silent, Err(Error::Lost(_))));
    bench.engine.set_faults(|f| f.stall = false);
    let run = post(&bench.client, "/v1/completions", ask("a", "m1", false)).await;
    assert_eq!(run.expect("an answer").0, 200);
}
