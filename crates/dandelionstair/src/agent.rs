//! `dandelionstair agent`.

use std::process::ExitCode;

use anyhow::bail;
use clap::ArgMatches;

/// Runs an agent.
pub(crate) fn run(_matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    bail!("`agent` is not built yet")
}
