//! Fingerprints of what a crash can be blamed on: a request, or a part of its prompt.
//!
//! Each attempt of a client has a new request id. Retries have the same caller, method, host, path
//! and body in common. The caller is identified by the workspace of its key, since the address
//! changes with the proxies and the data centre that an attempt passes through.
//!
//! A part of a prompt is known by its id, which many requests share. Each part has two fingerprints:
//! one among the requests of a workspace, and one among all requests.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Stored bytes of the SHA-256 digest.
const DIGEST_BYTES: usize = 16;

/// First bytes of the digest of a part, which the digest of a request has by chance only once in
/// 2^56.
const PART_MARK: [u8; 7] = *b"prompt:";

/// Bytes of the digest that hold the id of a part.
const PART_ID: std::ops::Range<usize> = 8..DIGEST_BYTES;

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

/// The requests among which a part is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All requests.
    All,
    /// The requests of one workspace, by a hash of its name.
    Workspace(u64),
}

impl Scope {
    /// The scope of a workspace.
    pub fn of(workspace: &str) -> Self {
        Self::Workspace(xxh3_64(workspace.as_bytes()))
    }

    fn seed(self) -> u64 {
        match self {
            Self::All => 0,
            Self::Workspace(hash) => hash,
        }
    }
}

/// Identifies a request by its contents, or a part of prompts by its id, without storing contents.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    outline: Outline,
    digest: [u8; DIGEST_BYTES],
}

impl Outline {
    /// The bits of the hash, evenly distributed.
    pub fn bits(self) -> u64 {
        self.0
    }
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
    /// Returns the fingerprint of a part among the requests of a scope.
    pub fn of_part(scope: Scope, id: u64) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest[..PART_MARK.len()].copy_from_slice(&PART_MARK);
        digest[PART_MARK.len()] = u8::from(scope != Scope::All);
        digest[PART_ID].copy_from_slice(&id.to_be_bytes());
        Self {
            outline: Outline(xxh3_64_with_seed(&digest, scope.seed())),
            digest,
        }
    }

    /// Returns the outline of the same request or part.
    pub fn outline(&self) -> Outline {
        self.outline
    }

    /// The id of the part; `None` for a request.
    pub fn part(&self) -> Option<u64> {
        let id = <[u8; 8]>::try_from(&self.digest[PART_ID]).ok()?;
        self.digest
            .starts_with(&PART_MARK)
            .then(|| u64::from_be_bytes(id))
    }

    /// Whether each request with this fingerprint has the other one, too, if some request has both.
    pub fn implies(&self, other: &Self) -> bool {
        match (self.part(), other.part()) {
            (None, _) => true,
            (Some(id), Some(same)) if id == same => self == other || self.is_of_workspace(),
            (Some(_), _) => false,
        }
    }

    fn is_of_workspace(&self) -> bool {
        self.digest[PART_MARK.len()] != 0
    }
}

/// Writes enough to find the same cause in logs: `part-` with the id of a part, followed by a mark of
/// its workspace if there is one, or the first 6 bytes of a request's digest.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(id) = self.part() {
            write!(f, "part-{id:x}")?;
            return match self.is_of_workspace() {
                true => write!(f, "@{:04x}", self.outline.0 as u16),
                false => Ok(()),
            };
        }
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
