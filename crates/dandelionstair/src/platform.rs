//! The platform, as the operator's verbs reach it.

use std::net::SocketAddr;

use anyhow::Context;
use clap::ArgMatches;
use stair_platform::HttpStore;

use crate::process;

/// Returns the store at `--platform`.
pub(crate) fn store(matches: &ArgMatches) -> anyhow::Result<HttpStore> {
    let addr: &SocketAddr = matches
        .get_one("platform")
        .context("--platform is missing")?;
    Ok(process::store(*addr))
}
