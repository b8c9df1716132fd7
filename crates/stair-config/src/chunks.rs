//! Splits a catalogue into chunks, which are values on the platform, and joins them again.
//!
//! The platform limits one value to a megabyte. A catalogue of 430 models with 15,910 adapters
//! has 970 kB with short names (test `planned_size`) and more with long ones. The hash of an
//! item's name selects its chunk, so that a change of one model makes one new chunk and leaves the
//! others as they are. Chunks are named by their content and are therefore immutable; an abandoned
//! apply has no effect on the configuration in force.
//!
//! Every entry receives each changed chunk and the manifest, so their sizes are balanced: with 160
//! buckets for models a chunk has about 7 kB in the mean (1.1 MB in all, in the example `slopes`)
//! and the names of the chunks about 6 kB. At 13,000 changes a day that is about 2 kB a second for
//! each entry, out of 7 KB a second for all control traffic. Fewer buckets make chunks larger, more
//! make the manifest larger.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;
use sha2::{
    Digest,
    Sha256, //
};

use crate::types::{
    Caller,
    Catalogue,
    Model,
    Policy,
    Service,
    Tier, //
};

/// Buckets of models. The module's documentation derives the number.
const MODEL_BUCKETS: u16 = 160;

/// Buckets of callers; see [`MODEL_BUCKETS`].
const CALLER_BUCKETS: u16 = 16;

/// Maximum size of one chunk, in bytes. The platform allows a megabyte including its own framing.
pub const MAX_CHUNK_BYTES: usize = 900_000;

/// A part of a catalogue, stored as one value on the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    /// [`content_name`] of the value's JSON text; the object's name.
    pub hash: Box<str>,
    /// The content. Its keys are sorted, so equal contents have equal JSON texts.
    pub value: Value,
}

/// An error of [`split`] or [`join`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A chunk would exceed [`MAX_CHUNK_BYTES`].
    #[error("a part of the catalogue has {0} bytes, more than {MAX_CHUNK_BYTES}")]
    TooLarge(usize),
    /// The hash of a chunk's content differs from its name.
    #[error("chunk {name} has content with the hash {found}")]
    WrongHash {
        /// The chunk's name.
        name: Box<str>,
        /// The hash of its content.
        found: Box<str>,
    },
    /// A chunk's content does not decode.
    #[error("chunk {name} does not decode: {cause}")]
    Undecodable {
        /// The chunk's name.
        name: Box<str>,
        /// The decoder's error text.
        cause: Box<str>,
    },
    /// The joined chunks violate an invariant of the catalogue; the text names the kind of item.
    #[error("the chunks together have {0} twice or not at all")]
    Inconsistent(&'static str),
}

/// The decoded content of one chunk. Fields without items are omitted.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Part {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    models: Vec<Model>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tiers: Vec<Tier>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    callers: Vec<Caller>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    services: Vec<Service>,
    #[serde(skip_serializing_if = "Option::is_none")]
    policy: Option<Policy>,
}

/// Splits a catalogue into chunks. Equal catalogues give equal chunks in equal order.
///
/// # Errors
///
/// [`Error::TooLarge`] if the items of one bucket exceed [`MAX_CHUNK_BYTES`].
pub fn split(catalogue: &Catalogue) -> Result<Vec<Chunk>, Error> {
    let shared = Part {
        tiers: catalogue.tiers.clone(),
        services: catalogue.services.clone(),
        policy: Some(catalogue.policy.clone()),
        ..Part::default()
    };
    let mut chunks = vec![encode(&shared)?];
    let models = buckets(&catalogue.models, MODEL_BUCKETS, |m| m.name.as_str());
    for models in models {
        let part = Part {
            models,
            ..Part::default()
        };
        chunks.push(encode(&part)?);
    }
    let callers = buckets(&catalogue.callers, CALLER_BUCKETS, |c| c.name.as_str());
    for callers in callers {
        let part = Part {
            callers,
            ..Part::default()
        };
        chunks.push(encode(&part)?);
    }
    Ok(chunks)
}

/// Joins chunks, in any order, into the catalogue that they were split from.
///
/// # Errors
///
/// Any [`Error`] except [`Error::TooLarge`].
pub fn join<'c, I>(chunks: I) -> Result<Catalogue, Error>
where
    I: IntoIterator<Item = &'c Chunk>,
{
    let mut all = Catalogue::default();
    let mut policy = None;
    for chunk in chunks {
        let part = decode(chunk)?;
        all.models.extend(part.models);
        all.tiers.extend(part.tiers);
        all.callers.extend(part.callers);
        all.services.extend(part.services);
        if let Some(found) = part.policy
            && policy.replace(found).is_some()
        {
            return Err(Error::Inconsistent("the policy"));
        }
    }
    all.policy = policy.ok_or(Error::Inconsistent("the policy"))?;
    all.models.sort_by(|a, b| a.name.cmp(&b.name));
    all.tiers.sort_by_key(|t| t.rank);
    all.callers.sort_by(|a, b| a.key_sha256.cmp(&b.key_sha256));
    all.services.sort_by(|a, b| a.name.cmp(&b.name));
    check_invariants(&all)?;
    Ok(all)
}

fn check_invariants(all: &Catalogue) -> Result<(), Error> {
    if all.models.windows(2).any(|w| w[0].name == w[1].name) {
        return Err(Error::Inconsistent("a model"));
    }
    if all.services.windows(2).any(|w| w[0].name == w[1].name) {
        return Err(Error::Inconsistent("a service"));
    }
    let same_key = |w: &[Caller]| w[0].key_sha256 == w[1].key_sha256;
    if all.callers.windows(2).any(same_key) {
        return Err(Error::Inconsistent("a caller"));
    }
    let in_order = |(rank, tier): (usize, &Tier)| usize::from(tier.rank.0) == rank;
    if !all.tiers.iter().enumerate().all(in_order) {
        return Err(Error::Inconsistent("a tier"));
    }
    Ok(())
}

/// Hexadecimal digits of a chunk's name. 128 bits exclude accidental collisions and keep the
/// manifest small: it lists every chunk's name, and every entry reads it at each change.
const NAME_DIGITS: usize = 32;

/// Returns the name of a chunk: the first half of its JSON text's SHA-256, in hexadecimal.
pub fn content_name(text: &str) -> Box<str> {
    sha256_hex(text.as_bytes())[..NAME_DIGITS].into()
}

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal, the format of [`Caller::key_sha256`].
pub fn sha256_hex(bytes: &[u8]) -> Box<str> {
    use std::fmt::Write;

    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}

fn encode(part: &Part) -> Result<Chunk, Error> {
    // The encoding cannot fail: all keys are strings and all numbers are finite.
    let value = serde_json::to_value(part).unwrap_or_default();
    let text = value.to_string();
    if text.len() > MAX_CHUNK_BYTES {
        return Err(Error::TooLarge(text.len()));
    }
    Ok(Chunk {
        hash: content_name(&text),
        value,
    })
}

fn decode(chunk: &Chunk) -> Result<Part, Error> {
    let found = content_name(&chunk.value.to_string());
    if found != chunk.hash {
        return Err(Error::WrongHash {
            name: chunk.hash.clone(),
            found,
        });
    }
    Part::deserialize(&chunk.value).map_err(|e| Error::Undecodable {
        name: chunk.hash.clone(),
        cause: e.to_string().into(),
    })
}

fn buckets<T, F>(items: &[T], count: u16, name: F) -> Vec<Vec<T>>
where
    T: Clone,
    F: Fn(&T) -> &str,
{
    let mut all = vec![Vec::new(); usize::from(count)];
    for item in items {
        let hash = Sha256::digest(name(item).as_bytes());
        let number = u16::from_be_bytes([hash[0], hash[1]]);
        all[usize::from(number % count)].push(item.clone());
    }
    all.retain(|bucket| !bucket.is_empty());
    all
}
