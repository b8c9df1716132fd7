//! dandelionstair serves a large catalogue of rarely used models on a shared pool of accelerators.
//!
//! One binary contains all programs. Each subcommand has a module; [`cli`] defines the whole command
//! line.
#![forbid(unsafe_code)]

mod agent;
mod apply;
mod check;
mod cli;
mod dev;
mod drain;
mod dump;
mod entry;
mod exit;
mod explain;
mod losses;
mod operator;
mod plan;
mod platform;
mod process;
mod relay;
mod sidecar;
mod status;

use std::process::ExitCode;

use clap::ArgMatches;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match dispatch(&matches) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("error: {e:#}");
            exit::FAILED.into()
        }
    }
}

fn dispatch(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    match matches.subcommand() {
        Some(("entry", m)) => entry::run(m),
        Some(("agent", m)) => agent::run(m),
        Some(("relay", m)) => relay::run(m),
        Some(("sidecar", m)) => sidecar::run(m),
        Some(("dev", m)) => dev::run(m),
        Some(("check", m)) => check::run(m),
        Some(("plan", m)) => plan::run(m),
        Some(("apply", m)) => apply::run(m),
        Some(("status", m)) => status::run(m),
        Some(("explain", m)) => explain::run(m),
        Some(("losses", m)) => losses::run(m),
        Some(("dump", m)) => dump::run(m),
        Some(("drain", m)) => drain::run(m),
        // Unreachable: clap requires a subcommand and rejects unknown ones.
        _ => Ok(exit::USAGE.into()),
    }
}
