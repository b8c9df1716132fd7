//! What the caller asks for besides the body.

use hyper::{
    HeaderMap,
    header::{
        CONTENT_LENGTH,
        CONTENT_TYPE, //
    },
};
use stair_types::Reason;
use stair_wire::request::Header;

use super::refuse::Refused;

const KEY: &str = "idempotency-key";
const TIMEOUT: &str = "dandelionstair-timeout-ms";
const REPEATABLE: &str = "dandelionstair-repeatable";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The request's own headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestOptions {
    pub(super) idempotency_key: Option<Box<str>>,
    pub(super) timeout_ms: Option<u32>,
    pub(super) repeatable: Option<bool>,
    pub(super) content_type: Box<str>,
    pub(super) content_length: Option<u64>,
}

/// Headers that end here: those of the connection, those that travel in fields of their own, and
/// the caller's key, which is no business of a target.
const NOT_FORWARDED: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "content-type",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the project's own headers.
const OWN_PREFIX: &str = "dandelionstair-";

/// Returns the headers that a target gets. Values that are not visible ASCII are left out.
pub(super) fn forwarded(headers: &HeaderMap) -> Vec<Header> {
    let is_forwarded =
        |name: &str| NOT_FORWARDED.binary_search(&name).is_err() && !name.starts_with(OWN_PREFIX);
    let all = headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()));
    all.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().into(),
            value: value.to_str().ok()?.into(),
        })
    })
    .collect()
}

pub(super) fn options(headers: &HeaderMap) -> Result<RequestOptions, Refused> {
    Ok(RequestOptions {
        idempotency_key: idempotency_key(headers)?,
        timeout_ms: timeout_ms(headers)?,
        repeatable: repeatable(headers)?,
        content_type: text(headers, CONTENT_TYPE.as_str())?.unwrap_or("").into(),
        content_length: content_length(headers),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refused> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(invalid(format!("the header {name} must be visible ASCII"))),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, Refused> {
    match text(headers, KEY)? {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(invalid(format!(
            "the header {KEY} must have 1 to {MAX_KEY_BYTES} bytes"
        ))),
        key => Ok(key.map(Into::into)),
    }
}

fn timeout_ms(headers: &HeaderMap) -> Result<Option<u32>, Refused> {
    let Some(value) = text(headers, TIMEOUT)? else {
        return Ok(None);
    };
    match value.parse::<u32>() {
        Ok(ms) if ms > 0 => Ok(Some(ms)),
        _ => Err(invalid(format!(
            "the header {TIMEOUT} must be a number of milliseconds above 0"
        ))),
    }
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, Refused> {
    match text(headers, REPEATABLE)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(invalid(format!(
            "the header {REPEATABLE} must be true or false"
        ))),
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn invalid(text: String) -> Refused {
    Refused::new(Reason::Invalid, text)
}
