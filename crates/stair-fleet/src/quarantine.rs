//! Finds what crashes the targets that run it: a request, or a part of many requests' prompts.
//!
//! Such a request crashes each target that begins to run it, and its client sends it again, or no two
//! requests are alike and all with one part of their prompts crash their targets. Ordinary requests
//! on the same targets are interrupted and sent again too, and targets also crash by themselves, often
//! many at once.
//!
//! The causes of a run are its request and the parts of the prompt that other requests share. A
//! [`Ledger`] blames the causes that were on a target when it crashed. A cause gets less blame if it
//! had run for some time without a trial, or if other targets crashed at the same moment. Blame adds
//! up until the cause survives a run, in whatever request. Parts of ordinary requests survive all the
//! time, which is what tells them from the part that crashes targets: entries keep when parts last
//! survived ([`Survivals`]), and report it when a part becomes a suspect. A survival before the
//! crashes takes no blame away, as the targets' software may have changed, but more trials are needed
//! then.
//!
//! At [`SUSPECT_BLAME`] a cause becomes a suspect. Requests with it then run on trial, one at a time
//! and on a target where no other suspect runs, so that the next crash tells the suspects apart. At
//! [`QUARANTINE_BLAME`] it is quarantined if it was the most blamed one on a target that crashed
//! during its trial, by more than one crash. All crashes that it was on are then attributed to it
//! alone. Causes of one request that have been on the same crashes are quarantined together: requests
//! that have them all are not run, and those that have some are run on trial, which tells them apart.
//!
//! Ordinary requests run on the target of a trial too, and one of them may have caused the crash.
//! Such a trial is judged only after [`CONTESTED_DELAY`], when the later crashes of these requests
//! are known. While other targets crash together, a second trial is needed.
//!
//! A part is known among the requests of its workspace and among all requests. As long as only
//! requests of one workspace crash targets, only that workspace's are quarantined.
//!
//! # Invariants
//!
//! No cause is quarantined before its third crash, nor for crashes that it only shared with other
//! suspects. A cause that survives a run has no blame for earlier crashes. A request that has a
//! quarantined cause in it is not run.

mod causes;
mod crashes;
mod ledger;
mod ledger_messages;
mod loads;
mod trials;
mod watchlist;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    Fingerprint,
    rendezvous, //
};

use crate::msg::Features;

pub use causes::{
    Parts,
    Survivals, //
};
pub use crashes::merge_run;
pub use ledger::{
    Ledger,
    Record, //
};
pub use ledger_messages::Effects;
pub use loads::{
    LoadCrashes,
    QuarantinedLoad, //
};
pub use watchlist::{
    Assessment,
    Watchlist, //
};

/// Blame from which a cause runs apart from other suspects: more than one crash adds.
pub const SUSPECT_BLAME: u32 = 3;

/// Blame from which a cause may be quarantined: three crashes.
pub const QUARANTINE_BLAME: u32 = 6;

/// Time from the first report of a crash until the parts of its requests may become suspects; crashes
/// at the same moment have been reported by then.
pub const SUSPECT_DELAY: Duration = Duration::from_millis(80);

/// Time from the first report of a crash until its causes are judged; all entries have reported
/// by then.
pub const SETTLE_DELAY: Duration = Duration::from_millis(300);

/// Time from the first report of a crash until its trial is judged although other requests were on
/// the target. The suspect does not run again before.
pub const CONTESTED_DELAY: Duration = Duration::from_millis(900);

/// Times from a report at which [`Ledger::settle`] has to be called.
pub const SETTLE_DELAYS: [Duration; 3] = [SUSPECT_DELAY, SETTLE_DELAY, CONTESTED_DELAY];

/// Time after which a running request is unlikely to be the cause of its target's crash.
pub const ESTABLISHED_DURATION: Duration = Duration::from_millis(500);

/// Time for which blame is remembered.
pub const BLAME_TTL: Duration = Duration::from_secs(600);

/// Duration of a quarantine: the first one, and those after each crash of a later run.
pub const QUARANTINE_DURATIONS: [Duration; 3] = [
    Duration::from_secs(60),
    Duration::from_secs(300),
    Duration::from_secs(3600),
];

/// Number of agents that keep a ledger: two may be lost at once.
const LEDGERS: usize = 3;

/// The key by which rendezvous hashing orders agents; the first ones keep a ledger.
const LEDGER_KEY: &str = "quarantine";

/// Limit for a ledger's reply to a request for a trial: a round trip and the longest pause of a busy
/// VM.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an agent that has not replied is not used.
pub const SKIP_DURATION: Duration = Duration::from_millis(1000);

/// Interval in which a suspect requests a trial.
pub const TRIAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a suspect waits at one target before another one is selected. It is not shorter, as a
/// selection may reserve a prefill slot.
pub const TRIAL_WAIT: Duration = Duration::from_millis(1000);

/// Chooses the agents that keep a ledger, by the indices of `names`, in their common order.
pub fn choose_ledgers<'a, I>(names: I) -> Vec<usize>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked = rendezvous::ranked(LEDGER_KEY, names);
    ranked.truncate(LEDGERS);
    ranked
}

/// One entry's report of a target's crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Identifies the incarnation that crashed.
    #[serde(rename = "life")]
    pub incarnation: Box<str>,
    /// The causes of the entry's runs that were interrupted there.
    pub runs: Vec<Run>,
}

/// One cause of interrupted runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request, or a part of its prompt.
    pub fingerprint: Fingerprint,
    /// Whether the response had begun at least [`ESTABLISHED_DURATION`] before the crash.
    pub established: bool,
    /// Whether the run was a trial of this cause.
    pub on_trial: bool,
}

/// The runs of one interrupted request, by its causes.
pub fn interrupted(
    request: Fingerprint,
    parts: &Parts,
    established: bool,
    on_trial: &[Fingerprint],
) -> Vec<Run> {
    let causes = [request]
        .into_iter()
        .chain(parts.as_slice().iter().copied());
    let run = |fingerprint| Run {
        fingerprint,
        established,
        on_trial: on_trial.contains(&fingerprint),
    };
    causes.map(run).collect()
}

/// The reply to a request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialReply {
    /// The request may run at the target.
    Granted,
    /// Another trial prevents it for now.
    Busy,
    /// The request is not run for this time.
    Quarantined {
        /// Why.
        cause: Fingerprint,
        /// The remaining time.
        left: Duration,
    },
}

/// The standing of a cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Requests with the cause may crash the targets that run them.
    Suspect,
    /// Requests with the cause are not run for this time.
    Quarantined(Duration),
    /// The cause has survived a run.
    Cleared,
}

impl Standing {
    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Suspect => "suspect",
            Self::Quarantined(_) => "quarantined",
            Self::Cleared => "cleared",
        }
    }
}

/// The standing of one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The request, or the part of prompts.
    pub fingerprint: Fingerprint,
    /// Its standing.
    pub standing: Standing,
}

/// Messages from an entry to an agent that keeps a ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToLedger {
    /// A target has crashed.
    Crashed(Crash),
    /// A cause has survived a run.
    Survived(Fingerprint),
    /// All that the entry knows; sent first unless empty.
    Known(Vec<Notice>),
    /// Requests a trial of one suspect at a target, from an agent without [`Features::causes`].
    ///
    /// [`Features::causes`]: crate::msg::Features::causes
    Trial {
        /// Identifies the request on this connection.
        seq: u64,
        /// The suspect.
        fingerprint: Fingerprint,
        /// The target's id.
        target: Box<str>,
    },
    /// The trial of a suspect has ended.
    TrialEnded(Fingerprint),
    /// Requests a trial of a request at a target. As all further messages, only to an agent with
    /// [`Features::causes`](crate::msg::Features::causes).
    TrialOf {
        /// Identifies the request on this connection.
        seq: u64,
        /// The suspects among the causes of the request.
        causes: Vec<Fingerprint>,
        /// The target's id.
        target: Box<str>,
    },
    /// Causes survived runs, and the time since then.
    SurvivedBefore(Vec<(Fingerprint, Duration)>),
}

impl ToLedger {
    /// Requests a trial of a request with these suspects at a target. The ledger of an agent without
    /// [`Features::causes`](crate::msg::Features::causes) knows one of them only.
    pub fn trial(features: Features, seq: u64, causes: &[Fingerprint], target: Box<str>) -> Self {
        match causes {
            [first, ..] if !features.causes => Self::Trial {
                seq,
                fingerprint: *first,
                target,
            },
            _ => Self::TrialOf {
                seq,
                causes: causes.to_vec(),
                target,
            },
        }
    }
}

/// Messages from an agent that keeps a ledger to entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToWatchlist {
    /// Changes of standing; sent first with all that is known.
    Known(Vec<Notice>),
    /// The reply to [`ToLedger::Trial`].
    Trial {
        /// The `seq` of the request.
        seq: u64,
        /// Whether the suspect may run there now.
        granted: bool,
    },
    /// The reply to [`ToLedger::TrialOf`].
    TrialReply {
        /// The `seq` of the request.
        seq: u64,
        /// The result.
        reply: TrialReply,
    },
}
