//! Final refusals, with when to come back.

use std::time::Duration;

use stair_policy::backoff;
use stair_state::ledger::Item;
use stair_types::{
    Reason,
    Refusal,
    RequestId, //
};

use crate::{
    admit::RETRY_ELSEWHERE_MS,
    control::{
        Core,
        Unstarted, //
    },
    msg::OfferEvent, //
};

/// When a caller may come back after a request was refused because the agent leaves.
const DRAINING_RETRY_MS: u32 = 500;

impl Core {
    /// Refuses what can no longer be answered in time: its caller has to know now.
    pub(crate) fn expire(&mut self) {
        let now = self.now();
        for id in self.queue.expire(now) {
            let message = "the request waited too long to finish in time";
            self.refuse_later(id, Reason::DeadlinePassed, message);
        }
    }

    /// Refuses what waits for a model that may not be held any more.
    pub(crate) fn refuse_ungranted(&mut self) {
        let ids = self
            .remove_waiting_if(|core, item| core.in_force.servable_model(&item.model).is_none());
        for id in ids {
            let message = "the target gives the model back";
            let refusal = Refusal::not_run(Reason::NotGranted, RETRY_ELSEWHERE_MS, message);
            self.refuse_id(id, refusal);
        }
    }

    /// Takes the requests out of the queue that wait for certain items.
    pub(crate) fn remove_waiting_if<F>(&mut self, matches: F) -> Vec<RequestId>
    where
        F: Fn(&Self, &Item) -> bool,
    {
        let waiting = self.queue.iter();
        let ids: Vec<RequestId> = waiting
            .filter(|w| self.items.get(w.model).is_some_and(|i| matches(self, i)))
            .map(|w| w.key)
            .collect();
        for id in &ids {
            self.queue.remove(*id);
        }
        ids
    }

    /// Refuses everything that has not started, also what was told that it can run now.
    pub(crate) fn refuse_all_draining(&mut self) {
        self.refuse_all(&draining_refusal());
    }

    /// Refuses everything that has not started at an engine that is down.
    pub(crate) fn refuse_all_engine_down(&mut self) {
        if self.engine_is_down() {
            self.refuse_all(&engine_down_refusal());
        }
    }

    fn refuse_all(&mut self, refusal: &Refusal) {
        let ids: Vec<RequestId> = self.unstarted.iter().map(|p| p.offer.id).collect();
        for id in ids {
            self.queue.remove(id);
            self.refuse_id(id, refusal.clone());
        }
    }

    pub(crate) fn refuse_id(&mut self, id: RequestId, refusal: Refusal) {
        if let Ok(i) = self.find_unstarted(id) {
            let unstarted = self.unstarted.remove(i);
            self.refuse(unstarted, refusal);
        }
    }

    /// Refuses a request that may come back when the queue has drained.
    pub(crate) fn refuse_later(&mut self, id: RequestId, reason: Reason, message: &str) {
        let drain = self.expected_wait();
        let refusal = Refusal::not_run(reason, drain_retry_ms(drain), message);
        self.refuse_id(id, refusal);
    }

    pub(crate) fn refuse(&mut self, unstarted: Unstarted, refusal: Refusal) {
        let id = unstarted.offer.id;
        self.args.metrics.refusal(refusal.reason, refusal.verdict);
        self.runs.withdraw(self.now(), id);
        self.active.retain(|a| a.id != id || a.started);
        let load = self.load(self.items.get(unstarted.key));
        let _ = unstarted.events.send(OfferEvent::Refused(refusal, load));
    }

    pub(crate) fn find_unstarted(&self, id: RequestId) -> Result<usize, usize> {
        self.unstarted.binary_search_by_key(&id, |p| p.offer.id)
    }
}

/// When a caller may come back after the engine was found down, in milliseconds: a process beside
/// it starts it again in some seconds.
const ENGINE_DOWN_RETRY_MS: u32 = 2_000;

pub(crate) fn engine_down_refusal() -> Refusal {
    Refusal::not_run(
        Reason::TargetFailed,
        ENGINE_DOWN_RETRY_MS,
        "the engine does not answer",
    )
}

/// Says that the agent takes no more work.
pub(crate) fn draining_refusal() -> Refusal {
    Refusal::not_run(Reason::Leaving, DRAINING_RETRY_MS, "the target is leaving")
}

/// Returns when the queue has drained. The entry spreads it, so that those who are refused together
/// do not come back together; to spread it here as well would send them back later than needed.
pub(crate) fn drain_retry_ms(drain: Duration) -> u32 {
    millis(drain.max(backoff::MIN_RETRY_AFTER))
}

pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
