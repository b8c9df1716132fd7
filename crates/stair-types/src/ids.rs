//! Numeric identifiers, versions and ranks.

use std::fmt;

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
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
    /// The version of the whole configuration. It never decreases.
    ConfigVersion(u64),
    /// The number of an agent's incarnation, incremented at each start. Orders to the engine carry
    /// it.
    FencingToken(u64),
    /// Identifies one grant and is never reused: a model granted again to the same target has a new
    /// id, so that a late confirmation cannot end a later grant.
    GrantId(u64),
    /// The number of a shard of the grants.
    ShardId(u16),
    /// The index of a target in the arena of one process; invalid in any other process.
    TargetKey(u32),
    /// The index of a model in the arena of one process; invalid in any other process.
    ModelKey(u32),
    /// The rank of a tier; 0 is served first.
    TierRank(u8),
}

/// Identifies one request in all processes. The entry generates it at random.
///
/// Text formats have it as 32 hexadecimal digits, since JSON numbers do not carry 128 bits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl Serialize for RequestId {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if !deserializer.is_human_readable() {
            return u128::deserialize(deserializer).map(Self);
        }
        let text = Box::<str>::deserialize(deserializer)?;
        let id = u128::from_str_radix(&text, 16).map_err(D::Error::custom)?;
        Ok(Self(id))
    }
}

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

/// Identifies one apply of the configuration. If the reply to its commit is lost, the id in the
/// manifest shows whether the commit took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApplyId(pub Box<str>);
