//! Requests to the operator listener of a process, and arguments that several commands share.

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

/// Timeout of a response; longer than the listener's own wait for its process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response, in bytes. A dump of a process with all models and adapters has a few
/// megabytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Interval between two requests while waiting for a process.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The fields of the response to `GET /status` that commands need.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Status {
    /// The version of the configuration in force.
    pub(crate) config: u64,
    /// Number of agents that have not reported this version to the entry.
    #[serde(default)]
    pub(crate) agents_behind: u64,
}

/// Creates the single-threaded runtime of a command.
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

/// Returns the instant at which `--timeout` expires, counted from now.
pub(crate) fn deadline(matches: &ArgMatches) -> anyhow::Result<Instant> {
    Ok(Instant::now() + timeout(matches)?)
}

/// Returns the duration of `--timeout`.
pub(crate) fn timeout(matches: &ArgMatches) -> anyhow::Result<Duration> {
    let seconds: Option<&u64> = matches.get_one("timeout");
    let seconds = seconds.context("--timeout is missing")?;
    Ok(Duration::from_secs(*seconds))
}

/// Sends a request without a body to a process and returns the JSON of the response.
///
/// # Errors
///
/// If the process cannot be reached, does not respond in time, or responds with an error status or
/// something other than JSON.
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
        .with_context(|| format!("the response of the process at {addr} is not JSON"))?;
    if !status.is_success() {
        let error = value["error"].as_str().unwrap_or("no reason given");
        bail!("the process at {addr} responded with {status}: {error}");
    }
    Ok(value)
}

/// Reads the status of a process.
pub(crate) async fn status(addr: SocketAddr) -> anyhow::Result<Status> {
    let value = call(addr, Method::GET, "/status").await?;
    serde_json::from_value(value).with_context(|| format!("the status of {addr} has no `config`"))
}
