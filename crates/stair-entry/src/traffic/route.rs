//! Which path is which kind of work.

use hyper::{
    Method,
    Request, //
};
use stair_types::Reason;

use super::refuse::Refused;

/// What a caller's path stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Route {
    /// The balancer asks whether this entry serves.
    Health,
    /// The list of models.
    Models,
    /// An inference; the body names the model.
    Inference,
    /// A call of a plain service.
    Service {
        /// The name as the caller wrote it.
        name: Box<str>,
        /// Path and query at the service.
        path: Box<str>,
    },
}

const SERVICES: &str = "/services/";

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
    // The declared prefix of a path decides whether a call may be repeated. A path that climbs out
    // of its prefix would be repeated although it may not.
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

fn is_parent_segment(segment: &str) -> bool {
    segment.len() <= 6 && segment.to_ascii_lowercase().replace("%2e", ".") == ".."
}
