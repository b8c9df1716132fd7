//! Keeps what targets state in their responses about the requests that they take.
//!
//! Entries tell each other of drains through agents: the engine's own one, and the [`owner`](crate::owner) of the
//! target's id, which also covers plain targets and engines whose agent ends with them.
//!
//! [`availability`](stair_fleet::availability) defines the decisions.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use platform_adapter::response::Stated;
use stair_fleet::{
    availability::{
        Change,
        Shared,
        Statement, //
    },
    msg::ToAgent,
    rate_limit::Source,
    target::Incarnation,
    view::TargetKey,
};
use stair_telemetry::event::Line;

use crate::{
    context::{
        Context,
        State, //
    },
    job::Job,
};

/// Applies what a response to a request for the target `key` states.
pub(crate) fn observe(cx: &Context, key: TargetKey, stated: &Stated) {
    let statement = stated.availability();
    let selected = {
        let state = cx.state();
        let target_state = state.view.get(key);
        // Most responses state nothing, and there are many.
        let ends_nothing = target_state.availability.backoff().is_none();
        if ends_nothing && statement == Statement::default() && stated.malformed().next().is_none()
        {
            return;
        }
        target_state.target.incarnation()
    };
    for e in stated.malformed() {
        Line::failure("availability.malformed")
            .text("target", &selected.id)
            .show("error", e)
            .write();
        count(cx, "malformed", Source::Response);
    }
    let Some(incarnation) = responding(cx, selected, stated) else {
        return;
    };
    apply(cx, &incarnation, &statement, Source::Response);
}

/// The incarnation that has responded: the selected one, unless the response names another one.
fn responding(cx: &Context, selected: Incarnation, stated: &Stated) -> Option<Incarnation> {
    match &stated.incarnation {
        Some(id) if *id != selected.id => {
            let state = cx.state();
            let other = state.view.all().find(|(_, s)| s.target.id == *id);
            other.map(|(_, s)| s.target.incarnation())
        }
        _ => Some(selected),
    }
}

fn apply(cx: &Context, incarnation: &Incarnation, statement: &Statement, source: Source) {
    let now = cx.now();
    let changes = {
        let mut state = cx.state();
        let changes = state
            .view
            .apply_statement(incarnation, statement, source, now);
        if source != Source::Process && changes.contains(&Change::Drain) {
            state.share_drain(incarnation, now);
        }
        changes
    };
    for change in &changes {
        Line::failure("availability")
            .text("target", &incarnation.id)
            .text("change", change.as_str())
            .text("source", source.as_str())
            .ms("time_ms", change.time())
            .write();
        count(cx, change.as_str(), source);
    }
    if !changes.is_empty() {
        cx.changed.notify_waiters();
    }
}

fn count(cx: &Context, change: &str, source: Source) {
    let labels = [("change", change), ("source", source.as_str())];
    cx.page.count("availability_total", &labels, 1);
}

/// Whether a target that was selected for a request still takes it.
pub(crate) fn takes(cx: &Context, job: &Job, key: TargetKey) -> bool {
    let now = cx.now();
    let (why, id) = {
        let state = cx.state();
        let target_state = state.view.get(key);
        if !target_state.target.runs(job.version()) {
            return false;
        }
        match target_state.availability.withheld(now) {
            None => return target_state.takes(now),
            Some(why) => (why, target_state.target.id.clone()),
        }
    };
    Line::failure("withheld")
        .text("id", &job.meta.id)
        .text("target", &id)
        .text("why", why.as_str())
        .write();
    let labels = [("why", why.as_str())];
    cx.page.count("withheld_total", &labels, 1);
    false
}

/// Handles what an agent has learnt by itself or from other entries.
pub(crate) fn receive(cx: &Context, shared: &[Shared]) {
    for s in shared {
        apply(cx, &s.incarnation, &s.statement, Source::Process);
    }
}

/// Tells an agent which targets drain. A restarted agent does not know.
pub(crate) fn link_began(cx: &Context, engine: SocketAddr) {
    let state = cx.state();
    let drains: Vec<Shared> = state.view.drains().map(Shared::drain).collect();
    if let Some(i) = state.agent(engine)
        && !drains.is_empty()
    {
        // The queue of a new link is empty.
        let _ = state.agents[i].tx.try_send(ToAgent::Availability(drains));
    }
}

impl State {
    pub(crate) fn share_drain(&mut self, incarnation: &Incarnation, now: Duration) {
        let own = self.view.all().find(|(_, s)| s.is_of(incarnation));
        let own = own.map(|(_, s)| s.target.addr);
        let owner = self.owner(&incarnation.id, now).map(|o| o.engine);
        let mut agents: Vec<SocketAddr> = own.into_iter().chain(owner).collect();
        agents.dedup();
        for i in agents.into_iter().filter_map(|addr| self.agent(addr)) {
            let shared = vec![Shared::drain(incarnation.clone())];
            // A full queue drops the message: the other entries learn it from their own responses.
            let _ = self.agents[i].tx.try_send(ToAgent::Availability(shared));
        }
    }
}
