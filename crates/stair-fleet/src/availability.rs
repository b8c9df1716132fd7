//! What targets state in their responses about the requests that they take.
//!
//! A target that shuts down states so in all its responses: it drains. A target that rejects a request
//! may name a time for which it wants nothing from the VM that sent it: a backoff.
//!
//! # Invariants
//!
//! - A drain lasts as long as the incarnation that stated it. No list, report or other response ends it.
//! - A backoff lasts for the longest of the times that were stated, each from the arrival of its
//!   response. No response ends it before.
//! - After a backoff, requests are let through at most every [`PROBE_INTERVAL`] until a response states
//!   no other one.

mod registry;
mod seconds;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::rate_limit::Source;

pub use registry::{
    Registry,
    Shared, //
};
pub use seconds::longest_seconds;

/// Interval of requests to a target whose backoff is over, until it responds to one. All that waited
/// for its end would otherwise arrive at once and be rejected again.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the end of a backoff for which it still spaces requests, if the target responds to none.
const BACKOFF_TTL: Duration = Duration::from_secs(60);

/// What one response states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Whether the target shuts down.
    pub draining: bool,
    /// The time for which it wants no requests from the VM that got the response.
    pub backoff: Option<Duration>,
}

/// The state of one incarnation, as its responses to one process have stated it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Availability {
    drain: Option<Drain>,
    backoff: Option<Backoff>,
}

/// The target shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Drain {
    /// When it was first stated.
    pub since: Duration,
    /// Where the statement comes from.
    pub source: Source,
}

/// The target wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Backoff {
    /// When it began.
    pub since: Duration,
    /// Its end. From then on it only spaces requests, until the target responds to one.
    pub until: Duration,
    /// Where the statement comes from that set the end.
    pub source: Source,
    /// When the next request may be sent.
    next_at: Duration,
    /// When the first request after the end was sent.
    first_sent: Option<Duration>,
}

impl Backoff {
    /// When the first request after the end was sent.
    pub fn first_sent(&self) -> Option<Duration> {
        self.first_sent
    }
}

/// A change of an incarnation's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The target shuts down.
    Drain,
    /// A backoff began, or lasts longer than was known; the time left.
    Backoff(Duration),
    /// The target has responded after a backoff; the time since its begin.
    BackoffEnded(Duration),
}

impl Change {
    /// The text in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drain => "drain",
            Self::Backoff(_) => "backoff",
            Self::BackoffEnded(_) => "backoff-ended",
        }
    }

    /// The time left of a backoff, or the time since its begin once it has ended; zero for a drain.
    pub fn time(self) -> Duration {
        match self {
            Self::Drain => Duration::ZERO,
            Self::Backoff(time) | Self::BackoffEnded(time) => time,
        }
    }
}

/// Why a target gets no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// It drains.
    Drain,
    /// It has asked for a backoff.
    Backoff,
}

impl Withheld {
    /// The text in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drain => "drain",
            Self::Backoff => "backoff",
        }
    }
}

impl Availability {
    /// Applies a statement that arrives at `now`, and returns what it changes.
    pub fn apply(&mut self, statement: &Statement, source: Source, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        if statement.draining && self.drain.is_none() {
            self.drain = Some(Drain { since: now, source });
            changes.push(Change::Drain);
        }
        match (statement.backoff.filter(|t| !t.is_zero()), self.backoff) {
            (Some(time), before) => {
                let until = now.saturating_add(time);
                if before.is_none_or(|b| b.until < until) {
                    let since = before.map_or(now, |b| b.since);
                    self.backoff = Some(Backoff {
                        since,
                        until,
                        source,
                        next_at: until,
                        first_sent: None,
                    });
                    changes.push(Change::Backoff(time));
                }
            }
            // Other processes do not know whether the target takes requests of this one.
            (None, Some(before)) if now >= before.until && source != Source::Process => {
                self.backoff = None;
                changes.push(Change::BackoffEnded(now.saturating_sub(before.since)));
            }
            (None, _) => {}
        }
        changes
    }

    /// The drain, if the target has stated one.
    pub fn drain(&self) -> Option<Drain> {
        self.drain
    }

    /// The last backoff, until the target has responded after it.
    pub fn backoff(&self) -> Option<Backoff> {
        self.backoff
    }

    /// Why no request may be sent, if so. Requests that may be sent are not spaced by this.
    pub fn withheld(&self, now: Duration) -> Option<Withheld> {
        if self.drain.is_some() {
            return Some(Withheld::Drain);
        }
        let backs_off = self.backoff.is_some_and(|b| now < b.until);
        backs_off.then_some(Withheld::Backoff)
    }

    /// Time until a further request may be sent; `None` if none ever may.
    pub fn wait(&self, now: Duration) -> Option<Duration> {
        if self.drain.is_some() {
            return None;
        }
        let at = self.backoff.map_or(Duration::ZERO, |b| b.next_at);
        Some(at.saturating_sub(now))
    }

    /// Whether a further request may be sent now.
    pub fn may_send(&self, now: Duration) -> bool {
        self.wait(now) == Some(Duration::ZERO)
    }

    /// Records that a request is sent, which spaces the next one after a backoff.
    pub fn record_send(&mut self, now: Duration) {
        if let Some(backoff) = &mut self.backoff {
            backoff.next_at = backoff.next_at.max(now + PROBE_INTERVAL);
            backoff.first_sent.get_or_insert(now);
        }
    }

    /// Whether nothing has been stated that is still of use.
    pub fn is_empty(&self, now: Duration) -> bool {
        let is_over = |b: Backoff| now >= b.until.saturating_add(BACKOFF_TTL);
        self.drain.is_none() && self.backoff.is_none_or(is_over)
    }
}
