//! Callers' requests, from the socket to an agent and back. The modules in the order of the way:
//!
//! - `accept`: takes connections, and answers each request with a response or a refusal.
//! - `route`: which path is which kind of work.
//! - `auth`: whose request it is.
//! - `headers`: what the caller asks for besides the body.
//! - `admit`: bounds on what is in the entry at once.
//! - `body`: reads the body and the few fields that matter.
//! - `request`: a request that passed all checks.
//! - `run`: sees one request through to its answer or its refusal, by its deadline.
//! - `choose`: orders the targets, with what `targets` remembers of their replies.
//! - `dispatch`: tries one target after the other.
//! - `offer`: offers the request on one stream, an `exchange`.
//! - `start`: waits until it can run, claims its key (`claim`, `shard`) and starts it once, also
//!   when the key was claimed by a request that never ran (`abandoned`).
//! - `response`: brings the answer to the `caller`.
//! - `resume`: takes it up again after its link broke.
//! - `refuse`: refusals, with verdict and time to come back.
//! - `models`, `dump`: what a caller and an operator may ask.

mod abandoned;
mod accept;
mod admit;
mod auth;
mod body;
mod caller;
mod choose;
mod claim;
mod dispatch;
mod dump;
mod exchange;
mod headers;
mod models;
mod offer;
mod refuse;
mod request;
mod response;
mod resume;
mod route;
mod run;
mod shard;
mod start;
mod targets;

use std::sync::{
    Arc,
    Mutex,
    atomic::{
        AtomicBool,
        Ordering, //
    }, //
};

use stair_config::EntryLimits;
use stair_link::Pool;
use stair_platform::ObjectStore;
use stair_policy::retry;
use stair_telemetry::{
    Metrics,
    Part,
    debug, //
};
use stair_types::{
    DataCentre,
    Refusal,
    RequestId, //
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

use crate::View;

/// The traffic of one entry. Cloning shares it.
pub struct Traffic<S> {
    cx: Arc<Cx<S>>,
}

impl<S> Clone for Traffic<S> {
    fn clone(&self) -> Self {
        Self {
            cx: self.cx.clone(),
        }
    }
}

/// What all requests share.
struct Cx<S> {
    view: watch::Receiver<Arc<View>>,
    data_centre: DataCentre,
    limits: EntryLimits,
    pool: Pool,
    gate: Arc<admit::Gate>,
    claims: claim::Claims<S>,
    targets: targets::Targets,
    retries: Mutex<retry::Budget>,
    refusals: refuse::Counts,
    metrics: Metrics,
    draining: AtomicBool,
}

impl<S> Cx<S> {
    fn latest(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Counts a refusal that is told to a caller.
    fn refused(&self, id: RequestId, refusal: &Refusal) {
        self.refusals.count(refusal);
        self.metrics.refusal(refusal.reason, refusal.verdict);
        let (reason, verdict) = (refusal.reason.as_str(), refusal.verdict.as_str());
        debug!(
            Part::Callers,
            "request {id} is refused: {reason}, {verdict}"
        );
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

impl<S> Traffic<S>
where
    S: ObjectStore,
{
    /// Makes the traffic half; nothing is served yet.
    pub fn new(
        view: watch::Receiver<Arc<View>>,
        data_centre: DataCentre,
        limits: EntryLimits,
        pool: Pool,
        store: S,
    ) -> Self {
        let metrics = Metrics::disabled();
        Self::with_metrics(view, data_centre, limits, pool, store, metrics)
    }

    /// Makes the traffic half of an entry that sends metrics.
    pub fn with_metrics(
        view: watch::Receiver<Arc<View>>,
        data_centre: DataCentre,
        limits: EntryLimits,
        pool: Pool,
        store: S,
        metrics: Metrics,
    ) -> Self {
        Self {
            cx: Arc::new(Cx {
                view,
                data_centre,
                gate: Arc::new(admit::Gate::new(&limits)),
                limits,
                pool,
                claims: claim::Claims::new(store),
                targets: targets::Targets::default(),
                retries: Mutex::new(retry::Budget::new(retry::Options::default())),
                refusals: refuse::Counts::default(),
                metrics,
                draining: AtomicBool::new(false),
            }),
        }
    }

    /// Serves callers until `stop` turns true and what is served then has finished.
    pub async fn serve(&self, listener: TcpListener, stop: watch::Receiver<bool>) {
        accept::serve(self.cx.clone(), listener, stop).await;
    }

    /// Refuses new requests from now on; those in the entry are finished.
    pub fn begin_drain(&self) {
        self.cx.draining.store(true, Ordering::Relaxed);
    }

    /// Waits until no request is in the entry.
    pub async fn drained(&self) {
        self.cx.gate.drained().await;
    }

    /// Sends how many requests wait, by tier. The process calls it about once a second.
    pub fn report(&self) {
        let waiting = self.cx.gate.waiting();
        for tier in &self.cx.latest().catalogue.tiers {
            let n = waiting.get(usize::from(tier.rank.0)).copied();
            self.cx.metrics.queue_length(&tier.name, n.unwrap_or(0));
        }
    }

    /// Returns the state of the traffic half, for an operator.
    pub fn dump(&self) -> serde_json::Value {
        dump::dump(&self.cx)
    }
}
