//! Which requests an agent has run, so that none runs twice.
//!
//! An agent runs a request id at most once, and answers for sure whether it ran: a resume that
//! finds the id not started withdraws it in the same step, so that a `Start` still under way on a
//! broken link can no longer run it. Ids are kept for [`RETENTION`] after their end; an offer
//! older than that does not exist, since no timeout of a caller is longer.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::RequestId;

use crate::ById;

/// Time for which an ended or withdrawn id is remembered.
pub const RETENTION: Duration = Duration::from_secs(900);

/// What is known of a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Offered and not started.
    Offered,
    /// Started; it runs or has run.
    Started,
    /// It never ran and never will.
    Withdrawn,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Run {
    phase: Phase,
    /// When an ended or withdrawn id is forgotten, as time since the process's start.
    forget_at: Option<Duration>,
}

/// The requests of one agent, of one incarnation.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunTable {
    runs: ById<Run>,
    next_sweep: Duration,
}

/// Sweeping every call would cost O(n) a request.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

impl RunTable {
    /// Notes an offer. Returns false, and changes nothing, when the id was offered before: the
    /// request must be refused.
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

    /// Lets an offered request run. Returns false when it must not: it was started before, was
    /// withdrawn, or was never offered here.
    pub fn start(&mut self, id: RequestId) -> bool {
        match self.runs.get_mut(id) {
            Some(run) if run.phase == Phase::Offered => {
                run.phase = Phase::Started;
                true
            }
            _ => false,
        }
    }

    /// Makes sure that a request which has not started never does, also one whose offer has not
    /// arrived yet. Returns what is known of it afterwards: `Started` or `Withdrawn`.
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

    /// Notes that a started request's run is over.
    pub fn end(&mut self, now: Duration, id: RequestId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.forget_at = Some(now + RETENTION);
        }
    }

    /// Returns the number of ids remembered.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Tells whether no id is remembered.
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
