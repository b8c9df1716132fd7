//! Records what targets state in their responses about the requests that they take.
//!
//! [`availability`](stair_fleet::availability) defines the decisions.

use platform_adapter::response::Stated;
use stair_fleet::{
    availability::{
        Statement, //
    },
    rate_limit::Source,
    target::Incarnation,
    view::TargetKey,
};
use stair_telemetry::event::Line;

use crate::context::Context;

/// Applies what a response to a request for the target `key` states.
pub(crate) fn observe(cx: &Context, key: TargetKey, stated: &Stated) {
    let selected = cx.state().view.get(key).target.incarnation();
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
    apply(cx, &incarnation, &stated.availability(), Source::Response);
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
    let mut state = cx.state();
    let changes = state
        .view
        .apply_statement(incarnation, statement, source, now);
    drop(state);
    for change in changes {
        Line::failure("availability")
            .text("target", &incarnation.id)
            .text("change", change.as_str())
            .text("source", source.as_str())
            .ms("time_ms", change.time())
            .write();
        count(cx, change.as_str(), source);
    }
}

fn count(cx: &Context, change: &str, source: Source) {
    let labels = [("change", change), ("source", source.as_str())];
    cx.page.count("availability_total", &labels, 1);
}
