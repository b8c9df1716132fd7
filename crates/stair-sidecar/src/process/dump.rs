//! The state of an agent as the operator sees it.

use std::net::SocketAddr;

use serde::Serialize;
use stair_fleet::{
    msg::ReplicationState,
    prefill::Rate,
    quarantine,
    quota::Ledger,
    target::{
        Inventory,
        Load, //
    },
};

use super::Agent;

/// Everything that an agent knows and is doing. Times are in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    name: Box<str>,
    up_ms: u64,
    engine: SocketAddr,
    /// The engine's present life, and the store's revision that says so.
    #[serde(rename = "instance")]
    incarnation: Option<(Box<str>, u64)>,
    /// The last life that the engine said it is not.
    #[serde(rename = "former")]
    stale_incarnation: Option<Box<str>>,
    /// The fencing token that orders bear.
    fence: Option<u64>,
    /// The version of the catalogue that declared the engine, 0 for none.
    declared: u64,
    /// Readings that failed in a row.
    #[serde(rename = "misses")]
    failed_reads: u32,
    #[serde(rename = "holds")]
    inventory: Inventory,
    load: Load,
    /// How fast the engine reads prompts, as far as they have told.
    rates: Vec<Rate>,
    /// Load requests that wait, prefetches among them.
    load_requests: usize,
    /// What is left of the allowances that are counted here.
    #[serde(rename = "allowances")]
    quotas: Ledger,
    /// Requests that are blamed for the ends of targets.
    quarantine: Vec<quarantine::Record>,
    /// Entries that are linked, with how far each one's knowledge goes.
    entries: Vec<Option<ReplicationState>>,
}

impl Agent {
    pub(super) fn dump(&self) -> Dump {
        let now = self.now();
        Dump {
            name: self.settings.name.clone(),
            up_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            engine: self.settings.engine,
            incarnation: self.incarnation.clone(),
            stale_incarnation: self.stale_incarnation.clone(),
            fence: self.fence,
            declared: self.declared,
            failed_reads: self.failed_reads,
            inventory: self.controller.inventory(),
            load: self.load(),
            rates: self.prefills.rates().to_vec(),
            load_requests: self.controller.load_requests(),
            quotas: self.ledgers.quotas.ledger(),
            quarantine: self.ledgers.quarantine.ledger().records().to_vec(),
            entries: self.links.iter().map(|l| l.known.clone()).collect(),
        }
    }
}
