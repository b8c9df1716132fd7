//! Measures the decisions under simulated load, each beside a baseline, and prints tables.
//!
//! With a path as its argument it also draws the curve of idle hours as SVG.
//!
//! Time is simulated and all random numbers are seeded, so that every run prints the same figures except
//! the cost of a decision. Only the decisions are real code; engines, stores and clients are simulated.
#![forbid(unsafe_code)]

mod cost;
mod dispatch;
mod engine;
mod idle;
mod loads;
mod paper;
mod placing;
mod plot;
mod retries;
mod saturation;
mod slow;
mod table;

fn main() {
    saturation::tiers();
    saturation::mix();
    slow::slow_target();
    slow::detection();
    slow::stale_reports();
    slow::prefixes();
    placing::fleets();
    loads::bursts();
    let plots = idle::curve();
    retries::storm();
    retries::returns();
    cost::decisions();
    if let Some(path) = std::env::args().nth(1) {
        plot::draw(&path, &plots).expect("the plot can be written");
    }
}
