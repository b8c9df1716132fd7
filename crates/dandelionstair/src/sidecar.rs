//! `dandelionstair sidecar`: the agent beside a model engine that announces itself.

use std::process::ExitCode;

use clap::ArgMatches;
use stair_config::fleet_settings;
use stair_telemetry::event;

use crate::process;

/// Runs a sidecar until a stop signal.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let settings = match process::settings(matches, fleet_settings::sidecar) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    event::init(&settings.name)?;
    process::single_thread_runtime()?.block_on(async {
        let stop = process::stop_signal()?;
        let settings = process::reload_on_hangup(matches, settings, fleet_settings::sidecar)?;
        stair_sidecar::process::run(settings, stop).await
    })?;
    event::flush();
    Ok(ExitCode::SUCCESS)
}
