//! A request that passed all checks.

use std::{
    sync::{
        Arc,
        OnceLock, //
    },
    time::Duration, //
};

use bytes::Bytes;
use hyper::body::Incoming;
use stair_config::{
    Catalogue,
    Model, //
};
use stair_fleet::quarantine::Parts;
use stair_types::{
    AdapterName,
    CallerName,
    Reason,
    RequestId,
    ServiceName,
    TierName,
    TierRank, //
};
use stair_wire::request::{
    Header,
    Work, //
};
use tokio::time::Instant;

use crate::View;

use super::{
    Cx,
    admit::Admitted,
    auth::Identity,
    body,
    headers::{
        self,
        Origin,
        RequestOptions, //
    },
    refuse::Refused,
    route::Route,
};

/// A request that passed all checks and may be offered to targets.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) caller: CallerName,
    pub(super) tier: TierName,
    pub(super) rank: TierRank,
    pub(super) work: Work,
    pub(super) method: Box<str>,
    pub(super) path: Box<str>,
    pub(super) content_type: Box<str>,
    pub(super) headers: Vec<Header>,
    pub(super) body: Bytes,
    pub(super) max_tokens: u32,
    pub(super) prefix_hash: u64,
    /// Computed on first use.
    parts: OnceLock<Parts>,
    pub(super) repeatable: bool,
    /// The software version that began the stream that the request continues.
    pub(super) version: Option<Box<str>>,
    pub(super) idempotency_key: Option<Box<str>>,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
}

impl Request {
    /// The parts of its prompt that other requests may share.
    pub(super) fn parts(&self) -> &Parts {
        self.parts.get_or_init(|| match &self.work {
            Work::Model { .. } => {
                let ids = body::shared_parts(&self.body);
                Parts::new(Some(self.caller.as_str()), ids)
            }
            Work::Service { .. } => Parts::default(),
        })
    }

    /// Returns the idempotency key if it must be claimed before the start.
    pub(super) fn key_to_claim(&self) -> Option<&str> {
        self.idempotency_key.as_deref().filter(|_| !self.repeatable)
    }

    /// Returns whether an agent may start the request without a `Start`.
    pub(super) fn starts_when_ready(&self) -> bool {
        self.repeatable && self.idempotency_key.is_none()
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Admits a request, reads its body and checks it.
///
/// # Errors
///
/// Refuses the request when it is invalid or the entry is full for its tier.
pub(super) async fn receive<S>(
    cx: &Cx<S>,
    view: &Arc<View>,
    id: RequestId,
    received: Instant,
    route: Route,
    identity: &Identity,
    req: hyper::Request<Incoming>,
) -> Result<(Request, Admitted), Refused> {
    let (head, incoming) = req.into_parts();
    let options = headers::options(&head.headers)?;
    let version = match options.origin.clone() {
        None => None,
        Some(Origin::Version(version)) => Some(version),
        Some(Origin::Unnamed) => {
            let message =
                "a stream is continued, and dandelionstair-resumes does not name its version";
            return Err(Refused::new(Reason::UnknownOrigin, message));
        }
    };
    let limit = u64::from(cx.limits.max_body_bytes);
    let expected = options
        .content_length
        .unwrap_or(match incoming_is_empty(&incoming) {
            true => 0,
            false => limit,
        });
    if expected > limit {
        return Err(Refused::too_large(cx.limits.max_body_bytes));
    }
    let tiers = view.catalogue.tiers.len();
    let mut admitted = cx.gate.admit(identity.rank, tiers, expected)?;
    let body = body::read(incoming, &cx.limits).await?;
    admitted.release_unused(body.len() as u64);
    let target = match route {
        Route::Service { name, path } => service(&view.catalogue, &head.method, &name, path)?,
        _ => inference(&view.catalogue, head.uri.path(), &body)?,
    };
    let timeout = timeout(&options, identity, cx.limits.max_timeout_ms);
    let req = Request {
        id,
        caller: identity.name.clone(),
        tier: identity.tier.clone(),
        rank: identity.rank,
        work: target.work,
        method: head.method.as_str().into(),
        path: target.path,
        prefix_hash: target.prefix_hash,
        parts: OnceLock::new(),
        body,
        max_tokens: target.max_tokens,
        repeatable: options.repeatable.unwrap_or(target.repeatable),
        content_type: options.content_type,
        headers: headers::forwarded(&head.headers)
            .into_iter()
            .chain(version.as_deref().map(Header::of_version))
            .collect(),
        version,
        idempotency_key: options.idempotency_key,
        received,
        deadline: received + timeout,
    };
    Ok((req, admitted))
}

fn incoming_is_empty(incoming: &Incoming) -> bool {
    hyper::body::Body::is_end_stream(incoming)
}

fn timeout(options: &RequestOptions, identity: &Identity, max_ms: u32) -> Duration {
    let ms = options
        .timeout_ms
        .unwrap_or(identity.timeout_ms)
        .min(max_ms);
    Duration::from_millis(ms.into())
}

/// The work of a request with its properties from the declarations.
struct Declared {
    work: Work,
    path: Box<str>,
    max_tokens: u32,
    prefix_hash: u64,
    repeatable: bool,
}

fn service(
    catalogue: &Catalogue,
    method: &hyper::Method,
    name: &str,
    path: Box<str>,
) -> Result<Declared, Refused> {
    let service = catalogue
        .service(name)
        .ok_or_else(|| Refused::new(Reason::Unknown, "no such service is declared"))?;
    let bare = path.split('?').next().unwrap_or("/");
    Ok(Declared {
        repeatable: service.repeatable(method.as_str(), bare),
        work: Work::Service {
            service: ServiceName::clone(&service.name),
        },
        path,
        max_tokens: 0,
        prefix_hash: 0,
    })
}

fn inference(catalogue: &Catalogue, path: &str, body: &[u8]) -> Result<Declared, Refused> {
    let fields = body::fields(body)?;
    let (model, adapter) = model(catalogue, &fields.model).ok_or_else(|| {
        let message = "no such model is declared; GET /v1/models lists them";
        Refused::new(Reason::Unknown, message)
    })?;
    Ok(Declared {
        work: Work::Model {
            model: model.name.clone(),
            adapter,
        },
        path: path.into(),
        max_tokens: fields.tokens(),
        prefix_hash: body::prefix_hash(body),
        repeatable: model.repeatable,
    })
}

fn model<'a>(catalogue: &'a Catalogue, name: &str) -> Option<(&'a Model, Option<AdapterName>)> {
    let (base, adapter) = match name.split_once('/') {
        Some((base, adapter)) => (base, Some(adapter)),
        None => (name, None),
    };
    let model = catalogue.model(base)?;
    match adapter {
        Some(adapter) => Some((model, Some(model.adapter(adapter)?.name.clone()))),
        None => Some((model, None)),
    }
}
