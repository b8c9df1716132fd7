//! Puts the decisions under load, beside a named baseline each, and prints tables.
//!
//! With a path as its argument it also draws the curve of idle hours as SVG.
//!
//! Time is simulated and every random number is seeded, so that two runs print the same figures,
//! but for the cost of a decision. Only the decisions run here, with small fakes around them.
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
