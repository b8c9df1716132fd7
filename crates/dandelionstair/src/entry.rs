//! `dandelionstair entry`.

use std::process::ExitCode;

use clap::ArgMatches;
use serde_json::json;
use stair_config::read_settings;
use stair_entry::Entry;
use stair_telemetry::log;

use crate::process;

/// Runs an entry until a stop signal or a drain request.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let settings = match process::settings(matches, read_settings::entry) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    log::init(&settings.telemetry)?;
    let keys = process::keys(&settings.tls)?;
    let store = process::store(settings.platform);
    process::runtime()?.block_on(async {
        let mut stop = process::stop_signal()?;
        let entry = Entry::start(settings, keys, store).await?;
        let addresses = entry.addresses();
        process::print_ready(&json!({
            "listen": addresses.listen,
            "link": addresses.link,
            "operator": addresses.operator,
        }))?;
        tokio::select! {
            _ = stop.wait_for(|s| *s) => {}
            () = entry.drain_requested() => {}
        }
        entry.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}
