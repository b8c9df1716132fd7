//! Scripted agents, and an entry's traffic half in front of them.
// Each test file is a separate crate and uses only some of these items. The unused ones differ, so
// `expect` would fail in some crates.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod agent;
pub mod relay;
pub mod rig;

use std::time::Duration;

/// Longest wait for an expected event.
pub const LONG: Duration = Duration::from_secs(20);

/// Waits for an expected event, and fails the test if it does not happen in time.
pub async fn in_time<F>(event: F) -> F::Output
where
    F: Future,
{
    let waited = tokio::time::timeout(LONG, event).await;
    waited.expect("the event happens in time")
}
