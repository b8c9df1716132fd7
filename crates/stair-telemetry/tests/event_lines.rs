//! Structured lines are rate-limited and never block on a slow reader.

use std::time::{
    Duration,
    Instant, //
};

use stair_telemetry::event::{
    self,
    Line, //
};

/// Guards against a burst that blocks the process: ten thousand lines, ten times the usual number,
/// are written at once, and the caller must not wait for the logging thread. Lines about failures
/// are exempt from the rate limit.
#[test]
fn burst_does_not_wait() {
    event::init("p\"1").expect("a logger");
    let start = Instant::now();
    for i in 0..10_000 {
        Line::new("usual")
            .num("n", i)
            .text("text", "a\"b\n")
            .write();
    }
    Line::failure("kept").write();
    assert!(start.elapsed() < Duration::from_secs(2));
    event::flush();
}
