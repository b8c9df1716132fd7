//! What targets state about their limits, and how entries and agents tell each other.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use platform_adapter::Error;
use stair_fleet::{
    rate_limit::{
        CachedLimit,
        Rate,
        Source,
        Statement,
        ToLedger, //
    },
    target_state::TargetLimit,
    view::TargetKey,
};
use stair_telemetry::event::Line;

use super::{
    CountedBy,
    Permit, //
};
use crate::context::Context;

/// Applies what a target's response states about its limit. `permit` is the one for the request.
pub(crate) fn observe(
    cx: &Context,
    key: TargetKey,
    stated: &Result<Option<Rate>, Error>,
    permit: Option<&Permit>,
) {
    let now = cx.now();
    let mut state = cx.state();
    let target: Box<str> = state.view.get(key).target.id.clone();
    let known = state.view.get(key).limit;
    let rate = match stated {
        Ok(rate) => *rate,
        Err(e) => {
            drop(state);
            Line::failure("limit.malformed")
                .text("target", &target)
                .show("error", e)
                .write();
            cx.page.count("limits_total", &[("change", "malformed")], 1);
            return;
        }
    };
    if rate.is_none() && (known.is_none() || permit.is_none()) {
        return;
    }
    let statement = Statement {
        rate,
        stamp: permit.map(|p| p.stamp),
        source: Source::Response,
    };
    let by = permit.map_or_else(|| state.counted_by(key, now), |p| p.by);
    let msg = ToLedger::Stated {
        target: target.clone(),
        statement,
    };
    state.send_to_limiter(by, msg, now);
    let change = match (rate, known) {
        // The agent decides whether a limit is lifted or raised, since it knows what has arrived.
        (Some(rate), None) => Some(Some(rate)),
        (Some(rate), Some(l)) if rate < l.rate => Some(Some(rate)),
        (_, Some(_)) if by == CountedBy::Entry => {
            let lifted = state.limits.own.limiter(&target, now).rate().is_none();
            (lifted || rate.is_some_and(|r| known.is_some_and(|l| r != l.rate))).then_some(rate)
        }
        _ => None,
    };
    drop(state);
    if let Some(rate) = change {
        apply(cx, key, rate, None, Source::Response);
    }
}

/// Sets a target's limit as this entry knows it, and logs the change.
pub(super) fn apply(
    cx: &Context,
    key: TargetKey,
    rate: Option<Rate>,
    epoch: Option<u64>,
    source: Source,
) {
    let now = cx.now();
    let mut state = cx.state();
    let target_state = state.view.get_mut(key);
    let target = target_state.target.id.clone();
    let before = target_state.limit;
    if before.map(|l| l.rate) == rate {
        if let Some(limit) = &mut target_state.limit {
            limit.epoch = epoch.or(limit.epoch);
        }
        return;
    }
    target_state.limit = rate.map(|rate| TargetLimit {
        rate,
        epoch,
        source,
        since: now,
        free_at: before.map_or(Duration::ZERO, |l| l.free_at),
    });
    drop(state);
    let change = match (before, rate) {
        (None, _) => "named",
        (Some(_), Some(_)) => "changed",
        (Some(_), None) => "lifted",
    };
    let age = before.map_or(Duration::ZERO, |l| now.saturating_sub(l.since));
    let text = rate.map(|r| r.to_string());
    Line::failure("limit")
        .text("target", &target)
        .text("change", change)
        .text("per_s", text.as_deref().unwrap_or("none"))
        .text("source", source.as_str())
        .ms("age_ms", age)
        .write();
    cx.page.count("limits_total", &[("change", change)], 1);
}

/// Applies the limits that an agent knows when its link begins, and tells it those that it does not
/// know.
pub(super) fn receive_all(
    cx: &Context,
    engine: SocketAddr,
    epoch: u64,
    limits: &[(Box<str>, Rate)],
) {
    let mut unknown = Vec::new();
    for (key, target, known) in counted_at(cx, engine) {
        let at = limits.binary_search_by(|(t, _)| (**t).cmp(&*target));
        match (at, known) {
            (Ok(i), _) => apply(cx, key, Some(limits[i].1), Some(epoch), Source::Process),
            (Err(_), Some(l)) if l.epoch == Some(epoch) => {
                apply(cx, key, None, Some(epoch), Source::Process);
            }
            (Err(_), Some(l)) => {
                let known = CachedLimit {
                    rate: l.rate,
                    epoch: l.epoch,
                };
                unknown.push((target, known));
            }
            (Err(_), None) => {}
        }
    }
    if !unknown.is_empty() {
        let now = cx.now();
        let msg = ToLedger::Known(unknown);
        cx.state()
            .send_to_limiter(CountedBy::Agent(engine), msg, now);
    }
}

/// The target with this id, if the agent of an engine counts it.
pub(super) fn counted_target(cx: &Context, engine: SocketAddr, target: &str) -> Option<TargetKey> {
    let now = cx.now();
    let mut state = cx.state();
    let (key, _) = state.view.all().find(|(_, s)| *s.target.id == *target)?;
    (state.counted_by(key, now).engine() == Some(engine)).then_some(key)
}

/// The targets that the agent of an engine counts, with their ids and limits.
fn counted_at(cx: &Context, engine: SocketAddr) -> Vec<(TargetKey, Box<str>, Option<TargetLimit>)> {
    let now = cx.now();
    let mut state = cx.state();
    let all: Vec<_> = state
        .view
        .all()
        .map(|(key, s)| (key, s.target.id.clone(), s.limit))
        .collect();
    all.into_iter()
        .filter(|(key, _, _)| state.counted_by(*key, now).engine() == Some(engine))
        .collect()
}
