//! Offers a request to an agent.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_types::{
    Reason,
    Refusal,
    RequestId, //
};
use stair_wire::{
    frame::{
        Error,
        Frame, //
    },
    request::{
        FromAgent,
        Load,
        Offer,
        ToAgent,
        Work, //
    },
};
use tokio::time::timeout;

use super::{
    Cx,
    choose::Chosen,
    crash::TrackedRun,
    exchange::Exchange,
    quarantine::Trial,
    refuse::millis,
    request::Request,
    resume,
    run::Progress, //
};

/// Timeout for the reply to an offer. Agents reply at once; one that does not is stuck although its
/// link is alive, and waiting longer would hold the request until its deadline.
const QUEUED_TIMEOUT: Duration = Duration::from_secs(3);

/// Retry time for callers whose targets cannot be reached, in milliseconds: about the time in which a
/// link is replaced.
const RETRY_MS: u32 = 1_000;

/// Offers a request and returns its exchange once the agent has queued it.
///
/// # Errors
///
/// Fails when the agent cannot be reached or refuses.
pub(super) async fn offer<S>(
    cx: &Cx<S>,
    req: &Arc<Request>,
    id: RequestId,
    target: &Chosen,
    trial: Option<Trial>,
    progress: &mut Progress,
) -> Result<Exchange, Refusal> {
    let unreachable =
        || Refusal::not_run(Reason::NoTarget, RETRY_MS, "the target cannot be reached");
    let link = cx.pool.get(target.link).await;
    let link = link.map_err(|_| unreachable())?;
    let run = TrackedRun::new(cx, req.clone(), target, trial);
    let opened = Exchange::open(id, target, &link, run).await;
    let mut exchange = opened.map_err(|_| unreachable())?;
    // From here on the agent may run a request that needs no `Start`.
    progress.started = req.starts_when_ready();
    if progress.started {
        exchange.start();
    }
    match timeout(QUEUED_TIMEOUT, queue(req, &mut exchange)).await {
        Ok(Ok(())) => Ok(exchange),
        Ok(Err(refusal)) if progress.started && refusal.reason == Reason::LinkLost => {
            resume_offer(cx, exchange).await
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(lost(progress, "the target did not queue the request")),
    }
}

/// Resumes on a new link an offer whose link broke before the reply.
///
/// The agent may be running the request. A second offer would run it twice, which is allowed for such
/// work but takes a slot from other requests. If no new link can be opened either, the attempt ends.
async fn resume_offer<S>(cx: &Cx<S>, mut exchange: Exchange) -> Result<Exchange, Refusal> {
    let lost = || {
        let message = "the target can no longer be reached";
        Refusal::may_have_run(Reason::NoTarget, RETRY_MS, message)
    };
    let again = resume::resume_once(cx, &mut exchange, 0).await;
    again.map(|()| exchange).map_err(|_| lost())
}

async fn queue(req: &Request, exchange: &mut Exchange) -> Result<(), Refusal> {
    let link_lost = |_| match req.starts_when_ready() {
        true => Refusal::may_have_run(Reason::LinkLost, 0, LINK_BROKE),
        false => Refusal::not_run(Reason::LinkLost, RETRY_MS, LINK_BROKE),
    };
    let offer = ToAgent::Offer(message(req, exchange));
    exchange.send(&offer).await.map_err(link_lost)?;
    exchange.send_body(&req.body).await.map_err(link_lost)?;
    match exchange.read().await {
        Ok(Frame::Message(FromAgent::Queued { incarnation, load })) => {
            exchange.set_incarnation(incarnation);
            record_load(req, &exchange.target, load);
            Ok(())
        }
        Ok(Frame::Message(FromAgent::Refused { refusal, load })) => {
            record_load(req, &exchange.target, load);
            exchange.finish();
            Err(refusal)
        }
        Ok(_) => Err(link_lost(Error::WrongKind)),
        Err(e) => Err(link_lost(e)),
    }
}

const LINK_BROKE: &str = "the link to the target broke";

/// Returns the refusal of a request whose agent is lost, by whether the request may have started.
pub(super) fn lost(progress: &Progress, message: &str) -> Refusal {
    match progress.started {
        true => Refusal::may_have_run(Reason::LinkLost, 0, message),
        false => Refusal::not_run(Reason::LinkLost, RETRY_MS, message),
    }
}

/// Records the load that the target reported with a reply.
pub(super) fn record_load(req: &Request, target: &Chosen, load: Load) {
    let model = match &req.work {
        Work::Model { model, .. } => Some(model),
        Work::Service { .. } => None,
    };
    target.target.record_load(load, model);
}

fn message(req: &Request, exchange: &Exchange) -> Offer {
    Offer {
        id: exchange.id,
        work: req.work.clone(),
        method: req.method.clone(),
        path: req.path.clone(),
        content_type: req.content_type.clone(),
        headers: req.headers.clone(),
        shard_version: exchange.target.shard_version,
        rank: req.rank,
        time_left_ms: millis(req.time_left()),
        repeatable: req.repeatable,
        start_when_ready: req.starts_when_ready(),
        max_tokens: req.max_tokens,
        body_bytes: u32::try_from(req.body.len()).unwrap_or(u32::MAX),
        limit: exchange.target.target.limit(),
    }
}
