//! `dandelionstair check`.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use anyhow::Context;
use clap::ArgMatches;
use stair_config::{
    Catalogue,
    Problems,
    declarations,
    fleet_settings,
    read_settings, //
};

use crate::exit;

/// Checks the file or directory at `PATH` as `--kind` and prints a summary or all problems.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let path: &PathBuf = matches.get_one("path").context("PATH is missing")?;
    let kind: &String = matches.get_one("kind").context("--kind is missing")?;
    let checked = match kind.as_str() {
        "entry" => read_settings::entry(path).map(|s| format!("settings of entry {}", s.name)),
        "agent" => read_settings::agent(path).map(|s| format!("settings of agent {}", s.name)),
        "relay" => fleet_settings::gateway(path).map(|s| format!("settings of relay {}", s.name)),
        "sidecar" => {
            fleet_settings::sidecar(path).map(|s| format!("settings of sidecar {}", s.name))
        }
        _ => declarations::read(path).map(|c| summary(&c)),
    };
    match checked {
        Ok(text) => {
            println!("valid: {text}");
            Ok(ExitCode::SUCCESS)
        }
        Err(problems) => Ok(report(&problems)),
    }
}

/// Reads declarations, or prints all their problems and returns the exit code.
pub(crate) fn catalogue(matches: &ArgMatches) -> anyhow::Result<Result<Catalogue, ExitCode>> {
    let path: &PathBuf = matches.get_one("path").context("PATH is missing")?;
    Ok(declarations::read(path).map_err(|problems| report(&problems)))
}

fn report(problems: &Problems) -> ExitCode {
    eprintln!("{problems}");
    exit::USAGE.into()
}

fn summary(catalogue: &Catalogue) -> String {
    let adapters: usize = catalogue.models.iter().map(|m| m.adapters.len()).sum();
    format!(
        "models {}, adapters {adapters}, tiers {}, callers {}, services {}",
        catalogue.models.len(),
        catalogue.tiers.len(),
        catalogue.callers.len(),
        catalogue.services.len(),
    )
}
