//! `dandelionstair apply`.

use std::{
    net::SocketAddr,
    process::ExitCode, //
};

use anyhow::Context;
use clap::ArgMatches;
use stair_config::Catalogue;
use stair_platform::{
    ObjectStore,
    apply::{
        Options,
        Outcome,
        apply, //
    }, //
};
use stair_types::{
    ApplyId,
    ConfigVersion, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    check,
    exit,
    operator::{
        self,
        POLL_INTERVAL, //
    },
    platform, //
};

/// Puts declarations in force; with `--wait`, waits until they are in force at all entries.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let declared = match check::catalogue(matches)? {
        Ok(declared) => declared,
        Err(code) => return Ok(code),
    };
    let store = platform::store(matches)?;
    operator::runtime()?.block_on(apply_and_wait(matches, &store, &declared))
}

async fn apply_and_wait<S>(
    matches: &ArgMatches,
    store: &S,
    declared: &Catalogue,
) -> anyhow::Result<ExitCode>
where
    S: ObjectStore,
{
    let from: Option<&u64> = matches.get_one("from");
    let opts = Options {
        apply_id: ApplyId(format!("{:032x}", rand::random::<u128>()).into()),
        from: from.copied().map(ConfigVersion),
        patience: operator::timeout(matches)?,
    };
    let deadline = operator::deadline(matches)?;
    let version = match report(apply(store, declared, &opts).await?) {
        Ok(version) => version,
        Err(code) => return Ok(code),
    };
    if !matches.get_flag("wait") {
        return Ok(ExitCode::SUCCESS);
    }
    let entries = matches.get_many::<SocketAddr>("entry");
    let entries: Vec<SocketAddr> = entries.context("--entry is missing")?.copied().collect();
    Ok(wait_for_entries(&entries, version, deadline).await)
}

// Prints the outcome. An `Err` is the exit code of the command.
fn report(outcome: Outcome) -> Result<ConfigVersion, ExitCode> {
    match outcome {
        Outcome::Applied(version) => {
            println!("Version {version} is applied.");
            Ok(version)
        }
        Outcome::Unchanged(version) => {
            println!("Nothing to change: version {version} has the same content.");
            Ok(version)
        }
        Outcome::Conflict { from, found } => {
            eprintln!(
                "conflict: made from version {from}, but version {found} is in force. Nothing was \
                 changed; run plan again."
            );
            Err(exit::CONFLICT.into())
        }
        Outcome::Undetermined(version) => {
            eprintln!(
                "unknown: the platform did not confirm whether version {version} took effect. Run \
                 plan to find out; applying the same files again is safe."
            );
            Err(exit::NOT_IN_TIME.into())
        }
    }
}

async fn wait_for_entries(
    entries: &[SocketAddr],
    version: ConfigVersion,
    deadline: Instant,
) -> ExitCode {
    let mut shown = String::new();
    loop {
        let mut lagging = Vec::new();
        for addr in entries {
            lagging.extend(lag(*addr, version).await);
        }
        if lagging.is_empty() {
            println!(
                "Version {version} is in force at all {} entries.",
                entries.len()
            );
            return ExitCode::SUCCESS;
        }
        let text = lagging.join("; ");
        if text != shown {
            eprintln!("waiting: {text}");
            shown = text;
        }
        if Instant::now() >= deadline {
            eprintln!("version {version} is applied, but was not in force everywhere in time");
            return exit::NOT_IN_TIME.into();
        }
        sleep(POLL_INTERVAL).await;
    }
}

// Returns the reason for which an entry is lagging. A later version is up to date too, since it
// was applied on top of `version`.
async fn lag(addr: SocketAddr, version: ConfigVersion) -> Option<String> {
    match operator::status(addr).await {
        Err(e) => Some(format!("{addr}: {e:#}")),
        Ok(status) if status.config < version.0 => {
            Some(format!("{addr} has version {}", status.config))
        }
        Ok(status) if status.agents_behind > 0 => {
            Some(format!("{addr} has {} agents behind", status.agents_behind))
        }
        Ok(_) => None,
    }
}
