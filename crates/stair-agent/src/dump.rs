//! The state of an agent as the operator sees it.

use serde::Serialize;
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

/// Everything that the control thread knows.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// The target.
    pub target: TargetName,
    /// The agent's incarnation.
    pub incarnation: FencingToken,
    /// The configuration version in force; 0 before the first assignment.
    pub config: ConfigVersion,
    /// Versions of the shards and the grants in them.
    pub shards: Vec<ShardAssignment>,
    /// Grants that were given back and are still listed.
    pub released: Vec<(ShardId, GrantId)>,
    /// What is in the engine's memory.
    pub ledger: Ledger,
    /// Whether the engine's list has to be read before the next order.
    pub in_doubt: bool,
    /// Orders whose answers are awaited.
    pub orders: usize,
    /// Loads ordered since the start.
    pub loads: u64,
    /// Requests that wait, in the order in which they are served.
    pub waiting: Vec<RequestId>,
    /// Bytes of their bodies.
    pub waiting_bytes: u64,
    /// Requests that hold a slot of the target.
    pub running: Vec<RequestId>,
    /// Answers kept for a resume.
    #[serde(rename = "answers")]
    pub responses: usize,
    /// Request ids remembered.
    pub runs: usize,
    /// Whether the agent is leaving.
    pub leaving: bool,
    /// Entries that the agent knows.
    pub entries: usize,
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
            leaving: self.draining,
            entries: self.args.entries.borrow().len(),
        }
    }
}
