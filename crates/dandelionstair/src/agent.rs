//! `dandelionstair agent`.

use std::process::ExitCode;

use clap::ArgMatches;
use serde_json::json;
use stair_agent::Agent;
use stair_config::read_settings;
use stair_telemetry::log;

use crate::process;

/// Runs an agent until a stop signal or a drain request.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let settings = match process::settings(matches, read_settings::agent) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    log::init(&settings.telemetry)?;
    let keys = process::keys(&settings.tls)?;
    let store = process::store(settings.platform);
    process::runtime()?.block_on(async {
        let mut stop = process::stop_signal()?;
        // The start may wait long for the platform and the target; a stop signal interrupts it.
        let agent = tokio::select! {
            agent = Agent::start(settings, keys, store) => agent?,
            _ = stop.wait_for(|s| *s) => return Ok(ExitCode::SUCCESS),
        };
        process::print_ready(&json!({
            "link": agent.link_addr(),
            "operator": agent.operator_addr(),
            "incarnation": agent.incarnation(),
        }))?;
        agent.run_until(stop).await?;
        Ok(ExitCode::SUCCESS)
    })
}
