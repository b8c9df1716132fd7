//! The state dump of an agent for the operator.

use serde::Serialize;
use stair_fleet::{
    availability::Availability,
    quarantine::Record,
    rate_limit::Limiter, //
};
use stair_state::Ledger;
use stair_types::{
    ConfigVersion,
    FencingToken,
    GrantId,
    RequestId,
    ShardId,
    TargetName, //
};
use stair_wire::control::ShardAssignment;

use crate::control::Core;

/// The state of the control actor.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// The target.
    pub target: TargetName,
    /// The agent's incarnation.
    pub incarnation: FencingToken,
    /// The configuration version in force; 0 before the first assignment.
    pub config: ConfigVersion,
    /// The shards' versions and the target's grants in them.
    pub shards: Vec<ShardAssignment>,
    /// Released grants that the shards still list.
    pub released: Vec<(ShardId, GrantId)>,
    /// The models and adapters in the engine's memory.
    pub ledger: Ledger,
    /// Whether the engine's inventory has to be read before the next order.
    pub in_doubt: bool,
    /// Number of orders that wait for a reply.
    pub orders: usize,
    /// Loads ordered since the start.
    pub loads: u64,
    /// Waiting requests, in the order in which they will be served.
    pub waiting: Vec<RequestId>,
    /// Total length of the waiting requests' bodies, in bytes.
    pub waiting_bytes: u64,
    /// Requests that occupy a slot of the target.
    pub running: Vec<RequestId>,
    /// Number of responses that can be resumed, of running and of ended requests.
    #[serde(rename = "answers")]
    pub responses: usize,
    /// Number of request ids in the run table.
    pub runs: usize,
    /// Whether the agent or its target is draining.
    pub leaving: bool,
    /// Number of entries that the agent knows.
    pub entries: usize,
    /// The limit that the target has named.
    pub limit: Limiter,
    /// What the target's present incarnation states about the requests that it takes. Times are since the
    /// agent's start.
    pub availability: Availability,
    /// The version of the target's software, by its last response.
    pub version: Option<Box<str>>,
    /// Requests that are suspected of crashing targets, or quarantined for it.
    pub quarantine: Vec<Record>,
}

impl Core {
    pub(crate) fn dump(&self) -> Dump {
        Dump {
            target: self.args.name.clone(),
            incarnation: self.args.incarnation,
            config: self.in_force.config(),
            shards: self.in_force.shards().to_vec(),
            released: self.in_force.released().to_vec(),
            ledger: self.ledger.clone(),
            in_doubt: !self.knows_inventory(),
            orders: self.orders,
            loads: self.loads,
            waiting: self.queue.iter().map(|w| w.key).collect(),
            waiting_bytes: self.queue.bytes(),
            running: self.active.iter().map(|a| a.id).collect(),
            responses: self.responses.len(),
            runs: self.runs.len(),
            leaving: self.draining || self.availability.drain().is_some(),
            entries: self.args.entries.borrow().len(),
            limit: self.limiter.clone(),
            availability: self.availability,
            version: self.version.clone(),
            quarantine: self.args.ledger_keeper.records(),
        }
    }
}
