//! Runs one request until its response or refusal, by its deadline.

use std::sync::Arc;

use hyper::Response;
use stair_http::Body;
use stair_platform::ObjectStore;
use stair_telemetry::metrics::Latency;
use stair_types::{
    Reason,
    Refusal,
    Verdict, //
};

use super::{
    Cx,
    admit::Admitted,
    caller::{
        self,
        Caller, //
    },
    dispatch,
    request::Request,
};

/// Retry time for callers whose deadline passed before their request ran, in milliseconds. The time
/// that the request would have taken is not known; a second spreads the retries a little.
const RETRY_MS: u32 = 1_000;

/// The progress of a request, from which its verdict follows.
pub(super) struct Progress {
    pub(super) admitted: Admitted,
    /// `Start` may have been sent to the current target, which has not reported that the request never
    /// ran.
    pub(super) started: bool,
    /// An earlier target may have run the request.
    pub(super) earlier_may_have_run: bool,
    /// The idempotency key may be claimed for this request.
    pub(super) claimed: bool,
}

impl Progress {
    fn may_have_run(&self) -> bool {
        self.started || self.earlier_may_have_run
    }
}

/// Runs a request in a separate task and returns the response once its head is known.
///
/// When a caller disconnects, the handler of its request is dropped at any point. The task outlives
/// the handler, so that the request is withdrawn at its agent and its claim is released.
pub(super) async fn spawn<S>(cx: Arc<Cx<S>>, req: Request, admitted: Admitted) -> Response<Body>
where
    S: ObjectStore,
{
    let (caller, receiver) = caller::pair(&cx.limits, req.id);
    tokio::spawn(run(cx, Arc::new(req), admitted, caller));
    receiver.response().await
}

async fn run<S>(cx: Arc<Cx<S>>, req: Arc<Request>, admitted: Admitted, mut caller: Caller)
where
    S: ObjectStore,
{
    let mut progress = Progress {
        admitted,
        started: false,
        earlier_may_have_run: false,
        claimed: false,
    };
    let disconnected = caller.disconnected();
    // If the dispatch does not end first, it is dropped with the stream to the agent, which
    // withdraws the request there.
    let result = tokio::select! {
        biased;
        result = dispatch::dispatch(&cx, &req, &mut caller, &mut progress) => result,
        () = disconnected => Err(withdrawn()),
        () = tokio::time::sleep_until(req.deadline) => Err(deadline_passed()),
    };
    cx.metrics.latency(Latency::Whole, req.received.elapsed());
    let Err(mut refusal) = result else {
        cx.metrics.request(&req.tier, Verdict::Answered);
        return;
    };
    // A refusal with verdict `NotRun` does not count if an earlier target may have run the request.
    if progress.may_have_run() {
        refusal.verdict = Verdict::MayHaveRun;
    }
    if refusal.verdict == Verdict::MayHaveRun {
        refusal.retry_after_ms = match (req.repeatable, refusal.reason) {
            (true, _) => refusal.retry_after_ms.max(RETRY_MS),
            // The key is claimed: a repeat with the same key finds out whether the other request ran.
            (false, Reason::Duplicate) => refusal.retry_after_ms,
            // Repeating billed work is never safe.
            (false, _) => 0,
        };
    }
    if refusal.verdict == Verdict::NotRun && progress.claimed {
        cx.claims.release(&req);
    }
    cx.metrics.request(&req.tier, refusal.verdict);
    cx.refused(req.id, &refusal);
    caller.fail(refusal).await;
}

fn withdrawn() -> Refusal {
    Refusal::not_run(Reason::Withdrawn, 0, "the caller left")
}

fn deadline_passed() -> Refusal {
    Refusal::not_run(Reason::DeadlinePassed, RETRY_MS, "the deadline passed")
}
