//! Parses the options in a request's headers and selects the headers that are forwarded.

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
const LAST_EVENT: &str = "last-event-id";
const RESUMES: &str = "dandelionstair-resumes";
const REPEATABLE: &str = "dandelionstair-repeatable";

/// Longest software version, in bytes.
const MAX_VERSION_BYTES: usize = 128;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The options that a caller sets by headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestOptions {
    pub(super) idempotency_key: Option<Box<str>>,
    pub(super) timeout_ms: Option<u32>,
    pub(super) repeatable: Option<bool>,
    pub(super) origin: Option<Origin>,
    pub(super) content_type: Box<str>,
    pub(super) content_length: Option<u64>,
}

/// What began the stream that a request continues. The response of the first attempt has stated it in
/// [`VERSION_HEADER`](stair_wire::request::VERSION_HEADER), and the caller names it, so that no process has to
/// keep it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Origin {
    /// The version of the target's software.
    Version(Box<str>),
    /// The caller continues a stream and names no version.
    Unnamed,
}

/// Headers that are not forwarded: those of the connection, those that an offer carries in fields of
/// its own, and the caller's key, which targets must not see. Sorted.
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

/// Returns the headers that are forwarded to a target. Values that are not visible ASCII are
/// omitted.
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

/// Parses the options of a request.
///
/// # Errors
///
/// Refuses headers with invalid values.
pub(super) fn options(headers: &HeaderMap) -> Result<RequestOptions, Refused> {
    Ok(RequestOptions {
        idempotency_key: idempotency_key(headers)?,
        timeout_ms: timeout_ms(headers)?,
        repeatable: repeatable(headers)?,
        origin: origin(headers)?,
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

fn origin(headers: &HeaderMap) -> Result<Option<Origin>, Refused> {
    if headers.get_all(RESUMES).iter().count() > 1 {
        return Err(invalid(format!("the header {RESUMES} must be sent once")));
    }
    match text(headers, RESUMES)? {
        Some(version) if version.is_empty() || version.len() > MAX_VERSION_BYTES => Err(invalid(
            format!("the header {RESUMES} must have 1 to {MAX_VERSION_BYTES} bytes"),
        )),
        Some(version) => Ok(Some(Origin::Version(version.into()))),
        None if headers.contains_key(LAST_EVENT) => Ok(Some(Origin::Unnamed)),
        None => Ok(None),
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
