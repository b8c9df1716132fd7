//! The control stream of a link.
//!
//! An agent opens one to each of its two entries and sends [`AgentControl`]; the entry sends
//! [`EntryControl`]. An entry that starts while the platform is down opens a stream to other
//! entries and sends [`PeerRequest`]. The first frame of every stream is an [`Opening`], so that
//! one listener serves all kinds.

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
    TargetName,
    TierRank, //
};

/// The first frame of a stream that is not a request's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opening {
    /// An agent's control stream.
    Agent(Hello),
    /// One entry asks another.
    Peer(PeerRequest),
    /// An agent asks for a turn at the weight store.
    #[serde(rename = "Turn")]
    LoadSlot(LoadSlotRequest),
}

/// An agent asks the weight store's home entry for a turn.
///
/// The home is the first entry by rendezvous hash of [`LOAD_SLOT_OWNER_KEY`]. The entry answers
/// [`LoadSlotReply::Queued`] at once and [`LoadSlotReply::Granted`] when the load may start. The agent
/// keeps the stream open until the load has ended: the end of the stream, or of its link, gives
/// the turn back. An agent that gets no `Queued` within a second loads without a turn: two homes,
/// or none, for a while cost speed only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSlotRequest {
    /// The best tier that waits for the load.
    pub rank: TierRank,
    /// Time left until the earliest deadline that waits, in milliseconds.
    pub time_left_ms: u32,
}

/// The key whose rendezvous hash names the home of the weight store's turns.
pub const LOAD_SLOT_OWNER_KEY: &str = "weight-store";

/// From the home of the weight store's turns to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadSlotReply {
    /// The request waits for its turn.
    Queued,
    /// The load may start.
    Granted,
}

/// An agent introduces itself on a new control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The agent's target.
    pub target: TargetName,
    /// The agent's incarnation.
    pub incarnation: FencingToken,
    /// The target's data centre.
    pub data_centre: DataCentre,
    /// Shard versions that the agent has seen; the entry sends what is newer.
    pub shards: Vec<(ShardId, u64)>,
    /// The configuration version in force at the agent.
    pub config: ConfigVersion,
}

/// From the agent to the entry, after [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentControl {
    /// An assignment is in force here.
    InForce {
        /// The configuration version of that assignment.
        config: ConfigVersion,
    },
    /// The engine surely holds none of these models any more and the agent will not load them
    /// under these grants again.
    Released {
        /// The revoked grants that are given back.
        grants: Vec<(ShardId, GrantId)>,
    },
    /// Requests wait for these granted models, and the engine's memory is full of models that are
    /// in use. The list is complete; what an earlier one named and this one does not has room.
    #[serde(rename = "Crowded")]
    MemoryPressure {
        /// The grants whose models find no room.
        grants: Vec<(ShardId, GrantId)>,
    },
    /// The agent is leaving: offer it nothing more.
    Leaving,
}

/// From the entry to the agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryControl {
    /// What the agent may hold.
    Assignment(Assignment),
    /// The live entries of the agent's data centre and others, for its second link.
    Entries {
        /// Sorted by name.
        entries: Vec<EntryAddress>,
    },
    /// What the platform's list says of the agent's VM, as one entry knows it.
    Vm(VmNotice),
}

/// What the platform's list says of an agent's VM.
///
/// 12,000 agents cannot watch the list themselves. An entry that is cut off from the platform goes
/// on to offer work to a VM that is leaving, so the agent has to refuse it, and hears from its
/// other entry that it is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmNotice {
    /// The platform's version of the VM's line; the agent goes by the highest.
    pub version: u64,
    /// Whether the VM is leaving.
    pub is_leaving: bool,
}

/// Where an entry listens for links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The entry.
    pub name: EntryName,
    /// The entry's data centre.
    pub data_centre: DataCentre,
    /// IP and port for links.
    pub link: std::net::SocketAddr,
}

/// What one agent may hold, as one entry knows it. Every version in it only rises at the agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The configuration that this was derived from.
    pub config: ConfigVersion,
    /// Tiers, by rank.
    pub tiers: Vec<Tier>,
    /// Weights of the decisions.
    pub policy: Policy,
    /// The plain service that the target is, if it is one.
    pub service: Option<Service>,
    /// Shards in which the target has, or had, a grant.
    pub shards: Vec<ShardAssignment>,
    /// The declared models that the grants name, sorted by name.
    pub models: Vec<Model>,
}

/// The grants of one target in one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardAssignment {
    /// The shard.
    pub shard: ShardId,
    /// The platform's version of the shard's object.
    pub version: u64,
    /// The target's grants, sorted by model.
    pub grants: Vec<AssignedGrant>,
}

/// One grant as the agent sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedGrant {
    /// The grant.
    pub id: GrantId,
    /// The model that may be held.
    pub model: ModelName,
    /// The agent unloads the model and reports [`AgentControl::Released`].
    pub revoking: bool,
}

/// One entry asks another, when the platform does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for everything the peer knows of the platform's objects. The answer is one body frame
    /// with the JSON of `stair_platform::Snapshot`.
    Snapshot,
}
