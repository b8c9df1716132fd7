//! Resumes a started request after its link broke.
//!
//! A link goes silent when a device between the VMs loses its connection state, while the run
//! continues at the target. The link closes itself, and a new one uses a new local port. The agent
//! has buffered the response, so the caller only notices a pause.

use std::time::Duration;

use stair_telemetry::{
    Part,
    warn, //
};
use stair_types::{
    Reason,
    Refusal, //
};
use stair_wire::request::ToAgent;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

use super::{
    Cx,
    exchange::Exchange,
    request::Request, //
};

/// Timeout for resuming a request. The agent keeps a buffered response for ten seconds, of which some
/// have passed when the loss is detected.
const RESUME_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay between two attempts, so that a target that refuses connections is not flooded.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The attempts to resume one request.
#[derive(Default)]
pub(super) struct Resume {
    deadline: Option<Instant>,
}

impl Resume {
    /// Clears the timeout after a frame has arrived.
    pub(super) fn reset(&mut self) {
        self.deadline = None;
    }

    /// Opens a new stream and requests the response from byte `received` on.
    ///
    /// # Errors
    ///
    /// Fails when the agent cannot be reached in time, or has been replaced.
    pub(super) async fn resume<S>(
        &mut self,
        cx: &Cx<S>,
        req: &Request,
        exchange: &mut Exchange,
        received: u64,
    ) -> Result<(), Refusal> {
        cx.targets.record_failure(&exchange.target.target);
        let is_first = self.deadline.is_none();
        let name = &exchange.target.name;
        warn!(Part::Links, "request {} lost its link to {name}", req.id);
        let deadline = *self
            .deadline
            .get_or_insert_with(|| Instant::now() + RESUME_TIMEOUT);
        if !is_first {
            sleep(RETRY_DELAY).await;
        }
        while Instant::now() < deadline {
            if is_replaced(cx, exchange) {
                return Err(lost("the target was replaced during the run"));
            }
            let attempt = resume_once(cx, exchange, received);
            if let Ok(Ok(())) = timeout_at(deadline, attempt).await {
                return Ok(());
            }
            sleep(RETRY_DELAY).await;
        }
        Err(lost("the link to the target could not be replaced"))
    }
}

/// Opens a stream once, on a new link if needed, and requests the response from byte `received` on.
///
/// # Errors
///
/// Fails when no stream to the agent can be opened or written.
pub(super) async fn resume_once<S>(
    cx: &Cx<S>,
    exchange: &mut Exchange,
    received: u64,
) -> anyhow::Result<()> {
    let link = cx.pool.get(exchange.target.link).await?;
    exchange.reopen(&link).await?;
    let incarnation = exchange.incarnation();
    let resume = ToAgent::Resume {
        id: exchange.id,
        offset: received,
        incarnation,
    };
    exchange.send(&resume).await?;
    Ok(())
}

/// Returns whether the agent has a newer incarnation. It has no record of the run, so resuming there
/// cannot succeed.
fn is_replaced<S>(cx: &Cx<S>, exchange: &Exchange) -> bool {
    let view = cx.latest();
    let at = view
        .targets
        .binary_search_by(|t| t.name.cmp(&exchange.target.name));
    at.is_ok_and(|i| view.targets[i].token > exchange.incarnation())
}

fn lost(message: &str) -> Refusal {
    Refusal::may_have_run(Reason::LinkLost, 0, message)
}
