//! Final refusals of requests, with their retry delays.

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

/// Retry delay of a refusal by a draining agent, in milliseconds.
const DRAINING_RETRY_MS: u32 = 500;

impl Core {
    /// Refuses waiting requests that can no longer finish before their deadlines, so that their
    /// callers are informed at once.
    pub(crate) fn expire(&mut self) {
        let now = self.now();
        for id in self.queue.expire(now) {
            let message = "the request waited too long to finish in time";
            self.refuse_later(id, Reason::DeadlinePassed, message);
        }
    }

    /// Refuses requests that wait for a model which may no longer be loaded.
    pub(crate) fn refuse_ungranted(&mut self) {
        let ids = self
            .remove_waiting_if(|core, item| core.in_force.servable_model(&item.model).is_none());
        for id in ids {
            let message = "the target gives the model back";
            let refusal = Refusal::not_run(Reason::NotGranted, RETRY_ELSEWHERE_MS, message);
            self.refuse_id(id, refusal);
        }
    }

    /// Removes from the queue the requests whose items satisfy a condition, and returns their ids.
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

    /// Refuses all requests that have not started, including those that are ready.
    pub(crate) fn refuse_all_draining(&mut self) {
        self.refuse_all(&draining_refusal());
    }

    /// Refuses all requests that have not started if the engine is down.
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

    /// Refuses a request with a retry delay after which the queue is expected to have drained.
    pub(crate) fn refuse_later(&mut self, id: RequestId, reason: Reason, message: &str) {
        let drain = self.expected_wait();
        let refusal = Refusal::not_run(reason, drain_retry_ms(drain), message);
        self.refuse_id(id, refusal);
    }

    pub(crate) fn refuse(&mut self, unstarted: Unstarted, refusal: Refusal) {
        let id = unstarted.offer.id;
        self.args.metrics.refusal(refusal.reason, refusal.verdict);
        self.runs.withdraw(self.now(), id);
        self.free_unstarted_slot(id);
        let load = self.load(self.items.get(unstarted.key));
        let _ = unstarted.events.send(OfferEvent::Refused(refusal, load));
    }

    pub(crate) fn find_unstarted(&self, id: RequestId) -> Result<usize, usize> {
        self.unstarted.binary_search_by_key(&id, |p| p.offer.id)
    }
}

/// Retry delay of a refusal by an engine that is down, in milliseconds. A supervisor restarts the
/// engine within seconds.
const ENGINE_DOWN_RETRY_MS: u32 = 2_000;

pub(crate) fn engine_down_refusal() -> Refusal {
    Refusal::not_run(
        Reason::TargetFailed,
        ENGINE_DOWN_RETRY_MS,
        "the engine does not answer",
    )
}

/// Returns the refusal of an agent that is draining or whose VM is leaving.
pub(crate) fn draining_refusal() -> Refusal {
    Refusal::not_run(Reason::Leaving, DRAINING_RETRY_MS, "the target is leaving")
}

/// Returns the retry delay, in milliseconds, for the time until the queue has drained. The entry
/// adds jitter, so that requests refused together do not return together. Jitter here as well would
/// delay them needlessly.
pub(crate) fn drain_retry_ms(drain: Duration) -> u32 {
    millis(drain.max(backoff::MIN_RETRY_AFTER))
}

pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
