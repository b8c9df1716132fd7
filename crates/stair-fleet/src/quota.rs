//! Token buckets for the quotas of workspaces, shared by all entries.
//!
//! One workspace may send several times its usual rate through many entries, of which each sees a
//! few requests a second. Equal shares per entry would refuse requests within the quota, so one
//! process counts a workspace for all entries.
//!
//! Where a slack is set, an [`Order`] decides which requests are admitted while a quota is short. Without
//! one, and for entries of earlier releases, requests are admitted as they arrive.
//!
//! Invariants:
//!
//! - Within any time `t` a [`Bucket`] admits at most `per_s * t + burst` units and one request.
//! - An [`Order`] overdraws its bucket by at most [`order::OVERDRAFT`], and admits with a wait of at most
//!   [`order::MAX_FRESH_WAIT`].
//! - A process that begins to count admits at most half of the slack beyond the rate.
//! - Agents that count one workspace at once divide its rate by the entries that use them, see [`Coverage`].

pub mod bucket;
mod class;
pub mod coverage;
pub mod ledger;
pub mod order;
mod reservation;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use stair_types::Fingerprint;

use crate::workspace::Quota;

pub use bucket::Bucket;
pub use coverage::{
    Coverage,
    PassedOver, //
};
pub use ledger::{
    Account,
    Crossing,
    Ledger, //
};
pub use order::Order;

/// Requests a charge to a workspace's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderedRequest {
    /// The charge.
    pub request: Request,
    /// The rank of the request, 0 for the most urgent.
    pub rank: u8,
    /// Its route.
    pub route: Box<str>,
    /// Identifies its content, which is the same in a repetition. Missing where none can be refused.
    pub fingerprint: Option<Fingerprint>,
    /// The time within which its client is promised a response.
    pub objective: Duration,
    /// The time that its client still waits.
    pub time_left: Duration,
    /// The engines whose agents precede the receiver in the order of the workspace and are passed over.
    pub passed_over: Vec<SocketAddr>,
    /// The number of entries that the sender knows.
    pub entries: u32,
}

/// The reply to an [`OrderedRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OrderedReply {
    /// Whether the request may be sent, and when.
    pub reply: Reply,
    /// Whether the quota is short, so that the order decides.
    pub short: bool,
    /// Why the request is refused.
    pub refused: Option<Refused>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// The rule that refused the request.
    pub rule: Rule,
    /// The units that were lacking to admit it.
    pub short_by: f64,
    /// Whether its client has a reservation at the time that it is told.
    pub reserved: bool,
    /// Whether its client had been refused before and had a reservation.
    pub again: bool,
}

/// The rules that refuse requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// Higher ranks need the quota, and the part kept for the rank of the request is used up.
    Rank,
    /// The route has used up its share of what its rank has.
    Route,
    /// The quota is spent, whatever the order.
    Bound,
    /// The client returned before the time of its reservation.
    Early,
}

impl Rule {
    /// The text in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rank => "rank",
            Self::Route => "route",
            Self::Bound => "bound",
            Self::Early => "early",
        }
    }
}

/// The credit of a process that begins to count a quota: two such processes are within the slack.
pub fn starting_credit(quota: Quota, slack: f64) -> f64 {
    quota.burst.min(slack / 2.0)
}

/// Requests a charge to a workspace's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version of the catalogue that the quota is from.
    pub version: u64,
    /// The workspace's quota.
    #[serde(rename = "allowance")]
    pub quota: Quota,
    /// The cost of the request, in units of the quota.
    pub cost: f64,
    /// The longest wait before the request is sent; with a longer one it is refused.
    #[serde(rename = "limit")]
    pub max_wait: Duration,
    /// Whether the request has been admitted already and its cost is only charged.
    #[serde(rename = "passed")]
    pub admitted: bool,
    /// Whether the receiver replaces the owner of the workspace, which does not reply.
    pub stand_in: bool,
}

/// The reply to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the request may be sent, after `wait`.
    pub granted: bool,
    /// Time to wait before the request is sent, or before the refused client returns.
    pub wait: Duration,
}

/// One entry's share of a quota, for the time in which no process that counts it replies.
pub fn share(quota: Quota, entries: u32) -> Quota {
    let share = |amount: f64| amount / f64::from(entries.max(1));
    Quota {
        per_s: share(quota.per_s),
        burst: share(quota.burst),
        unit: quota.unit,
    }
}
