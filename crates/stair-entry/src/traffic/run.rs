//! Sees one request through to its answer or its refusal, by its deadline.

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

/// Told to callers whose deadline passed before their request ran, in milliseconds. Nothing is
/// known of the time that it would have taken; a second spreads them a little.
const RETRY_MS: u32 = 1_000;

/// How far a request has come, as far as its verdict depends on it.
pub(super) struct Progress {
    pub(super) admitted: Admitted,
    /// `Start` may have been sent to the present target, which has not said that it never ran.
    pub(super) started: bool,
    /// An earlier target may have run it.
    pub(super) earlier_may_have_run: bool,
    /// The idempotency key may be claimed for this request.
    pub(super) claimed: bool,
}

impl Progress {
    fn may_have_run(&self) -> bool {
        self.started || self.earlier_may_have_run
    }
}

/// Runs a request in a task of its own and returns the response once its head is known.
///
/// A caller that leaves drops the handler of its request at any point. The task outlives it, so
/// that the request is withdrawn at its agent and its claim is given back.
pub(super) async fn spawn<S>(cx: Arc<Cx<S>>, req: Request, admitted: Admitted) -> Response<Body>
where
    S: ObjectStore,
{
    let (caller, receiver) = caller::pair(&cx.limits, req.id);
    tokio::spawn(run(cx, req, admitted, caller));
    receiver.response().await
}

async fn run<S>(cx: Arc<Cx<S>>, req: Request, admitted: Admitted, mut caller: Caller)
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
    // Whatever ends the wait first drops the stream to the agent, which withdraws the request
    // there.
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
    // A target that refused after another one may have run the request does not make it not run.
    if progress.may_have_run() {
        refusal.verdict = Verdict::MayHaveRun;
    }
    if refusal.verdict == Verdict::MayHaveRun {
        refusal.retry_after_ms = match (req.repeatable, refusal.reason) {
            (true, _) => refusal.retry_after_ms.max(RETRY_MS),
            // The key is held: a repeat with it asks for sure whether the other request ran.
            (false, Reason::Duplicate) => refusal.retry_after_ms,
            // Sending billed work again would not be safe at any time.
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
