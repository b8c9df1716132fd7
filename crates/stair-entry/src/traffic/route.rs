//! Maps paths to kinds of work.

use hyper::{
    Method,
    Request, //
};
use stair_types::Reason;

use super::refuse::Refused;

/// The kind of work that a path requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Route {
    /// The balancer's health check.
    Health,
    /// The list of models.
    Models,
    /// An inference; the body names the model.
    Inference,
    /// A request to a plain service.
    Service {
        /// The name as the caller wrote it.
        name: Box<str>,
        /// Path and query at the service.
        path: Box<str>,
    },
}

const SERVICES: &str = "/services/";

/// Maps a request to its route.
///
/// # Errors
///
/// Refuses unknown paths, wrong methods and paths with `..` segments.
pub(super) fn route<B>(req: &Request<B>) -> Result<Route, Refused> {
    let path = req.uri().path();
    if path.starts_with(SERVICES) {
        return service(req);
    }
    let (method, route) = match path {
        "/healthz" => (Method::GET, Route::Health),
        "/v1/models" => (Method::GET, Route::Models),
        "/v1/completions" | "/v1/chat/completions" => (Method::POST, Route::Inference),
        _ => return Err(Refused::new(Reason::Unknown, "no such path")),
    };
    if req.method() != method {
        return Err(Refused::method_not_allowed());
    }
    Ok(route)
}

fn service<B>(req: &Request<B>) -> Result<Route, Refused> {
    let full = req.uri().path_and_query().map_or("", |p| p.as_str());
    let rest = &full[SERVICES.len()..];
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    // The declared prefix of a path decides whether a request may be repeated. A path that leaves
    // its prefix by `..` would be repeated although that is not allowed.
    if req.uri().path().split('/').any(is_parent_segment) {
        return Err(Refused::new(
            Reason::Invalid,
            "a path must not contain '..' segments",
        ));
    }
    let path = match path.starts_with('/') {
        true => path.into(),
        false => format!("/{path}").into(),
    };
    Ok(Route::Service {
        name: name.into(),
        path,
    })
}

/// Returns whether a path segment is `..`, also in percent encoding.
fn is_parent_segment(segment: &str) -> bool {
    segment.len() <= 6 && segment.to_ascii_lowercase().replace("%2e", ".") == ".."
}
