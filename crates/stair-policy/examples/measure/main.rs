//! Puts the decisions under load, beside a named baseline each, and prints tables.
//!
//! Time is simulated and every random number is seeded, so that two runs print the same figures,
//! but for the cost of a decision. Only the decisions run here, with small fakes around them.
#![forbid(unsafe_code)]

mod engine;
mod loads;
mod retries;
mod saturation;
mod table;

fn main() {
    saturation::tiers();
    saturation::mix();
    loads::bursts();
    retries::storm();
    retries::returns();
}
