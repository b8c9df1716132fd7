//! What to do with a request whose best target is slow: send it, load a further replica, refuse it.
//!
//! The load it answers: a fleet that comes back empty, or a model whose demand rises faster than its
//! replicas. All requests would queue at the one replica that is there and most would time out,
//! while a copy on another engine could run them within a second.

use std::time::Duration;

use crate::{
    choose,
    cold_start, //
};

/// Part of the objective up to which a target is fast enough.
const FAST_FRACTION: f64 = 0.5;

/// Cost up to which a further replica is loaded for a slow target, in milliseconds.
const MAX_REPLICA_COST_MS: f64 = 2500.0;

/// A request waits for a replica instead of a target if that saves this part of the wait.
const MIN_SAVED_FRACTION: f64 = 0.3;

/// Part of the remaining time beyond which the wait at a target is hopeless. Above one, as the estimate is rough.
const REFUSAL_FRACTION: f64 = 1.2;

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the target.
    Send,
    /// Send it, and have a further replica loaded for those that follow.
    SendAndLoad,
    /// Have a replica loaded and wait for it.
    Load,
    /// Nothing can run it in time.
    Refuse,
}

/// Whether a target is fast enough, so that no other place has to be looked for.
pub fn is_fast(best: &choose::Outcome, objective: Duration) -> bool {
    best.wait_ms <= FAST_FRACTION * objective.as_secs_f64() * 1000.0
}

/// Decides by the best target and the best place to load a replica, each if there is one.
pub fn decide(
    best: Option<&choose::Outcome>,
    placement: Option<&cold_start::Outcome>,
    objective: Duration,
    remaining: Duration,
) -> Decision {
    let ms = |t: Duration| t.as_secs_f64() * 1000.0;
    let Some(best) = best else {
        return Decision::Load;
    };
    if is_fast(best, objective) {
        return Decision::Send;
    }
    let Some(placement) = placement else {
        let too_late = best.wait_ms > REFUSAL_FRACTION * ms(remaining);
        return if too_late {
            Decision::Refuse
        } else {
            Decision::Send
        };
    };
    let ready_ms = ms(placement.ready_in);
    if ready_ms < (1.0 - MIN_SAVED_FRACTION) * best.wait_ms && ready_ms < ms(remaining) {
        return Decision::Load;
    }
    if placement.cost_ms <= MAX_REPLICA_COST_MS {
        return Decision::SendAndLoad;
    }
    Decision::Send
}
