//! Whose request it is.

use hyper::{
    HeaderMap,
    header::AUTHORIZATION, //
};
use stair_config::Catalogue;
use stair_types::{
    CallerName,
    KeyDigest,
    Reason,
    TierName,
    TierRank, //
};

use super::refuse::Refused;

/// A caller whose key is known.
#[derive(Debug, Clone)]
pub(super) struct Identity {
    pub(super) name: CallerName,
    pub(super) tier: TierName,
    pub(super) rank: TierRank,
    /// Timeout of a request that names none, in milliseconds.
    pub(super) timeout_ms: u32,
}

pub(super) fn authenticate(
    catalogue: &Catalogue,
    headers: &HeaderMap,
) -> Result<Identity, Refused> {
    let unauthorized = |text| Refused::new(Reason::Unauthorized, text);
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(bearer)
        .ok_or_else(|| unauthorized("send your key as 'Authorization: Bearer KEY'"))?;
    let caller = catalogue
        .caller(&KeyDigest::of(key.as_bytes()).hex())
        .ok_or_else(|| unauthorized("the key is unknown"))?;
    let tier = catalogue
        .tier(&caller.tier)
        .ok_or_else(|| unauthorized("the key's tier is not declared"))?;
    Ok(Identity {
        name: caller.name.clone(),
        tier: tier.name.clone(),
        rank: tier.rank,
        timeout_ms: tier.timeout_ms,
    })
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
