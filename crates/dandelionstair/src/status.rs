//! `dandelionstair status`.

use std::{
    net::SocketAddr,
    process::ExitCode, //
};

use clap::ArgMatches;
use hyper::Method;

use crate::{
    exit,
    operator, //
};

/// Prints one line for each process: its address, then its status as JSON or an error. Fails if any
/// process fails.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let addrs = matches.get_many::<SocketAddr>("operator");
    let runtime = operator::runtime()?;
    let mut all_succeeded = true;
    for addr in addrs.into_iter().flatten() {
        match runtime.block_on(operator::call(*addr, Method::GET, "/status")) {
            Ok(status) => println!("{addr} {status}"),
            Err(e) => {
                eprintln!("{addr} error: {e:#}");
                all_succeeded = false;
            }
        }
    }
    if all_succeeded {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(exit::FAILED.into())
    }
}
