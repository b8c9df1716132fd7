//! Names, identifiers and verdicts shared by all crates of dandelionstair.
//!
//! - [`fingerprint`]: fingerprints that recognise the retries of a request.
//! - [`ids`]: numeric identifiers, versions and ranks.
//! - [`key`]: digests of API keys.
//! - [`names`]: validated names of models, adapters, targets, tiers and others.
//! - [`rendezvous`]: rendezvous hashing, which selects the owner of a key.
//! - [`verdict`]: whether a failed request may have run, and why it failed.
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
