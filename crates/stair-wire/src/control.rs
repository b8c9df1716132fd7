//! The control stream of a link.
//!
//! An agent opens one control stream to each of its two entries and sends [`AgentControl`]; the
//! entry sends [`EntryControl`]. An entry that starts while the platform is down opens a stream to
//! other entries and sends [`PeerRequest`]. An agent opens a stream for each [`LoadSlotRequest`].
//! The first frame of every such stream is an [`Opening`], so that one listener serves all kinds.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_config::{
    Model,
    Policy,
    Service,
    Tier, //
};
use stair_types::{
    ConfigVersion,
    DataCentre,
    EntryName,
    FencingToken,
    GrantId,
    ModelName,
    ShardId,
    StoreRevision,
    TargetName,
    TierRank, //
};

/// The first frame of a stream that carries no request of a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opening {
    /// An agent's control stream.
    Agent(Hello),
    /// A query of one entry to another.
    Peer(PeerRequest),
    /// An agent's request for a load slot at the weight store.
    #[serde(rename = "Turn")]
    LoadSlot(LoadSlotRequest),
}

/// An agent's request for a load slot at the weight store.
///
/// The owner of the slots is the first entry by rendezvous hash of [`LOAD_SLOT_OWNER_KEY`]. It
/// replies with [`LoadSlotReply::Queued`] at once and with [`LoadSlotReply::Granted`] when the load
/// may start. The agent keeps the stream open until the load has ended; the end of the stream or of
/// its link releases the slot. An agent that receives no `Queued` within a second loads without a
/// slot, since a time with two owners or none costs only speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSlotRequest {
    /// The highest-ranking tier that waits for the load.
    pub rank: TierRank,
    /// Time until the earliest deadline of the requests that wait for the load, in milliseconds.
    pub time_left_ms: u32,
}

/// The key whose rendezvous hash selects the entry that owns the weight store's load slots.
pub const LOAD_SLOT_OWNER_KEY: &str = "weight-store";

/// Replies of the owner of the load slots to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadSlotReply {
    /// The request waits for a slot.
    Queued,
    /// The load may start.
    Granted,
}

/// Identifies an agent on a new control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The agent's target.
    pub target: TargetName,
    /// The agent's incarnation.
    pub incarnation: FencingToken,
    /// The target's data centre.
    pub data_centre: DataCentre,
    /// The shard versions in force at the agent; the entry sends newer ones.
    pub shards: Vec<(ShardId, StoreRevision)>,
    /// The configuration version in force at the agent.
    pub config: ConfigVersion,
}

/// Messages from the agent to the entry, after [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentControl {
    /// An assignment is in force at the agent.
    InForce {
        /// The configuration version of that assignment.
        config: ConfigVersion,
    },
    /// The engine has verifiably unloaded the models of these grants, and the agent will not
    /// load them under these grants again.
    Released {
        /// The revoked grants that the agent releases.
        grants: Vec<(ShardId, GrantId)>,
    },
    /// Requests wait for these granted models, and the engine's memory is full of models that are
    /// in use. The list replaces the previous one: a grant that is no longer in it is no longer
    /// under memory pressure.
    #[serde(rename = "Crowded")]
    MemoryPressure {
        /// The grants whose models do not fit.
        grants: Vec<(ShardId, GrantId)>,
    },
    /// The agent or its target is draining, and the agent refuses new offers.
    Leaving,
    /// The agent accepts offers again: the next incarnation of its target has started.
    Staying,
}

/// Messages from the entry to the agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryControl {
    /// The grants and configuration of the agent.
    Assignment(Assignment),
    /// The live entries of the agent's and other data centres, among which it chooses its links.
    Entries {
        /// Sorted by name.
        entries: Vec<EntryAddress>,
    },
    /// The state of the agent's VM on the platform's list, as known to this entry.
    Vm(VmNotice),
    /// The platform no longer has the agent's record, or has that of an earlier incarnation, as of this
    /// revision: the agent writes it again.
    RecordLost(StoreRevision),
}

/// The state of an agent's VM on the platform's list.
///
/// The platform cannot serve a watch of the list to each of 12,000 agents. An entry that is cut off
/// from the platform keeps offering work to a VM that is leaving; the agent refuses that work
/// because its other entry forwards the state of the VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmNotice {
    /// The platform's version of the VM's record; the agent applies only a higher one.
    pub version: StoreRevision,
    /// Whether the VM is listed as leaving.
    pub is_leaving: bool,
}

/// The address at which an entry listens for links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The entry.
    pub name: EntryName,
    /// The entry's data centre.
    pub data_centre: DataCentre,
    /// IP address and port for links.
    pub link: std::net::SocketAddr,
}

/// The grants and the configuration of one agent, as known to one entry.
///
/// Entries may lag, so the agent applies the configuration and each shard only with a higher
/// version than the one in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The configuration from which the assignment was derived.
    pub config: ConfigVersion,
    /// Tiers, sorted by rank.
    pub tiers: Vec<Tier>,
    /// Settings of the scheduling decisions.
    pub policy: Policy,
    /// The plain service of the target; none for an engine.
    pub service: Option<Service>,
    /// Shards in which the target has, or had, a grant.
    pub shards: Vec<ShardAssignment>,
    /// The declarations of the granted models, sorted by name.
    pub models: Vec<Model>,
}

/// The grants of one target in one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardAssignment {
    /// The shard.
    pub shard: ShardId,
    /// The platform's version of the shard's object.
    pub version: StoreRevision,
    /// Whether grants that are missing have ended. If not, the entry knows the shard only from a copy
    /// that the platform has come back from, which may lack the newest ones.
    pub complete: bool,
    /// The target's grants, sorted by model.
    pub grants: Vec<AssignedGrant>,
}

/// One grant of the agent's target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedGrant {
    /// The grant.
    pub id: GrantId,
    /// The model that the target may load.
    pub model: ModelName,
    /// Whether the grant is being revoked: the agent unloads the model and reports
    /// [`AgentControl::Released`].
    pub revoking: bool,
}

/// A query of an entry to another entry while the platform is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the peer's copy of the platform's objects. The reply is one body frame with the
    /// JSON of `stair_platform::Snapshot`.
    Snapshot,
}
