//! Two scenarios of the decisions under load, through real processes.
//!
//! The shipped binary runs as separate entry and agent processes over loopback; the stand-ins and
//! the callers run in this process. Prints Markdown tables:
//!
//!     cargo bench -p dandelionstair --bench real_path [-- burst] [-- saturation]

mod burst;
mod saturation;
#[path = "../../tests/promises/support/mod.rs"]
mod support;

use std::time::Duration;

#[tokio::main]
async fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    // Cargo adds `--bench` to the arguments.
    let wanted: Vec<&String> = wanted.iter().filter(|a| !a.starts_with("--")).collect();
    let is_wanted = |section: &str| wanted.is_empty() || wanted.iter().any(|w| *w == section);
    if is_wanted("burst") {
        burst::measure().await;
    }
    if is_wanted("saturation") {
        saturation::measure().await;
    }
}

/// Formats p50, p95, p99 and the greatest of times in seconds.
fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let Some(last) = times.last() else {
        return "-".to_owned();
    };
    let at = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize].as_secs_f64();
    let (p50, p95, p99) = (at(0.5), at(0.95), at(0.99));
    format!("{p50:.3} / {p95:.3} / {p99:.3} / {:.3}", last.as_secs_f64())
}
