//! Refusals, with verdict and time to come back.

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use hyper::{
    Response,
    StatusCode, //
};
use serde::Serialize;
use stair_http::{
    Body,
    error, //
};
use stair_policy::backoff;
use stair_types::{
    Reason,
    Refusal,
    RequestId,
    Verdict, //
};

/// A refusal with the status that it is told by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    status: StatusCode,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        let status = error::status(&refusal);
        Self { refusal, status }
    }
}

impl Refused {
    /// Refuses what has not run and is not worth sending again as it is.
    pub(super) fn new(reason: Reason, message: impl Into<Box<str>>) -> Self {
        Refusal::not_run(reason, 0, message).into()
    }

    /// Refuses what has not run and may be sent again after about `retry_after`.
    pub(super) fn later(
        reason: Reason,
        retry_after: Duration,
        message: impl Into<Box<str>>,
    ) -> Self {
        Refusal::not_run(reason, millis(retry_after).max(1), message).into()
    }

    /// Refuses a body that exceeds the limit.
    pub(super) fn too_large(limit: u32) -> Self {
        let message = format!("the body must have at most {limit} bytes");
        Self {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            ..Self::new(Reason::Invalid, message)
        }
    }

    /// Refuses a sender that is too slow.
    pub(super) fn too_slow() -> Self {
        Self {
            status: StatusCode::REQUEST_TIMEOUT,
            ..Self::new(Reason::Invalid, "the body did not arrive in time")
        }
    }

    /// Refuses a method that the path does not have.
    pub(super) fn method_not_allowed() -> Self {
        Self {
            status: StatusCode::METHOD_NOT_ALLOWED,
            ..Self::new(Reason::Unknown, "the path does not have this method")
        }
    }

    /// Makes the response. The time to come back is spread by the request's id, so
    /// that those refused together do not return together.
    pub(super) fn into_response(mut self, id: RequestId) -> Response<Body> {
        spread(&mut self.refusal, id);
        error::response_with_status(&self.refusal, self.status)
    }
}

/// Spreads a refusal's time to come back.
pub(super) fn spread(refusal: &mut Refusal, id: RequestId) {
    if refusal.retry_after_ms == 0 {
        return;
    }
    let retry_after = Duration::from_millis(refusal.retry_after_ms.into());
    let hash = (id.0 >> 64) as u64 ^ id.0 as u64;
    refusal.retry_after_ms = millis(backoff::retry_after(retry_after, hash));
}

pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// How often refusals were told.
#[derive(Default)]
pub(super) struct Counts {
    /// Sorted by reason and verdict.
    counts: Mutex<Vec<Count>>,
}

/// How often one kind of refusal was told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Count {
    reason: Reason,
    verdict: Verdict,
    refusals: u64,
}

impl Counts {
    pub(super) fn count(&self, refusal: &Refusal) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = (refusal.reason, refusal.verdict);
        match counts.binary_search_by_key(&kind, |c| (c.reason, c.verdict)) {
            Ok(i) => counts[i].refusals += 1,
            Err(i) => counts.insert(
                i,
                Count {
                    reason: refusal.reason,
                    verdict: refusal.verdict,
                    refusals: 1,
                },
            ),
        }
    }

    pub(super) fn snapshot(&self) -> Vec<Count> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }
}
