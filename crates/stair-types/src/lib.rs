//! Names, identifiers and verdicts that every part of dandelionstair shares.
//!
//! - [`fingerprint`]: what identifies a request that comes again.
//! - [`key`]: digests of API keys.
//! - [`names`]: checked names of models, adapters, targets, tiers and so on.
//! - [`ids`]: numbers that order or identify things.
//! - [`rendezvous`]: who is responsible for a key.
//! - [`verdict`]: what is known about a request that failed.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod fingerprint;
pub mod ids;
pub mod key;
pub mod names;
pub mod rendezvous;
pub mod verdict;

pub use fingerprint::Fingerprint;
pub use ids::{
    ApplyId,
    ConfigVersion,
    FencingToken,
    GrantId,
    ModelKey,
    RequestId,
    ShardId,
    TargetKey,
    TierRank, //
};
pub use key::KeyDigest;
pub use names::{
    AdapterName,
    CallerName,
    DataCentre,
    EntryName,
    ModelName,
    NameError,
    ServiceName,
    TargetName,
    TierName, //
};
pub use verdict::{
    Reason,
    Refusal,
    Verdict, //
};
