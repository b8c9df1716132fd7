//! Error responses of the API: JSON with the verdict and the time after which to retry.

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER, //
    },
};
use serde::Serialize;
use stair_types::{
    Reason,
    Refusal,
    Verdict, //
};

use crate::body::{
    Body,
    full, //
};

/// The response header that carries the verdict.
pub const VERDICT_HEADER: &str = "dandelionstair-verdict";

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    verdict: &'static str,
    retry_after_ms: u32,
}

/// Returns the HTTP status of a refusal.
pub fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::Invalid => StatusCode::BAD_REQUEST,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Unknown => StatusCode::NOT_FOUND,
        Reason::Duplicate => StatusCode::CONFLICT,
        Reason::QueueFull | Reason::Displaced | Reason::WouldMissDeadline => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetFailed | Reason::LinkLost => StatusCode::BAD_GATEWAY,
        Reason::OtherVersion if refusal.verdict != Verdict::NotRun => StatusCode::BAD_GATEWAY,
        Reason::NoTarget
        | Reason::Leaving
        | Reason::NotGranted
        | Reason::LoadFailed
        | Reason::PlatformDown
        | Reason::Withdrawn
        | Reason::Quarantined
        | Reason::OtherVersion
        | Reason::UnknownOrigin => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the response to a refused or failed request.
pub fn response(refusal: &Refusal) -> Response<Body> {
    response_with_status(refusal, status(refusal))
}

/// Returns the same response as [`response`] with another status, such as 413.
pub fn response_with_status(refusal: &Refusal, status: StatusCode) -> Response<Body> {
    let mut resp = Response::new(full(json(refusal, status)));
    *resp.status_mut() = status;
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(refusal.verdict.as_str()),
    );
    if refusal.retry_after_ms > 0 {
        // The header holds whole seconds; rounding down would make clients retry too early.
        let seconds = refusal.retry_after_ms.div_ceil(1000);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    resp
}

/// Returns the error JSON of a refusal.
pub fn json(refusal: &Refusal, status: StatusCode) -> Bytes {
    let kind = match (status.is_client_error(), refusal.verdict) {
        (true, _) if status == StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        (true, _) => "invalid_request_error",
        (false, Verdict::NotRun) => "unavailable_error",
        (false, _) => "server_error",
    };
    let body = ErrorBody {
        error: ErrorDetail {
            message: &refusal.message,
            r#type: kind,
            code: refusal.reason.as_str(),
            verdict: refusal.verdict.as_str(),
            retry_after_ms: refusal.retry_after_ms,
        },
    };
    Bytes::from(serde_json::to_vec(&body).unwrap_or_default())
}
