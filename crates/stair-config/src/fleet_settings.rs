//! Settings of the programs that serve targets which announce themselves in the store.

use std::{
    net::SocketAddr,
    path::Path, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::DataCentre;

use crate::{
    fields::Fields,
    problem::Problems,
    yaml::Document, //
};

const GATEWAY_FIELDS: [&str; 11] = [
    "name",
    "data_centre",
    "listen",
    "ready",
    "inner",
    "agent_port",
    "metrics",
    "store",
    "stop_within_ms",
    "drain_within_ms",
    "retries",
];
const RETRY_FIELDS: [&str; 4] = ["ratio", "extra", "window_ms", "entries"];
const SIDECAR_FIELDS: [&str; 8] = [
    "name",
    "data_centre",
    "engine",
    "inner",
    "metrics",
    "store",
    "stop_within_ms",
    "fetch_window_ms",
];

const MAX_MS: u32 = 3_600_000;
const MAX_RETRIES: f64 = 1e6;

/// Entries that share the retries which no request pays for, when the settings do not say: twice a
/// usual deployment's five, since replaced ones have spent their part too.
const DEFAULT_ENTRIES: u32 = 10;

/// Time in which an engine begins one load from the weight store at most, when the settings do not
/// say: as long as the weight stores in use count, in milliseconds.
const DEFAULT_FETCH_WINDOW_MS: u32 = 5000;

/// Settings of an entry in front of targets that announce themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// The entry's name, unique in the deployment.
    pub name: Box<str>,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether to send new connections.
    pub ready: SocketAddr,
    /// Where other entries ask for what this one knows.
    pub inner: SocketAddr,
    /// The port at which each engine's agent listens, on the engine's VM.
    pub agent_port: u16,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The object store.
    pub store: SocketAddr,
    /// Time from SIGTERM until the process is killed, in milliseconds.
    pub stop_within_ms: u32,
    /// Time within which a target that is leaving gets its last request, in milliseconds.
    pub drain_within_ms: u32,
    /// The bound on retries for all entries together.
    pub retries: RetrySettings,
}

/// The bound on retries for all entries together, for each service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window that no request pays for.
    pub extra: f64,
    /// The window, in milliseconds.
    pub window_ms: u32,
    /// Entries that share `extra`.
    pub entries: u32,
}

/// Settings of the agent beside a model engine that announces itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SidecarSettings {
    /// The VM's name, which orders bear as their holder.
    pub name: Box<str>,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The engine.
    pub engine: SocketAddr,
    /// Where entries connect.
    pub inner: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The object store.
    pub store: SocketAddr,
    /// Time from SIGTERM until the process is killed, in milliseconds.
    pub stop_within_ms: u32,
    /// Time in which the engine begins one load from the weight store at most, in milliseconds.
    pub fetch_window_ms: u32,
}

/// Reads and checks an entry's settings.
///
/// # Errors
///
/// Everything that is wrong in the file.
pub fn gateway(path: &Path) -> Result<GatewaySettings, Problems> {
    GatewaySettings::try_from(&Document::read(path)?)
}

/// Reads and checks an agent's settings.
///
/// # Errors
///
/// Everything that is wrong in the file.
pub fn sidecar(path: &Path) -> Result<SidecarSettings, Problems> {
    SidecarSettings::try_from(&Document::read(path)?)
}

impl TryFrom<&Document> for GatewaySettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let settings = gateway_settings(&mut problems, document);
        problems.into_result(settings)
    }
}

impl TryFrom<&Document> for SidecarSettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let settings = sidecar_settings(&mut problems, document);
        problems.into_result(settings)
    }
}

fn gateway_settings(problems: &mut Problems, document: &Document) -> Option<GatewaySettings> {
    let fields = Fields::of_document(problems, document, &GATEWAY_FIELDS)?;
    let name = fields.text(problems, "name");
    let data_centre = fields.name(problems, "data_centre");
    let listen = fields.listener(problems, "listen");
    let ready = fields.listener(problems, "ready");
    let inner = fields.listener(problems, "inner");
    let agent_port = fields.integer(problems, "agent_port", 1..=u16::MAX, None);
    let metrics = fields.listener(problems, "metrics");
    let store = fields.address(problems, "store");
    let stop_within_ms = fields.integer(problems, "stop_within_ms", 1..=MAX_MS, None);
    let drain_within_ms = fields.integer(problems, "drain_within_ms", 0..=MAX_MS, None);
    let retries = retries(problems, &fields);
    Some(GatewaySettings {
        name: name?,
        data_centre: data_centre?,
        listen: listen?,
        ready: ready?,
        inner: inner?,
        agent_port: agent_port?,
        metrics: metrics?,
        store: store?,
        stop_within_ms: stop_within_ms?,
        drain_within_ms: drain_within_ms?,
        retries: retries?,
    })
}

fn retries(problems: &mut Problems, parent: &Fields<'_>) -> Option<RetrySettings> {
    let fields = parent.map(problems, "retries", &RETRY_FIELDS)?;
    let ratio = fields.number(problems, "ratio", 0.0..=MAX_RETRIES, 0.1);
    let extra = fields.number(problems, "extra", 0.0..=MAX_RETRIES, 0.1);
    let window_ms = fields.integer(problems, "window_ms", 1..=MAX_MS, None);
    let entries = fields.integer(problems, "entries", 1..=10_000, Some(DEFAULT_ENTRIES));
    Some(RetrySettings {
        ratio: ratio?,
        extra: extra?,
        window_ms: window_ms?,
        entries: entries?,
    })
}

fn sidecar_settings(problems: &mut Problems, document: &Document) -> Option<SidecarSettings> {
    let fields = Fields::of_document(problems, document, &SIDECAR_FIELDS)?;
    let name = fields.text(problems, "name");
    let data_centre = fields.name(problems, "data_centre");
    let engine = fields.address(problems, "engine");
    let inner = fields.listener(problems, "inner");
    let metrics = fields.listener(problems, "metrics");
    let store = fields.address(problems, "store");
    let stop_within_ms = fields.integer(problems, "stop_within_ms", 1..=MAX_MS, None);
    let fetch_window_ms = fields.integer(
        problems,
        "fetch_window_ms",
        0..=MAX_MS,
        Some(DEFAULT_FETCH_WINDOW_MS),
    );
    Some(SidecarSettings {
        name: name?,
        data_centre: data_centre?,
        engine: engine?,
        inner: inner?,
        metrics: metrics?,
        store: store?,
        stop_within_ms: stop_within_ms?,
        fetch_window_ms: fetch_window_ms?,
    })
}
