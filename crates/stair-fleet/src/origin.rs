//! What a stream is a continuation of: the service and the software version that began it.
//!
//! What two software versions write does not fit together, so a stream goes on only at a target of the version
//! that wrote its first event. Its client may take it up through any entry, after the one that began it has ended.
//!
//! At the first event the entry records the [`Origin`] and sends the record to a few agents, its keepers, which
//! rendezvous hashing of the stream selects. A record is written once and never changes. An entry that continues a
//! stream reads its own [`Records`] and asks the keepers.
//!
//! # Invariants
//!
//! A continuation without a known origin runs only where [`History`] proves that the service has had one version
//! for as long as the stream can have lasted. Records that contradict each other are no record.

mod history;
mod records;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::rendezvous;
use xxhash_rust::xxh3::xxh3_64;

pub use history::{
    History,
    Report,
    ReportedVersion, //
};
pub use records::Records;

/// Number of agents that keep a record: two may be lost with the entry that wrote it.
const KEEPERS: usize = 3;

/// Identifies a stream by the id of the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The stream that the request with this id began.
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// What began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: Box<str>,
    /// The version of the software.
    pub version: Box<str>,
}

/// The origin of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    pub stream: StreamKey,
    /// Its origin.
    pub origin: Origin,
    /// Time for which its client may take it up.
    pub ttl: Duration,
}

/// What is known of a stream's origin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// There is no record.
    #[default]
    Unknown,
    /// There are records of several origins, for instance of two streams under one id.
    Ambiguous,
    /// The origin.
    Known(Origin),
}

impl Answer {
    /// Combines two answers on the same stream.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, answer) | (answer, Self::Unknown) => answer,
            (Self::Known(a), Self::Known(b)) if a == b => Self::Known(a),
            _ => Self::Ambiguous,
        }
    }
}

/// Messages of an entry to an agent as a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToKeeper {
    /// A stream has begun.
    Record(Record),
    /// Requests what is known of a stream, and the versions of its service.
    Ask {
        /// Identifies the request on this connection.
        seq: u64,
        /// The stream, if its client names it.
        stream: Option<StreamKey>,
        /// The service that its route selects.
        service: Box<str>,
    },
    /// The versions that the entry has seen; sent first and on each change.
    Versions(Report),
}

/// Messages of an agent as a keeper to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromKeeper {
    /// The reply to [`ToKeeper::Ask`].
    Reply {
        /// The `seq` of the request.
        seq: u64,
        /// What is known of the stream.
        answer: Answer,
        /// The versions of the service that entries have seen.
        versions: Report,
    },
}

/// Whether a target of this software version may continue a stream that is bound to `required`, or begin one if
/// none is. Neither a target nor an origin whose version is not known matches any.
pub fn allows(required: Option<&str>, version: Option<&str>) -> bool {
    required.is_none_or(|v| !v.is_empty() && version == Some(v))
}

/// The indices of `agents` in the order in which they keep a stream's record, and the number of those that do.
pub fn ranked<'a, I>(stream: StreamKey, agents: I) -> (Vec<usize>, usize)
where
    I: IntoIterator<Item = &'a str>,
{
    let ranked = rendezvous::ranked(&format!("{:016x}", stream.0), agents);
    let keepers = ranked.len().min(KEEPERS);
    (ranked, keepers)
}
