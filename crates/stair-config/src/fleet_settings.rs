//! Settings of the programs `relay` and `sidecar`, whose targets announce themselves in the store.

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

const GATEWAY_FIELDS: [&str; 12] = [
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
    "quota_slack",
];
const RETRY_FIELDS: [&str; 4] = ["ratio", "extra", "window_ms", "entries"];
const SIDECAR_FIELDS: [&str; 11] = [
    "name",
    "data_centre",
    "engine",
    "inner",
    "metrics",
    "store",
    "stop_within_ms",
    "fetch_window_ms",
    "quota_slack",
    "fair_shares",
    "engine_estimates",
];

const MAX_MS: u32 = 3_600_000;
const MAX_RETRIES: f64 = 1e6;
const MAX_SLACK: f64 = 1e12;

/// Default of `retries.entries`: twice the usual five of a deployment, because an entry that was
/// replaced has spent its share of `extra` too.
const DEFAULT_ENTRIES: u32 = 10;

/// Default of `fetch_window_ms`, in milliseconds: the window over which the weight stores in use
/// count loads.
const DEFAULT_FETCH_WINDOW_MS: u32 = 5000;

/// Settings of `dandelionstair relay`, an entry in front of targets that announce themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// The entry's name, unique in the deployment.
    pub name: Box<str>,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The listener for clients.
    pub listen: SocketAddr,
    /// The listener for the balancer's readiness checks.
    pub ready: SocketAddr,
    /// The listener for queries of other entries.
    pub inner: SocketAddr,
    /// The port of the agent on each engine's VM.
    pub agent_port: u16,
    /// The listener for metrics.
    pub metrics: SocketAddr,
    /// The address of the object store.
    pub store: SocketAddr,
    /// Time from SIGTERM until the process is killed, in milliseconds.
    pub stop_within_ms: u32,
    /// Time within which a draining target receives its last request, in milliseconds.
    pub drain_within_ms: u32,
    /// The limit on retries, for all entries together.
    pub retries: RetrySettings,
    /// Units that all processes together may admit beyond the quota of a workspace; 0 for none.
    pub quota_slack: f64,
}

/// The limit on retries of one service, for all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetrySettings {
    /// Retries that each request adds to the budget.
    pub ratio: f64,
    /// Retries allowed in one window independently of the number of requests.
    pub extra: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u32,
    /// Number of entries that share `extra`.
    pub entries: u32,
}

/// Settings of `dandelionstair sidecar`, the agent of an engine that announces itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SidecarSettings {
    /// The VM's name, which orders carry as their holder.
    pub name: Box<str>,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The engine's HTTP address.
    pub engine: SocketAddr,
    /// The listener for entries.
    pub inner: SocketAddr,
    /// The listener for metrics.
    pub metrics: SocketAddr,
    /// The address of the object store.
    pub store: SocketAddr,
    /// Time from SIGTERM until the process is killed, in milliseconds.
    pub stop_within_ms: u32,
    /// Minimum time between the starts of two loads from the weight store, in milliseconds.
    pub fetch_window_ms: u32,
    /// Units that all processes together may admit beyond the quota of a workspace; 0 for none. Without any, the
    /// agent has no order among the requests of a workspace whose quota is short.
    pub quota_slack: f64,
    /// Whether callers of equal rank share the engine's prefill slots while these are short.
    pub fair_shares: bool,
    /// Whether the agent estimates its engine's own speed from the events of streams, and entries choose targets
    /// by it.
    pub engine_estimates: bool,
}

/// Reads and checks the settings of `dandelionstair relay`.
///
/// # Errors
///
/// All problems of the file.
pub fn gateway(path: &Path) -> Result<GatewaySettings, Problems> {
    GatewaySettings::try_from(&Document::read(path)?)
}

/// Reads and checks the settings of `dandelionstair sidecar`.
///
/// # Errors
///
/// All problems of the file.
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
    let quota_slack = fields.number_or_empty(problems, "quota_slack", 0.0..=MAX_SLACK, 0.0);
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
        quota_slack: quota_slack?,
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
    let quota_slack = fields.number_or_empty(problems, "quota_slack", 0.0..=MAX_SLACK, 0.0);
    let fair_shares = fields.boolean(problems, "fair_shares", Some(false));
    let engine_estimates = fields.boolean(problems, "engine_estimates", Some(false));
    Some(SidecarSettings {
        name: name?,
        data_centre: data_centre?,
        engine: engine?,
        inner: inner?,
        metrics: metrics?,
        store: store?,
        stop_within_ms: stop_within_ms?,
        fetch_window_ms: fetch_window_ms?,
        quota_slack: quota_slack?,
        fair_shares: fair_shares?,
        engine_estimates: engine_estimates?,
    })
}
