//! The objects that dandelionstair stores in the platform, and the errors of a call.
//!
//! The HTTP mapping, used by the client and by the stand-in; all bodies are JSON:
//!
//! | call | request | reply |
//! | --- | --- | --- |
//! | get | `GET /objects/KIND/NAME` | 200 [`Object`], 404 |
//! | list | `GET /objects/KIND` | 200 [`Page`] |
//! | put | `PUT /objects/KIND/NAME` with `If-None-Match: *` or `If-Match: VERSION` | 200 `{"version":N}`, 409, 413 |
//! | delete | `DELETE /objects/KIND/NAME` with `If-Match: VERSION` | 200, 404, 409 |
//! | watch | `GET /watch?kinds=a,b&since=REVISION&timeout_ms=N` | 200 [`Page`] of changes as soon as there is one, empty after the timeout; 410 if `since` is too old and a list is needed |
//!
//! Versions are values of a single revision counter of the whole store, so that a watch on several
//! kinds has one position. Each reply states the store's era in the header [`ERA_HEADER`]; the client
//! adds it to all versions of the reply.

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
    StoreRevision,
    TargetName, //
};

/// States the store's era, which rises each time that the store comes back from a copy.
pub const ERA_HEADER: &str = "platform-era";

/// The kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// [`Manifest`]: a single object named `manifest`.
    Manifest,
    /// An immutable chunk of the configuration, named by its content hash.
    Chunk,
    /// `stair_state::GrantShard`, named by its shard number in decimal.
    Grants,
    /// [`IncarnationRecord`], named by its target.
    Incarnation,
    /// [`ClaimShard`], named by its shard number in decimal.
    Claims,
    /// [`Vm`], named by its VM. The platform itself writes these objects, with a delay; they are
    /// read only.
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

/// An object as read from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The kind of the object.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: Box<str>,
    /// The revision of the store at which the object was last written.
    pub version: StoreRevision,
    /// The value, in the type that [`Kind`] states.
    pub value: serde_json::Value,
}

/// One change of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The object was written.
    Put(Object),
    /// The object was deleted.
    Deleted {
        /// The kind of the object.
        kind: Kind,
        /// The name, unique within the kind.
        name: Box<str>,
        /// The revision of the store at which the object was deleted.
        version: StoreRevision,
    },
}

/// The reply to a list or a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The revision of the store up to which the page is complete; the `since` of the next watch.
    pub revision: StoreRevision,
    /// For a list, all objects as [`Event::Put`]; for a watch, the changes in order of revision.
    pub events: Vec<Event>,
    /// Why further events do not decode. None of them is of an object that the system has written.
    #[serde(default)]
    pub unreadable: Vec<Box<str>>,
}

/// The precondition of a write on the current state of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object exists with this version.
    Version(StoreRevision),
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition was not met; nothing was written.
    #[error("the object is not in the expected state")]
    Conflict,
    /// The object does not exist.
    #[error("no such object")]
    NotFound,
    /// The position of the watch is too old, or of another era; a list is needed.
    #[error("the watch position is too old")]
    Gone,
    /// The call had no effect: the platform refused it, it was not sent, or it was a read whose
    /// reply was lost.
    #[error("the platform is unavailable: {0}")]
    Unavailable(Box<str>),
    /// The reply to a write was lost: the write may have taken effect or may do so later.
    #[error("the reply of the platform was lost: {0}")]
    Unknown(Box<str>),
    /// The call had no effect and would have none again: it cannot be sent as it is, or the platform
    /// rejected it, as too large for instance.
    #[error("the call was rejected: {0}")]
    Rejected(Box<str>),
    /// The reply, or the value of an object, does not decode.
    #[error("the platform sent an invalid reply: {0}")]
    Invalid(Box<str>),
    /// A list of several pages does not continue after this name, so that it would not end.
    #[error("the list does not continue after {0:?}")]
    Stalled(Box<str>),
}

impl Error {
    /// The kind of failure, for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::NotFound => "not-found",
            Self::Gone => "gone",
            Self::Unavailable(_) => "unavailable",
            Self::Unknown(_) => "unknown",
            Self::Rejected(_) => "rejected",
            Self::Invalid(_) => "invalid",
            Self::Stalled(_) => "stalled",
        }
    }

    /// Whether the platform did not do what the call is for. A conflict, a missing object and a watch position
    /// that is too old are replies like others.
    pub fn is_failure(&self) -> bool {
        !matches!(self, Self::Conflict | Self::NotFound | Self::Gone)
    }
}

/// The object whose update commits an apply. It refers to the chunks of the whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The version of the configuration, incremented by one at each apply.
    pub version: ConfigVersion,
    /// The apply that wrote this manifest.
    pub apply_id: ApplyId,
    /// The preceding applies, newest first, up to a fixed number. After a lost reply to a commit,
    /// they show whether it took effect even if another apply has followed.
    pub earlier: Vec<ApplyId>,
    /// The chunks of the catalogue in order.
    pub chunks: Vec<ChunkRef>,
}

/// A reference to a chunk of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChunkRef {
    /// The content hash of the chunk, which is the name of its object.
    pub hash: Box<str>,
}

/// What runs on the VM of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// An engine, which runs models.
    Engine {
        /// The accelerator memory, in MiB.
        memory_mib: u32,
    },
    /// A plain service.
    Service {
        /// The name of the service.
        service: ServiceName,
    },
}

/// The current incarnation of the agent of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IncarnationRecord {
    /// The fencing token, incremented by one at each start of the agent.
    pub token: FencingToken,
    /// The address at which the agent accepts links.
    pub link: SocketAddr,
    /// The data centre of the target.
    pub data_centre: DataCentre,
    /// What runs on the VM.
    pub kind: TargetKind,
}

/// A claim of an idempotency key for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The SHA-256 of the caller's name and the key, in lower-case hexadecimal.
    pub key: Box<str>,
    /// The only request that may run for the key.
    pub request: RequestId,
    /// The only target at which the request may start.
    pub target: TargetName,
    /// The only incarnation of the target's agent at which the request may start.
    pub incarnation: FencingToken,
    /// When the claim may be removed, in seconds since the Unix epoch by the clock of the writer.
    pub expires_s: u64,
}

/// All claims of one shard, as stored in one object of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    /// Sorted by key.
    pub claims: Vec<Claim>,
}

/// The role of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// The VM of an entry.
    Entry {
        /// The name of the entry.
        name: EntryName,
        /// The address at which the entry accepts links.
        link: SocketAddr,
    },
    /// The VM of a target.
    Target {
        /// The name of the target.
        name: TargetName,
    },
}

/// Whether a VM is about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// An entry in the platform's list of VMs, which lags behind the actual state. A removed VM has no
/// entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The role of the VM.
    pub role: VmRole,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// Whether the VM is about to be removed.
    pub state: VmState,
}

/// All objects of the platform that an entry knows, for a peer that starts during an outage of the
/// platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision up to which the snapshot is complete.
    pub revision: StoreRevision,
    /// The manifest, chunks, grants, incarnations and VMs.
    pub objects: Vec<Object>,
}
