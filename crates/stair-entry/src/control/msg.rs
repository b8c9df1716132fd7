//! Messages to the control actor, and the outbox of an agent's control stream.

use std::sync::Arc;

use serde_json::Value;
use stair_platform::{
    Error,
    Event,
    Snapshot, //
};
use stair_state::GrantShard;
use stair_types::{
    GrantId,
    ShardId,
    StoreRevision, //
};
use stair_wire::control::{
    AgentControl,
    Assignment,
    EntryAddress,
    Hello,
    VmNotice, //
};
use tokio::sync::{
    oneshot,
    watch, //
};

use crate::control::{
    feed::Listed,
    state::{
        Config,
        Versioned, //
    },
};

/// A message to the control actor.
#[derive(Debug)]
pub enum Msg {
    /// A complete list of one kind of object.
    Listed(Box<Listed>),
    /// Changes from a watch or a peer's snapshot.
    Changes(Vec<Event>),
    /// A configuration whose chunks have all been read.
    Config(Box<Config>),
    /// All kinds have been listed from the platform itself.
    Confirmed,
    /// All changes up to this revision of the platform have been sent to the actor.
    CompleteTo(StoreRevision),
    /// The result of this entry's write of a shard; none if it changed nothing.
    Written(ShardId, Result<Option<Versioned<GrantShard>>, Error>),
    /// The attempt to write these releases has ended, with or without success.
    ReleaseDone(ShardId, Vec<GrantId>),
    /// An agent opened its control stream.
    AgentConnected(Box<AgentConnected>),
    /// An agent's control stream ended.
    AgentDisconnected(StreamId),
    /// A message from an agent.
    AgentMessage(StreamId, AgentControl),
    /// Publish the changes made by the messages so far and act on them.
    Flush,
    /// The periodic check of pending work.
    Tick,
    /// Requests a snapshot for a peer that starts.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Requests the state dump.
    Dump(oneshot::Sender<Value>),
    /// Requests the short status.
    Status(oneshot::Sender<Value>),
}

/// Identifies an agent's control stream within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// The values that an agent should receive. Only the latest of each is sent.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// The agent's assignment.
    pub assignment: Option<Arc<Assignment>>,
    /// The live entries.
    pub entries: Arc<Vec<EntryAddress>>,
    /// The notice about the agent's VM from the platform's list.
    pub vm: VmNotice,
    /// The revision at which the platform lacked the agent's record, if it does.
    pub lost_record: Option<StoreRevision>,
}

/// An agent opened its control stream.
#[derive(Debug)]
pub struct AgentConnected {
    /// The stream.
    pub stream: StreamId,
    /// The agent's opening message.
    pub hello: Hello,
    /// The values to send on the stream.
    pub outbox: watch::Sender<Outbox>,
}
