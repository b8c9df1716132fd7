//! Measures what control costs and how that grows, with small stand-ins on one machine.
//!
//! `cargo run --release -p stair-dev --example slopes` prints everything;
//! `docs/measurements/slopes.md` has a run, and `docs/CAPACITY.md` what follows from it.

mod cost;
mod fleet;
mod live;
mod proc;
mod size;

use stair_config::{
    TelemetrySettings,
    settings::LogLevel, //
};

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let Some((cost::STATE, numbers)) = args.split_first().map(|(a, n)| (a.as_str(), n)) {
        let numbers: Result<Vec<u32>, _> = numbers.iter().map(|n| n.parse()).collect();
        return cost::state_alone(&numbers?);
    }
    stair_telemetry::log::init(&TelemetrySettings {
        level: LogLevel::Error,
        ..TelemetrySettings::default()
    })?;
    println!(
        "Load average of the machine at the start: {}.\n",
        proc::busy()
    );
    cost::run()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(live::run())?;
    println!("Load average of the machine at the end: {}.", proc::busy());
    Ok(())
}
