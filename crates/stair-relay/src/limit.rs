//! The limits that targets name in their responses.

use platform_adapter::Error;
use stair_fleet::{
    rate_limit::Rate,
    view::TargetKey, //
};
use stair_telemetry::event::Line;

use crate::context::Context;

/// Applies what a target's response states about its limit.
pub(crate) fn observe(cx: &Context, key: TargetKey, stated: Result<Option<Rate>, Error>) {
    let now = cx.now();
    let mut state = cx.state();
    let target_state = state.view.get_mut(key);
    let id = target_state.target.id.clone();
    let rate = match stated {
        Ok(rate) => rate,
        Err(e) => {
            drop(state);
            Line::failure("limit.malformed")
                .text("target", &id)
                .show("error", e)
                .write();
            cx.page.count("limits_total", &[("change", "malformed")], 1);
            return;
        }
    };
    let known = target_state.limit;
    if known.map(|l| l.rate) == rate {
        return;
    }
    target_state.limit =
        rate.map(|rate| stair_fleet::target_state::KnownLimit { rate, since: now });
    drop(state);
    let change = match (known, rate) {
        (None, _) => "named",
        (Some(_), Some(_)) => "changed",
        (Some(_), None) => "lifted",
    };
    let age = known.map_or_else(Default::default, |l| now.saturating_sub(l.since));
    let text = rate.map_or_else(|| "none".to_owned(), |r| r.to_string());
    Line::failure("limit")
        .text("target", &id)
        .text("change", change)
        .text("per_s", &text)
        .text("source", "response")
        .ms("age_ms", age)
        .write();
    cx.page.count("limits_total", &[("change", change)], 1);
}
