//! Which requests wait, which run, and which are refused.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use stair_config::TargetSettings;
use stair_policy::{
    backoff,
    queue::{
        Estimate,
        Item as Waiting,
        Options,
        Outcome,
        Queue, //
    },
};
use stair_state::{
    ledger::Item,
    runs::Phase, //
};
use stair_telemetry::metrics::Latency;
use stair_types::{
    FencingToken,
    ModelKey,
    Reason,
    Refusal,
    RequestId,
    TierRank, //
};
use stair_wire::request::{
    Load,
    Offer,
    Work, //
};
use tokio::sync::mpsc;

use crate::{
    answers::Answer,
    control::{
        Active,
        Core,
        Ended,
        Event,
        Pending, //
    },
    loads::is_current,
    run,
};

/// One slot in so many is for short work only.
const SHORT_PART: usize = 8;

/// Bytes of all whole answers kept for a resume.
const MAX_KEPT_BYTES: u64 = 64 << 20;

/// When a caller may come back to another target after this one refused for good.
const ELSEWHERE_MS: u32 = 100;

/// When a caller may come back after a request was refused because the agent leaves.
const LEAVING_MS: u32 = 500;

impl Core {
    /// Queues an offer or refuses it at once.
    ///
    /// Under load a request that cannot finish in time would take a slot from one that can, and
    /// its caller would wait for nothing; so it is refused while another target may still take it.
    pub(crate) fn offer(
        &mut self,
        offer: Box<Offer>,
        body: Bytes,
        events: mpsc::UnboundedSender<Event>,
    ) {
        let (now, id) = (self.now(), offer.id);
        if !self.runs.offer(now, id) {
            let refusal = Refusal::may_have_run(Reason::Duplicate, 0, "offered before");
            let _ = events.send(Event::Refused(refusal, self.load(None)));
            return;
        }
        let checked = match self.takes_no_work() {
            true => Err(leaving()),
            false => self.item_of(&offer.work),
        };
        let item = checked.as_ref().ok().cloned().flatten();
        let pending = Pending {
            key: self.items.key(item.as_ref()),
            deadline: now + Duration::from_millis(offer.time_left_ms.into()),
            offer,
            body,
            events,
        };
        match checked {
            Ok(_) => self.enqueue(pending),
            Err(refusal) => self.refuse(pending, refusal),
        }
    }

    fn item_of(&self, work: &Work) -> Result<Option<Item>, Refusal> {
        let not_granted = |message: &str| {
            let reason = Reason::NotGranted;
            Err(Refusal::not_run(reason, ELSEWHERE_MS, message))
        };
        match (work, &self.args.target) {
            (Work::Service { service }, TargetSettings::Service { service: own, .. })
                if service == own =>
            {
                Ok(None)
            }
            (Work::Model { model, adapter }, TargetSettings::Engine { .. }) => {
                let Some(spec) = self.in_force.may_hold(model) else {
                    return not_granted("the target holds no grant for the model");
                };
                if let Some(name) = adapter
                    && spec.adapter(name.as_str()).is_none()
                {
                    let message = "the adapter is not declared";
                    return Err(Refusal::not_run(Reason::Unknown, 0, message));
                }
                Ok(Some(Item {
                    model: model.clone(),
                    adapter: adapter.clone(),
                }))
            }
            _ => not_granted("the target does not serve this"),
        }
    }

    fn enqueue(&mut self, pending: Pending) {
        let now = self.now();
        let waiting = self.waiting(&pending, now);
        let est = self.estimate(pending.key);
        match self.queue.push(now, waiting, &est) {
            Outcome::Queued { displaced } => {
                if let Some(id) = displaced {
                    let message = "work of a higher tier took the place";
                    self.refuse_later(id, Reason::Displaced, message);
                }
                self.note_arrival(pending.key);
                let load = self.load(self.items.get(pending.key));
                let _ = pending.events.send(Event::Queued(load));
                let id = pending.offer.id;
                let at = self.pending.partition_point(|p| p.offer.id < id);
                self.pending.insert(at, pending);
            }
            Outcome::Refused {
                reason,
                retry_after,
            } => {
                if !est.ready_in.is_zero() {
                    self.wake(pending.key, pending.offer.rank);
                }
                let message = match reason {
                    Reason::QueueFull => "the queue is full",
                    _ => "the expected finish lies after the deadline",
                };
                let refusal = Refusal::not_run(reason, drained_ms(retry_after), message);
                self.refuse(pending, refusal);
            }
        }
    }

    fn waiting(&self, pending: &Pending, now: Duration) -> Waiting<RequestId> {
        Waiting {
            key: pending.offer.id,
            rank: pending.offer.rank,
            deadline: pending.deadline,
            arrived: now,
            expected_run: self.items.run(pending.key, pending.offer.max_tokens),
            bytes: u32::try_from(pending.body.len()).unwrap_or(u32::MAX),
            model: pending.key,
        }
    }

    /// Loads a model whose callers were refused because its load takes too long for them.
    ///
    /// When all callers have less time than the load is expected to take, none would ever wait for
    /// it, and an expectation that is wrong would never be put right. They find it loaded when
    /// they come back.
    fn wake(&mut self, key: ModelKey, rank: TierRank) {
        let Some(item) = self.items.get(key).cloned() else {
            return;
        };
        if !self.woken.iter().any(|(other, _)| *other == item) {
            self.woken.push((item, rank));
        }
    }

    /// Moves what waits into a queue with other bounds.
    pub(crate) fn rebuild_queue(&mut self, opts: Options) {
        let old = std::mem::replace(&mut self.queue, Queue::new(opts.clone()));
        self.queue_opts = opts;
        let now = self.now();
        for waiting in old.iter() {
            let est = self.estimate(waiting.model);
            match self.queue.push(now, *waiting, &est) {
                Outcome::Queued { displaced: None } => {}
                Outcome::Queued {
                    displaced: Some(id),
                } => self.refuse_later(id, Reason::Displaced, "the limits have changed"),
                Outcome::Refused { reason, .. } => {
                    self.refuse_later(waiting.key, reason, "the limits have changed");
                }
            }
        }
    }

    /// Gives free slots to the first requests whose model is loaded.
    ///
    /// An eighth of the slots is for short work only: when all are taken by long drafts, a look-up
    /// would wait for one of them to end.
    pub(crate) fn hand_out(&mut self) {
        let (now, slots) = (self.now(), self.slots());
        let general = slots - slots / SHORT_PART;
        while self.active.len() < slots {
            let (ledger, in_force, items) = (&self.ledger, &self.in_force, &self.items);
            let under_way = &self.under_way;
            let ready = |key| {
                let item = items.get(key);
                item.is_none_or(|i| !under_way.is_for(i) && is_current(ledger, in_force, i))
            };
            let next = match self.active.len() < general {
                true => self.queue.pop(now, ready),
                false => self.queue.pop_short(now, ready),
            };
            let Some(next) = next else {
                return;
            };
            let item = self.items.get(next.model).cloned();
            self.touch(item.as_ref());
            let waited = now.saturating_sub(next.arrived);
            self.args.metrics.latency(Latency::Queued, waited);
            let max_tokens = self.find_pending(next.key);
            let max_tokens = max_tokens.map_or(0, |i| self.pending[i].offer.max_tokens);
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

    fn make_ready(&mut self, id: RequestId) {
        let Ok(i) = self.find_pending(id) else {
            return;
        };
        let events = self.pending[i].events.clone();
        if !self.pending[i].offer.start_when_ready {
            let _ = events.send(Event::Ready);
            return;
        }
        if let Some(answer) = self.start(id) {
            let _ = events.send(Event::Started(answer));
        }
    }

    /// Runs a request that holds a slot, at most once.
    pub(crate) fn start(&mut self, id: RequestId) -> Option<Arc<Answer>> {
        let slot = self.active.iter().position(|a| a.id == id && !a.started)?;
        let at = self.find_pending(id).ok()?;
        if !self.runs.start(id) {
            return None;
        }
        self.active[slot].started = true;
        let pending = self.pending.remove(at);
        let max_bytes = self.args.limits.max_answer_bytes.into();
        let answer = Answer::new(max_bytes, self.readers.clone());
        self.answers.insert(id, answer.clone());
        let job = run::Job {
            time_left: pending.deadline.saturating_sub(self.now()),
            offer: pending.offer,
            body: pending.body,
            answer: answer.clone(),
            client: self.args.client.clone(),
            incarnation: self.args.incarnation,
            limits: self.args.limits.clone(),
            is_engine: self.args.engine.is_some(),
            control: self.me.clone(),
        };
        self.args.traffic.spawn(run::run(job));
        Some(answer)
    }

    /// Makes sure that a request that has not started never does.
    pub(crate) fn withdraw(&mut self, id: RequestId) {
        if self.runs.withdraw(self.now(), id) == Phase::Started {
            return;
        }
        self.queue.remove(id);
        self.active.retain(|a| a.id != id);
        if let Ok(i) = self.find_pending(id) {
            self.pending.remove(i);
        }
    }

    /// Finds the answer of a started request, or says for sure that it has not run.
    pub(crate) fn resume(
        &mut self,
        id: RequestId,
        incarnation: FencingToken,
    ) -> Result<Arc<Answer>, Refusal> {
        if incarnation != self.args.incarnation {
            let message = "the agent was replaced during the run";
            return Err(Refusal::may_have_run(Reason::LinkLost, 0, message));
        }
        if self.runs.withdraw(self.now(), id) == Phase::Withdrawn {
            let message = "the request had not started";
            let refusal = Refusal::not_run(Reason::LinkLost, ELSEWHERE_MS, message);
            // The stream of the offer may live still, and learns the same.
            self.queue.remove(id);
            self.refuse_id(id, refusal.clone());
            return Err(refusal);
        }
        self.answers.get(id).cloned().ok_or_else(|| {
            let message = "the answer is no longer kept";
            Refusal::may_have_run(Reason::LinkLost, 0, message)
        })
    }

    /// Frees the slot; `run` is the time of a whole run.
    pub(crate) fn run_ended(&mut self, id: RequestId, run: Option<Duration>, suspect: bool) {
        if let Some(i) = self.active.iter().position(|a| a.id == id) {
            let ended = self.active.swap_remove(i);
            self.touch(ended.item.as_ref());
            self.note_end(ended.key);
            if let Some(run) = run {
                self.items.ran(ended.key, ended.max_tokens, run);
            }
        }
        self.runs.end(self.now(), id);
        if let Some(answer) = self.answers.get(id) {
            let bytes = answer.bytes();
            self.ended_bytes += bytes;
            self.ended.push_back(Ended { id, bytes });
        }
        self.bound_answers();
        if suspect {
            self.relist = self.args.engine.is_some();
        }
    }

    pub(crate) fn forget(&mut self, id: RequestId) {
        // Answers are kept for the same time, so the one to forget is among the oldest.
        if let Some(i) = self.ended.iter().position(|e| e.id == id)
            && let Some(ended) = self.ended.remove(i)
        {
            self.ended_bytes -= ended.bytes;
        }
        self.answers.remove(id);
    }

    /// Forgets the oldest whole answers when all together take too much memory. Each is bounded,
    /// but under load hundreds end in the time for which they are kept, and few are asked for.
    fn bound_answers(&mut self) {
        while self.ended_bytes > MAX_KEPT_BYTES
            && let Some(oldest) = self.ended.front().map(|e| e.id)
        {
            if let Some(answer) = self.answers.get(oldest) {
                answer.cancel();
            }
            self.forget(oldest);
        }
    }

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
        let gone = self.take_if(|core, item| core.in_force.may_hold(&item.model).is_none());
        for id in gone {
            let message = "the target gives the model back";
            let refusal = Refusal::not_run(Reason::NotGranted, ELSEWHERE_MS, message);
            self.refuse_id(id, refusal);
        }
    }

    /// Takes the requests out of the queue that wait for certain items.
    pub(crate) fn take_if<F>(&mut self, gone: F) -> Vec<RequestId>
    where
        F: Fn(&Self, &Item) -> bool,
    {
        let waiting = self.queue.iter();
        let out: Vec<RequestId> = waiting
            .filter(|w| self.items.get(w.model).is_some_and(|i| gone(self, i)))
            .map(|w| w.key)
            .collect();
        for id in &out {
            self.queue.remove(*id);
        }
        out
    }

    /// Refuses everything that has not started, also what was told that it can run now.
    pub(crate) fn refuse_all_leaving(&mut self) {
        let ids: Vec<RequestId> = self.pending.iter().map(|p| p.offer.id).collect();
        for id in ids {
            self.queue.remove(id);
            self.refuse_id(id, leaving());
        }
    }

    pub(crate) fn refuse_id(&mut self, id: RequestId, refusal: Refusal) {
        if let Ok(i) = self.find_pending(id) {
            let pending = self.pending.remove(i);
            self.refuse(pending, refusal);
        }
    }

    /// Refuses a request that may come back when the queue has drained.
    fn refuse_later(&mut self, id: RequestId, reason: Reason, message: &str) {
        let drain = self.expected_wait();
        let refusal = Refusal::not_run(reason, drained_ms(drain), message);
        self.refuse_id(id, refusal);
    }

    fn refuse(&mut self, pending: Pending, refusal: Refusal) {
        let id = pending.offer.id;
        self.args.metrics.refusal(refusal.reason, refusal.verdict);
        self.runs.withdraw(self.now(), id);
        self.active.retain(|a| a.id != id || a.started);
        let load = self.load(self.items.get(pending.key));
        let _ = pending.events.send(Event::Refused(refusal, load));
    }

    fn find_pending(&self, id: RequestId) -> Result<usize, usize> {
        self.pending.binary_search_by_key(&id, |p| p.offer.id)
    }

    /// Returns how many requests the target may run at once.
    pub(crate) fn slots(&self) -> usize {
        let concurrency = match self.args.target {
            TargetSettings::Engine { .. } => self.in_force.policy().engine_concurrency,
            TargetSettings::Service { .. } => self.in_force.service().map_or(1, |s| s.concurrency),
        };
        usize::from(concurrency.max(1))
    }

    fn estimate(&self, key: ModelKey) -> Estimate {
        let now = self.now();
        let slots = self.slots();
        let ends = self.active.iter().map(|a| a.expected_end);
        let slot_free_in = match self.active.len() < slots {
            true => Duration::ZERO,
            false => ends.min().unwrap_or_default().saturating_sub(now),
        };
        Estimate {
            concurrency: u16::try_from(slots).unwrap_or(u16::MAX),
            slot_free_in,
            ready_in: self
                .items
                .get(key)
                .map_or(Duration::ZERO, |i| self.ready_in(i)),
        }
    }

    /// Returns the wait of a new request of the lowest tier for a loaded model.
    fn expected_wait(&self) -> Duration {
        let est = self.estimate(ModelKey(u32::MAX));
        self.queue
            .expected_wait(self.now(), TierRank(u8::MAX), &est)
    }

    /// Returns the load as replies carry it.
    pub(crate) fn load(&self, item: Option<&Item>) -> Load {
        let wait = self.expected_wait();
        Load {
            running: u16::try_from(self.active.len()).unwrap_or(u16::MAX),
            waiting: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            expected_wait_ms: millis(wait),
            model_loaded: item.is_none_or(|i| self.ledger.is_loaded(i)),
        }
    }
}

fn leaving() -> Refusal {
    Refusal::not_run(Reason::Leaving, LEAVING_MS, "the target is leaving")
}

/// Returns when the queue has drained. The entry spreads it, so that those who are refused together
/// do not come back together; to spread it here as well would send them back later than needed.
fn drained_ms(drain: Duration) -> u32 {
    millis(drain.max(backoff::MIN_RETRY_AFTER))
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
