//! Failures of one request that targets reported themselves, until they are attributed.

use std::sync::Arc;

use stair_fleet::{
    outlier::{
        self,
        outliers, //
    },
    view::TargetKey, //
};
use stair_telemetry::event::Line;

use crate::{
    context::Context,
    job::Job, //
};

/// The failures of one request that have not been attributed to targets. Dropping this attributes them.
pub struct Failures {
    cx: Arc<Context>,
    id: Box<str>,
    keys: Vec<TargetKey>,
}

impl Failures {
    /// Returns an empty list for a request.
    pub fn new(cx: &Arc<Context>, job: &Job) -> Self {
        Self {
            cx: cx.clone(),
            id: job.meta.id.clone(),
            keys: Vec::new(),
        }
    }

    /// Records that a target ran the request and reported a failure.
    pub fn add(&mut self, key: TargetKey) {
        self.keys.push(key);
    }

    /// Records that another target served the request.
    pub fn served(&mut self) {
        self.put_down(true);
    }

    fn put_down(&mut self, served: bool) {
        let failed = std::mem::take(&mut self.keys);
        if failed.is_empty() {
            return;
        }
        let outliers = outliers(&outlier::Options {
            failed: &failed,
            served,
        });
        let mut state = self.cx.state();
        for key in outliers {
            state.view.get_mut(*key).record_attempt(false);
        }
        drop(state);
        Line::new("failures")
            .text("id", &self.id)
            .num("failed", failed.len() as i64)
            .num("put_down", outliers.len() as i64)
            .flag("served", served)
            .write();
    }
}

impl Drop for Failures {
    fn drop(&mut self) {
        self.put_down(false);
    }
}
