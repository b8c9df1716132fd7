//! The settings of one entry or agent: addresses, data centre, keys and limits.
//!
//! Settings apply to one process and do not change while it runs. The configuration that all
//! processes share is in the [`Catalogue`](crate::Catalogue).

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
    /// The listener for callers; TCP.
    pub listen: SocketAddr,
    /// The listener for links of agents and other entries; UDP.
    pub link: SocketAddr,
    /// The listener for operators' commands, such as the state dump; must not be reachable for
    /// callers.
    pub operator: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Link addresses of other entries, which supply the configuration if the platform is down at
    /// start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Keys for links.
    pub tls: TlsSettings,
    /// Limits for callers.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Limits of an entry for its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Maximum size of one request body, in bytes.
    pub max_body_bytes: u32,
    /// Maximum number of open connections of callers.
    pub max_connections: u32,
    /// Maximum number of requests in the entry at once, of all tiers.
    pub max_requests: u32,
    /// Maximum size of all request bodies in the entry at once, in bytes.
    pub max_waiting_bytes: u64,
    /// Maximum time to receive a request's head, and again its body, in milliseconds.
    pub receive_timeout_ms: u32,
    /// Maximum time for which a caller may leave a response unread, in milliseconds.
    pub write_stall_ms: u32,
    /// Maximum timeout that a request may set, in milliseconds.
    pub max_timeout_ms: u32,
    /// Time for which a stopping entry keeps listening and refuses new requests, in milliseconds.
    /// The balancer needs a few health checks to detect the stop. Without this time, connections
    /// that it opens meanwhile would be reset and their requests interrupted.
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
    /// The target's name, unique in the deployment and equal to its name in the platform's list of
    /// VMs.
    pub name: TargetName,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The listener for links of entries; UDP.
    pub link: SocketAddr,
    /// The address that entries connect to, if `link` is behind an address translation.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The listener for operators' commands, such as the state dump.
    pub operator: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// The engine or plain service beside this agent.
    pub target: TargetSettings,
    /// Keys for links.
    pub tls: TlsSettings,
    /// Limits of the agent.
    #[serde(default)]
    pub limits: AgentLimits,
    /// Logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// The target beside an agent.
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
        /// The service's name in the catalogue.
        service: ServiceName,
    },
}

impl TargetSettings {
    /// Returns the target's HTTP address.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine { address, .. } | Self::Service { address, .. } => *address,
        }
    }
}

/// Limits of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentLimits {
    /// Maximum size of all waiting request bodies, in bytes.
    pub max_waiting_bytes: u64,
    /// Maximum size of one response that is buffered for a resume, in bytes.
    pub max_answer_bytes: u32,
    /// Time for which a response stays buffered after its link broke, in milliseconds.
    pub keep_answer_ms: u32,
    /// Time without a byte from the target after which a run is aborted, in milliseconds.
    pub target_silence_ms: u32,
    /// Maximum time for one load, in milliseconds.
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

/// Paths of the PEM files for mutual TLS on links. All processes trust one authority.
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

/// Settings of logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// The least severe level that is logged.
    pub level: LogLevel,
    /// Writes each log line as a JSON object instead of text.
    pub json: bool,
    /// The address of statsd; without it no metrics are sent.
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
    /// A fault that persists.
    Error,
    /// A failure that is being handled.
    Warn,
    /// Changes of state that matter to operators.
    Info,
    /// Details of decisions.
    Debug,
    /// All events.
    Trace,
}
