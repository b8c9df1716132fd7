//! Metrics by statsd over UDP.
//!
//! A metric goes to a bounded queue, and a thread of its own writes it to a non-blocking socket.
//! When the queue is full the metric is dropped: a slow or missing statsd must not slow a request.

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

/// The first part of every metric's name.
pub const PREFIX: &str = "dandelionstair";

/// Metrics that may wait for the socket. A few seconds' worth of a busy entry; about 2 MB.
const QUEUE_LIMIT: usize = 16_384;

/// Where a model's weights came from in a cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The VM's memory.
    Memory,
    /// The VM's disk cache.
    Disk,
    /// The weight store.
    Remote,
}

impl Source {
    /// Returns the text used as a tag.
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
    /// The engine holds the model.
    Loaded,
    /// The engine refused or failed.
    Failed,
    /// The answer was lost, and the engine's list has to settle it.
    Unknown,
}

impl LoadOutcome {
    /// Returns the text used as a tag.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loaded => "loaded",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// What a call asked of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read one object.
    Get,
    /// Read all objects of a kind.
    List,
    /// Write an object.
    Put,
    /// Delete an object.
    Delete,
    /// Wait for changes.
    Watch,
}

impl PlatformCall {
    /// Returns the text used as a tag.
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

/// A stretch of time that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Latency {
    /// From a request's arrival to the first byte of its answer.
    FirstByte,
    /// From a request's arrival to the last byte of its answer.
    Whole,
    /// From a request's arrival at an agent to its run.
    Queued,
    /// From the order to load a model until the engine holds it.
    ColdStart,
    /// A call to the platform.
    Platform,
}

impl Latency {
    /// Returns the metric's name.
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
    /// Makes metrics that go to statsd at `addr`, or nowhere without one.
    ///
    /// # Errors
    ///
    /// When no UDP socket can be had.
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

    /// Makes metrics that go nowhere.
    pub fn disabled() -> Self {
        Self { client: None }
    }

    /// Sends what the buffer holds. A process calls it about once a second, since the buffer
    /// sends by itself only when it is full.
    pub fn flush(&self) {
        if let Some(client) = &self.client {
            // Losing a metric harms no request.
            let _ = client.flush();
        }
    }

    /// Counts a request that is finished, whatever its end.
    pub fn request(&self, tier: &TierName, verdict: Verdict) {
        let tags = [("tier", tier.as_str()), ("verdict", verdict.as_str())];
        self.count("requests", 1, &tags);
    }

    /// Counts a request that was given up on.
    pub fn refusal(&self, reason: Reason, verdict: Verdict) {
        let tags = [("reason", reason.as_str()), ("verdict", verdict.as_str())];
        self.count("refusals", 1, &tags);
    }

    /// Reports how many requests of a tier wait in this process.
    pub fn queue_length(&self, tier: &TierName, waiting: u64) {
        if let Some(client) = &self.client {
            let metric = client.gauge_with_tags("queue.length", waiting);
            metric.with_tag("tier", tier.as_str()).send();
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

    /// Adds seconds during which the accelerator held an idle model.
    pub fn idle_accelerator_seconds(&self, seconds: u32) {
        self.count("idle_accelerator_seconds", i64::from(seconds), &[]);
    }

    /// Counts a call to the platform; a waiting watch is one.
    pub fn platform_call(&self, call: PlatformCall, succeeded: bool) {
        let outcome = if succeeded { "ok" } else { "failed" };
        let tags = [("call", call.as_str()), ("outcome", outcome)];
        self.count("platform.calls", 1, &tags);
    }

    /// Counts a link that fell silent and was replaced from a new local port.
    pub fn link_replaced(&self) {
        self.count("links.replaced", 1, &[]);
    }

    /// Reports a measured time.
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
