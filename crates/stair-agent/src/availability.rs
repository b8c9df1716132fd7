//! Keeps what the target states in its responses about the requests that it takes.
//! [`availability`](stair_fleet::availability) defines the decisions.
//!
//! The target's incarnations have no ids here. The agent probes a target that shuts down, and the state ends when
//! the target is found to have ended.

use std::time::Duration;

use platform_adapter::response::Stated;
use stair_fleet::{
    availability::{
        Availability,
        Change,
        Withheld, //
    },
    rate_limit::Source,
};
use stair_telemetry::{
    Part,
    info,
    warn, //
};
use stair_types::{
    Reason,
    Refusal,
    RequestId, //
};

use crate::{
    control::Core,
    refuse::millis, //
};

/// Time after a backoff that waiting requests have to leave: the first one after it may be slow or rejected. With
/// less, requests start right before their deadlines and are cut.
const BACKOFF_MARGIN: Duration = Duration::from_millis(500);

impl Core {
    /// Applies what a response of the target states.
    pub(crate) fn availability_stated(&mut self, stated: &Stated, source: Source) {
        for e in stated.malformed() {
            warn!(Part::Engine, "a response of the target: {e}");
            self.args.metrics.availability_change("malformed");
        }
        let now = self.now();
        let changes = self.availability.apply(&stated.availability(), source, now);
        for change in changes {
            info!(
                Part::Engine,
                "availability {}: from {}, {:?}",
                change.as_str(),
                source.as_str(),
                change.time()
            );
            self.args.metrics.availability_change(change.as_str());
            match change {
                Change::Drain => self.target_drains(),
                Change::Backoff(_) => self.target_backs_off(),
                Change::BackoffEnded(_) => {}
            }
        }
    }

    fn target_drains(&mut self) {
        self.crashes_at_drain = self.crashes.count();
        self.crashes.set_draining(true);
        self.refuse_all_draining();
    }

    /// Refuses the requests that hold a slot and have not started, and those that can no longer finish in time.
    fn target_backs_off(&mut self) {
        self.unresponsive_since = None;
        let wait = self.availability.wait(self.now()).unwrap_or_default();
        let message = "the target wants no requests for some time";
        let refusal = Refusal::not_run(Reason::QueueFull, millis(wait), message);
        let ready: Vec<RequestId> = self
            .active
            .iter()
            .filter(|a| !a.started)
            .map(|a| a.id)
            .collect();
        for id in ready {
            self.refuse_id(id, refusal.clone());
        }
        self.rebuild_queue(self.queue_opts.clone());
    }

    /// Whether the target has asked for a backoff that is not over.
    pub(crate) fn backs_off(&self) -> bool {
        self.availability.withheld(self.now()) == Some(Withheld::Backoff)
    }

    /// The wait that requests have to expect for the end of a backoff.
    pub(crate) fn backoff_wait(&self) -> Duration {
        let wait = self.availability.wait(self.now()).unwrap_or_default();
        match self.backs_off() {
            true => wait.saturating_add(BACKOFF_MARGIN),
            false => wait,
        }
    }

    /// Ends the drain when the target has ended.
    pub(crate) fn watch_drain(&mut self) {
        if self.availability.drain().is_none() {
            return;
        }
        if self.crashes.count() == self.crashes_at_drain {
            self.crashes.watch();
            return;
        }
        info!(
            Part::Engine,
            "availability: the target that shut down has ended"
        );
        self.args.metrics.availability_change("drain-ended");
        self.availability = Availability::default();
        self.crashes.set_draining(false);
        self.relist = self.args.engine.is_some();
    }
}
