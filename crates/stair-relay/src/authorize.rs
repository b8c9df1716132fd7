//! Finds the workspace of a request by its key.

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

/// When to come back with a key that is not known to an entry which hears no news of declarations: another
/// entry may know it.
const LAGGING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Finds the workspace of a request; `None` where none is needed and no known key is shown.
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
    // A paying client whose key is new must not be told that it is wrong.
    if reason == Reason::UnknownKey && !cx.follow.is_current() {
        return Err(Refusal::not_run(Reason::Lagging, Some(LAGGING_RETRY_AFTER)));
    }
    Err(Refusal::not_run(reason, None))
}
