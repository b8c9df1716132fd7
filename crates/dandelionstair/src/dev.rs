//! `dandelionstair dev`.

use std::{
    net::SocketAddr,
    process::ExitCode, //
};

use clap::ArgMatches;
use stair_config::{
    LogLevel,
    TelemetrySettings, //
};
use stair_dev::{
    Deployment,
    Options,
    sample, //
};
use stair_telemetry::log;

use crate::process;

/// Runs a small deployment with stand-ins until a stop signal.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    log::init(&TelemetrySettings {
        level: LogLevel::Warn,
        ..TelemetrySettings::default()
    })?;
    let mut opts = Options::sample(sample::catalogue()?);
    if let Some(listen) = matches.get_one::<SocketAddr>("listen") {
        opts.listen = *listen;
    }
    process::runtime()?.block_on(async {
        let mut stop = process::stop_signal()?;
        let deployment = tokio::select! {
            started = Deployment::start(opts) => started?,
            _ = stop.wait_for(|s| *s) => return Ok(ExitCode::SUCCESS),
        };
        print_addresses(&deployment);
        // The sender sets the value before it is dropped, so an error needs no handling.
        let _ = stop.wait_for(|s| *s).await;
        eprintln!("stopping");
        deployment.stop().await?;
        Ok(ExitCode::SUCCESS)
    })
}

fn print_addresses(deployment: &Deployment) {
    for entry in &deployment.entries {
        let addresses = entry.addresses();
        println!(
            "entry: callers on http://{}, operator on {}",
            addresses.listen, addresses.operator
        );
    }
    println!("platform stand-in: {}", deployment.platform.addr());
    println!(
        "sample keys: {} (better tier), {} (lower tier)",
        sample::INTERACTIVE_KEY,
        sample::BATCH_KEY
    );
    let Some(listen) = deployment.listen() else {
        return;
    };
    println!("\ntry a cold model, streamed:\n");
    println!(
        "  curl -N http://{listen}/v1/completions -H 'Authorization: Bearer {}' \\\n    \
         -d '{{\"model\": \"dandelion-small\", \"prompt\": \"Hello\", \"max_tokens\": 20, \
         \"stream\": true}}'",
        sample::INTERACTIVE_KEY
    );
    println!("\nCtrl-C ends it.");
}
