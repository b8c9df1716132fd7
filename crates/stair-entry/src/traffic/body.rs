//! Reads the body and the few fields of it that the entry needs. The bytes are forwarded unchanged.

use std::{
    borrow::Cow,
    time::Duration, //
};

use bytes::Bytes;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::value::RawValue;
use stair_config::EntryLimits;
use stair_http::body::ReadError;
use stair_types::Reason;
use xxhash_rust::xxh3::xxh3_64;

use super::refuse::Refused;

/// Bytes of a prompt that determine the affinity target of its prefix. Shared style guides and briefs
/// come first in a prompt and are longer than this.
const PREFIX_BYTES: usize = 512;

/// Bytes of a body that are searched for the prompt. Callers write few fields before the prompt.
const SEARCH_BYTES: usize = 16 << 10;

/// Largest body that is copied. A longer one wastes less of its read buffer than its own size.
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
    /// Returns the largest number of tokens requested, or 0 when the body does not state one.
    pub(super) fn tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(0)
    }
}

/// Reads the whole body.
///
/// # Errors
///
/// Refuses a body that is too large, too slow or interrupted.
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
/// The buffer has 8 KiB and is freed only with the last slice of it; the connection allocates a second
/// one meanwhile. For 10,000 waiting requests with bodies of a kilobyte that would take 80 MB.
fn copy_if_short(body: Bytes) -> Bytes {
    match body.len() <= MAX_COPIED_BYTES {
        true => Bytes::copy_from_slice(&body),
        false => body,
    }
}

/// Parses the fields of an inference's body.
///
/// # Errors
///
/// Refuses a body that is not a JSON object with a model.
pub(super) fn fields(body: &[u8]) -> Result<Fields<'_>, Refused> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("the body must be a JSON object that names its model: {e}");
        Refused::new(Reason::Invalid, message)
    })
}

/// Returns a hash of the prompt's first bytes. The JSON is not decoded: if a field is found in the
/// wrong place, one request misses its cached prefix and nothing else happens.
pub(super) fn prefix_hash(body: &[u8]) -> u64 {
    let head = &body[..body.len().min(SEARCH_BYTES)];
    let from = find(head, b"\"messages\"").or_else(|| find(head, b"\"prompt\""));
    let prompt = &body[from.unwrap_or(0)..];
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
}

/// The parts of an inference's prompt.
#[derive(Deserialize)]
struct Prompt<'a> {
    #[serde(borrow, default)]
    prompt: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    messages: Vec<&'a RawValue>,
}

/// Returns the ids of the parts of the prompt that other requests may share: the messages of a
/// conversation, or else the paragraphs of the text, without the last one.
pub(super) fn shared_parts(body: &[u8]) -> Vec<u64> {
    let Ok(prompt) = serde_json::from_slice::<Prompt<'_>>(body) else {
        return Vec::new();
    };
    let mut ids: Vec<u64> = match &prompt.prompt {
        Some(text) if prompt.messages.is_empty() => {
            text.split("\n\n").map(|p| xxh3_64(p.as_bytes())).collect()
        }
        _ => {
            let messages = prompt.messages.iter();
            messages.map(|m| xxh3_64(m.get().as_bytes())).collect()
        }
    };
    ids.pop();
    ids
}

fn find(body: &[u8], text: &[u8]) -> Option<usize> {
    body.windows(text.len()).position(|w| w == text)
}
