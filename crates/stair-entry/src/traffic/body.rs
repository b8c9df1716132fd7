//! Reads the body and the few fields of it that matter here. The bytes go on as they came.

use std::{
    borrow::Cow,
    time::Duration, //
};

use bytes::Bytes;
use hyper::body::Incoming;
use serde::Deserialize;
use stair_config::EntryLimits;
use stair_http::body::ReadError;
use stair_types::Reason;
use xxhash_rust::xxh3::xxh3_64;

use super::refuse::Refused;

/// Bytes of a prompt that decide where its prefix has its home. Shared style guides and briefs
/// stand first in a prompt and are longer than this.
const PREFIX_BYTES: usize = 512;

/// Bytes of a body in which the prompt is looked for. Callers write other fields after it, or few.
const SEARCH_BYTES: usize = 16 << 10;

/// Longer bodies are not copied: what they waste of a read buffer is less than themselves.
const MAX_COPIED_BYTES: usize = 4 << 10;

/// The fields of an inference's body.
#[derive(Debug, Deserialize)]
pub(super) struct Fields<'a> {
    #[serde(borrow)]
    pub(super) model: Cow<'a, str>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
}

impl Fields<'_> {
    /// Returns the tokens asked for at most, or 0 when the body does not say.
    pub(super) fn tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(0)
    }
}

pub(super) async fn read(body: Incoming, limits: &EntryLimits) -> Result<Bytes, Refused> {
    let time = Duration::from_millis(limits.receive_timeout_ms.into());
    let limit = limits.max_body_bytes as usize;
    let read = stair_http::body::read(body, limit, time).await;
    let read = read.map(copy_if_short);
    read.map_err(|e| match e {
        ReadError::TooLarge(_) => Refused::too_large(limits.max_body_bytes),
        ReadError::TooSlow(_) => Refused::too_slow(),
        ReadError::Broken(_) => Refused::new(Reason::Invalid, "the body broke off"),
    })
}

/// Copies a short body out of the connection's read buffer.
///
/// The buffer has 8 KiB and lives as long as a part of it; the connection takes a second one
/// meanwhile. With 10,000 requests that wait, that would be 80 MB for bodies of a kilobyte.
fn copy_if_short(body: Bytes) -> Bytes {
    match body.len() <= MAX_COPIED_BYTES {
        true => Bytes::copy_from_slice(&body),
        false => body,
    }
}

pub(super) fn fields(body: &[u8]) -> Result<Fields<'_>, Refused> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("the body must be a JSON object that names its model: {e}");
        Refused::new(Reason::Invalid, message)
    })
}

/// Returns a hash of the prompt's first bytes. The text is not decoded: a field found in the wrong
/// place costs one request its cached prefix and nothing else.
pub(super) fn prefix_hash(body: &[u8]) -> u64 {
    let head = &body[..body.len().min(SEARCH_BYTES)];
    let from = find(head, b"\"messages\"").or_else(|| find(head, b"\"prompt\""));
    let prompt = &body[from.unwrap_or(0)..];
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
}

fn find(body: &[u8], text: &[u8]) -> Option<usize> {
    body.windows(text.len()).position(|w| w == text)
}
