//! Withholds loads that end the engine, as [`LoadCrashes`](stair_fleet::quarantine::LoadCrashes)
//! decides.

use std::time::Duration;

use stair_state::ledger::Item;
use stair_telemetry::{
    Part,
    warn, //
};
use stair_types::{
    Reason,
    Refusal, //
};

use crate::{
    control::Core,
    loads::{
        declared,
        requires, //
    },
};

impl Core {
    /// Records that the engine crashed during a load.
    pub(crate) fn load_crashed(&mut self, item: &Item, version: &str) {
        let now = self.now();
        let Some(duration) = self.load_crashes.crashed(item, version, now) else {
            return;
        };
        let model = &item.model;
        warn!(
            Part::Loads,
            "the engine crashed each time it loaded {model} {version}, which is not loaded for {duration:?}"
        );
        for id in self.remove_waiting_if(|_, needed| requires(Some(needed), item)) {
            self.refuse_id(id, refusal(duration));
        }
    }

    /// Refuses a request whose model or adapter ends the engine when it is loaded.
    ///
    /// # Errors
    ///
    /// The refusal, with the remaining time as the retry time.
    pub(crate) fn check_load(&self, item: &Item) -> Result<(), Refusal> {
        let mut quarantined = self
            .load_crashes
            .quarantined(self.now())
            .filter(|q| requires(Some(item), q.item))
            .filter(|q| self.is_declared(q.item, q.version));
        match quarantined.next() {
            Some(q) => Err(refusal(q.left)),
            None => Ok(()),
        }
    }

    fn is_declared(&self, item: &Item, version: &str) -> bool {
        declared(&self.in_force, item).is_some_and(|(current, _)| *current == *version)
    }
}

fn refusal(left: Duration) -> Refusal {
    let retry_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
    let message = "the engine crashed each time it loaded the model";
    Refusal::not_run(Reason::LoadFailed, retry_ms, message)
}
