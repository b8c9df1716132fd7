//! Digests of API keys.
//!
//! A key is a secret: only its digest is stored, compared and sent to other processes.

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

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of an API key.
///
/// The hash has no secret key, since entries forward declarations to each other and all have to
/// compute the same digest. Equality is compared in constant time.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the digest in lower-case hexadecimal, the format of declarations.
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

/// Not in constant time: its timing reveals only digests, from which no key can be recovered.
impl Ord for KeyDigest {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.cmp(&other.0)
    }
}

/// Hides the digest, since a weak key could be recovered from it by brute force.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
