//! `dandelionstair dev`.

use std::process::ExitCode;

use anyhow::bail;
use clap::ArgMatches;

/// Runs a small deployment with stand-ins.
pub(crate) fn run(_matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    bail!("`dev` is not built yet")
}
