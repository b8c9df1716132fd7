//! Admission: which requests wait for a slot of the target, and which are refused at once.

use std::time::Duration;

use bytes::Bytes;
use stair_config::TargetSettings;
use stair_policy::queue::{
    Estimate,
    Item as Waiting,
    Options,
    Outcome,
    Queue, //
};
use stair_state::ledger::Item;
use stair_types::{
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
    control::{
        Core,
        Unstarted, //
    },
    msg::OfferEvent,
    refuse::{
        drain_retry_ms,
        draining_refusal,
        engine_down_refusal,
        millis, //
    },
};

/// Retry delay of a refusal after which another target has to serve the request, in milliseconds.
pub(crate) const RETRY_ELSEWHERE_MS: u32 = 100;

impl Core {
    /// Queues an offer or refuses it at once.
    ///
    /// A request that cannot finish before its deadline is refused immediately, while another
    /// target may still serve it. Under load it would otherwise take a slot from a request that can
    /// finish, and its caller would wait in vain.
    pub(crate) fn admit(
        &mut self,
        offer: Box<Offer>,
        body: Bytes,
        events: mpsc::UnboundedSender<OfferEvent>,
    ) {
        let (now, id) = (self.now(), offer.id);
        self.adopt_limit(offer.limit);
        if !self.runs.offer(now, id) {
            let refusal = Refusal::may_have_run(Reason::Duplicate, 0, "offered before");
            let _ = events.send(OfferEvent::Refused(refusal, self.load(None)));
            return;
        }
        let checked = match (self.refuses_work(), self.engine_is_down()) {
            (true, _) => Err(draining_refusal()),
            (false, true) => Err(engine_down_refusal()),
            (false, false) => self.item_of(&offer.work).and_then(|item| {
                self.check_version(&offer)?;
                item.as_ref().map_or(Ok(()), |i| self.check_load(i))?;
                Ok(item)
            }),
        };
        let item = checked.as_ref().ok().cloned().flatten();
        let unstarted = Unstarted {
            key: self.items.key(item.as_ref()),
            deadline: now + Duration::from_millis(offer.time_left_ms.into()),
            offer,
            body,
            events,
        };
        match checked {
            Ok(_) => self.enqueue(unstarted),
            Err(refusal) => self.refuse(unstarted, refusal),
        }
    }

    /// Returns the item that a request needs, none for a plain service, or its refusal.
    fn item_of(&self, work: &Work) -> Result<Option<Item>, Refusal> {
        let not_granted = |message: &str| {
            let reason = Reason::NotGranted;
            Err(Refusal::not_run(reason, RETRY_ELSEWHERE_MS, message))
        };
        match (work, &self.args.target) {
            (Work::Service { service }, TargetSettings::Service { service: own, .. })
                if service == own =>
            {
                Ok(None)
            }
            (Work::Model { model, adapter }, TargetSettings::Engine { .. }) => {
                let Some(spec) = self.in_force.servable_model(model) else {
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

    fn enqueue(&mut self, unstarted: Unstarted) {
        let now = self.now();
        let waiting = self.waiting(&unstarted, now);
        let est = self.estimate(unstarted.key);
        match self.queue.push(now, waiting, &est) {
            Outcome::Queued { displaced } => {
                if let Some(id) = displaced {
                    let message = "work of a higher tier took the place";
                    self.refuse_later(id, Reason::Displaced, message);
                }
                self.record_arrival(unstarted.key);
                let load = self.load(self.items.get(unstarted.key));
                let _ = unstarted.events.send(OfferEvent::Queued(load));
                let id = unstarted.offer.id;
                let at = self.unstarted.partition_point(|p| p.offer.id < id);
                self.unstarted.insert(at, unstarted);
            }
            Outcome::Refused {
                reason,
                retry_after,
            } => {
                if !est.ready_in.is_zero() {
                    self.queue_on_demand(unstarted.key, unstarted.offer.rank);
                }
                let message = match reason {
                    Reason::QueueFull => "the queue is full",
                    _ => "the expected finish lies after the deadline",
                };
                let refusal = Refusal::not_run(reason, drain_retry_ms(retry_after), message);
                self.refuse(unstarted, refusal);
            }
        }
    }

    fn waiting(&self, unstarted: &Unstarted, now: Duration) -> Waiting<RequestId> {
        Waiting {
            key: unstarted.offer.id,
            rank: unstarted.offer.rank,
            deadline: unstarted.deadline,
            arrived: now,
            expected_run: self
                .items
                .expected_run(unstarted.key, unstarted.offer.max_tokens),
            bytes: u32::try_from(unstarted.body.len()).unwrap_or(u32::MAX),
            model: unstarted.key,
        }
    }

    /// Queues a load of a model for which a request was refused because the load takes too long.
    ///
    /// When every request has less time left than the expected load time, none of them is queued.
    /// Without this load the model would never be loaded, and a wrong estimate of its load time
    /// never corrected. Callers that retry find the model loaded.
    fn queue_on_demand(&mut self, key: ModelKey, rank: TierRank) {
        let Some(item) = self.items.get(key).cloned() else {
            return;
        };
        if !self.on_demand.iter().any(|(other, _)| *other == item) {
            self.on_demand.push((item, rank));
        }
    }

    /// Moves the waiting requests into a queue with other limits, and refuses those that no longer
    /// fit.
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

    /// Returns the number of requests that the target may run at once.
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
            slot_free_in: slot_free_in
                .max(self.limiter.next(now))
                .max(self.backoff_wait()),
            start_interval: self.limiter.interval().unwrap_or_default(),
            ready_in: self
                .items
                .get(key)
                .map_or(Duration::ZERO, |i| self.ready_in(i)),
        }
    }

    /// Returns the expected wait of a new request of the lowest tier for a loaded model.
    pub(crate) fn expected_wait(&self) -> Duration {
        let est = self.estimate(ModelKey(u32::MAX));
        self.queue
            .expected_wait(self.now(), TierRank(u8::MAX), &est)
    }

    /// Returns the agent's load for a reply; `item` is what the request needs.
    pub(crate) fn load(&self, item: Option<&Item>) -> Load {
        let wait = self.expected_wait();
        Load {
            running: u16::try_from(self.active.len()).unwrap_or(u16::MAX),
            waiting: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            expected_wait_ms: millis(wait),
            model_loaded: item.is_none_or(|i| self.ledger.is_loaded(i)),
            limit: self.stated_limit(),
        }
    }
}
