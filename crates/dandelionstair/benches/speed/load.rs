//! Callers: closed loops for the greatest rate, Poisson arrivals for latency at a given rate.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use stair_http::{
    Client,
    client, //
};
use tokio::{
    sync::mpsc,
    task::JoinSet, //
};

use crate::{
    World,
    support::world::INTERACTIVE_KEY, //
};

const ANSWER_TIME: Duration = Duration::from_secs(60);

/// Longer latencies count as this, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Where requests go, in turn, and what they carry.
#[derive(Clone)]
pub(crate) struct Goal {
    clients: Arc<[Client]>,
    body: Bytes,
}

/// What came of a load.
pub(crate) struct Outcome {
    /// Latencies of whole answers, in microseconds.
    pub(crate) latency: Histogram<u64>,
    pub(crate) failed: u64,
    pub(crate) bytes: u64,
    pub(crate) took: Duration,
}

impl Outcome {
    pub(crate) fn per_second(&self) -> f64 {
        self.latency.len() as f64 / self.took.as_secs_f64()
    }

    pub(crate) fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl Goal {
    /// Through the entry.
    pub(crate) fn entry(world: &World, body: Bytes) -> Self {
        Self::new(&[world.entries[0].listen], body)
    }

    /// Straight to the engines.
    pub(crate) fn engines(world: &World, body: Bytes) -> Self {
        let addrs: Vec<SocketAddr> = world.engines.iter().map(|e| e.addr()).collect();
        Self::new(&addrs, body)
    }

    fn new(addrs: &[SocketAddr], body: Bytes) -> Self {
        let opts = client::Options {
            max_idle: 16_384,
            connect_timeout: Duration::from_secs(10),
            ..client::Options::default()
        };
        let clients = addrs.iter().map(|a| Client::new(*a, opts));
        Self {
            clients: clients.collect(),
            body,
        }
    }

    /// Sends one request and reads its answer. Returns its bytes; none when it failed.
    pub(crate) async fn send(&self, turn: usize) -> Option<u64> {
        let client = &self.clients[turn % self.clients.len()];
        let req = Request::post("/v1/completions")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {INTERACTIVE_KEY}"))
            .body(Full::new(self.body.clone()))
            .expect("the request is well formed");
        let mut answer = client.send(req, ANSWER_TIME).await.ok()?;
        let mut bytes = 0;
        while let Some(piece) = answer.chunk(ANSWER_TIME).await.ok()? {
            bytes += piece.len() as u64;
        }
        (answer.head.status == 200).then_some(bytes)
    }
}

/// A completion with a prompt of a kilobyte.
pub(crate) fn body(tokens: u32, stream: bool) -> Bytes {
    let prompt = "p".repeat(1_000);
    let body = json!({
        "model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream, "user": "u",
    });
    body.to_string().into()
}

/// Sends the next request of each caller as soon as its last one is answered.
pub(crate) async fn closed(goal: &Goal, callers: usize, time: Duration) -> Outcome {
    let began = Instant::now();
    let mut tasks = JoinSet::new();
    for turn in 0..callers {
        let goal = goal.clone();
        tasks.spawn(async move {
            let mut done = Vec::new();
            while began.elapsed() < time {
                let sent = Instant::now();
                let bytes = goal.send(turn).await;
                done.push(Done {
                    bytes,
                    took: sent.elapsed(),
                });
            }
            done
        });
    }
    let mut outcome = Outcome::new();
    while let Some(done) = tasks.join_next().await {
        done.expect("no caller panics")
            .into_iter()
            .for_each(|d| outcome.add(d));
    }
    outcome.took = began.elapsed();
    outcome
}

/// Sends requests at random moments, whatever has become of those before.
///
/// A thread of its own keeps the time: timers of the runtime fire once a millisecond, which would
/// send the requests of a millisecond together.
pub(crate) async fn paced(goal: &Goal, per_second: f64, time: Duration) -> Outcome {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Handle::current();
    let (goal, began) = (goal.clone(), Instant::now());
    let pacing = std::thread::spawn(move || {
        let mut due = Duration::ZERO;
        for turn in 0.. {
            due += Duration::from_secs_f64(exponential() / per_second);
            if due > time {
                return;
            }
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            let (goal, tx, sent) = (goal.clone(), tx.clone(), Instant::now());
            runtime.spawn(async move {
                let bytes = goal.send(turn).await;
                let took = sent.elapsed();
                let _ = tx.send(Done { bytes, took });
            });
        }
    });
    let mut outcome = Outcome::new();
    while let Some(done) = rx.recv().await {
        outcome.add(done);
    }
    pacing.join().expect("the pacing thread does not panic");
    outcome.took = began.elapsed();
    outcome
}

fn exponential() -> f64 {
    -rand::random::<f64>().max(f64::MIN_POSITIVE).ln()
}

struct Done {
    bytes: Option<u64>,
    took: Duration,
}

impl Outcome {
    fn new() -> Self {
        Self {
            latency: Histogram::new_with_max(LONGEST_US, 3).expect("the bounds are allowed"),
            failed: 0,
            bytes: 0,
            took: Duration::ZERO,
        }
    }

    fn add(&mut self, done: Done) {
        let Some(bytes) = done.bytes else {
            self.failed += 1;
            return;
        };
        self.bytes += bytes;
        let micros = u64::try_from(done.took.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
    }
}
