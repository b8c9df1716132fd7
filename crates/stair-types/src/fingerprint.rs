//! What identifies a request that comes again.
//!
//! Each try of a client has another id. Its repeats have the same caller, method, host, path and body. A caller is
//! known by the workspace of its key; addresses change with the proxies and the data centre that a try comes by.

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

/// Bytes of the digest that are kept.
const DIGEST_BYTES: usize = 16;

/// What repeats of a request have in common.
#[derive(Debug, Clone, Copy)]
pub struct Contents<'a> {
    /// The workspace that it is for, where keys are needed.
    pub workspace: Option<&'a str>,
    /// Its method.
    pub method: &'a str,
    /// The host that it asks for.
    pub host: &'a [u8],
    /// Its path, with the query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// A hash of everything but the body, and of the body's length: cheap to take for each request. Requests with other
/// outlines are other requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Outline(u64);

/// Identifies a request by its contents, without keeping any of them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    outline: Outline,
    digest: [u8; DIGEST_BYTES],
}

impl Contents<'_> {
    /// Takes the outline.
    pub fn outline(&self) -> Outline {
        let mut hash = Xxh3::new();
        self.for_each_field(&mut |bytes| hash.update(bytes));
        hash.update(&self.body.len().to_le_bytes());
        Outline(hash.digest())
    }

    /// Takes the fingerprint, in a time that grows with the body.
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

    /// Passes on all parts but the body, each with its length: no two requests have the same bytes.
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
    /// The outline of the same request.
    pub fn outline(&self) -> Outline {
        self.outline
    }
}

/// A part of the digest, enough to find the same request in logs.
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
