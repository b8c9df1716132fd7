//! Waits until a queued request can run, claims its idempotency key and starts it once.

use stair_platform::ObjectStore;
use stair_types::{
    Reason,
    Refusal, //
};
use stair_wire::{
    frame::Frame,
    request::{
        FromAgent,
        ToAgent, //
    },
};

use tokio::time::Instant;

use super::{
    Cx,
    abandoned,
    admit::Phase,
    claim,
    exchange::Exchange,
    offer,
    refuse,
    request::Request,
    run::Progress, //
};

/// Retry time for callers whose key cannot be claimed, in milliseconds.
const PLATFORM_RETRY_MS: u32 = 3_000;

/// Waits for the agent's `Ready`, claims the key if needed and sends `Start`.
///
/// # Errors
///
/// Fails when the agent refuses or its link breaks, or when the key cannot be claimed; the request
/// has not run then.
pub(super) async fn start<S>(
    cx: &Cx<S>,
    req: &Request,
    exchange: &mut Exchange,
    progress: &mut Progress,
) -> Result<(), Refusal>
where
    S: ObjectStore,
{
    ready(req, exchange, progress).await?;
    if req.key_to_claim().is_some() {
        progress.admitted.set_phase(Phase::Claiming);
        progress.claimed = true;
        claim(cx, req, exchange).await.map_err(refusal)?;
    }
    // `Start` may have been sent even if this write fails. From here on only the agent knows
    // whether the request runs, and a resume finds out.
    progress.started = true;
    exchange.start();
    let _ = exchange.send(&ToAgent::Start).await;
    exchange.started_at = Some(Instant::now());
    Ok(())
}

/// Claims the key, replacing the claim of another request that never ran.
async fn claim<S>(cx: &Cx<S>, req: &Request, exchange: &Exchange) -> Result<(), claim::Error>
where
    S: ObjectStore,
{
    match cx.claims.claim(req, exchange, None).await {
        Err(claim::Error::Duplicate(other)) if abandoned::has_not_run(cx, &other).await => {
            cx.claims.claim(req, exchange, Some(other)).await
        }
        result => result,
    }
}

async fn ready(req: &Request, exchange: &mut Exchange, progress: &Progress) -> Result<(), Refusal> {
    loop {
        match exchange.read().await {
            Ok(Frame::Message(FromAgent::Ready)) => return Ok(()),
            Ok(Frame::Message(FromAgent::Queued { load, .. })) => {
                offer::record_load(req, &exchange.target, load);
            }
            Ok(Frame::Message(FromAgent::Refused { refusal, load })) => {
                offer::record_load(req, &exchange.target, load);
                exchange.finish();
                return Err(refusal);
            }
            Ok(_) | Err(_) => {
                return Err(offer::lost(progress, "the link to the target broke"));
            }
        }
    }
}

fn refusal(e: claim::Error) -> Refusal {
    match e {
        // The other request with this key may be running, may have run, or may yet be refused.
        claim::Error::Duplicate(other) => Refusal::may_have_run(
            Reason::Duplicate,
            refuse::millis(abandoned::retry_after(&other)),
            "the idempotency key was used before; that request may have run",
        ),
        claim::Error::Full => Refusal::not_run(
            Reason::QueueFull,
            PLATFORM_RETRY_MS,
            "too many idempotency keys are in use",
        ),
        claim::Error::PlatformDown => Refusal::not_run(
            Reason::PlatformDown,
            PLATFORM_RETRY_MS,
            "the idempotency key cannot be claimed now",
        ),
    }
}
