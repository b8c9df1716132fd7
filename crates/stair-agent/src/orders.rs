//! Orders to the engine and the handling of their outcomes.

use std::time::Duration;

use stair_state::ledger::{
    Answer,
    Item, //
};
use stair_telemetry::Part;
use stair_types::{
    Reason,
    Refusal,
    RequestId,
    TierRank, //
};
use stair_wire::control::LoadSlotRequest;
use tokio::time::Instant;

use crate::{
    control::{
        Core,
        Failure, //
    },
    engine::{
        OrderOutcome,
        Source, //
    },
    load_slot,
    loads::requires,
    msg::Msg, //
};

/// Retry delay after the first failed load. It doubles with each further failure up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Consecutive failed loads after which all requests that wait for the model are refused, while
/// there is time to serve them at another target.
const MAX_FAILURES: u32 = 3;

impl Core {
    pub(crate) fn spawn_load(
        &mut self,
        item: &Item,
        version: Box<str>,
        memory_mib: u32,
        rank: TierRank,
        deadline: Duration,
    ) {
        let Some(engine) = self.args.engine.clone() else {
            return;
        };
        stair_telemetry::info!(Part::Loads, "loading {} {version}", item.model);
        self.limiter.charge(self.now());
        self.orders += 1;
        self.loads += 1;
        self.loading.push((item.clone(), self.now()));
        self.record_use(Some(item));
        let left = deadline.saturating_sub(self.now());
        let request = LoadSlotRequest {
            rank,
            time_left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        };
        let entries = self.args.entries.borrow().clone();
        let (me, item, pool) = (self.me.clone(), item.clone(), self.args.pool.clone());
        let crashes = self.crashes.clone();
        tokio::spawn(async move {
            let slot = load_slot::acquire(&pool, &entries, request).await;
            let began = Instant::now();
            let crashes_before = crashes.count();
            let (outcome, source) = engine.load(&item, &version, memory_mib).await;
            drop(slot);
            let took = began.elapsed();
            let _ = me.send_message(Msg::LoadEnded {
                item: item.clone(),
                outcome,
                source,
                took,
            });
            let is_lost = matches!(
                outcome,
                OrderOutcome::NoReply | OrderOutcome::Reply(Answer::Lost)
            );
            if is_lost && crashes.next_crash(crashes_before).await.is_some() {
                let _ = me.send_message(Msg::LoadCrashed { item, version });
            }
        });
    }

    pub(crate) fn spawn_unload(&mut self, item: &Item) {
        let Some(engine) = self.args.engine.clone() else {
            return;
        };
        stair_telemetry::info!(Part::Loads, "unloading {}", item.model);
        self.limiter.charge(self.now());
        self.orders += 1;
        let (me, item) = (self.me.clone(), item.clone());
        tokio::spawn(async move {
            let outcome = engine.unload(&item).await;
            let _ = me.send_message(Msg::UnloadEnded { item, outcome });
        });
    }

    pub(crate) fn load_ended(
        &mut self,
        item: &Item,
        outcome: OrderOutcome,
        source: Option<Source>,
        took: Duration,
    ) {
        self.emit_load_metrics(item, outcome, source, took);
        self.orders -= 1;
        self.loading.retain(|(other, _)| other != item);
        match outcome {
            OrderOutcome::Reply(reply) => self.ledger.end_load(item, reply),
            OrderOutcome::NoReply => {
                self.ledger.end_load(item, Answer::Lost);
                self.record_unconfirmed(item);
            }
            OrderOutcome::Unexpected => {
                self.ledger.end_load(item, Answer::Refused);
                self.relist = true;
            }
            OrderOutcome::Superseded => {
                self.ledger.end_load(item, Answer::Refused);
                self.stop_superseded();
            }
        }
        if outcome == OrderOutcome::Reply(Answer::Done) {
            self.items.observe_load(item, took);
            self.failures.retain(|f| f.item != *item);
            self.load_crashes.loaded(item);
            self.record_use(Some(item));
            let key = self.items.key(Some(item));
            self.keep_alive.finished(key, self.now());
        } else {
            self.load_failed(item);
        }
    }

    pub(crate) fn unload_ended(&mut self, item: &Item, outcome: OrderOutcome) {
        self.orders -= 1;
        match outcome {
            OrderOutcome::Reply(reply) => self.ledger.end_unload(item, reply),
            OrderOutcome::NoReply => {
                self.ledger.end_unload(item, Answer::Lost);
                self.record_unconfirmed(item);
            }
            OrderOutcome::Unexpected => self.ledger.end_unload(item, Answer::Lost),
            OrderOutcome::Superseded => {
                self.ledger.end_unload(item, Answer::Lost);
                self.stop_superseded();
            }
        }
    }

    fn load_failed(&mut self, item: &Item) {
        let now = self.now();
        let count = match self.failures.iter().position(|f| f.item == *item) {
            Some(i) => self.failures.swap_remove(i).count + 1,
            None => 1,
        };
        let doubled = MIN_RETRY_DELAY * 2_u32.saturating_pow(count - 1).min(64);
        let retry_at = now + doubled.min(MAX_RETRY_DELAY);
        self.failures.push(Failure {
            item: item.clone(),
            count,
            retry_at,
        });
        if count >= MAX_FAILURES {
            self.refuse_waiting(item, "the model failed to load");
            return;
        }
        let finish = retry_at + self.items.expected_load(item);
        let waiting = self.queue.iter().filter(|w| w.deadline < finish);
        let late: Vec<RequestId> = waiting
            .filter(|w| requires(self.items.get(w.model), item))
            .map(|w| w.key)
            .collect();
        for id in &late {
            self.queue.remove(*id);
        }
        self.refuse_failed(late, "the model failed to load");
    }

    pub(crate) fn refuse_waiting(&mut self, item: &Item, message: &str) {
        let removed = self.remove_waiting_if(|_, needed| requires(Some(needed), item));
        self.refuse_failed(removed, message);
    }

    fn refuse_failed(&mut self, removed: Vec<RequestId>, message: &str) {
        for id in removed {
            let retry = u32::try_from(MAX_RETRY_DELAY.as_millis()).unwrap_or(u32::MAX);
            let refusal = Refusal::not_run(Reason::LoadFailed, retry, message);
            self.refuse_id(id, refusal);
        }
    }
}
