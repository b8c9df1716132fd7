//! Decides what to do with a request whose best target is slow: send it, load a further replica, or
//! refuse it.
//!
//! When a fleet restarts empty, or the demand for a model rises faster than its replicas, all
//! requests would queue at the one replica and most would time out, while a copy on another engine
//! could run them within a second.

use std::time::Duration;

use crate::{
    choose,
    cold_start, //
};

/// Fraction of the objective up to which a target is fast enough.
const FAST_FRACTION: f64 = 0.5;

/// Cost up to which a further replica is loaded for a slow target, in milliseconds.
const MAX_REPLICA_COST_MS: f64 = 2500.0;

/// Fraction of the wait that a load has to save for a request to wait for it.
const MIN_SAVED_FRACTION: f64 = 0.3;

/// Fraction of the remaining time beyond which the wait at a target is too long. Above 1, as the
/// estimate is rough.
const REFUSAL_FRACTION: f64 = 1.2;

/// What to do with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the target.
    Send,
    /// Send it, and load a further replica for the requests that follow.
    SendAndLoad,
    /// Load a replica and wait for it.
    Load,
    /// Refuse it: nothing can run it in time.
    Refuse,
}

/// Whether a target is fast enough, so that no placement for a load has to be searched.
pub fn is_fast(best: &choose::Outcome, objective: Duration) -> bool {
    best.wait_ms <= FAST_FRACTION * objective.as_secs_f64() * 1000.0
}

/// Decides by the best target and the best placement of a replica, if they exist. `remaining` is
/// the time until the request's deadline.
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
