//! What the control tells statsd.

use std::time::Duration;

use stair_state::ledger::{
    Answer,
    Item,
    State, //
};
use stair_telemetry::metrics::{
    self,
    Latency,
    LoadOutcome, //
};

use crate::{
    control::Core,
    engine::{
        OrderOutcome,
        Source, //
    },
};

/// Time between reports of what has no event of its own.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

impl Core {
    /// Reports queue lengths and idle accelerator time, about once a second.
    pub(crate) fn emit_metrics(&mut self) {
        let now = self.now();
        if now - self.metrics_emitted < METRICS_INTERVAL {
            return;
        }
        self.metrics_emitted = now;
        // What was used no more and is gone from the engine is forgotten here as well.
        let ledger = &self.ledger;
        self.last_used
            .retain(|(item, _)| ledger.get(item).is_some());
        for tier in self.in_force.tiers() {
            let waiting = self.queue.waiting(tier.rank);
            let waiting = u64::try_from(waiting).unwrap_or(u64::MAX);
            self.args.metrics.queue_length(&tier.name, waiting);
        }
        let is_loaded = |e: &stair_state::ledger::Entry| e.state == State::Loaded;
        if self.active.is_empty() && self.ledger.entries().iter().any(is_loaded) {
            self.args.metrics.idle_accelerator_seconds(1);
        }
        self.args.metrics.flush();
    }

    pub(crate) fn emit_load_metrics(
        &self,
        item: &Item,
        outcome: OrderOutcome,
        source: Option<Source>,
        took: Duration,
    ) {
        let label = match outcome {
            OrderOutcome::Reply(Answer::Done) => LoadOutcome::Loaded,
            OrderOutcome::Reply(Answer::Lost) | OrderOutcome::NoReply => LoadOutcome::Unknown,
            _ => LoadOutcome::Failed,
        };
        let metrics = &self.args.metrics;
        metrics.load(label);
        if label != LoadOutcome::Loaded {
            return;
        }
        metrics.latency(Latency::ColdStart, took);
        if self.usage(item).waiting.is_some()
            && let Some(source) = source
        {
            metrics.cold_start(match source {
                Source::Memory => metrics::Source::Memory,
                Source::Disk => metrics::Source::Disk,
                Source::Remote => metrics::Source::Remote,
            });
        }
    }
}
