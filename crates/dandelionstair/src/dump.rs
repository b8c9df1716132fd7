//! `dandelionstair dump`.

use std::process::ExitCode;

use clap::ArgMatches;
use hyper::Method;

use crate::operator;

/// Prints the state dump of a process as indented JSON.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let addr = operator::addr(matches)?;
    let dump = operator::runtime()?.block_on(operator::call(addr, Method::GET, "/dump"))?;
    println!("{dump:#}");
    Ok(ExitCode::SUCCESS)
}
