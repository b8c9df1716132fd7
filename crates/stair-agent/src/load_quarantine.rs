//! Withholds loads that end the engine.
//!
//! A load that ends the engine takes all its other models and runs down, and callers ask for the model
//! again. Loads are also interrupted by crashes of other causes, so it takes several in a row.

use std::time::Duration;

use stair_fleet::quarantine::QUARANTINE_DURATIONS;
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

/// Consecutive loads of an item during which the engine crashed, after which it is not loaded.
const MAX_CRASHES: u32 = 3;

/// Crashes of the engine during loads of one version of an item, without a complete load since.
#[derive(Debug, Clone)]
pub(crate) struct LoadCrashes {
    pub(crate) item: Item,
    version: Box<str>,
    count: u32,
    /// Number of quarantines so far.
    quarantines: usize,
    quarantined_until: Duration,
}

impl Core {
    /// Records that the engine crashed during a load.
    pub(crate) fn load_crashed(&mut self, item: &Item, version: &str) {
        let now = self.now();
        let same = |c: &LoadCrashes| c.item == *item && *c.version == *version;
        let i = self.load_crashes.iter().position(same);
        let i = i.unwrap_or_else(|| {
            self.load_crashes.retain(|c| c.item != *item);
            self.load_crashes.push(LoadCrashes {
                item: item.clone(),
                version: version.into(),
                count: 0,
                quarantines: 0,
                quarantined_until: Duration::ZERO,
            });
            self.load_crashes.len() - 1
        });
        let crashes = &mut self.load_crashes[i];
        crashes.count += 1;
        if crashes.count < MAX_CRASHES {
            return;
        }
        let last = QUARANTINE_DURATIONS.len() - 1;
        let duration = QUARANTINE_DURATIONS[crashes.quarantines.min(last)];
        crashes.quarantined_until = now + duration;
        crashes.quarantines += 1;
        let model = &item.model;
        warn!(
            Part::Loads,
            "the engine crashed {} times while it loaded {model} {version}, which is not loaded for {duration:?}",
            crashes.count
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
        let now = self.now();
        let mut quarantined = self
            .load_crashes
            .iter()
            .filter(|c| requires(Some(item), &c.item))
            .filter(|c| c.quarantined_until > now && self.is_declared(c));
        match quarantined.next() {
            Some(c) => Err(refusal(c.quarantined_until - now)),
            None => Ok(()),
        }
    }

    fn is_declared(&self, crashes: &LoadCrashes) -> bool {
        let current = declared(&self.in_force, &crashes.item);
        current.is_some_and(|(version, _)| *version == *crashes.version)
    }
}

fn refusal(left: Duration) -> Refusal {
    let retry_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
    let message = "the engine crashed each time it loaded the model";
    Refusal::not_run(Reason::LoadFailed, retry_ms, message)
}
