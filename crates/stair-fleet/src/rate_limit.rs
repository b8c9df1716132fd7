//! Limits on the requests per second that targets get from all entries and agents together.
//!
//! A target in need names a limit in its responses. It holds until a later response names another
//! one or none. One process counts each limited target for all senders: a sender requests a permit
//! for each request and each call of its own, be it a first attempt, a retry, a resumed stream or a
//! trial. While that process does not reply, another one stands in for it and grants at half the rate,
//! as some senders may still reach the first one. Without any such process, an entry grants from its
//! own [`share`] of the limit.
//!
//! Responses overtake each other, so an older one can arrive after a newer one. Each permit has a
//! [`Stamp`], the number of statements that were known when it was granted. A response to it is
//! newer than all of those, and no clock is compared.
//!
//! # Invariants
//!
//! - Within any time `t` a [`Limiter`] grants at most `rate * t + burst` permits, a stand-in half of
//!   that.
//! - A limit is lifted or raised only by a response to a request whose permit was granted after the
//!   last statement of that limit was known.
//! - A request that waits is granted before all less urgent ones, and is refused as soon as it can no
//!   longer be granted in time.

mod ledger;
mod limiter;
mod rate;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

pub use ledger::{
    Addressed,
    Effects,
    Ledger, //
};
pub use limiter::{
    Limiter,
    Requested,
    Ticket, //
};
pub use rate::{
    ParseError,
    Rate, //
};

/// Limit for the process that counts to acknowledge a request: a round trip and the longest pause of
/// a busy VM.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a process that has not replied is not used.
pub const SKIP_DURATION: Duration = Duration::from_millis(1000);

/// The number of statements that a process knew at some moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Identifies the process that counts, for as long as it runs.
    pub epoch: u64,
    /// The number of statements.
    pub seq: u64,
}

/// Where a statement of a target comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The target's response to a request.
    Response,
    /// The target's response to a call of its agent. Some targets name limits only to requests, so
    /// that such a response lifts a limit only if an earlier one has named it.
    AgentCall,
    /// A process that has learnt it before.
    Process,
    /// The target's announcement in the store.
    Announcement,
}

impl Source {
    /// The text in logs, metrics and dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::AgentCall => "agent-call",
            Self::Process => "process",
            Self::Announcement => "announcement",
        }
    }
}

/// What a response states about its target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The limit; `None` if the response names none.
    pub rate: Option<Rate>,
    /// The stamp of the permit for the request; `None` if it was sent without one.
    pub stamp: Option<Stamp>,
    /// Whose response it is.
    pub source: Source,
}

/// A limit as a sender knows it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CachedLimit {
    /// The limit.
    pub rate: Rate,
    /// The epoch of the process that stated it last; `None` if the sender has learnt it by itself.
    pub epoch: Option<u64>,
}

/// What has happened to a target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// The target had no limit.
    Named,
    /// It had another one.
    Changed,
    /// It has none any more.
    Lifted,
}

impl ChangeKind {
    /// The text in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Named => "named",
            Self::Changed => "changed",
            Self::Lifted => "lifted",
        }
    }
}

/// A change of a target's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The target's id.
    pub target: Box<str>,
    /// What has happened.
    pub kind: ChangeKind,
    /// The limit from now on.
    pub rate: Option<Rate>,
    /// Where the statement comes from.
    pub source: Source,
    /// Time since the last change; zero if there was no limit.
    pub age: Duration,
}

/// Messages to the process that counts a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToLedger {
    /// Requests a permit. The reply is [`ToSender::Queued`] or [`ToSender::Reply`].
    Request {
        /// Identifies the request among those of its sender.
        seq: u64,
        /// The target's id.
        target: Box<str>,
        /// The urgency, 0 for the most urgent.
        rank: u8,
        /// The longest useful wait.
        max_wait: Duration,
        /// The limit as the sender knows it.
        known: CachedLimit,
        /// Whether the receiver stands in for a process that does not reply.
        stand_in: bool,
    },
    /// Withdraws a request that waits.
    Cancel {
        /// The target's id.
        target: Box<str>,
        /// The request.
        seq: u64,
    },
    /// Returns a permit that was not used.
    Unused {
        /// The target's id.
        target: Box<str>,
    },
    /// A response of the target has arrived.
    Stated {
        /// The target's id.
        target: Box<str>,
        /// What it states.
        statement: Statement,
    },
    /// The limits that a sender knows when its link begins.
    Known(Vec<(Box<str>, CachedLimit)>),
}

/// Messages from the process that counts a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToSender {
    /// The request waits; a [`ToSender::Reply`] follows.
    Queued {
        /// The request.
        seq: u64,
        /// The expected wait.
        wait: Duration,
    },
    /// The request is granted or refused.
    Reply {
        /// The request.
        seq: u64,
        /// The reply.
        reply: Reply,
    },
    /// The limits of all targets that the process counts; sent when a link begins.
    All {
        /// Identifies the process.
        epoch: u64,
        /// The targets' ids and limits.
        limits: Vec<(Box<str>, Rate)>,
    },
    /// A limit was named, changed or lifted.
    Changed {
        /// Identifies the process.
        epoch: u64,
        /// The target's id.
        target: Box<str>,
        /// The limit from now on.
        rate: Option<Rate>,
    },
}

/// The reply to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The permit's stamp; `None` if the request was refused.
    pub granted: Option<Stamp>,
    /// Time until one more request could be sent if it was the most urgent one.
    pub next: Duration,
    /// Time after which the limit allows a refused request; zero after a grant.
    pub retry_after: Duration,
}

/// One entry's share of a limit, for the time in which no process that counts targets replies.
/// `entries` is a bound on the entries that may send at the same time.
pub fn share(rate: Rate, entries: u32) -> Rate {
    rate.granted().divided_by(entries)
}
