//! The client of the platform for operators' commands.

use std::net::SocketAddr;

use anyhow::Context;
use clap::ArgMatches;
use stair_platform::HttpStore;

use crate::process;

/// Returns a client of the object store at `--platform`.
pub(crate) fn store(matches: &ArgMatches) -> anyhow::Result<HttpStore> {
    let addr: &SocketAddr = matches
        .get_one("platform")
        .context("--platform is missing")?;
    Ok(process::store(*addr))
}
