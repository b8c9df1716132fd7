//! Digests of API keys.
//!
//! A key is a secret: only its digest is kept, compared and sent to other processes.

use std::{
    cmp::Ordering,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};
use subtle::ConstantTimeEq as _;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 of a key.
///
/// Unkeyed, since entries pass declarations on to each other and each has to find the same digest.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Takes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The digest in lower-case hexadecimal, as declarations have it.
    pub fn hex(&self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl PartialOrd for KeyDigest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The order says something of digests alone, from which no key can be found.
impl Ord for KeyDigest {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.cmp(&other.0)
    }
}

/// Shows nothing of the digest: a weak key could be found from it by trial.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
