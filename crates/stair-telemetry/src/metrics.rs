//! Metrics sent to statsd over UDP.
//!
//! A separate thread writes metrics from a bounded queue to a non-blocking socket. When the queue
//! is full, metrics are dropped: a slow or missing statsd must not delay requests.

use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::Arc,
    time::Duration, //
};

use anyhow::Context;
use cadence::{
    BufferedUdpMetricSink,
    Counted,
    Gauged,
    QueuingMetricSink,
    StatsdClient,
    Timed, //
};
use stair_types::{
    Reason,
    TierName,
    Verdict, //
};

/// The prefix of all metric names.
pub const PREFIX: &str = "dandelionstair";

/// Metrics that may wait for the socket: a few seconds of a busy entry, about 2 MB.
const QUEUE_LIMIT: usize = 16_384;

/// Where the weights of a model came from in a cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The memory of the VM.
    Memory,
    /// The disk cache of the VM.
    Disk,
    /// The weight store.
    Remote,
}

impl Source {
    /// Returns the value of the tag.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Remote => "remote",
        }
    }
}

/// How a load ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The engine has loaded the model.
    Loaded,
    /// The engine refused the order or failed.
    Failed,
    /// The reply was lost; the inventory of the engine reconciles the order.
    Unknown,
}

impl LoadOutcome {
    /// Returns the value of the tag.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loaded => "loaded",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// The operation of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read one object.
    Get,
    /// Read all objects of one kind.
    List,
    /// Write an object.
    Put,
    /// Delete an object.
    Delete,
    /// Wait for changes.
    Watch,
}

impl PlatformCall {
    /// Returns the value of the tag.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Watch => "watch",
        }
    }
}

/// A measured duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Latency {
    /// From the arrival of a request to the first byte of the response.
    FirstByte,
    /// From the arrival of a request to the last byte of the response.
    Whole,
    /// From the arrival of a request at an agent to its start on the target.
    Queued,
    /// From the order to load a model until the engine has loaded it.
    ColdStart,
    /// A call to the platform.
    Platform,
}

impl Latency {
    /// Returns the name of the metric.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstByte => "request.first_byte",
            Self::Whole => "request.whole",
            Self::Queued => "request.queued",
            Self::ColdStart => "cold_start.time",
            Self::Platform => "platform.time",
        }
    }
}

/// The metrics of one process. Cloning shares the socket.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Creates a client of statsd at `addr`, or a disabled one without an address.
    ///
    /// # Errors
    ///
    /// Fails when the UDP socket cannot be set up.
    pub fn new(addr: Option<SocketAddr>) -> anyhow::Result<Self> {
        let Some(addr) = addr else {
            return Ok(Self::disabled());
        };
        let local = match addr {
            SocketAddr::V4(_) => "0.0.0.0:0",
            SocketAddr::V6(_) => "[::]:0",
        };
        let socket = UdpSocket::bind(local).context("cannot bind a socket for metrics")?;
        socket
            .set_nonblocking(true)
            .context("cannot make the socket for metrics non-blocking")?;
        let udp = BufferedUdpMetricSink::from(addr, socket)
            .with_context(|| format!("cannot send metrics to {addr}"))?;
        let sink = QueuingMetricSink::with_capacity(udp, QUEUE_LIMIT);
        Ok(Self {
            client: Some(Arc::new(StatsdClient::from_sink(PREFIX, sink))),
        })
    }

    /// Creates a client that discards all metrics.
    pub fn disabled() -> Self {
        Self { client: None }
    }

    /// Sends the buffered metrics. Call it about once a second: the buffer is otherwise sent only
    /// when it is full.
    pub fn flush(&self) {
        if let Some(client) = &self.client {
            // A lost metric does not affect requests.
            let _ = client.flush();
        }
    }

    /// Counts a finished request of any verdict.
    pub fn request(&self, tier: &TierName, verdict: Verdict) {
        let tags = [("tier", tier.as_str()), ("verdict", verdict.as_str())];
        self.count("requests", 1, &tags);
    }

    /// Counts a request that ended with a refusal.
    pub fn refusal(&self, reason: Reason, verdict: Verdict) {
        let tags = [("reason", reason.as_str()), ("verdict", verdict.as_str())];
        self.count("refusals", 1, &tags);
    }

    /// Counts a limit that a target has named, changed or lifted, or that is malformed.
    pub fn limit_change(&self, change: &'static str) {
        self.count("limits", 1, &[("change", change)]);
    }

    /// Counts a change of what a target states about the requests that it takes, or a malformed value.
    pub fn availability_change(&self, change: &'static str) {
        self.count("availability", 1, &[("change", change)]);
    }

    /// Counts a request that was running on a target when it crashed.
    pub fn crashed_run(&self) {
        self.count("crashed_runs", 1, &[]);
    }

    /// Counts a request whose standing changed, on an agent that keeps a ledger of crashes.
    pub fn quarantine(&self, standing: &'static str) {
        self.count("quarantine", 1, &[("standing", standing)]);
    }

    /// Reports the number of requests of a tier that wait in this process.
    pub fn queue_length(&self, tier: &TierName, waiting: u64) {
        if let Some(client) = &self.client {
            let metric = client.gauge_with_tags("queue.length", waiting);
            metric.with_tag("tier", tier.as_str()).send();
        }
    }

    /// Reports the newest era of the platform that this process knows.
    pub fn platform_era(&self, era: u64) {
        if let Some(client) = &self.client {
            client.gauge_with_tags("platform.era", era).send();
        }
    }

    /// Counts a cold start that a request waited for.
    pub fn cold_start(&self, source: Source) {
        self.count("cold_starts", 1, &[("source", source.as_str())]);
    }

    /// Counts an order to load a model or adapter.
    pub fn load(&self, outcome: LoadOutcome) {
        self.count("loads", 1, &[("outcome", outcome.as_str())]);
    }

    /// Adds seconds during which an idle model occupied the accelerator.
    pub fn idle_accelerator_seconds(&self, seconds: u32) {
        self.count("idle_accelerator_seconds", i64::from(seconds), &[]);
    }

    /// Counts a call to the platform; a long-polling watch counts as one call.
    pub fn platform_call(&self, call: PlatformCall, succeeded: bool) {
        let outcome = if succeeded { "ok" } else { "failed" };
        let tags = [("call", call.as_str()), ("outcome", outcome)];
        self.count("platform.calls", 1, &tags);
    }

    /// Counts an unresponsive link that was replaced by one from a new local port.
    pub fn link_replaced(&self) {
        self.count("links.replaced", 1, &[]);
    }

    /// Reports a measured duration.
    pub fn latency(&self, which: Latency, time: Duration) {
        if let Some(client) = &self.client {
            client.time_with_tags(which.as_str(), time).send();
        }
    }

    fn count(&self, name: &str, by: i64, tags: &[(&str, &str)]) {
        let Some(client) = &self.client else {
            return;
        };
        let mut metric = client.count_with_tags(name, by);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }
}
