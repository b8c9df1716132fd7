//! Admits a request: reads and checks it, and finds its route.

use std::{
    sync::{
        Arc,
        Mutex,
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
    authorize,
    context::{
        Context,
        Serving, //
    },
    job::{
        Job,
        rank, //
    },
    origin, quarantine,
    quota::{
        self,
        Grant, //
    },
    refuse::{
        Reason,
        Refusal, //
        STOPPING_RETRY_AFTER,
    },
};

/// Retry-After of an entry without a catalogue; another entry may serve the request at once.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Reads the request, finds its route and charges its workspace.
///
/// # Errors
///
/// The refusal of a request that is malformed, has no route, carries no key in force, is quarantined, exceeds
/// the quota of its workspace, or whose deadline is after the end of this process.
pub async fn admit(
    cx: &Arc<Context>,
    req: Request<Incoming>,
    received: Instant,
) -> Result<Job, Refusal> {
    let serving = Serving::begin(cx.clone());
    let (head, body) = req.into_parts();
    check_framing(&head.headers)?;
    let catalogue = cx.state().catalogue.clone();
    let Some(catalogue) = catalogue else {
        let retry_after = Some(STARTING_RETRY_AFTER);
        return Err(Refusal::not_run(Reason::Starting, retry_after));
    };
    let route = find_route(&catalogue, &head.uri, &head.headers)
        .ok_or(Refusal::not_run(Reason::NoRoute, None))?
        .clone();
    let workspace = authorize::authorize(cx, &catalogue, &route, &head.headers)?.cloned();
    let meta = Meta::decode(&head.headers);
    let wait = meta
        .client_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = received + wait;
    if cx.ends_before(deadline) {
        let retry_after = Some(STOPPING_RETRY_AFTER);
        return Err(Refusal::not_run(Reason::Stopping, retry_after));
    }
    let body = read_body(body, &head.headers, catalogue.limits.body_bytes, deadline).await?;
    let point = xxh3_64(meta.id.as_bytes()) as f64 / u64::MAX as f64;
    let service: Box<str> = route.pick(point).into();
    let origin = match route.stream && meta.is_continuation {
        true => Some(origin::resolve(cx, &route, &meta, &service).await?),
        false => None,
    };
    let service = origin.as_ref().map_or(service, |o| o.service.clone());
    let mut headers = head.headers;
    strip(&mut headers);
    if catalogue.workspaces.is_some() {
        request::strip_key(&mut headers);
    }
    let mut job = Job {
        shared_prefix: shared_prefix(&meta),
        prefix_blocks: prefix_blocks(&meta),
        more_urgent: catalogue.more_urgent_objective(&service, rank(&route, workspace.as_ref())),
        shortest_pause: catalogue.shortest_pause(&service),
        meta,
        route,
        workspace,
        grant: None,
        service,
        version: origin.map_or_else(OnceLock::new, |o| o.version.into()),
        catalogue,
        received,
        deadline,
        may_have_run: AtomicBool::new(false),
        fingerprint: OnceLock::new(),
        parts: OnceLock::new(),
        on_trial: Mutex::default(),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        _serving: serving,
    };
    quarantine::admit(cx, &job)?;
    job.grant = charge_quota(cx, &job).await?;
    cx.count_request(&job.service);
    log_request(&job, wait);
    Ok(job)
}

async fn charge_quota(cx: &Arc<Context>, job: &Job) -> Result<Option<Grant>, Refusal> {
    let Some(workspace) = &job.workspace else {
        return Ok(None);
    };
    quota::charge(cx, workspace, job).await
}

fn log_request(job: &Job, wait: Duration) {
    let (meta, route) = (&job.meta, &job.route);
    let line = Line::new("request").text("id", &meta.id);
    let line = match meta.last_event {
        Some(event) => line
            .num("after_event", event)
            .text("continues", meta.resumes.id().unwrap_or("")),
        None => line,
    };
    line.text("route", &route.name)
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

/// Refuses headers whose framing is ambiguous. Another hop could read the rest of such a body as a request
/// that no client sent.
fn check_framing(headers: &HeaderMap) -> Result<(), Refusal> {
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

fn find_route<'a>(
    catalogue: &'a Catalogue,
    uri: &hyper::Uri,
    headers: &HeaderMap,
) -> Option<&'a Route> {
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

/// Removes headers that concern one connection only, and those that a client must not set.
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

/// The prefix blocks of the prompt, each named by a hash of everything up to its end.
fn prefix_blocks(meta: &Meta) -> Vec<PrefixBlock> {
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

/// The prefix of the prompt that other requests share, all blocks but the last: its tokens and its hash.
fn shared_prefix(meta: &Meta) -> Option<(u64, u64)> {
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
