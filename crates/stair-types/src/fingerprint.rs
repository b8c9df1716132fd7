//! Fingerprints that recognise the retries of a request.
//!
//! Each attempt of a client has a new request id. Retries have the same caller, method, host, path
//! and body in common. The caller is identified by the workspace of its key, since the address
//! changes with the proxies and the data centre that an attempt passes through.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};
use xxhash_rust::xxh3::Xxh3;

/// Stored bytes of the SHA-256 digest.
const DIGEST_BYTES: usize = 16;

/// The fields that all retries of a request have in common.
#[derive(Debug, Clone, Copy)]
pub struct Contents<'a> {
    /// The workspace of the caller's key; `None` where no key is required.
    pub workspace: Option<&'a str>,
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a [u8],
    /// The path with the query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// A hash of all fields but the body, and of the body's length.
///
/// It is cheap enough to compute for each request. Requests with different outlines are never
/// retries of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Outline(u64);

/// Identifies a request by its contents without storing any of them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    outline: Outline,
    digest: [u8; DIGEST_BYTES],
}

impl Contents<'_> {
    /// Computes the outline, in a time independent of the body's length.
    pub fn outline(&self) -> Outline {
        let mut hash = Xxh3::new();
        self.for_each_field(&mut |bytes| hash.update(bytes));
        hash.update(&self.body.len().to_le_bytes());
        Outline(hash.digest())
    }

    /// Computes the fingerprint, in a time linear in the body's length.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        self.for_each_field(&mut |bytes| hash.update(bytes));
        hash.update(self.body);
        let whole: [u8; 32] = hash.finalize().into();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Fingerprint {
            outline: self.outline(),
            digest,
        }
    }

    /// Passes all fields but the body to `sink`, each after its length, so that different fields
    /// never give the same sequence of bytes.
    fn for_each_field(&self, sink: &mut dyn FnMut(&[u8])) {
        let mut field = |bytes: &[u8]| {
            sink(&bytes.len().to_le_bytes());
            sink(bytes);
        };
        field(&[u8::from(self.workspace.is_some())]);
        field(self.workspace.unwrap_or_default().as_bytes());
        field(self.method.as_bytes());
        field(self.host);
        field(self.path.as_bytes());
    }
}

impl Fingerprint {
    /// Returns the outline of the same request.
    pub fn outline(&self) -> Outline {
        self.outline
    }
}

/// Writes the first 6 bytes of the digest, enough to find the same request in logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.digest[..6]
            .iter()
            .try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}
