//! `dandelionstair entry`.

use std::process::ExitCode;

use anyhow::bail;
use clap::ArgMatches;

/// Runs an entry.
pub(crate) fn run(_matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    bail!("`entry` is not built yet")
}
