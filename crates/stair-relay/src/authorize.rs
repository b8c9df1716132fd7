//! Finds the workspace of a request by its API key.

use std::time::Duration;

use hyper::HeaderMap;
use platform_adapter::request::{
    self,
    Credential, //
};
use stair_fleet::{
    Catalogue,
    catalogue::Route,
    workspace::Workspace, //
};

use crate::{
    context::Context,
    refuse::{
        Reason,
        Refusal, //
    },
};

/// Retry-After for an unknown key at an entry whose catalogue may be out of date: another entry may know the
/// key.
const LAGGING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Finds the workspace of a request. Returns `None` where no workspaces are declared, and for a missing,
/// malformed or unknown key on an anonymous route.
///
/// # Errors
///
/// The refusal of a request whose key is missing, malformed or not in force.
pub(crate) fn authorize<'a>(
    cx: &Context,
    catalogue: &'a Catalogue,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Workspace>, Refusal> {
    let Some(workspaces) = &catalogue.workspaces else {
        return Ok(None);
    };
    let (found, reason) = match request::credential(headers) {
        Credential::Key(key) => (workspaces.by_key(&key), Reason::UnknownKey),
        Credential::Malformed => (None, Reason::BadKey),
        Credential::Missing => (None, Reason::NoKey),
    };
    if found.is_some() || route.anonymous {
        return Ok(found);
    }
    // A valid key that was declared recently must not be rejected as wrong.
    if reason == Reason::UnknownKey && !cx.follow.is_current() {
        return Err(Refusal::not_run(Reason::Lagging, Some(LAGGING_RETRY_AFTER)));
    }
    Err(Refusal::not_run(reason, None))
}
