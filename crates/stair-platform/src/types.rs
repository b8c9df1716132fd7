//! Objects that dandelionstair keeps in the platform, and what a call can come to.
//!
//! HTTP mapping, as the stand-in serves it and the client calls it, all bodies JSON:
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | get | `GET /objects/KIND/NAME` | 200 [`Object`], 404 |
//! | list | `GET /objects/KIND` | 200 [`Page`] |
//! | put | `PUT /objects/KIND/NAME` with `If-None-Match: *` or `If-Match: VERSION` | 200 `{"version":N}`, 409, 413 |
//! | delete | `DELETE /objects/KIND/NAME` with `If-Match: VERSION` | 200, 404, 409 |
//! | watch | `GET /watch?kinds=a,b&since=REVISION&timeout_ms=N` | 200 [`Page`] of changes, at once or when one comes; empty after the timeout; 410 when `since` is too old, then list again |
//!
//! Versions are numbers of one revision counter for the whole store, so that a watch on several
//! kinds has one position.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    ApplyId,
    ConfigVersion,
    DataCentre,
    EntryName,
    FencingToken,
    RequestId,
    ServiceName,
    TargetName, //
};

/// The kinds of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// [`Manifest`], one object named `manifest`.
    Manifest,
    /// Immutable parts of the configuration, named by content hash.
    Chunk,
    /// `stair_state::GrantShard`, named by shard number in decimal.
    Grants,
    /// [`IncarnationRecord`], named by target.
    Incarnation,
    /// [`ClaimShard`], named by shard number in decimal.
    Claims,
    /// [`Vm`], named by VM; read only, lagging, kept by the platform itself.
    Vm,
}

impl Kind {
    /// Returns the text used in paths and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Manifest => "manifest",
            Self::Chunk => "chunk",
            Self::Grants => "grants",
            Self::Incarnation => "incarnation",
            Self::Claims => "claims",
            Self::Vm => "vm",
        }
    }
}

/// One object as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The kind.
    pub kind: Kind,
    /// The name within the kind.
    pub name: Box<str>,
    /// The store's revision at which it was last written.
    pub version: u64,
    /// The value; JSON text.
    pub value: serde_json::Value,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The object was written.
    Put(Object),
    /// The object was deleted.
    Deleted {
        /// The kind.
        kind: Kind,
        /// The name.
        name: Box<str>,
        /// The store's revision of the deletion.
        version: u64,
    },
}

/// The answer to a list or a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The store's revision that this is complete up to; the next watch's `since`.
    pub revision: u64,
    /// For a list, the objects as puts; for a watch, the changes in order.
    pub events: Vec<Event>,
}

/// What a put demands of the object's present state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// What a call can come to.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition does not hold; nothing was written.
    #[error("the object has changed meanwhile")]
    Conflict,
    /// There is no such object.
    #[error("no such object")]
    NotFound,
    /// The watch's position is too old; list again.
    #[error("the watch position is too old")]
    Gone,
    /// Nothing was written for certain: the platform refused or the call was never sent.
    #[error("the platform is unavailable: {0}")]
    Unavailable(Box<str>),
    /// The answer was lost: a write may have taken effect, now or later.
    #[error("the platform's answer was lost: {0}")]
    Unknown(Box<str>),
    /// The answer does not decode or the value is too large.
    #[error("the platform rejected the call or answered nonsense: {0}")]
    Invalid(Box<str>),
}

/// The object that commits an apply: the whole configuration by reference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Rises by one with each apply.
    pub version: ConfigVersion,
    /// The apply that wrote it.
    pub apply_id: ApplyId,
    /// The last few applies before, newest first, so that a lost answer can be settled although
    /// another apply has followed.
    pub earlier: Vec<ApplyId>,
    /// The chunks of the catalogue, in order.
    pub chunks: Vec<ChunkRef>,
}

/// A chunk of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChunkRef {
    /// The chunk's content name, its object's name.
    pub hash: Box<str>,
}

/// What stands on a target's VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine with this much accelerator memory, in MiB.
    Engine {
        /// Accelerator memory.
        memory_mib: u32,
    },
    /// A plain service.
    Service {
        /// Which.
        service: ServiceName,
    },
}

/// The present agent of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IncarnationRecord {
    /// The fencing token; rises by one with each start of an agent.
    pub token: FencingToken,
    /// Where the agent listens for links.
    pub link: SocketAddr,
    /// The target's data centre.
    pub data_centre: DataCentre,
    /// What stands on the VM.
    pub kind: TargetKind,
}

/// One claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// SHA-256 of the caller's name and key, lower-case hexadecimal.
    pub key: Box<str>,
    /// The one request that may run for the key.
    pub request: RequestId,
    /// The only target that the request may be started at.
    pub target: TargetName,
    /// The incarnation of the target's agent that it may be started at.
    pub incarnation: FencingToken,
    /// When it may be forgotten, in seconds since the epoch by the writer's clock.
    pub expires_s: u64,
}

/// The value of one shard of claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    /// Sorted by key.
    pub claims: Vec<Claim>,
}

/// What a VM is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry, with the address for links.
    Entry {
        /// The entry's name.
        name: EntryName,
        /// IP and port for links.
        link: SocketAddr,
    },
    /// A target's VM.
    Target {
        /// The target's name.
        name: TargetName,
    },
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In service.
    Live,
    /// Will be taken away soon.
    Leaving,
}

/// One line of the platform's lagging list of VMs. A VM that is gone has no line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// What it is for.
    pub role: VmRole,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// Whether it stays.
    pub state: VmState,
}

/// Everything an entry knows of the platform's objects, for a peer that starts in an outage.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision that it is complete up to.
    pub revision: u64,
    /// Manifest, chunks, grants, incarnations and VMs.
    pub objects: Vec<Object>,
}
