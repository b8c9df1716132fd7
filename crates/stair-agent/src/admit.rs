//! Which requests wait, which run, and which are refused.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use stair_config::TargetSettings;
use stair_state::{
    ledger::Item,
    runs::Phase, //
};
use stair_types::{
    FencingToken,
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
        Event,
        Pending, //
    },
    queue::{
        Limits,
        Outcome,
        Waiting, //
    },
    run, //
};

/// Requests of a tier that may wait while the tiers are not known yet.
const WAITING_UNKNOWN_TIER: u32 = 256;

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
        let deadline = now + Duration::from_millis(offer.time_left_ms.into());
        let checked = self.check(&offer, deadline);
        let pending = Pending {
            item: checked.as_ref().ok().cloned().flatten(),
            offer,
            deadline,
            body,
            events,
        };
        match checked {
            Ok(_) => self.enqueue(pending),
            Err(refusal) => self.refuse(pending, refusal),
        }
    }

    fn check(&self, offer: &Offer, deadline: Duration) -> Result<Option<Item>, Refusal> {
        if self.leaving {
            return Err(leaving());
        }
        let item = self.item_of(&offer.work)?;
        let wait = self.expected_wait(item.as_ref(), offer.rank, deadline);
        let finish = self.now() + wait + self.mean_run;
        if finish > deadline {
            let message = "the expected wait exceeds the time left";
            let retry = millis(wait).max(ELSEWHERE_MS);
            return Err(Refusal::not_run(Reason::WouldMissDeadline, retry, message));
        }
        Ok(item)
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
        let rank = pending.offer.rank;
        let waiting = Waiting {
            id: pending.offer.id,
            item: pending.item.clone(),
            rank,
            deadline: pending.deadline,
            bytes: pending.body.len(),
        };
        let tier = self.in_force.tiers().iter().find(|t| t.rank == rank);
        let limits = Limits {
            max_bytes: self.args.limits.max_waiting_bytes,
            max_of_tier: tier.map_or(WAITING_UNKNOWN_TIER, |t| t.max_waiting),
        };
        match self.queue.push(waiting, limits) {
            Outcome::Queued(displaced) => {
                for id in displaced {
                    let message = "work of a higher tier took the place";
                    let retry = self.drain_ms();
                    self.refuse_id(id, Refusal::not_run(Reason::Displaced, retry, message));
                }
                let load = self.load(pending.item.as_ref());
                let _ = pending.events.send(Event::Queued(load));
                let id = pending.offer.id;
                let at = self.pending.partition_point(|p| p.offer.id < id);
                self.pending.insert(at, pending);
            }
            Outcome::Refused(reason) => {
                let refusal = Refusal::not_run(reason, self.drain_ms(), "the queue is full");
                self.refuse(pending, refusal);
            }
        }
    }

    /// Gives free slots to the first requests whose model is loaded.
    pub(crate) fn hand_out(&mut self) {
        while self.active.len() < self.slots() {
            let (ledger, in_force) = (&self.ledger, &self.in_force);
            let next = self.queue.pop(|w| {
                let item = w.item.as_ref();
                item.is_none_or(|i| crate::loads::is_current(ledger, in_force, i))
            });
            let Some(next) = next else {
                return;
            };
            self.touch(next.item.as_ref());
            self.active.push(Active {
                id: next.id,
                item: next.item,
                started: false,
            });
            self.make_ready(next.id);
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
        let answer = Answer::new(self.args.limits.max_answer_bytes.into());
        let at = self.answers.partition_point(|(other, _)| *other < id);
        self.answers.insert(at, (id, answer.clone()));
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
        let at = self.answers.binary_search_by_key(&id, |(other, _)| *other);
        match at {
            Ok(i) => Ok(self.answers[i].1.clone()),
            Err(_) => {
                let message = "the answer is no longer kept";
                Err(Refusal::may_have_run(Reason::LinkLost, 0, message))
            }
        }
    }

    pub(crate) fn run_ended(&mut self, id: RequestId, run: Duration, suspect: bool) {
        if let Some(i) = self.active.iter().position(|a| a.id == id) {
            let ended = self.active.swap_remove(i);
            self.touch(ended.item.as_ref());
        }
        self.runs.end(self.now(), id);
        if suspect {
            self.relist = self.args.engine.is_some();
        } else {
            self.mean_run = (self.mean_run * 7 + run) / 8;
        }
    }

    pub(crate) fn forget(&mut self, id: RequestId) {
        self.answers.retain(|(other, _)| *other != id);
    }

    /// Refuses what can no longer be answered in time: its caller has to know now.
    pub(crate) fn expire(&mut self) {
        let now = self.now();
        for gone in self.queue.take_if(|w| w.deadline <= now) {
            let message = "the deadline passed while the request waited";
            let retry = self.drain_ms();
            let refusal = Refusal::not_run(Reason::DeadlinePassed, retry, message);
            self.refuse_id(gone.id, refusal);
        }
    }

    /// Refuses what waits for a model that may not be held any more.
    pub(crate) fn refuse_ungranted(&mut self) {
        let in_force = &self.in_force;
        let gone = self.queue.take_if(|w| {
            let item = w.item.as_ref();
            item.is_some_and(|i| in_force.may_hold(&i.model).is_none())
        });
        for w in gone {
            let message = "the target gives the model back";
            let refusal = Refusal::not_run(Reason::NotGranted, ELSEWHERE_MS, message);
            self.refuse_id(w.id, refusal);
        }
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

    fn refuse(&mut self, pending: Pending, refusal: Refusal) {
        let id = pending.offer.id;
        self.runs.withdraw(self.now(), id);
        self.active.retain(|a| a.id != id || a.started);
        let load = self.load(pending.item.as_ref());
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

    fn expected_wait(&self, item: Option<&Item>, rank: TierRank, deadline: Duration) -> Duration {
        let ahead = self.queue.ahead(rank, deadline) + self.active.len();
        let rounds = ahead / self.slots();
        let queue = self.mean_run * u32::try_from(rounds).unwrap_or(u32::MAX);
        let cold = match item {
            Some(item) if !self.ledger.is_loaded(item) => self.mean_load,
            _ => Duration::ZERO,
        };
        queue.max(cold)
    }

    fn drain_ms(&self) -> u32 {
        let wait = self.expected_wait(None, TierRank(u8::MAX), Duration::MAX);
        millis(wait).max(ELSEWHERE_MS)
    }

    /// Returns the load as replies carry it.
    pub(crate) fn load(&self, item: Option<&Item>) -> Load {
        let wait = self.expected_wait(None, TierRank(u8::MAX), Duration::MAX);
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

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
