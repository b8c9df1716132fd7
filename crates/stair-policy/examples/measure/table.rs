//! Markdown tables, samples and random times.

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::rngs::StdRng;

/// Prints a heading, a description of the run, and the head of a table.
pub(crate) fn head(title: &str, what: &str, columns: &[&str]) {
    println!("\n## {title}\n\n{what}\n");
    println!("| {} |", columns.join(" | "));
    println!("|{}", " --- |".repeat(columns.len()));
}

/// Prints one row.
pub(crate) fn row(cells: &[String]) {
    println!("| {} |", cells.join(" | "));
}

/// Formats a share in percent.
pub(crate) fn percent(part: f64, whole: f64) -> String {
    match whole > 0.0 {
        true => format!("{:.1}%", part / whole * 100.0),
        false => "-".into(),
    }
}

/// Converts seconds to a [`Duration`]; negative times become zero.
pub(crate) fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// Draws an exponentially distributed time with this mean, in seconds.
pub(crate) fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    let unit: f64 = rng.random_range(1e-9..1.0);
    -unit.ln() * mean
}

/// Longest time that is recorded exactly.
const DAY_MS: u64 = 86_400_000;

/// Recorded times, with a resolution of a millisecond.
#[derive(Clone)]
pub(crate) struct Samples(Histogram<u64>);

impl Samples {
    pub(crate) fn new() -> Self {
        Self(Histogram::new_with_bounds(1, DAY_MS, 3).expect("the bounds are allowed"))
    }

    pub(crate) fn add(&mut self, seconds: f64) {
        self.0
            .saturating_record((seconds.max(0.0) * 1_000.0) as u64);
    }

    pub(crate) fn len(&self) -> u64 {
        self.0.len()
    }

    /// The time at a quantile, in seconds.
    pub(crate) fn at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Formats p50, p95 and p99 as one cell.
    pub(crate) fn cell(&self) -> String {
        match self.0.is_empty() {
            true => "-".into(),
            false => format!(
                "{:.2} / {:.2} / {:.2}",
                self.at(0.5),
                self.at(0.95),
                self.at(0.99)
            ),
        }
    }
}
