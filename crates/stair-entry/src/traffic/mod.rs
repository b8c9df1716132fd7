//! Callers' requests, from the socket to an agent and back.
//!
//! The modules in the order in which a request passes them:
//!
//! - `accept`: accepts connections and returns a response or a refusal for each request.
//! - `route`: maps paths to kinds of work.
//! - `auth`: identifies the caller by its key.
//! - `headers`: parses the request options and selects the headers that are forwarded.
//! - `admit`: bounds the requests and bytes in the entry.
//! - `body`: reads the body and the few fields of it that the entry needs.
//! - `request`: a request that passed all checks.
//! - `run`: runs one request until its response or refusal, by its deadline.
//! - `choose`: picks the next target, from the load that `targets` records.
//! - `dispatch`: tries one target after another.
//! - `offer`: offers the request to an agent on a stream, an `exchange`.
//! - `start`: waits until the request can run, claims its idempotency key (`claim`, `shard`) and
//!   starts it once. A claim of a request that never ran is replaced (`abandoned`).
//! - `response`: forwards the response to the `caller`.
//! - `resume`: continues a started request after its link broke.
//! - `crash`: finds out which requests were running on a target when it crashed.
//! - `quarantine`: withholds requests that end the targets that run them; `ledger_links`: its streams
//!   to the agents that keep ledgers of crashes.
//! - `refuse`: refusals, with their verdict and retry time.
//! - `models`, `dump`: the list of models for callers, and the state dump for operators.

mod abandoned;
mod accept;
mod admit;
mod auth;
mod body;
mod caller;
mod choose;
mod claim;
mod crash;
mod dispatch;
mod dump;
mod exchange;
mod headers;
mod ledger_links;
mod models;
mod offer;
mod quarantine;
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
use stair_http::connections::Connections;
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

/// The traffic half of one entry. Clones share one state.
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

/// The context that all requests share.
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
    quarantine: Arc<quarantine::Quarantine>,
    metrics: Metrics,
    draining: AtomicBool,
    /// The open connections of callers.
    connections: Arc<Connections>,
}

impl<S> Cx<S> {
    fn latest(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Counts a refusal that is sent to a caller.
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
    /// Creates the traffic half without metrics. Nothing is served before [`Traffic::serve`].
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

    /// Creates the traffic half of an entry that sends metrics. Nothing is served before
    /// [`Traffic::serve`].
    pub fn with_metrics(
        view: watch::Receiver<Arc<View>>,
        data_centre: DataCentre,
        limits: EntryLimits,
        pool: Pool,
        store: S,
        metrics: Metrics,
    ) -> Self {
        let quarantine = quarantine::Quarantine::new(metrics.clone());
        Self {
            cx: Arc::new(Cx {
                view,
                data_centre,
                gate: Arc::new(admit::Gate::new(&limits)),
                connections: Connections::new(limits.max_connections as usize),
                limits,
                pool,
                claims: claim::Claims::new(store),
                targets: targets::Targets::default(),
                retries: Mutex::new(retry::Budget::new(retry::Options::default())),
                refusals: refuse::Counts::default(),
                quarantine: Arc::new(quarantine),
                metrics,
                draining: AtomicBool::new(false),
            }),
        }
    }

    /// Serves callers until `stop` turns true and the requests served by then have finished.
    pub async fn serve(&self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let cx = &self.cx;
        let links = ledger_links::run(
            cx.quarantine.clone(),
            cx.pool.dialer().clone(),
            cx.view.clone(),
        );
        tokio::select! {
            () = accept::serve(cx.clone(), listener, stop) => {}
            // Callers are served also without the view's sender.
            () = async { links.await; std::future::pending().await } => {}
            () = cx.claims.restore() => {}
        }
    }

    /// Refuses new requests from now on. Requests in the entry are finished.
    pub fn begin_drain(&self) {
        self.cx.draining.store(true, Ordering::Relaxed);
    }

    /// Waits until no request is in the entry.
    pub async fn drained(&self) {
        self.cx.gate.drained().await;
    }

    /// Sends the number of waiting requests of each tier to the metrics, once per call.
    pub fn report(&self) {
        let waiting = self.cx.gate.waiting();
        for tier in &self.cx.latest().catalogue.tiers {
            let n = waiting.get(usize::from(tier.rank.0)).copied();
            self.cx.metrics.queue_length(&tier.name, n.unwrap_or(0));
        }
    }

    /// Returns the state dump of the traffic half as JSON.
    pub fn dump(&self) -> serde_json::Value {
        dump::dump(&self.cx)
    }
}
