//! Decides which request ends the targets that run it.
//!
//! Load: a request that crashes each target that begins to run it, and that its client sends again; ordinary requests
//! on the same targets, which are sent again too; targets that crash by themselves, often many at once.
//!
//! A [`Ledger`] blames the requests that were on a target when it ended, less where they had run for some time or
//! where other targets ended with it. Blame adds up until the request survives a run.
//!
//! At [`SUSPECT_BLAME`] a request is a suspect: it goes on trial, which is a run where no other suspect runs, and the
//! next crash tells them apart. At [`QUARANTINE_BLAME`] it is not run for a while, if it was the most blamed on a target
//! that ended during its trial. All crashes that it was on are then put down to it alone.
//!
//! Invariants: no request is quarantined before its third crash, nor for crashes that it shared with other suspects
//! alone; a request that survives a run owes nothing.

mod crashes;
mod ledger;
mod trials;
mod watchlist;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::Fingerprint;

pub use ledger::{
    Ledger,
    Record, //
};
pub use watchlist::Watchlist;

/// Blame from which a request runs apart from other suspects: more than one crash brings.
pub const SUSPECT_BLAME: u32 = 3;

/// Blame from which a request is not run: three crashes.
pub const QUARANTINE_BLAME: u32 = 6;

/// Time from the first report of a crash until blame is given: all entries have reported by then.
pub const SETTLE_DELAY: Duration = Duration::from_millis(300);

/// Time after which a request that runs has hardly to do with its target's end.
pub const ESTABLISHED_DURATION: Duration = Duration::from_millis(500);

/// Time for which blame is remembered.
pub const BLAME_TTL: Duration = Duration::from_secs(600);

/// How long a request is not run, the first time and after each crash of its next runs.
pub const QUARANTINE_DURATIONS: [Duration; 3] = [
    Duration::from_secs(60),
    Duration::from_secs(300),
    Duration::from_secs(3600),
];

/// One target's end, as one entry has seen it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Names the life that has ended.
    #[serde(rename = "life")]
    pub incarnation: Box<str>,
    /// The entry's requests that were cut there.
    pub runs: Vec<Run>,
}

/// One request that was cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether its answer had begun [`ESTABLISHED_DURATION`] before.
    pub established: bool,
    /// Whether that was a trial.
    pub on_trial: bool,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It may end the targets that run it.
    Suspect,
    /// It is not run for so long.
    Quarantined(Duration),
    /// It has survived a run.
    Cleared,
}

/// The standing of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is known of it.
    pub standing: Standing,
}

/// From an entry to an agent that keeps a ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToLedger {
    /// A target has ended.
    Crashed(Crash),
    /// A request has survived a run.
    Survived(Fingerprint),
    /// What the entry knows; sent first, if there is any.
    Known(Vec<Notice>),
    /// Asks whether a suspect may run at a target.
    Trial {
        /// Names the question on this connection.
        seq: u64,
        /// The request.
        fingerprint: Fingerprint,
        /// The target's id.
        target: Box<str>,
    },
    /// The run of a suspect has ended.
    TrialEnded(Fingerprint),
}

/// From such an agent to the entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToWatchlist {
    /// What is new; sent first with all that is known.
    Known(Vec<Notice>),
    /// The answer to a [`ToLedger::Trial`].
    Trial {
        /// The question.
        seq: u64,
        /// Whether it may run there now.
        granted: bool,
    },
}
