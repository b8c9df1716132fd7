//! The state of an agent as operators see it.

use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{
    Value,
    json, //
};
use stair_fleet::{
    availability,
    engine_estimate::{
        Estimate,
        Estimator, //
    },
    fair_share::CallerState,
    msg::ReplicationState,
    prefill::Rate,
    quarantine,
    quota::Ledger,
    rate_limit,
    target::{
        Inventory,
        Load, //
    },
};

use tokio::sync::{
    mpsc,
    oneshot, //
};

use super::{
    Agent,
    IncarnationSource, //
};
use crate::{
    links::Event,
    origins, //
};

/// The state of an agent. Times are in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    name: Box<str>,
    up_ms: u64,
    engine: SocketAddr,
    /// The engine's present incarnation, and what states it.
    #[serde(rename = "instance")]
    incarnation: Option<(Box<str>, IncarnationSource)>,
    /// The newest era of the store that is known.
    store_era: u64,
    /// The last incarnation that the engine has rejected as stale.
    #[serde(rename = "former")]
    stale_incarnation: Option<Box<str>>,
    /// The fencing token that orders carry.
    fence: Option<u64>,
    /// The version of the catalogue that declared the engine, 0 for none.
    declared: u64,
    /// Successive failed readings of the engine.
    #[serde(rename = "misses")]
    failed_reads: u32,
    #[serde(rename = "holds")]
    inventory: Inventory,
    load: Load,
    /// Prefill rates of the engine, as estimated from the entries' reports.
    rates: Vec<Rate>,
    /// The callers that were granted most prefill time.
    callers: Vec<CallerState>,
    /// The number of callers that are remembered.
    callers_known: usize,
    /// Prompts that wait for a prefill slot.
    prompts_waiting: usize,
    /// The engine's estimated speed as it is reported to entries, and what it is made from.
    estimate: Option<Estimate>,
    estimator: Estimator,
    /// Open load requests, including prefetches.
    load_requests: usize,
    /// Models that are not loaded since their loads have ended the engine, and the remaining times.
    quarantined_loads: Vec<(Box<str>, u64)>,
    /// State of the quotas that are counted by this agent.
    #[serde(rename = "allowances")]
    quotas: Ledger,
    /// The limits of the targets that this agent counts.
    limits: rate_limit::Ledger,
    /// What targets have stated about the requests that they take. Times are since the agent's start.
    availability: availability::Registry,
    /// Requests that are suspected of crashing targets.
    quarantine: Vec<quarantine::Record>,
    /// Origins of streams, and the versions that entries have seen.
    origins: origins::Dump,
    /// The replication state of each connected entry, null before its first message.
    entries: Vec<Option<ReplicationState>>,
}

/// Requests the state of the main loop.
pub(super) async fn request(events: mpsc::Sender<Event>) -> Value {
    let (tx, rx) = oneshot::channel();
    // Both fail only while the process is stopping.
    let sent = events.send(Event::Dump(tx)).await.is_ok();
    match rx.await {
        Ok(dump) if sent => json!(dump),
        _ => json!({ "stopping": true }),
    }
}

impl Agent {
    pub(super) fn dump(&self) -> Dump {
        let now = self.now();
        let load = self.load();
        Dump {
            name: self.settings.name.clone(),
            up_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            engine: self.settings.engine,
            incarnation: self.incarnation.clone(),
            store_era: self.eras.newest().0,
            stale_incarnation: self.stale_incarnation.clone(),
            fence: self.fence,
            declared: self.declared,
            failed_reads: self.failed_reads,
            inventory: self.controller.inventory(),
            estimate: load.estimate.clone(),
            estimator: self.prefills.estimator().clone(),
            load,
            rates: self.prefills.rates().to_vec(),
            callers: self.shares.states(),
            callers_known: self.shares.callers(),
            prompts_waiting: self.shares.waiting(),
            load_requests: self.controller.load_requests(),
            quarantined_loads: self
                .controller
                .quarantined_loads(now)
                .into_iter()
                .map(|(model, left)| (model, u64::try_from(left.as_millis()).unwrap_or(u64::MAX)))
                .collect(),
            quotas: self.ledgers.quotas.ledger(),
            limits: self.ledgers.limits.ledger(),
            availability: self.ledgers.availability.registry(),
            quarantine: self.ledgers.quarantine.ledger().records().to_vec(),
            origins: self.ledgers.origins.dump(),
            entries: self.links.iter().map(|l| l.known.clone()).collect(),
        }
    }
}
