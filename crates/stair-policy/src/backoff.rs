//! Computes the retry delay for refused requests.
//!
//! Delays are spread out, so that thousands of requests refused in the same second do not return
//! together and are refused again.

use std::time::Duration;

/// Shortest delay. A client that retries sooner costs more than it can gain.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest delay. Load changes too fast for longer estimates to be of use.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Returns the retry delay, between the expected drain time and twice that.
///
/// `spread` is a hash of the request, such as its id. The same refusal gives the same delay; different
/// ones are spread evenly over the range, so that they return at about the rate at which the queue
/// drains. The expected drain time is limited to [`MIN_RETRY_AFTER`] and half of [`MAX_RETRY_AFTER`].
pub fn retry_after(expected_drain: Duration, spread: u64) -> Duration {
    let base = expected_drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
    let fraction = crate::hash::mix(spread, 0) >> 32;
    let extra = (base.as_nanos() * u128::from(fraction)) >> 32;
    base + Duration::from_nanos(u64::try_from(extra).unwrap_or(u64::MAX))
}
