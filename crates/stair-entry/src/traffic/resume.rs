//! Takes a started request up again after its link broke.
//!
//! A link goes silent because something between the VMs has lost track of it, while the run goes
//! on at the target. The link closes itself, and a new one comes from a new local port. The agent
//! has kept the answer, so the caller notices a pause and nothing else.

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

/// Time for taking a request up again. The agent keeps an answer for ten seconds, and less is left
/// by the time the loss is noticed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two attempts, so that a target that refuses connections is not flooded.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The attempts to take one request up again.
#[derive(Default)]
pub(super) struct Resume {
    until: Option<Instant>,
}

impl Resume {
    /// Notes that the stream works.
    pub(super) fn reset(&mut self) {
        self.until = None;
    }

    /// Opens a new stream and asks for the answer from `received` on.
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
        let is_first = self.until.is_none();
        let name = &exchange.target.name;
        warn!(Part::Links, "request {} lost its link to {name}", req.id);
        let until = *self
            .until
            .get_or_insert_with(|| Instant::now() + RESUME_TIMEOUT);
        if !is_first {
            sleep(RETRY_DELAY).await;
        }
        while Instant::now() < until {
            if is_replaced(cx, exchange) {
                return Err(lost("the target was replaced during the run"));
            }
            let attempt = resume_once(cx, exchange, received);
            if let Ok(Ok(())) = timeout_at(until, attempt).await {
                return Ok(());
            }
            sleep(RETRY_DELAY).await;
        }
        Err(lost("the link to the target could not be replaced"))
    }
}

/// Asks once, on a new link, for the answer from `received` on.
///
/// # Errors
///
/// Fails when no link to the agent can be opened.
pub(super) async fn resume_once<S>(
    cx: &Cx<S>,
    exchange: &mut Exchange,
    received: u64,
) -> anyhow::Result<()> {
    let link = cx.pool.get(exchange.target.link).await?;
    exchange.reopen(&link).await?;
    let incarnation = exchange.incarnation;
    let resume = ToAgent::Resume {
        id: exchange.id,
        offset: received,
        incarnation,
    };
    exchange.send(&resume).await?;
    Ok(())
}

/// A later incarnation of the agent knows nothing of the run, so waiting for it is no use.
fn is_replaced<S>(cx: &Cx<S>, exchange: &Exchange) -> bool {
    let view = cx.latest();
    let at = view
        .targets
        .binary_search_by(|t| t.name.cmp(&exchange.target.name));
    at.is_ok_and(|i| view.targets[i].token > exchange.incarnation)
}

fn lost(message: &str) -> Refusal {
    Refusal::may_have_run(Reason::LinkLost, 0, message)
}
