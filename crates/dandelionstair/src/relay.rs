//! `dandelionstair relay`: an entry in front of targets that announce themselves.

use std::process::ExitCode;

use clap::ArgMatches;
use stair_config::fleet_settings;
use stair_telemetry::event;

use crate::process;

/// Runs a relay until a stop signal.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let settings = match process::settings(matches, fleet_settings::gateway) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    event::init(&settings.name)?;
    process::single_thread_runtime()?.block_on(async {
        let stop = process::stop_signal()?;
        let settings = process::reload_on_hangup(matches, settings, fleet_settings::gateway)?;
        stair_relay::process::run(settings, stop).await
    })?;
    event::flush();
    Ok(ExitCode::SUCCESS)
}
