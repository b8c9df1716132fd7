//! Withholds loads that end the engine.

use std::time::Duration;

use super::Controller;

impl Controller {
    /// Records that the engine has ended during the loads that were in progress or unconfirmed.
    pub(super) fn record_load_crash(&mut self, now: Duration) {
        let in_progress = self.in_progress.take().filter(|d| d.load);
        let sequence = self.reading.as_ref().map_or(0, |r| r.sequence);
        let unconfirmed = self
            .unconfirmed
            .iter()
            .filter(|u| u.adapter.is_none() && u.planned_on >= sequence)
            .map(|u| u.model.clone());
        let models: Vec<Box<str>> = in_progress
            .map(|d| d.model)
            .into_iter()
            .chain(unconfirmed)
            .collect();
        for model in models {
            // The platform's declarations name no version of a model.
            if let Some(duration) = self.load_crashes.crashed(&model, "", now) {
                self.new_quarantines.push((model, duration));
            }
        }
    }

    /// Takes the models that are not loaded any more since the last call, and for how long.
    pub fn take_quarantined_loads(&mut self) -> Vec<(Box<str>, Duration)> {
        std::mem::take(&mut self.new_quarantines)
    }

    /// The models that are not loaded now, and the remaining times.
    pub fn quarantined_loads(&self, now: Duration) -> Vec<(Box<str>, Duration)> {
        let all = self.load_crashes.quarantined(now);
        all.map(|q| (q.item.clone(), q.left)).collect()
    }

    pub(super) fn is_quarantined(&self, model: &str, now: Duration) -> bool {
        let mut all = self.load_crashes.quarantined(now);
        all.any(|q| **q.item == *model)
    }
}
