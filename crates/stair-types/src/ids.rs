//! Numbers that order or identify things.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )+};
}

numbers! {
    /// The version of the whole configuration. It only rises.
    ConfigVersion(u64),
    /// The number of an agent's incarnation, raised at each start; orders to the engine carry it.
    FencingToken(u64),
    /// Identifies one grant for ever: a model granted again to the same target has a new id, so
    /// that a late confirmation cannot end a later grant.
    GrantId(u64),
    /// One shard of the grants.
    ShardId(u16),
    /// Index of a target in the arena of one process; means nothing to another process.
    TargetKey(u32),
    /// Index of a model in the arena of one process; means nothing to another process.
    ModelKey(u32),
    /// The rank of a tier: 0 is served first.
    TierRank(u8),
}

/// Identifies one request through all processes. Random, made by the entry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Identifies one apply of the configuration, so that a lost answer is settled by reading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApplyId(pub Box<str>);
