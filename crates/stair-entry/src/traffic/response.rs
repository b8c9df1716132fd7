//! Forwards the response to the caller, completely or with a visible error.

use bytes::Bytes;
use stair_fleet::origin;
use stair_telemetry::metrics::Latency;
use stair_types::{
    Reason,
    Refusal, //
};
use stair_wire::{
    frame::{
        Error,
        Frame, //
    },
    request::{
        FromAgent,
        Header, //
    },
};

use tokio::time::Instant;

use super::{
    Cx,
    caller::Caller,
    exchange::Exchange,
    offer,
    request::Request,
    resume::Resume, //
};

/// Forwards the response of a started request until its end.
///
/// # Errors
///
/// Fails when the agent refuses the request, its link cannot be replaced, its frames do not form a
/// complete response, or the caller has disconnected.
pub(super) async fn forward<S>(
    cx: &Cx<S>,
    req: &Request,
    exchange: &mut Exchange,
    caller: &mut Caller,
) -> Result<(), Refusal> {
    let mut resume = Resume::default();
    let mut received = 0;
    loop {
        match exchange.read().await {
            Ok(frame) => {
                resume.reset();
                if handle_frame(cx, req, exchange, caller, &mut received, frame).await?
                    == ForwardState::Complete
                {
                    return caller.end().await;
                }
            }
            Err(Error::Io(_)) => resume.resume(cx, req, exchange, received).await?,
            Err(e) => {
                return Err(malformed(&format!("the target's agent sent nonsense: {e}")));
            }
        }
    }
}

#[derive(PartialEq, Eq)]
enum ForwardState {
    Open,
    Complete,
}

async fn handle_frame<S>(
    cx: &Cx<S>,
    req: &Request,
    exchange: &mut Exchange,
    caller: &mut Caller,
    received: &mut u64,
    frame: Frame<FromAgent>,
) -> Result<ForwardState, Refusal> {
    match frame {
        Frame::Body(bytes) => body(caller, received, bytes).await?,
        Frame::Message(FromAgent::Head {
            status,
            content_type,
            headers,
            offset,
        }) => {
            if !origin::allows(req.version.as_deref(), Header::version(&headers)) {
                let message = "another version of the target's software has responded";
                return Err(Refusal::may_have_run(Reason::OtherVersion, 0, message));
            }
            record_latency(cx, req, exchange, caller);
            exchange.begin_response();
            if offset != *received {
                // With bytes missing or repeated the caller would get a corrupt response that looks
                // complete.
                return Err(malformed("the answer goes on at the wrong place"));
            }
            if !caller.has_head() {
                caller.begin(status, &content_type, &headers);
            }
        }
        Frame::Message(FromAgent::End {
            total_bytes, load, ..
        }) => {
            offer::record_load(req, &exchange.target, load);
            cx.quarantine.survived(req);
            exchange.finish();
            return end(caller, *received, total_bytes);
        }
        Frame::Message(FromAgent::Refused { refusal, load }) => {
            offer::record_load(req, &exchange.target, load);
            exchange.finish_refused(&refusal);
            return Err(refusal);
        }
        Frame::Message(FromAgent::Queued { load, .. }) => {
            offer::record_load(req, &exchange.target, load);
        }
        // An agent that starts the request without `Start` sends `Ready` too.
        Frame::Message(FromAgent::Ready) => exchange.started_at = Some(Instant::now()),
        Frame::Message(FromAgent::Crashed { .. }) => {
            return Err(malformed("a crash was reported before the refusal"));
        }
    }
    Ok(ForwardState::Open)
}

/// Records the time to the first byte, for the metrics and for the weight of the target.
fn record_latency<S>(cx: &Cx<S>, req: &Request, exchange: &mut Exchange, caller: &Caller) {
    if !caller.has_head() {
        cx.metrics
            .latency(Latency::FirstByte, req.received.elapsed());
    }
    if let Some(at) = exchange.started_at.take() {
        cx.targets
            .record_first_byte(&exchange.target.target, at.elapsed());
    }
}

async fn body(caller: &mut Caller, received: &mut u64, bytes: Bytes) -> Result<(), Refusal> {
    if !caller.has_head() {
        return Err(malformed("the answer has no head"));
    }
    *received += bytes.len() as u64;
    caller.push(bytes).await
}

fn end(caller: &Caller, received: u64, total: u64) -> Result<ForwardState, Refusal> {
    if !caller.has_head() || received != total {
        return Err(malformed("the answer is not whole"));
    }
    Ok(ForwardState::Complete)
}

fn malformed(message: &str) -> Refusal {
    Refusal::may_have_run(Reason::LinkLost, 0, message)
}
