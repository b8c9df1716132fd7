//! The state dump of an entry for operators.

use std::time::Duration;

use serde::Serialize;
use stair_fleet::{
    Target,
    backoff_queue,
    budget,
    engine_estimate::Estimate,
    msg::Peers,
    origin::{
        Origin,
        Report, //
    },
    quarantine::{
        Notice,
        Standing, //
    },
    target,
    target_state::TargetState,
    view::TargetKey, //
};

use stair_http::connections::Counts;

use crate::context::{
    AgentLink,
    Context,
    State, //
};

/// The state of an entry. Times are in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    name: Box<str>,
    up_ms: u64,
    stopping: bool,
    /// The version of the catalogue in force, 0 for none.
    catalogue: u64,
    /// The number of declared workspaces; `None` if requests need no key.
    workspaces: Option<usize>,
    /// The workspaces that are overdrawn by the last replies, and the remaining time.
    owing: Vec<(Box<str>, u64)>,
    /// The store's revision up to which the list of targets is complete, 0 for none.
    targets_revision: u64,
    /// The store's era in which the list was read.
    targets_era: u64,
    /// The newest era of the store that is known.
    store_era: u64,
    targets: Vec<TargetDump>,
    agents: Vec<AgentDump>,
    /// The last report of an agent on the other entries, and its age.
    peers: Option<(Peers, u64)>,
    /// Whether another entry watches the store for this one.
    follows: bool,
    requests_in_flight: usize,
    /// Connections of clients, and how many were closed without a response.
    connections: Counts,
    retries: Vec<RetriesDump>,
    /// What is suspected to end targets, or quarantined.
    quarantine: Vec<QuarantineDump>,
    /// Streams by what began them.
    streams: Vec<StreamsDump>,
    /// The software versions that services have had.
    versions: Report,
}

/// Streams of one origin that may be continued.
#[derive(Debug, Clone, Serialize)]
struct StreamsDump {
    #[serde(flatten)]
    origin: Origin,
    records: usize,
}

/// One target.
#[derive(Debug, Clone, Serialize)]
struct TargetDump {
    #[serde(flatten)]
    target: Target,
    /// The version of its software, if it is known.
    version: Option<Box<str>>,
    /// Whether the target gets requests now.
    open: bool,
    /// The remaining time to wait for its announcement, if the list lacks it.
    missing_for_ms: Option<u64>,
    /// The remaining time for which it gets no requests, since it was removed before the store came back from a
    /// copy that has it.
    suppressed_for_ms: Option<u64>,
    /// The remaining time for which it is excluded after a failed connection.
    suspect_for_ms: u64,
    in_flight: u32,
    unread_tokens: u64,
    failing: f64,
    delay_ms: f64,
    report: Option<target::Report>,
    report_age_ms: Option<u64>,
    /// The engine's speed as its agent reports it, and by this entry's own streams.
    estimate: Option<Estimate>,
    own_estimate: Option<Estimate>,
    /// The limit that the target has named.
    limit: Option<LimitDump>,
    /// The statement of the target's responses that it shuts down.
    drain: Option<DrainDump>,
    /// The time for which the target wants no requests of this entry, until it has responded after it.
    backoff: Option<BackoffDump>,
}

/// The drain of one target.
#[derive(Debug, Clone, Serialize)]
struct DrainDump {
    source: &'static str,
    age_ms: u64,
}

/// The backoff of one target.
#[derive(Debug, Clone, Serialize)]
struct BackoffDump {
    source: &'static str,
    age_ms: u64,
    left_ms: u64,
    /// Requests that wait for its end.
    waiting: usize,
    /// Refused requests whose stated time of return is not over.
    promised: usize,
}

/// The limit of one target.
#[derive(Debug, Clone, Serialize)]
struct LimitDump {
    per_s: f64,
    source: &'static str,
    age_ms: u64,
    /// The remaining time until the target may get its next request, by the last reply.
    free_in_ms: u64,
    /// The epoch of the process that stated it last.
    epoch: Option<u64>,
}

/// The link to one agent.
#[derive(Debug, Clone, Serialize)]
struct AgentDump {
    engine: std::net::SocketAddr,
    entries: u32,
    keeps_origins: bool,
    loads_waiting: usize,
    prefills_waiting: usize,
}

/// The retry budget of one service.
#[derive(Debug, Clone, Serialize)]
struct RetriesDump {
    service: Box<str>,
    spent: usize,
    options: budget::Options,
}

/// One request that is suspected to end targets.
#[derive(Debug, Clone, Serialize)]
struct QuarantineDump {
    /// The same text as in the logs.
    fingerprint: String,
    /// The remaining time of its quarantine; 0 for a suspect.
    held_for_ms: u64,
}

/// Captures the present state.
pub fn dump(cx: &Context) -> Dump {
    let now = cx.now();
    let state = cx.state();
    let ago = |t: Duration| ms(now.saturating_sub(t));
    Dump {
        name: cx.settings.name.clone(),
        up_ms: ms(now),
        stopping: cx.draining(),
        catalogue: state.catalogue.as_ref().map_or(0, |c| c.version),
        workspaces: workspaces(&state),
        owing: state
            .quotas
            .overdrawn(now)
            .map(|(name, left)| (name.into(), ms(left)))
            .collect(),
        targets_revision: state.view.revision.counter,
        targets_era: state.view.revision.era.0,
        store_era: cx.eras.newest().0,
        targets: state
            .view
            .all()
            .map(|(key, s)| target_dump(key, s, &state.backoffs.queue, now))
            .collect(),
        agents: state.agents.iter().map(agent).collect(),
        peers: state.peers.as_ref().map(|(p, at)| (p.clone(), ago(*at))),
        follows: cx.follow.follows(),
        requests_in_flight: cx.serving(),
        connections: cx.connections.counts(),
        retries: state
            .budgets()
            .map(|(service, budget)| RetriesDump {
                service: service.into(),
                spent: budget.spent(),
                options: budget.options(),
            })
            .collect(),
        quarantine: quarantine(&state, now),
        streams: state
            .origins
            .records()
            .counts()
            .into_iter()
            .map(|(origin, records)| StreamsDump {
                origin: origin.clone(),
                records,
            })
            .collect(),
        versions: state.origins.versions(now),
    }
}

fn quarantine(state: &State, now: Duration) -> Vec<QuarantineDump> {
    let known = state.quarantine.watchlist.notices(now);
    let one = |n: &Notice| QuarantineDump {
        fingerprint: n.fingerprint.to_string(),
        held_for_ms: match n.standing {
            Standing::Quarantined(left) => ms(left),
            Standing::Suspect | Standing::Cleared => 0,
        },
    };
    known.iter().map(one).collect()
}

fn workspaces(state: &State) -> Option<usize> {
    let catalogue = state.catalogue.as_ref()?;
    Some(catalogue.workspaces.as_ref()?.all().len())
}

fn target_dump(
    key: TargetKey,
    target_state: &TargetState,
    queue: &backoff_queue::Queue,
    now: Duration,
) -> TargetDump {
    let report = target_state.report.as_ref();
    TargetDump {
        target: target_state.target.clone(),
        version: target_state.target.version.clone(),
        open: target_state.is_available(now),
        missing_for_ms: target_state
            .missing_until
            .map(|t| ms(t.saturating_sub(now))),
        suppressed_for_ms: target_state
            .suppressed_until
            .map(|t| ms(t.saturating_sub(now))),
        suspect_for_ms: ms(target_state.suspect_until.saturating_sub(now)),
        in_flight: target_state.in_flight,
        unread_tokens: target_state.unread_tokens,
        failing: target_state.failing,
        delay_ms: target_state.delay_ms,
        report: report.map(|(r, _)| r.clone()),
        report_age_ms: report.map(|(_, at)| ms(now.saturating_sub(*at))),
        estimate: report.and_then(|(r, _)| r.load.estimate.clone()),
        own_estimate: target_state.own_estimator.estimate(now),
        limit: target_state.limit.map(|l| LimitDump {
            per_s: l.rate.per_s(),
            source: l.source.as_str(),
            age_ms: ms(now.saturating_sub(l.since)),
            free_in_ms: ms(l.free_at.saturating_sub(now)),
            epoch: l.epoch,
        }),
        drain: target_state.availability.drain().map(|d| DrainDump {
            source: d.source.as_str(),
            age_ms: ms(now.saturating_sub(d.since)),
        }),
        backoff: target_state.availability.backoff().map(|b| BackoffDump {
            source: b.source.as_str(),
            age_ms: ms(now.saturating_sub(b.since)),
            left_ms: ms(b.until.saturating_sub(now)),
            waiting: queue.count(Some(key)),
            promised: queue.promised(key, now),
        }),
    }
}

fn agent(link: &AgentLink) -> AgentDump {
    AgentDump {
        engine: link.engine,
        entries: link.entries,
        keeps_origins: link.features.origins,
        loads_waiting: link.pending_loads.len(),
        prefills_waiting: link.pending_slots.len(),
    }
}

fn ms(t: Duration) -> u64 {
    u64::try_from(t.as_millis()).unwrap_or(u64::MAX)
}
