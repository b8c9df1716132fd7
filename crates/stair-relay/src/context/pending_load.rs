//! A load request to an agent that is cancelled when it is dropped before the reply.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use stair_fleet::msg::Outcome;
use tokio::sync::oneshot::{
    self,
    error::{
        RecvError,
        TryRecvError, //
    },
};

use super::Context;

/// A pending request for a model or adapter. Dropping it before the reply cancels the request.
pub struct PendingLoad {
    pub(super) cx: Arc<Context>,
    pub(super) engine: SocketAddr,
    pub(super) seq: u64,
    pub(super) rx: oneshot::Receiver<Outcome>,
    /// Whether dropping this cancels the request.
    pub(super) cancel_on_drop: bool,
}

impl PendingLoad {
    /// Waits for the outcome. Cancel safe: it may be called again after the future was dropped.
    ///
    /// # Errors
    ///
    /// When the link to the agent has ended.
    pub async fn outcome(&mut self) -> Result<Outcome, RecvError> {
        let outcome = (&mut self.rx).await;
        self.cancel_on_drop = false;
        outcome
    }

    /// Whether neither a reply has come nor the link has ended.
    pub fn is_pending(&mut self) -> bool {
        self.cancel_on_drop = matches!(self.rx.try_recv(), Err(TryRecvError::Empty));
        self.cancel_on_drop
    }

    /// Keeps the load going when this is dropped.
    pub fn detach(&mut self) {
        self.cancel_on_drop = false;
    }
}

impl Drop for PendingLoad {
    fn drop(&mut self) {
        if self.cancel_on_drop {
            self.cx.cancel(self.engine, self.seq);
        }
    }
}
