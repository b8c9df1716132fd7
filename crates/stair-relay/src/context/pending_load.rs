//! A question to an agent, which is taken back when nobody waits for it any more.

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

/// A model or adapter that was asked for. Dropped before its answer, it is taken back.
pub struct PendingLoad {
    pub(super) cx: Arc<Context>,
    pub(super) engine: SocketAddr,
    pub(super) seq: u64,
    pub(super) rx: oneshot::Receiver<Outcome>,
    /// Whether it is to be taken back.
    pub(super) cancel_on_drop: bool,
}

impl PendingLoad {
    /// Waits for what comes of it; may be given up and waited for again.
    ///
    /// # Errors
    ///
    /// When the link to the agent has ended.
    pub async fn outcome(&mut self) -> Result<Outcome, RecvError> {
        let outcome = (&mut self.rx).await;
        self.cancel_on_drop = false;
        outcome
    }

    /// Whether it is neither answered nor lost.
    pub fn is_pending(&mut self) -> bool {
        self.cancel_on_drop = matches!(self.rx.try_recv(), Err(TryRecvError::Empty));
        self.cancel_on_drop
    }

    /// Lets it stand although nobody waits for its answer here.
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
