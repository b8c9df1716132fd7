//! The slots of the target: starts and ends of runs, and the buffered responses.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_state::runs::Phase;
use stair_telemetry::metrics::Latency;
use stair_types::{
    FencingToken,
    Reason,
    Refusal,
    RequestId, //
};

use crate::{
    admit::RETRY_ELSEWHERE_MS,
    control::{
        Active,
        BufferedResponse,
        Core, //
    },
    loads::is_current,
    msg::OfferEvent,
    responses::Response,
    run, //
};

/// One in this many slots is reserved for short requests.
const SHORT_SLOT_DIVISOR: usize = 8;

/// Limit on the bytes of all responses of ended runs that stay buffered for a resume.
const MAX_BUFFERED_BYTES: u64 = 64 << 20;

impl Core {
    /// Assigns free slots to the first waiting requests whose model is loaded.
    ///
    /// An eighth of the slots is reserved for short requests, which would otherwise wait for the
    /// end of a long one when long ones occupy all slots.
    pub(crate) fn assign_slots(&mut self) {
        let (now, slots) = (self.now(), self.slots());
        let general = slots - slots / SHORT_SLOT_DIVISOR;
        while self.active.len() < slots
            && self.limiter.has_permit(now)
            && self.availability.may_send(now)
        {
            let (ledger, in_force, items) = (&self.ledger, &self.in_force, &self.items);
            let unconfirmed = &self.unconfirmed;
            let ready = |key| {
                let item = items.get(key);
                item.is_none_or(|i| !unconfirmed.affects(i) && is_current(ledger, in_force, i))
            };
            let next = match self.active.len() < general {
                true => self.queue.pop(now, ready),
                false => self.queue.pop_short(now, ready),
            };
            let Some(next) = next else {
                return;
            };
            self.limiter.charge(now);
            self.availability.record_send(now);
            let item = self.items.get(next.model).cloned();
            self.record_use(item.as_ref());
            let waited = now.saturating_sub(next.arrived);
            self.args.metrics.latency(Latency::Queued, waited);
            let max_tokens = self.find_unstarted(next.key);
            let max_tokens = max_tokens.map_or(0, |i| self.unstarted[i].offer.max_tokens);
            self.active.push(Active {
                id: next.key,
                key: next.model,
                item,
                max_tokens,
                expected_end: now + next.expected_run,
                started: false,
            });
            self.make_ready(next.key);
        }
    }

    /// Starts a request that may start when ready, and reports any other as ready to its entry.
    fn make_ready(&mut self, id: RequestId) {
        let Ok(i) = self.find_unstarted(id) else {
            return;
        };
        let events = self.unstarted[i].events.clone();
        if !self.unstarted[i].offer.start_when_ready {
            let _ = events.send(OfferEvent::Ready);
            return;
        }
        if let Some(response) = self.start(id) {
            let _ = events.send(OfferEvent::Started(response));
        }
    }

    /// Starts the run of a request that occupies a slot, at most once.
    ///
    /// `Start` can be read after the deadline, as when the process was frozen. Such a run would be cut before the
    /// target gets the request, and the request would be reported as one that may have run.
    pub(crate) fn start(&mut self, id: RequestId) -> Option<Arc<Response>> {
        if self.availability.withheld(self.now()).is_some() {
            return None;
        }
        let slot = self.active.iter().position(|a| a.id == id && !a.started)?;
        let at = self.find_unstarted(id).ok()?;
        if self.unstarted[at].deadline <= self.now() {
            let message = "the deadline passed before the start";
            self.refuse_id(id, Refusal::not_run(Reason::DeadlinePassed, 0, message));
            return None;
        }
        if !self.runs.start(id) {
            return None;
        }
        self.active[slot].started = true;
        let unstarted = self.unstarted.remove(at);
        let max_bytes = self.args.limits.max_answer_bytes.into();
        let response = Response::new(max_bytes, self.readers.clone(), self.response_bytes.clone());
        self.responses.insert(id, response.clone());
        let job = run::Job {
            time_left: unstarted.deadline.saturating_sub(self.now()),
            offer: unstarted.offer,
            body: unstarted.body,
            response: response.clone(),
            client: self.args.client.clone(),
            crashes: self.crashes.clone(),
            incarnation: self.args.incarnation,
            limits: self.args.limits.clone(),
            is_engine: self.args.engine.is_some(),
            control: self.me.clone(),
            stamp: self.limiter.stamp(),
            restricted: self.limiter.rate().is_some() || self.availability.backoff().is_some(),
            version: self.version.clone(),
        };
        self.args.traffic.spawn(run::run(job));
        Some(response)
    }

    /// Frees the slot of a request that has not started, and returns its permit.
    pub(crate) fn free_unstarted_slot(&mut self, id: RequestId) {
        if let Some(i) = self.active.iter().position(|a| a.id == id && !a.started) {
            self.active.swap_remove(i);
            self.limiter.unused(self.now());
        }
    }

    /// Ensures that a request which has not started never does.
    pub(crate) fn withdraw(&mut self, id: RequestId) {
        if self.runs.withdraw(self.now(), id) == Phase::Started {
            return;
        }
        self.queue.remove(id);
        self.free_unstarted_slot(id);
        if let Ok(i) = self.find_unstarted(id) {
            self.unstarted.remove(i);
        }
    }

    /// Returns the response of a started request, and withdraws one that has not started.
    pub(crate) fn resume(
        &mut self,
        id: RequestId,
        incarnation: FencingToken,
    ) -> Result<Arc<Response>, Refusal> {
        if incarnation != self.args.incarnation {
            let message = "the agent was replaced during the run";
            return Err(Refusal::may_have_run(Reason::LinkLost, 0, message));
        }
        if self.runs.withdraw(self.now(), id) == Phase::Withdrawn {
            let message = "the request had not started";
            let refusal = Refusal::not_run(Reason::LinkLost, RETRY_ELSEWHERE_MS, message);
            // The offer's stream may still be open and receives the same refusal.
            self.queue.remove(id);
            self.refuse_id(id, refusal.clone());
            return Err(refusal);
        }
        self.responses.get(id).cloned().ok_or_else(|| {
            let message = "the answer is no longer kept";
            Refusal::may_have_run(Reason::LinkLost, 0, message)
        })
    }

    /// Frees the slot of a run. `run` is the time of a complete run, none of a failed one.
    pub(crate) fn run_ended(&mut self, id: RequestId, run: Option<Duration>, suspect: bool) {
        if let Some(i) = self.active.iter().position(|a| a.id == id) {
            let ended = self.active.swap_remove(i);
            self.record_use(ended.item.as_ref());
            self.record_end(ended.key);
            if let Some(run) = run {
                self.items.observe_run(ended.key, ended.max_tokens, run);
            }
        }
        self.runs.end(self.now(), id);
        if let Some(response) = self.responses.get(id) {
            let bytes = response.bytes();
            self.buffered_bytes += bytes;
            self.buffered.push_back(BufferedResponse { id, bytes });
        }
        self.trim_responses();
        if suspect {
            self.relist = self.args.engine.is_some();
        }
    }

    /// Drops the response of a request.
    pub(crate) fn forget(&mut self, id: RequestId) {
        // All responses are buffered for the same time, so this one is among the oldest.
        if let Some(i) = self.buffered.iter().position(|e| e.id == id)
            && let Some(ended) = self.buffered.remove(i)
        {
            self.buffered_bytes -= ended.bytes;
        }
        self.responses.remove(id);
    }

    /// Drops the oldest responses of ended runs while their total exceeds [`MAX_BUFFERED_BYTES`].
    /// Each response is bounded, but under load hundreds of runs end within the time for which
    /// responses stay buffered, and few are resumed.
    fn trim_responses(&mut self) {
        while self.buffered_bytes > MAX_BUFFERED_BYTES
            && let Some(oldest) = self.buffered.front().map(|e| e.id)
        {
            if let Some(response) = self.responses.get(oldest) {
                response.cancel();
            }
            self.forget(oldest);
        }
    }
}
