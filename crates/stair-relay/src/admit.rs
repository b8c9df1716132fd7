//! Reads a request, checks it, and finds its route.

use std::{
    sync::{
        Arc,
        OnceLock,
        atomic::AtomicBool, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    HeaderMap,
    Request,
    body::Incoming,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        HeaderName,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    }, //
};
use platform_adapter::request::{
    self,
    Meta, //
};
use stair_fleet::{
    Catalogue,
    catalogue::Route,
    prefill::PrefixBlock, //
};
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    timeout_at, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    allowance::{
        self,
        Grant, //
    },
    authorize,
    context::{
        Context,
        Serving, //
    },
    job::{
        Job,
        rank, //
    },
    quarantine,
    refuse::{
        LEAVING_COME_BACK,
        Reason,
        Refusal, //
    },
};

/// Retry-After of an entry without declarations; another entry may answer at once.
const STARTING_COME_BACK: Duration = Duration::from_millis(300);

/// Time that a stream may need. A stopping entry with less left rejects it: the end of the process would cut it.
const STREAM_TIME: Duration = Duration::from_millis(4600);

/// The same for other requests.
const PLAIN_TIME: Duration = Duration::from_millis(1200);

/// Reads the request and finds its route.
///
/// # Errors
///
/// The refusal of one that is malformed, for no route, without a key that is in force, or comes too late to be
/// served here.
pub async fn admit(
    cx: &Arc<Context>,
    req: Request<Incoming>,
    received: Instant,
) -> Result<Job, Refusal> {
    let serving = Serving::begin(cx.clone());
    let (head, body) = req.into_parts();
    check(&head.headers)?;
    let catalogue = cx.state().catalogue.clone();
    let Some(catalogue) = catalogue else {
        let come_back = Some(STARTING_COME_BACK);
        return Err(Refusal::not_run(Reason::Starting, come_back));
    };
    let route = find(&catalogue, &head.uri, &head.headers)
        .ok_or(Refusal::not_run(Reason::NoRoute, None))?
        .clone();
    let workspace = authorize::authorize(cx, &catalogue, &route, &head.headers)?.cloned();
    if let Some(left) = cx.ends_in() {
        let needed = if route.stream {
            STREAM_TIME
        } else {
            PLAIN_TIME
        };
        if left < needed.min(route.timeout) {
            let come_back = Some(LEAVING_COME_BACK);
            return Err(Refusal::not_run(Reason::Leaving, come_back));
        }
    }
    let meta = Meta::decode(&head.headers);
    let wait = meta
        .client_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = received + wait;
    let body = read_body(body, &head.headers, catalogue.limits.body_bytes, deadline).await?;
    let point = xxh3_64(meta.id.as_bytes()) as f64 / u64::MAX as f64;
    let service: Box<str> = route.pick(point).into();
    let mut headers = head.headers;
    strip(&mut headers);
    if catalogue.workspaces.is_some() {
        request::strip_key(&mut headers);
    }
    let mut job = Job {
        shared: shared(&meta),
        parts: parts(&meta),
        more_urgent: catalogue.more_urgent_objective(&service, rank(&route, workspace.as_ref())),
        pause: catalogue.shortest_pause(&service),
        meta,
        route,
        workspace,
        grant: None,
        service,
        catalogue,
        received,
        deadline,
        fingerprint: OnceLock::new(),
        on_trial: AtomicBool::new(false),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        _serving: serving,
    };
    quarantine::admit(cx, &job)?;
    job.grant = take_allowance(cx, &job).await?;
    cx.count_request(&job.service);
    log(&job, wait);
    Ok(job)
}

async fn take_allowance(cx: &Arc<Context>, job: &Job) -> Result<Option<Grant>, Refusal> {
    let Some(workspace) = &job.workspace else {
        return Ok(None);
    };
    let opts = allowance::Options {
        id: &job.meta.id,
        version: job.catalogue.version,
        tokens: job
            .meta
            .prompt_tokens
            .saturating_add(job.meta.response_tokens),
        objective: job.route.objective,
    };
    allowance::take(cx, workspace, &opts).await
}

fn log(job: &Job, wait: Duration) {
    let (meta, route) = (&job.meta, &job.route);
    Line::new("request")
        .text("id", &meta.id)
        .text("route", &route.name)
        .text("service", &job.service)
        .text("workspace", job.workspace.as_ref().map_or("", |w| &*w.name))
        .text("model", meta.model.as_deref().unwrap_or(""))
        .text("adapter", meta.adapter.as_deref().unwrap_or(""))
        .num("prompt_tokens", meta.prompt_tokens)
        .num("catalogue", job.catalogue.version)
        .ms("patience_ms", wait)
        .ms("objective_ms", route.objective)
        .ms("gap_ms", route.gap.unwrap_or_default())
        .write();
}

/// Refuses what different readers could understand differently: one hop would take the rest of such
/// a body for another request, which no client sent.
fn check(headers: &HeaderMap) -> Result<(), Refusal> {
    let malformed = Err(Refusal::not_run(Reason::Malformed, None));
    let both = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    let several = headers.get_all(HOST).iter().count() > 1
        || headers.get_all(CONTENT_LENGTH).iter().count() > 1
        || headers.get_all(TRANSFER_ENCODING).iter().count() > 1;
    if both || several {
        return malformed;
    }
    Ok(())
}

fn find<'a>(catalogue: &'a Catalogue, uri: &hyper::Uri, headers: &HeaderMap) -> Option<&'a Route> {
    let host = match uri.authority() {
        Some(authority) => authority.as_str(),
        None => headers.get(HOST)?.to_str().ok()?,
    };
    let name = host.split(':').next().unwrap_or(host);
    catalogue
        .route(host, uri.path())
        .or_else(|| catalogue.route(name, uri.path()))
}

async fn read_body(
    body: Incoming,
    headers: &HeaderMap,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let announced = headers
        .get(CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<usize>().ok());
    if announced.is_some_and(|n| n > limit) {
        return Err(Refusal::not_run(Reason::TooLarge, None));
    }
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::not_run(Reason::TooLarge, None))
        }
        Ok(Err(_)) => Err(Refusal::not_run(Reason::Malformed, None)),
        Err(_) => Err(Refusal::not_run(Reason::TooSlow, None)),
    }
}

/// Removes what concerns one connection only, and what a client may not set.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    strip_hop(headers);
    headers.remove(EXPECT);
    request::strip(headers);
}

/// Removes the headers that concern one connection only.
pub fn strip_hop(headers: &mut HeaderMap) {
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The parts of the prompt, each with a name for everything up to its end.
fn parts(meta: &Meta) -> Vec<PrefixBlock> {
    let mut chain = xxh3_64(format!("{:?}/{:?}", meta.model, meta.adapter).as_bytes());
    let part = |(id, tokens): &(u64, u64)| {
        chain = xxh3_64_with_seed(&id.to_le_bytes(), chain);
        PrefixBlock {
            chain,
            tokens: u32::try_from(*tokens).unwrap_or(u32::MAX),
        }
    };
    meta.prefix_blocks.iter().map(part).collect()
}

/// The part of the prompt that other requests share: all parts but the last.
fn shared(meta: &Meta) -> Option<(u64, u64)> {
    let (_, head) = meta.prefix_blocks.split_last()?;
    if head.is_empty() {
        return None;
    }
    let mut text = format!("{:?}/{:?}", meta.model, meta.adapter);
    for (id, _) in head {
        text.push_str(&format!("/{id:x}"));
    }
    let tokens = head.iter().map(|(_, n)| n).sum();
    Some((tokens, xxh3_64(text.as_bytes())))
}
