//! What is known about a request that did not get its answer.

use serde::{
    Deserialize,
    Serialize, //
};

/// Says whether a request may have run at a target.
///
/// Only [`Verdict::NotRun`] lets work that may not be repeated go elsewhere, and a caller who
/// reads it may send the request again without being billed twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No target has run any part of the request and none will.
    NotRun,
    /// A target may have run it, be running it or run it still.
    MayHaveRun,
    /// The target's whole answer was received.
    Answered,
}

impl Verdict {
    /// Returns the text used in the `Dandelionstair-Verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Answered => "answered",
        }
    }
}

/// Why a request was given up on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed or too large; sending it again does not help.
    Invalid,
    /// The caller's key is missing or unknown.
    Unauthorized,
    /// No such model, adapter or service is declared.
    Unknown,
    /// The expected finish lies after the deadline.
    WouldMissDeadline,
    /// A queue is full.
    QueueFull,
    /// Work of a higher tier took the place of this request in a queue.
    Displaced,
    /// No target that may serve the request can be reached.
    NoTarget,
    /// The process is stopping or its VM is leaving.
    Leaving,
    /// The target does not hold a grant for the model, or holds it no longer.
    NotGranted,
    /// The model cannot be loaded now: no memory, or the load failed.
    LoadFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The link to the target or the target's stream broke.
    LinkLost,
    /// The target answered with an error of its own.
    TargetFailed,
    /// The idempotency key was used before.
    Duplicate,
    /// The platform cannot confirm what has to be agreed before the request may run.
    PlatformDown,
    /// The caller or the entry withdrew the request.
    Withdrawn,
}

impl Reason {
    /// Returns the text used in error bodies, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::Unauthorized => "unauthorized",
            Self::Unknown => "unknown",
            Self::WouldMissDeadline => "would-miss-deadline",
            Self::QueueFull => "queue-full",
            Self::Displaced => "displaced",
            Self::NoTarget => "no-target",
            Self::Leaving => "leaving",
            Self::NotGranted => "not-granted",
            Self::LoadFailed => "load-failed",
            Self::DeadlinePassed => "deadline-passed",
            Self::LinkLost => "link-lost",
            Self::TargetFailed => "target-failed",
            Self::Duplicate => "duplicate",
            Self::PlatformDown => "platform-down",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// A final "no" to a request, from any process on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was given up on.
    pub reason: Reason,
    /// When it is worth asking again, in milliseconds from now; 0 when asking again is useless.
    pub retry_after_ms: u32,
    /// A short sentence for the caller.
    pub message: Box<str>,
}

impl Refusal {
    /// Makes a refusal of a request that has surely not run.
    pub fn not_run(reason: Reason, retry_after_ms: u32, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after_ms,
            message: message.into(),
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, retry_after_ms: u32, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after_ms,
            message: message.into(),
        }
    }
}
