//! Guards that count requests while they are served, or in flight at a target.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};

use stair_fleet::view::TargetKey;

use super::Context;
use crate::quarantine::Trial;

/// A request in flight at a target; counted until it is dropped.
pub struct InFlight {
    cx: Arc<Context>,
    key: TargetKey,
    engine: SocketAddr,
    names: Vec<Box<str>>,
    unread: u64,
    /// Dropping it ends the trial.
    _trial: Option<Box<Trial>>,
}

impl InFlight {
    /// Counts a request with `tokens` prompt tokens at a target, for a model and possibly an adapter.
    pub fn begin(
        cx: Arc<Context>,
        key: TargetKey,
        model: Option<&str>,
        adapter: Option<&str>,
        tokens: u64,
    ) -> Self {
        let mut names: Vec<Box<str>> = Vec::new();
        if let Some(model) = model {
            names.push(model.into());
            names.extend(adapter.map(|a| format!("{model}/{a}").into()));
        }
        let mut state = cx.state();
        let target_state = state.view.get_mut(key);
        target_state.in_flight += 1;
        target_state.unread_tokens += tokens;
        let engine = target_state.target.addr;
        for name in &names {
            state.begin_use(engine, name);
        }
        drop(state);
        Self {
            cx,
            key,
            engine,
            names,
            unread: tokens,
            _trial: None,
        }
    }

    /// Binds the trial of a suspect to this request.
    pub(crate) fn set_trial(&mut self, trial: Option<Trial>) {
        self._trial = trial.map(Box::new);
    }

    /// The target that the request was sent to.
    pub fn key(&self) -> TargetKey {
        self.key
    }

    /// Records that the engine has finished the prefill of the prompt.
    pub fn mark_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        let mut state = self.cx.state();
        let target_state = state.view.get_mut(self.key);
        target_state.unread_tokens = target_state.unread_tokens.saturating_sub(unread);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.mark_read();
        let mut state = self.cx.state();
        let target_state = state.view.get_mut(self.key);
        target_state.in_flight = target_state.in_flight.saturating_sub(1);
        for name in &self.names {
            state.end_use(self.engine, name);
        }
    }
}

/// A request being served; counted until it is dropped.
pub struct Serving(Arc<Context>);

impl Serving {
    /// Counts a request.
    pub fn begin(cx: Arc<Context>) -> Self {
        cx.serving.fetch_add(1, Ordering::Relaxed);
        Self(cx)
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.serving.fetch_sub(1, Ordering::Relaxed);
    }
}
