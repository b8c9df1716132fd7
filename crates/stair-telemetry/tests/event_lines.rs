//! Structured lines: bounded, and never waiting for a reader that stands still.

use std::time::{
    Duration,
    Instant, //
};

use stair_telemetry::event::{
    self,
    Line, //
};

/// Ten thousand lines at once, ten times the usual. The writer must not wait for them to be
/// written, and lines about failures go before the others.
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
