//! Reads and checks the settings of entries and agents, with the same error reports as
//! declarations.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    }, //
};

use crate::{
    fields::Fields,
    problem::Problems,
    settings::{
        AgentLimits,
        AgentSettings,
        EntryLimits,
        EntrySettings,
        LogLevel,
        TargetSettings,
        TelemetrySettings,
        TlsSettings, //
    },
    yaml::Document, //
};

const ENTRY_FIELDS: [&str; 10] = [
    "name",
    "data_centre",
    "listen",
    "link",
    "operator",
    "platform",
    "peers",
    "tls",
    "limits",
    "telemetry",
];
const ENTRY_LIMITS: [&str; 8] = [
    "max_body_bytes",
    "max_connections",
    "max_requests",
    "max_waiting_bytes",
    "receive_timeout_ms",
    "write_stall_ms",
    "max_timeout_ms",
    "drain_linger_ms",
];
const AGENT_FIELDS: [&str; 10] = [
    "name",
    "data_centre",
    "link",
    "advertise",
    "operator",
    "platform",
    "target",
    "tls",
    "limits",
    "telemetry",
];
const AGENT_LIMITS: [&str; 5] = [
    "max_waiting_bytes",
    "max_answer_bytes",
    "keep_answer_ms",
    "target_silence_ms",
    "load_timeout_ms",
];
const TARGET_FIELDS: [&str; 2] = ["engine", "service"];
const TLS_FIELDS: [&str; 3] = ["authority", "certificate", "key"];
const TELEMETRY_FIELDS: [&str; 3] = ["level", "json", "statsd"];
const LEVELS: &str = "error, warn, info, debug or trace";

const MAX_BYTES: u32 = 1 << 30;
const MAX_WAITING_BYTES: u64 = 1 << 36;
const MAX_COUNT: u32 = 1_000_000;
const MAX_MS: u32 = 3_600_000;
const MAX_MEMORY_MIB: u32 = 4 << 20;

/// Reads and checks an entry's settings.
///
/// # Errors
///
/// All problems of the file.
pub fn entry(path: &Path) -> Result<EntrySettings, Problems> {
    EntrySettings::try_from(&Document::read(path)?)
}

/// Reads and checks an agent's settings.
///
/// # Errors
///
/// All problems of the file.
pub fn agent(path: &Path) -> Result<AgentSettings, Problems> {
    AgentSettings::try_from(&Document::read(path)?)
}

impl TryFrom<&Document> for EntrySettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let settings = entry_settings(&mut problems, document);
        problems.into_result(settings)
    }
}

impl TryFrom<&Document> for AgentSettings {
    type Error = Problems;

    fn try_from(document: &Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let settings = agent_settings(&mut problems, document);
        problems.into_result(settings)
    }
}

fn entry_settings(problems: &mut Problems, document: &Document) -> Option<EntrySettings> {
    let fields = Fields::of_document(problems, document, &ENTRY_FIELDS)?;
    let name = fields.name(problems, "name");
    let data_centre = fields.name(problems, "data_centre");
    let listen = fields.listener(problems, "listen");
    let link = fields.listener(problems, "link");
    let operator = fields.listener(problems, "operator");
    let platform = fields.address(problems, "platform");
    let peers = fields.addresses(problems, "peers");
    let tls = tls(problems, &fields);
    let limits = entry_limits(problems, &fields);
    let telemetry = telemetry(problems, &fields);
    let tcp = [
        ("listen", listen),
        ("operator", operator),
        ("platform", platform),
    ];
    check_distinct(problems, &fields, &tcp);
    if let (Some(link), Some(peers)) = (link, &peers)
        && peers.contains(&link)
    {
        let allowed = "links of other entries only";
        problems.add(
            fields.place("peers"),
            format!("{link}, this entry's link"),
            allowed,
        );
    }
    Some(EntrySettings {
        name: name?,
        data_centre: data_centre?,
        listen: listen?,
        link: link?,
        operator: operator?,
        platform: platform?,
        peers: peers?,
        tls: tls?,
        limits: limits?,
        telemetry: telemetry?,
    })
}

fn agent_settings(problems: &mut Problems, document: &Document) -> Option<AgentSettings> {
    let fields = Fields::of_document(problems, document, &AGENT_FIELDS)?;
    let name = fields.name(problems, "name");
    let data_centre = fields.name(problems, "data_centre");
    let link = fields.listener(problems, "link");
    let advertise = match fields.has("advertise") {
        true => Some(fields.address(problems, "advertise")?),
        false => None,
    };
    let operator = fields.listener(problems, "operator");
    let platform = fields.address(problems, "platform");
    let target = target(problems, &fields);
    let tls = tls(problems, &fields);
    let limits = agent_limits(problems, &fields);
    let telemetry = telemetry(problems, &fields);
    let target_address = target.as_ref().map(TargetSettings::address);
    let tcp = [
        ("operator", operator),
        ("platform", platform),
        ("target", target_address),
    ];
    check_distinct(problems, &fields, &tcp);
    // The agent publishes this address. With an unspecified one, entries would connect to their own
    // VM, where no agent listens.
    if link.is_some_and(|link| link.ip().is_unspecified()) {
        let allowed = "an IP address that entries reach";
        problems.add(fields.place("link"), "an unspecified IP address", allowed);
    }
    Some(AgentSettings {
        name: name?,
        data_centre: data_centre?,
        link: link?,
        advertise,
        operator: operator?,
        platform: platform?,
        target: target?,
        tls: tls?,
        limits: limits?,
        telemetry: telemetry?,
    })
}

/// The name of a field and its TCP address, if valid.
type NamedAddress = (&'static str, Option<SocketAddr>);

// Two listeners cannot bind to one address, and a process whose platform or target has the address
// of its own listener would wait for itself.
fn check_distinct(problems: &mut Problems, fields: &Fields<'_>, all: &[NamedAddress]) {
    for (i, (name, addr)) in all.iter().enumerate() {
        let Some(addr) = addr.filter(|a| a.port() != 0) else {
            continue;
        };
        let same = all[..i].iter().find(|(_, other)| *other == Some(addr));
        if let Some((other, _)) = same {
            let allowed = format!("an address other than that of {other}");
            problems.add(fields.place(name), addr, allowed);
        }
    }
}

fn target(problems: &mut Problems, parent: &Fields<'_>) -> Option<TargetSettings> {
    let fields = parent.map(problems, "target", &TARGET_FIELDS)?;
    match (fields.has("engine"), fields.has("service")) {
        (true, false) => engine(problems, &fields),
        (false, true) => service(problems, &fields),
        (both, _) => {
            let found = if both { "both" } else { "neither" };
            problems.add(parent.place("target"), found, "one of engine and service");
            None
        }
    }
}

fn engine(problems: &mut Problems, target: &Fields<'_>) -> Option<TargetSettings> {
    let fields = target.map(problems, "engine", &["address", "memory_mib"])?;
    let address = fields.address(problems, "address");
    let memory_mib = fields.integer(problems, "memory_mib", 1..=MAX_MEMORY_MIB, None);
    Some(TargetSettings::Engine {
        address: address?,
        memory_mib: memory_mib?,
    })
}

fn service(problems: &mut Problems, target: &Fields<'_>) -> Option<TargetSettings> {
    let fields = target.map(problems, "service", &["address", "service"])?;
    let address = fields.address(problems, "address");
    let service = fields.name(problems, "service");
    Some(TargetSettings::Service {
        address: address?,
        service: service?,
    })
}

fn tls(problems: &mut Problems, parent: &Fields<'_>) -> Option<TlsSettings> {
    let fields = parent.map(problems, "tls", &TLS_FIELDS)?;
    let authority = path(problems, &fields, "authority");
    let certificate = path(problems, &fields, "certificate");
    let key = path(problems, &fields, "key");
    Some(TlsSettings {
        authority: authority?,
        certificate: certificate?,
        key: key?,
    })
}

fn path(problems: &mut Problems, fields: &Fields<'_>, name: &str) -> Option<PathBuf> {
    fields.text_as(problems, name, "the path of a PEM file", |text| {
        if text.is_empty() {
            return Err("an empty text");
        }
        Ok(PathBuf::from(text))
    })
}

fn telemetry(problems: &mut Problems, parent: &Fields<'_>) -> Option<TelemetrySettings> {
    let fields = parent.map(problems, "telemetry", &TELEMETRY_FIELDS)?;
    let default = TelemetrySettings::default();
    let level = if fields.has("level") {
        fields.text_as(problems, "level", LEVELS, level)
    } else {
        Some(default.level)
    };
    let json = fields.boolean(problems, "json", Some(default.json));
    let statsd = if fields.has("statsd") {
        Some(fields.address(problems, "statsd")?)
    } else {
        None
    };
    Some(TelemetrySettings {
        level: level?,
        json: json?,
        statsd,
    })
}

fn level(text: &str) -> Result<LogLevel, String> {
    match text {
        "error" => Ok(LogLevel::Error),
        "warn" => Ok(LogLevel::Warn),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        "trace" => Ok(LogLevel::Trace),
        _ => Err(format!("{text:?}")),
    }
}

fn entry_limits(problems: &mut Problems, parent: &Fields<'_>) -> Option<EntryLimits> {
    let fields = parent.map(problems, "limits", &ENTRY_LIMITS)?;
    let d = EntryLimits::default();
    let p = problems;
    let max_body_bytes = fields.integer(p, "max_body_bytes", 1..=MAX_BYTES, Some(d.max_body_bytes));
    let max_connections =
        fields.integer(p, "max_connections", 1..=MAX_COUNT, Some(d.max_connections));
    let max_requests = fields.integer(p, "max_requests", 1..=MAX_COUNT, Some(d.max_requests));
    let max_waiting_bytes = fields.integer(
        p,
        "max_waiting_bytes",
        1..=MAX_WAITING_BYTES,
        Some(d.max_waiting_bytes),
    );
    let receive_timeout_ms = fields.integer(
        p,
        "receive_timeout_ms",
        1..=MAX_MS,
        Some(d.receive_timeout_ms),
    );
    let write_stall_ms = fields.integer(p, "write_stall_ms", 1..=MAX_MS, Some(d.write_stall_ms));
    let max_timeout_ms = fields.integer(p, "max_timeout_ms", 1..=MAX_MS, Some(d.max_timeout_ms));
    let drain_linger_ms = fields.integer(p, "drain_linger_ms", 0..=MAX_MS, Some(d.drain_linger_ms));
    if let (Some(body), Some(waiting)) = (max_body_bytes, max_waiting_bytes)
        && waiting < u64::from(body)
    {
        let allowed = format!("at least max_body_bytes, {body}");
        p.add(fields.place("max_waiting_bytes"), waiting, allowed);
    }
    Some(EntryLimits {
        max_body_bytes: max_body_bytes?,
        max_connections: max_connections?,
        max_requests: max_requests?,
        max_waiting_bytes: max_waiting_bytes?,
        receive_timeout_ms: receive_timeout_ms?,
        write_stall_ms: write_stall_ms?,
        max_timeout_ms: max_timeout_ms?,
        drain_linger_ms: drain_linger_ms?,
    })
}

fn agent_limits(problems: &mut Problems, parent: &Fields<'_>) -> Option<AgentLimits> {
    let fields = parent.map(problems, "limits", &AGENT_LIMITS)?;
    let d = AgentLimits::default();
    let p = problems;
    let max_waiting_bytes = fields.integer(
        p,
        "max_waiting_bytes",
        1..=MAX_WAITING_BYTES,
        Some(d.max_waiting_bytes),
    );
    let max_answer_bytes = fields.integer(
        p,
        "max_answer_bytes",
        1..=MAX_BYTES,
        Some(d.max_answer_bytes),
    );
    let keep_answer_ms = fields.integer(p, "keep_answer_ms", 1..=MAX_MS, Some(d.keep_answer_ms));
    let target_silence_ms = fields.integer(
        p,
        "target_silence_ms",
        1..=MAX_MS,
        Some(d.target_silence_ms),
    );
    let load_timeout_ms = fields.integer(p, "load_timeout_ms", 1..=MAX_MS, Some(d.load_timeout_ms));
    Some(AgentLimits {
        max_waiting_bytes: max_waiting_bytes?,
        max_answer_bytes: max_answer_bytes?,
        keep_answer_ms: keep_answer_ms?,
        target_silence_ms: target_silence_ms?,
        load_timeout_ms: load_timeout_ms?,
    })
}
