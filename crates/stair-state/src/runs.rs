//! Records the requests of one agent so that none runs twice.
//!
//! An agent runs a request id at most once and reports with certainty whether it ran. A resume that
//! finds the id not started withdraws it in the same step, so that a `Start` still in transit on a
//! broken link cannot run it later. Ids are stored for [`RETENTION`] after their end. No offer
//! arrives later than that, since no timeout of a caller is longer.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::RequestId;

use crate::ById;

/// How long an ended or withdrawn id is stored.
pub const RETENTION: Duration = Duration::from_secs(900);

/// The phase of a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The request was offered and has not started.
    Offered,
    /// The request has started; it is running or has ended.
    Started,
    /// The request has not run and never will.
    Withdrawn,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Run {
    phase: Phase,
    /// When an ended or withdrawn id is removed, as time since the start of the process.
    forget_at: Option<Duration>,
}

/// The requests of one incarnation of an agent. All times are measured from the start of the
/// process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunTable {
    runs: ById<Run>,
    next_sweep: Duration,
}

/// Interval between sweeps of expired ids. A sweep on every call would cost O(n) per request.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

impl RunTable {
    /// Records an offer. Returns false if the id is known already, offered or withdrawn; the
    /// request must then be refused.
    pub fn offer(&mut self, now: Duration, id: RequestId) -> bool {
        self.sweep(now);
        if self.runs.get(id).is_some() {
            return false;
        }
        let run = Run {
            phase: Phase::Offered,
            forget_at: None,
        };
        self.runs.insert(id, run);
        true
    }

    /// Marks an offered request as started. Returns false if it must not run: it was started
    /// before, was withdrawn, or was never offered to this incarnation.
    pub fn start(&mut self, id: RequestId) -> bool {
        match self.runs.get_mut(id) {
            Some(run) if run.phase == Phase::Offered => {
                run.phase = Phase::Started;
                true
            }
            _ => false,
        }
    }

    /// Prevents a request from starting unless it has started, even if its offer has not arrived
    /// yet. Returns the resulting phase: `Started` or `Withdrawn`.
    pub fn withdraw(&mut self, now: Duration, id: RequestId) -> Phase {
        let found = self.runs.get(id).map(|run| run.phase);
        if found == Some(Phase::Started) {
            return Phase::Started;
        }
        let withdrawn = Run {
            phase: Phase::Withdrawn,
            forget_at: Some(now + RETENTION),
        };
        self.runs.insert(id, withdrawn);
        Phase::Withdrawn
    }

    /// Records that a request has ended; its id is removed after [`RETENTION`].
    pub fn end(&mut self, now: Duration, id: RequestId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.forget_at = Some(now + RETENTION);
        }
    }

    /// Returns the number of stored ids.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no id is stored.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.runs.retain(|r| r.forget_at.is_none_or(|at| at > now));
    }
}
