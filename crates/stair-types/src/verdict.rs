//! Whether a failed request may have run, and why it failed.

use serde::{
    Deserialize,
    Serialize, //
};

/// States whether a request may have run at a target.
///
/// Only [`Verdict::NotRun`] allows a request that must not run twice to be sent to another target.
/// A caller that receives it may send the request again without being billed twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No target has run any part of the request and none will.
    NotRun,
    /// A target may have run the request, may be running it or may run it later.
    MayHaveRun,
    /// The complete response of the target was received.
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

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed or too large; a retry would fail as well.
    Invalid,
    /// The caller's key is missing or unknown.
    Unauthorized,
    /// No such model, adapter or service is declared.
    Unknown,
    /// The request is expected to finish after its deadline.
    WouldMissDeadline,
    /// A queue is full.
    QueueFull,
    /// A request of a higher tier displaced this one from a queue.
    Displaced,
    /// No target that may serve the request is reachable.
    NoTarget,
    /// The process is shutting down or its VM is about to be removed.
    Leaving,
    /// The target has no grant of the model, or its grant was revoked.
    NotGranted,
    /// The model cannot be loaded now, for lack of memory or because the load failed.
    LoadFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The link to the target or the response stream of the target was interrupted.
    LinkLost,
    /// The target responded with an error.
    TargetFailed,
    /// The idempotency key was used before.
    Duplicate,
    /// The platform is unavailable, and the entry lacks state that the request needs: a confirmed
    /// claim of its idempotency key, or any configuration.
    PlatformDown,
    /// The caller or the entry withdrew the request.
    Withdrawn,
    /// Targets crashed each time they ran the request.
    Quarantined,
    /// The request continues a stream that another version of the target's software began.
    OtherVersion,
    /// The request continues a stream and does not state what began it.
    UnknownOrigin,
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
            Self::Quarantined => "quarantined",
            Self::OtherVersion => "other-version",
            Self::UnknownOrigin => "unknown-origin",
        }
    }
}

/// A final refusal of a request by any process that handles it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// The delay after which a retry may succeed, in milliseconds; 0 if no retry can succeed.
    pub retry_after_ms: u32,
    /// A short sentence for the caller.
    pub message: Box<str>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run and never will.
    pub fn not_run(reason: Reason, retry_after_ms: u32, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after_ms,
            message: message.into(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, retry_after_ms: u32, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after_ms,
            message: message.into(),
        }
    }
}
