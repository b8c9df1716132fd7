//! Names, identifiers and verdicts shared by all crates of dandelionstair.
//!
//! - [`fingerprint`]: fingerprints that recognise the retries of a request.
//! - [`ids`]: numeric identifiers, versions and ranks.
//! - [`key`]: digests of API keys.
//! - [`names`]: validated names of models, adapters, targets, tiers and others.
//! - [`rendezvous`]: rendezvous hashing, which selects the owner of a key.
//! - [`store`]: positions in the history of the platform's store.
//! - [`verdict`]: whether a failed request may have run, and why it failed.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod fingerprint;
pub mod ids;
pub mod key;
pub mod names;
pub mod rendezvous;
pub mod store;
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
pub use store::{
    Era,
    StoreRevision, //
};
pub use verdict::{
    Reason,
    Refusal,
    Verdict, //
};
