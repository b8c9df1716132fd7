//! `dandelionstair drain`.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    process::ExitCode, //
};

use clap::ArgMatches;
use hyper::Method;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout_at, //
    }, //
};

use crate::{
    exit,
    operator::{
        self,
        POLL_INTERVAL, //
    }, //
};

/// Starts the drain of a process; with `--wait`, waits until the process has ended.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let addr = operator::addr(matches)?;
    let wait = matches.get_flag("wait");
    operator::runtime()?.block_on(async {
        let deadline = operator::deadline(matches)?;
        operator::call(addr, Method::POST, "/drain").await?;
        eprintln!("{addr} drains");
        if !wait {
            return Ok(ExitCode::SUCCESS);
        }
        if ended(addr, deadline).await {
            eprintln!("{addr} has ended");
            return Ok(ExitCode::SUCCESS);
        }
        eprintln!("{addr} has not ended in time; it still finishes its requests");
        Ok(exit::NOT_IN_TIME.into())
    })
}

// Only a refused connection proves that the process has ended. A timeout may be due to a broken
// network, behind which requests are still running.
async fn ended(addr: SocketAddr, deadline: Instant) -> bool {
    loop {
        match timeout_at(deadline, TcpStream::connect(addr)).await {
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return true,
            Ok(_) if Instant::now() < deadline => sleep(POLL_INTERVAL).await,
            _ => return false,
        }
    }
}
