//! Calls to the operator's listener of a process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anyhow::{
    Context,
    bail, //
};
use bytes::Bytes;
use clap::ArgMatches;
use http_body_util::Full;
use hyper::{
    Method,
    Request, //
};
use serde::Deserialize;
use serde_json::Value;
use stair_http::{
    Client,
    client, //
};
use tokio::{
    runtime::{
        Builder,
        Runtime, //
    },
    time::Instant, //
};

/// Longer than the listener itself waits for its process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A dump of a process with all models and adapters has a few megabytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Pause between two looks at a process.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What `GET /status` answers, as far as commands need it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Status {
    /// The version of the configuration in force.
    pub(crate) config: u64,
    /// Agents that the entry has not yet seen to have the version.
    #[serde(default)]
    pub(crate) agents_behind: u64,
}

/// Makes the runtime of a command.
pub(crate) fn runtime() -> anyhow::Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")
}

/// Returns the address argument.
pub(crate) fn addr(matches: &ArgMatches) -> anyhow::Result<SocketAddr> {
    let addr: Option<&SocketAddr> = matches.get_one("operator");
    addr.copied().context("ADDR is missing")
}

/// Returns the instant at which `--timeout` has passed.
pub(crate) fn deadline(matches: &ArgMatches) -> anyhow::Result<Instant> {
    Ok(Instant::now() + timeout(matches)?)
}

/// Returns `--timeout`.
pub(crate) fn timeout(matches: &ArgMatches) -> anyhow::Result<Duration> {
    let seconds: Option<&u64> = matches.get_one("timeout");
    let seconds = seconds.context("--timeout is missing")?;
    Ok(Duration::from_secs(*seconds))
}

/// Calls a page of a process.
pub(crate) async fn call(addr: SocketAddr, method: Method, path: &str) -> anyhow::Result<Value> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(Bytes::new()))?;
    let client = Client::new(addr, client::Options::default());
    let what = || format!("no status of the process at {addr}");
    let response = client
        .send(req, RESPONSE_TIMEOUT)
        .await
        .with_context(what)?;
    let status = response.head.status;
    let body = response
        .collect(MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT)
        .await
        .with_context(what)?;
    let value: Value = serde_json::from_slice(&body)
        .with_context(|| format!("the process at {addr} answered something other than JSON"))?;
    if !status.is_success() {
        let error = value["error"].as_str().unwrap_or("no reason given");
        bail!("the process at {addr} answered {status}: {error}");
    }
    Ok(value)
}

/// Reads the status of a process.
pub(crate) async fn status(addr: SocketAddr) -> anyhow::Result<Status> {
    let value = call(addr, Method::GET, "/status").await?;
    serde_json::from_value(value).with_context(|| format!("the status of {addr} has no `config`"))
}
