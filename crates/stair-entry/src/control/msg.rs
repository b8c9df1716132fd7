//! What control handles, and what it keeps for the streams of agents.

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
    ShardId, //
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

/// What control handles.
#[derive(Debug)]
pub enum Msg {
    /// A complete list of one kind.
    Listed(Box<Listed>),
    /// Changes, of a watch or a peer.
    Changes(Vec<Event>),
    /// A configuration whose chunks are all read.
    Config(Box<Config>),
    /// Everything was listed from the platform itself.
    Confirmed,
    /// Everything up to this revision of the platform has been sent here.
    CompleteTo(u64),
    /// A shard as this entry has just written it.
    Written(ShardId, Result<Option<Versioned<GrantShard>>, Error>),
    /// Grants that were written as given back.
    ReleaseDone(ShardId, Vec<GrantId>),
    /// An agent opened its control stream.
    AgentConnected(Box<AgentConnected>),
    /// The control stream ended.
    AgentDisconnected(StreamId),
    /// An agent said something.
    AgentMessage(StreamId, AgentControl),
    /// Many changes have come; look at them all at once.
    Flush,
    /// Time passed.
    Tick,
    /// Asks for everything that a starting peer needs.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Asks for the state dump.
    Dump(oneshot::Sender<Value>),
    /// Asks for the short status.
    Status(oneshot::Sender<Value>),
}

/// Names a control stream of an agent within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// What an agent's control stream should have been sent. Only the latest counts.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// The agent's assignment.
    pub assignment: Option<Arc<Assignment>>,
    /// The live entries.
    pub entries: Arc<Vec<EntryAddress>>,
    /// What the platform's list says of the agent's VM.
    pub vm: VmNotice,
}

/// An agent opened its control stream.
#[derive(Debug)]
pub struct AgentConnected {
    /// The stream.
    pub stream: StreamId,
    /// How the agent introduced itself.
    pub hello: Hello,
    /// Where to put what it should be sent.
    pub outbox: watch::Sender<Outbox>,
}
