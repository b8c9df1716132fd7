//! The model engine's stand-in.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | status | `GET /engine` | 200 [`Status`] |
//! | load | `POST /engine/load` `{"model","version","memory_mib","fence"}` | 200 `{"source":"memory","load_ms":N}` once loaded; 409 `stale-fence` or `other-version`; 500 `load-failed`; 507 `no-memory` |
//! | unload | `POST /engine/unload` `{"model","fence"}` | 200 once unloaded; 404 `not-held`; 409 `stale-fence` |
//! | load an adapter | `POST /engine/adapters/load` `{"model","adapter","version","memory_mib","fence"}` | as load; 404 `no-model` |
//! | unload an adapter | `POST /engine/adapters/unload` `{"model","adapter","fence"}` | as unload |
//! | run | `POST /v1/completions`, `POST /v1/chat/completions` | 200 as OpenAI's, plain or as events; 400; 404 |
//!
//! A load or unload goes on when its connection breaks. A load of what is loaded or loading waits
//! and answers 200 with the source of that load. An unload cuts the model's runs, and unloads its
//! adapters. Refusals are `{"error":"stale-fence"}` and so on. 409 for a fence comes only from
//! engines that check it, 507 only from those that refuse to overcommit.
//!
//! A run takes `model` (`m` or `m/adapter`), `prompt` or `messages`, `max_tokens` (16), `stream`
//! and `user`, the marker; without it the prompt is the marker. The text is [`text`] of both, so
//! that a caller can tell whether it has the whole answer to its own request. The header
//! `X-Request-Id` goes into the records. A broken connection cancels the run.

mod control;
mod run;
mod state;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    Version,
    body::Incoming,
    header::HeaderValue, //
};
use stair_http::{
    Body,
    body, //
};
use tokio::sync::{
    Semaphore,
    watch, //
};

use crate::{
    recorder::{
        Recorder,
        Source, //
    },
    server::{
        Rejection,
        Server,
        error,
        expected,
        json, //
    },
};
pub use run::text;
use state::State;
pub use state::{
    AdapterStatus,
    HeldState,
    ModelStatus,
    Status, //
};

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct Options {
    /// The target's name in the records.
    pub name: Box<str>,
    /// Accelerator memory.
    pub memory_mib: u32,
    /// Refuses a load or unload with a fencing token below the highest seen.
    pub checks_fence: bool,
    /// Refuses a load that does not fit; otherwise it loads, and the records show it.
    pub refuse_overcommit: bool,
    /// What is cached where at the start; the rest is remote. A load leaves it at least on disk.
    pub cached: Vec<Cached>,
    /// Time of a load from memory.
    pub load_from_memory: Duration,
    /// Time of a load from disk.
    pub load_from_disk: Duration,
    /// Time of a load from the weight store.
    pub load_from_remote: Duration,
    /// Time of an unload.
    pub unload: Duration,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to each further token.
    pub per_token: Duration,
    /// Runs at once; more wait.
    pub concurrency: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            memory_mib: 80 << 10,
            checks_fence: true,
            refuse_overcommit: false,
            cached: Vec::new(),
            load_from_memory: Duration::from_millis(5),
            load_from_disk: Duration::from_millis(20),
            load_from_remote: Duration::from_millis(50),
            unload: Duration::from_millis(10),
            first_token: Duration::from_millis(5),
            per_token: Duration::from_millis(1),
            concurrency: 16,
        }
    }
}

impl Options {
    fn load_time(&self, source: Source) -> Duration {
        match source {
            Source::Memory => self.load_from_memory,
            Source::Disk => self.load_from_disk,
            Source::Remote => self.load_from_remote,
        }
    }
}

/// Where a model (`m`) or an adapter (`m/adapter`) is cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cached {
    /// `m` or `m/adapter`.
    pub model: Box<str>,
    /// Where.
    pub source: Source,
}

/// Faults, all switched off at first.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Accepts everything and gets on with nothing, until switched off.
    pub stall: bool,
    /// Breaks the connection after so many bytes of an answer's body, in runs that start.
    pub cut_after: Option<usize>,
    /// Answers of runs have neither a length nor chunks, and end with their connection.
    pub unframed: bool,
    /// Loads fail at their end.
    pub fail_loads: bool,
    /// So many answers to loads and unloads are still to be lost, after they took effect.
    pub lose_answers: u32,
    /// Makes loads, unloads and tokens take so many times as long.
    pub slow_factor: Option<u32>,
}

struct Shared {
    opts: Options,
    recorder: Recorder,
    state: watch::Sender<State>,
    slots: Arc<Semaphore>,
}

impl Shared {
    fn modify<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut result = None;
        self.state.send_modify(|state| result = Some(change(state)));
        result.expect("send_modify calls its closure")
    }

    async fn until(&self, condition: impl FnMut(&State) -> bool) {
        let mut rx = self.state.subscribe();
        // The sender lives in `self`.
        let _ = rx.wait_for(condition).await;
    }

    async fn until_not_stalled(&self) {
        if self.state.borrow().faults.stall {
            self.until(|state| !state.faults.stall).await;
        }
    }

    fn crash(&self) {
        self.modify(|state| {
            state.crash();
            // At the same moment, so that no load can begin in between.
            self.recorder.release_all(&self.opts.name);
        });
    }

    /// Lets work of this length pass.
    async fn work(&self, time: Duration) {
        if !time.is_zero() {
            let factor = self.state.borrow().faults.slow_factor.unwrap_or(1);
            tokio::time::sleep(time * factor).await;
        }
        self.until_not_stalled().await;
    }
}

/// A running engine. Dropping it ends it.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts one; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// When the address cannot be had.
    pub async fn start(addr: SocketAddr, opts: Options, recorder: Recorder) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: watch::channel(State::new(&opts)).0,
            slots: Arc::new(Semaphore::new(opts.concurrency)),
            opts,
            recorder,
        });
        let handler = shared.clone();
        let server = Server::start(addr, move |req| answer(handler.clone(), req))?;
        Ok(Self { server, shared })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns what `GET /engine` answers.
    pub fn status(&self) -> Status {
        self.shared.state.borrow().status(&self.shared.opts)
    }

    /// Waits until the status fulfils a condition.
    ///
    /// # Panics
    ///
    /// After half a minute.
    pub async fn until(&self, mut condition: impl FnMut(&Status) -> bool) {
        let opts = &self.shared.opts;
        let fulfilled = |state: &State| condition(&state.status(opts));
        expected(self.shared.until(fulfilled)).await;
    }

    /// Names a limit of calls per second in all answers from now on, or none.
    ///
    /// # Panics
    ///
    /// When the text cannot be a header's value.
    pub fn name_limit(&self, limit: Option<&str>) {
        let value = limit.map(|l| HeaderValue::from_str(l).expect("a header's value"));
        self.server.name_limit(value);
    }

    /// Names the version of its software in all answers to calls that come from now on.
    ///
    /// # Panics
    ///
    /// When the text cannot be a header's value.
    pub fn name_version(&self, version: &str) {
        let value = HeaderValue::from_str(version).expect("a header's value");
        self.server.name_version(Some(value));
    }

    /// States in all answers from now on that it shuts down, or no longer.
    pub fn drain(&self, draining: bool) {
        self.server.drain(draining);
    }

    /// Rejects all calls from now on, or none.
    pub fn reject(&self, rejection: Option<Rejection>) {
        self.server.reject(rejection);
    }

    /// Arrivals of the calls that were rejected.
    pub fn rejected(&self) -> Vec<Instant> {
        self.server.rejected()
    }

    /// Arrivals of all calls, whoever sent them.
    pub fn received(&self) -> Vec<Instant> {
        self.server.received()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.modify(|state| change(&mut state.faults));
    }

    /// Loses everything that is loaded or in work, and refuses connections until
    /// [`Engine::restart`].
    ///
    /// # Errors
    ///
    /// When the address cannot be kept.
    pub async fn crash(&self) -> io::Result<()> {
        self.shared.crash();
        self.server.kill().await
    }

    /// Comes back empty after a crash.
    ///
    /// # Errors
    ///
    /// When the address cannot be had again.
    pub fn restart(&self) -> io::Result<()> {
        self.shared.modify(|state| state.down = false);
        self.server.revive()
    }

    /// Ends it, as a crash does.
    ///
    /// # Errors
    ///
    /// As [`Engine::crash`].
    pub async fn stop(&self) -> io::Result<()> {
        self.crash().await
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.crash();
    }
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    shared.until_not_stalled().await;
    let path = req.uri().path().to_owned();
    match (req.method(), &*path) {
        (&Method::GET, "/engine") => {
            let status = shared.state.borrow().status(&shared.opts);
            json(StatusCode::OK, &status)
        }
        (&Method::POST, "/engine/load" | "/engine/adapters/load") => {
            control::load(shared, req).await
        }
        (&Method::POST, "/engine/unload" | "/engine/adapters/unload") => {
            control::unload(shared, req).await
        }
        (&Method::POST, "/v1/completions") => {
            let unframed = shared.state.borrow().faults.unframed;
            let resp = run::answer(shared, req, run::Api::Completions).await;
            if unframed { without_end(resp) } else { resp }
        }
        (&Method::POST, "/v1/chat/completions") => run::answer(shared, req, run::Api::Chat).await,
        _ => error(StatusCode::NOT_FOUND, "no-such-call"),
    }
}

/// Makes the end of the connection the only end of the body: HTTP/1.0 has no chunks.
fn without_end(mut resp: Response<Body>) -> Response<Body> {
    *resp.version_mut() = Version::HTTP_10;
    resp.map(body::without_length)
}
