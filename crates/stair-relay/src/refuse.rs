//! Responses that the entry makes itself: refusals and failures.

use std::time::Duration;

use hyper::{
    Response,
    StatusCode,
    header::{
        CONNECTION,
        CONTENT_TYPE,
        HeaderName,
        HeaderValue,
        RETRY_AFTER,
        WWW_AUTHENTICATE, //
    }, //
};
use serde_json::json;
use stair_http::body::{
    Body,
    full, //
};
use stair_types::Verdict;

const VERDICT: HeaderName = HeaderName::from_static("dandelionstair-verdict");

/// Retry-After of an entry that stops: a new connection goes to another entry at once.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The reason for a response of the entry itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No catalogue is known yet.
    Starting,
    /// The process ends before the response would be complete.
    Stopping,
    /// No route has this host and path.
    NoRoute,
    /// The request has no key, and its route needs one.
    NoKey,
    /// The request has two keys, or one that is malformed.
    BadKey,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The key is unknown here, but this entry's catalogue may be out of date.
    Lagging,
    /// The workspace has used up its quota.
    OverQuota,
    /// The request has ended the targets that ran it.
    Quarantined,
    /// The request is malformed.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No target can run it before its deadline.
    NoTarget,
    /// The limits of the targets that can run it do not allow it in time.
    TargetLimit,
    /// The targets that can run it have asked for a backoff.
    TargetBackoff,
    /// The request continues a stream, and it is not known what began it.
    UnknownOrigin,
    /// The request continues a stream, and no target runs the software version that began it.
    VersionGone,
    /// All targets that were tried refused the request.
    Refused,
    /// The target did not respond before the deadline.
    Late,
    /// The target's response was lost.
    Lost,
}

impl Reason {
    /// The text in logs, metrics and response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Stopping => "leaving",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::BadKey => "bad-key",
            Self::UnknownKey => "unknown-key",
            Self::Lagging => "behind",
            Self::OverQuota => "over-allowance",
            Self::Quarantined => "quarantined",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::TooSlow => "too-slow",
            Self::NoTarget => "no-target",
            Self::TargetLimit => "target-limit",
            Self::TargetBackoff => "target-backoff",
            Self::UnknownOrigin => "unknown-origin",
            Self::VersionGone => "version-gone",
            Self::Refused => "refused",
            Self::Late => "late",
            Self::Lost => "lost",
        }
    }

    fn status(self, verdict: Verdict) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey | Self::BadKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Stopping if verdict == Verdict::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::Starting
            | Self::Stopping
            | Self::Lagging
            | Self::Quarantined
            | Self::NoTarget
            | Self::TargetLimit
            | Self::TargetBackoff
            | Self::UnknownOrigin
            | Self::VersionGone
            | Self::Refused => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late if verdict == Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Whether a status promises the client of a request that must not run twice that it has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A response that the entry makes itself.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run. A status that promises that it has not run is sent only with
    /// [`Verdict::NotRun`].
    pub verdict: Verdict,
    /// The value of Retry-After, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a request that has not run.
    pub fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }

    /// Returns the refusal of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        }
    }

    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        self.reason.status(self.verdict)
    }

    /// Builds the response.
    pub fn response(&self) -> Response<Body> {
        let body = json!({ "error": {
            "type": self.reason.as_str(),
            "verdict": self.verdict.as_str(),
        }});
        let mut resp = Response::new(full(body.to_string()));
        let status = self.status();
        *resp.status_mut() = status;
        let headers = resp.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        headers.insert(VERDICT, verdict);
        if let Some(t) = self.retry_after {
            let text = format!("{:.2}", t.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("ApiKey"));
        }
        // The rest of such a request must not be read as the next request.
        if matches!(
            self.reason,
            Reason::Malformed | Reason::TooLarge | Reason::TooSlow
        ) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        resp
    }
}
