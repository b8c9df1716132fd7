//! A process's own settings: addresses, data centre, keys and limits.
//!
//! Everything here belongs to one process and does not change while it runs. What all processes
//! share is declared in the [`Catalogue`](crate::Catalogue).

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    DataCentre,
    EntryName,
    ServiceName,
    TargetName, //
};

/// Settings of `dandelionstair entry`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's name, unique in the deployment.
    pub name: EntryName,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where agents and other entries connect; UDP.
    pub link: SocketAddr,
    /// Where the operator asks for the state dump; never reachable for callers.
    pub operator: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Links of other entries, asked when the platform is down at start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Keys for links.
    pub tls: TlsSettings,
    /// Bounds towards callers.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Bounds of an entry towards its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Bytes of a request's body.
    pub max_body_bytes: u32,
    /// Connections of callers open at once.
    pub max_connections: u32,
    /// Requests in the entry at once, of all tiers.
    pub max_requests: u32,
    /// Bytes of request bodies in the entry at once.
    pub max_waiting_bytes: u64,
    /// Time for a request's head and for its body to arrive, in milliseconds.
    pub receive_timeout_ms: u32,
    /// Time a caller may leave an answer unread, in milliseconds.
    pub write_stall_ms: u32,
    /// Longest timeout that a caller may ask for, in milliseconds.
    pub max_timeout_ms: u32,
    /// A stopping entry goes on listening for so long, in milliseconds, and refuses what comes: the
    /// balancer needs a few health checks to notice. A connection that the balancer opened
    /// meanwhile would be reset otherwise, and its request cut.
    pub drain_linger_ms: u32,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_connections: 20_000,
            max_requests: 16_000,
            max_waiting_bytes: 64 << 20,
            receive_timeout_ms: 10_000,
            write_stall_ms: 15_000,
            max_timeout_ms: 600_000,
            drain_linger_ms: 5_000,
        }
    }
}

/// Settings of `dandelionstair agent`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The target's name, unique in the deployment and as in the platform's list of VMs.
    pub name: TargetName,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// Where entries connect; UDP.
    pub link: SocketAddr,
    /// The address that entries use, when an address translation stands before `link`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where the operator asks for the state dump.
    pub operator: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// The engine or plain service beside this agent.
    pub target: TargetSettings,
    /// Keys for links.
    pub tls: TlsSettings,
    /// Bounds of the agent.
    #[serde(default)]
    pub limits: AgentLimits,
    /// Logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// What stands beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum TargetSettings {
    /// A model engine.
    Engine {
        /// The engine's HTTP address.
        address: SocketAddr,
        /// Accelerator memory, in MiB.
        memory_mib: u32,
    },
    /// A plain service.
    Service {
        /// The service's HTTP address.
        address: SocketAddr,
        /// Which service it is.
        service: ServiceName,
    },
}

impl TargetSettings {
    /// Returns the HTTP address of what stands beside the agent.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine { address, .. } | Self::Service { address, .. } => *address,
        }
    }
}

/// Bounds of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentLimits {
    /// Bytes of request bodies waiting at once.
    pub max_waiting_bytes: u64,
    /// Bytes of one answer kept for a resume.
    pub max_answer_bytes: u32,
    /// Time an answer is kept after its link broke, in milliseconds.
    pub keep_answer_ms: u32,
    /// Time without a byte from the target after which a run is given up, in milliseconds.
    pub target_silence_ms: u32,
    /// Time for one load, in milliseconds.
    pub load_timeout_ms: u32,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            max_waiting_bytes: 32 << 20,
            max_answer_bytes: 8 << 20,
            keep_answer_ms: 10_000,
            target_silence_ms: 30_000,
            load_timeout_ms: 300_000,
        }
    }
}

/// Keys for mutual TLS on links, as PEM files. All processes trust one authority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The authority's certificate.
    pub authority: PathBuf,
    /// The process's certificate.
    pub certificate: PathBuf,
    /// The process's private key.
    pub key: PathBuf,
}

/// Where logs and metrics go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// One JSON object a line in place of text.
    pub json: bool,
    /// Where statsd listens; none sends no metrics.
    pub statsd: Option<SocketAddr>,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            json: false,
            statsd: None,
        }
    }
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Something is broken and stays so.
    Error,
    /// Something failed and is being handled.
    Warn,
    /// Changes of state an operator wants to see.
    Info,
    /// Details of decisions.
    Debug,
    /// Everything.
    Trace,
}
