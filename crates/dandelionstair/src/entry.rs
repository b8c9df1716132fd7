//! `dandelionstair entry`.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::ArgMatches;
use serde_json::json;
use stair_config::read_settings;
use stair_entry::Entry;
use stair_telemetry::log;

use crate::{
    exit,
    process, //
};

/// Runs an entry until it is told to stop.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return Ok(exit::USAGE.into());
    };
    let settings = match read_settings::entry(path) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return Ok(exit::USAGE.into());
        }
    };
    log::init(&settings.telemetry)?;
    let keys = process::keys(&settings.tls)?;
    let store = process::store(settings.platform);
    process::runtime()?.block_on(async {
        let mut stop = process::stop_signal()?;
        let entry = Entry::start(settings, keys, store).await?;
        let addresses = entry.addresses();
        process::say_ready(&json!({
            "listen": addresses.listen,
            "link": addresses.link,
            "operator": addresses.operator,
        }))?;
        tokio::select! {
            _ = stop.wait_for(|s| *s) => {}
            () = entry.drain_asked() => {}
        }
        entry.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}
