//! Notices clients that disconnect before their response.

use std::sync::Arc;

use stair_telemetry::event::Line;
use tokio::time::Instant;

use crate::context::Context;

/// Logs `client.left` when it is dropped before the response. The work on a request is dropped when its
/// client disconnects, and this line is the only trace of that.
pub(super) struct PendingResponse {
    cx: Arc<Context>,
    id: Box<str>,
    received: Instant,
    pub(super) responded: bool,
}

impl PendingResponse {
    pub(super) fn begin(cx: &Arc<Context>, id: &str, received: Instant) -> Self {
        Self {
            cx: cx.clone(),
            id: id.into(),
            received,
            responded: false,
        }
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.responded {
            Line::failure("client.left")
                .text("id", &self.id)
                .ms("took_ms", self.received.elapsed())
                .write();
            self.cx.page.count("clients_left_total", &[], 1);
        }
    }
}
