//! A scripted agent and an entry's traffic before it.
// Each test file is a crate of its own and uses a part of this, so what is unused differs and
// `expect` would not hold.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod agent;
pub mod relay;
pub mod rig;

use std::time::Duration;

/// Longest wait for what has to happen.
pub const LONG: Duration = Duration::from_secs(20);

/// Waits for what has to happen, and fails the test if it does not.
pub async fn in_time<F>(event: F) -> F::Output
where
    F: Future,
{
    let waited = tokio::time::timeout(LONG, event).await;
    waited.expect("what has to happen happens in time")
}
