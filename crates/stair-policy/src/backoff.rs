//! Tells the refused when to come back.
//!
//! The load it is made for: thousands refused within the same second. The harm it prevents: all
//! of them coming back in the same later second, and being refused again.

use std::time::Duration;

/// Shortest time told. A caller that comes back sooner costs more than it can gain.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time told. Estimates beyond it are worth little, since load changes faster.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Returns when to come back, between the expected drain and twice that.
///
/// `spread` is a hash of the request, such as its id: the same refusal gives the same time, and
/// different ones are spread evenly over the second half, so that they return at about the rate at
/// which the queue drains.
pub fn retry_after(expected_drain: Duration, spread: u64) -> Duration {
    let base = expected_drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
    let fraction = crate::hash::mix(spread, 0) >> 32;
    let extra = (base.as_nanos() * u128::from(fraction)) >> 32;
    base + Duration::from_nanos(u64::try_from(extra).unwrap_or(u64::MAX))
}
