//! The run of one request at the target.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Request,
    StatusCode,
    header::CONTENT_TYPE, //
};
use platform_adapter::response::Stated;
use ractor::ActorRef;
use stair_config::AgentLimits;
use stair_fleet::{
    origin,
    rate_limit::Stamp, //
};
use stair_http::{
    Client,
    client::Error as HttpError, //
};
use stair_telemetry::{
    Part,
    warn, //
};
use stair_types::{
    FencingToken,
    Reason,
    Refusal,
    Verdict, //
};
use stair_wire::request::{
    Header,
    Offer,
    VERSION_HEADER, //
};
use tokio::time::Instant;

use crate::{
    crash::CrashWatch,
    msg::Msg,
    refuse::millis,
    responses::{
        Head,
        Response,
        RunOutcome, //
    }, //
};

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The header that carries the agent's incarnation to the target.
const FENCE_HEADER: &str = "dandelionstair-fence";

/// The header that carries the request's id to the target.
const ID_HEADER: &str = "x-request-id";

/// Retry delay after the target could not be reached or lacked the model, in milliseconds.
const RETRY_MS: u32 = 500;

/// The inputs of one run.
pub(crate) struct Job {
    pub(crate) offer: Box<Offer>,
    pub(crate) body: Bytes,
    pub(crate) time_left: Duration,
    pub(crate) response: Arc<Response>,
    pub(crate) client: Client,
    pub(crate) crashes: Arc<CrashWatch>,
    pub(crate) incarnation: FencingToken,
    pub(crate) limits: AgentLimits,
    pub(crate) is_engine: bool,
    pub(crate) control: ActorRef<Msg>,
    /// The statements of the target's limit that were known when the run began.
    pub(crate) stamp: Stamp,
    /// Whether the target had a limit or a backoff then, which a response may end.
    pub(crate) restricted: bool,
    /// The version of the target's software that was known then.
    pub(crate) version: Option<Box<str>>,
}

/// A failed run. `suspect` marks a target whose inventory has to be read again.
struct Failed {
    refusal: Refusal,
    suspect: bool,
}

/// Runs the request once and keeps its response until it has had no reader for the configured time.
///
/// A broken link does not end the run, because the entry resumes the response on a new link. When
/// no entry does so in that time, the run is cancelled by closing the target's connection.
pub(crate) async fn run(job: Job) {
    let ttl = Duration::from_millis(job.limits.keep_answer_ms.into());
    let began = Instant::now();
    let (id, response, control) = (job.offer.id, job.response.clone(), job.control.clone());
    let time_left = job.time_left;
    let crashes = job.crashes.clone();
    let crashes_before = crashes.count();
    let abort = |reason, message: &str| {
        Err(Failed {
            refusal: Refusal::may_have_run(reason, 0, message),
            suspect: false,
        })
    };
    let result = tokio::select! {
        result = send_to_target(job) => result,
        () = response.cancelled() => abort(Reason::Withdrawn, "the request was withdrawn"),
        () = response.abandoned(ttl) => abort(Reason::LinkLost, "nobody took the answer up"),
        () = tokio::time::sleep(time_left) => {
            abort(Reason::DeadlinePassed, "the deadline passed during the run")
        }
    };
    let run = began.elapsed();
    let run_ms = u32::try_from(run.as_millis()).unwrap_or(u32::MAX);
    let complete = result.is_ok();
    let suspect = result.as_ref().is_err_and(|f| f.suspect);
    let may_have_run = |f: &Failed| f.refusal.verdict == Verdict::MayHaveRun;
    let interrupted = result.as_ref().is_err_and(may_have_run);
    response.end(match result {
        Ok(()) => RunOutcome::Complete { run_ms },
        Err(e) => RunOutcome::Refused(e.refusal),
    });
    let _ = control.send_message(Msg::RunEnded {
        id,
        run,
        complete,
        suspect,
    });
    let crash = match interrupted {
        true => crashes.next_crash(crashes_before).await,
        false => None,
    };
    if let Some(crash) = crash {
        warn!(Part::Engine, "request {id} was running at crash {crash}");
    }
    response.set_crash(crash);
    tokio::select! {
        () = response.abandoned(ttl) => {}
        () = response.cancelled() => {}
    }
    let _ = control.send_message(Msg::Forget { id });
}

async fn send_to_target(job: Job) -> Result<(), Failed> {
    let silence = Duration::from_millis(job.limits.target_silence_ms.into());
    let mut req = Request::builder()
        .method(&*job.offer.method)
        .uri(&*job.offer.path);
    let forwarded = job.offer.headers.iter();
    for header in forwarded.filter(|h| &*h.name != VERSION_HEADER) {
        req = req.header(&*header.name, &*header.value);
    }
    let req = req
        .header(CONTENT_TYPE, &*job.offer.content_type)
        .header(ID_HEADER, job.offer.id.to_string())
        .header(FENCE_HEADER, job.incarnation.0)
        .body(Full::new(job.body));
    let req = req.map_err(|_| Failed {
        refusal: Refusal::not_run(Reason::Invalid, 0, "the request cannot be sent"),
        suspect: false,
    })?;
    let mut resp = job
        .client
        .send_any(req, silence)
        .await
        .map_err(target_failure)?;
    let status = resp.head.status;
    let stated = Stated::decode(status, &resp.head.headers);
    let rejection = rejection(&stated);
    let version = stated.version.clone();
    let required = Header::version(&job.offer.headers);
    if job.restricted || !stated.is_empty() || version != job.version {
        let msg = Msg::Responded(Box::new(stated), job.stamp);
        // Fails only while the agent is stopping.
        let _ = job.control.send_message(msg);
    }
    if let Some(refusal) = rejection {
        return Err(Failed {
            refusal,
            suspect: false,
        });
    }
    // The engine has lost the model, by a restart for instance. It replies so before it runs
    // anything.
    if job.is_engine && status == StatusCode::NOT_FOUND {
        let message = "the engine does not hold the model";
        return Err(Failed {
            refusal: Refusal::not_run(Reason::LoadFailed, RETRY_MS, message),
            suspect: true,
        });
    }
    if !origin::allows(required, version.as_deref()) {
        let message = "another version of the target's software has responded";
        return Err(Failed {
            refusal: Refusal::may_have_run(Reason::OtherVersion, 0, message),
            suspect: false,
        });
    }
    job.response.head(Head {
        status: status.as_u16(),
        content_type: content_type_of(&resp.head.headers).into(),
        headers: forwarded_headers(&resp.head.headers)
            .into_iter()
            .chain(version.as_deref().map(Header::of_version))
            .collect(),
    });
    let mut tail = Tail::default();
    while let Some(chunk) = resp.chunk(silence).await.map_err(target_failure)? {
        tail.push(&chunk);
        job.response.push(chunk).await;
    }
    if resp.has_end() {
        return Ok(());
    }
    // A target that ends closes its connections, too.
    let is_stream = content_type_of(&resp.head.headers).starts_with(EVENT_STREAM);
    let ended_inside = is_stream && !tail.ends_event();
    if ended_inside || job.crashes.is_down().await {
        return Err(target_failure(HttpError::Lost(
            "the connection ended before the response".into(),
        )));
    }
    Ok(())
}

/// The last bytes of a response.
#[derive(Default)]
struct Tail {
    bytes: Vec<u8>,
}

impl Tail {
    /// Length of the longest end of an event.
    const BYTES: usize = 4;

    fn push(&mut self, chunk: &[u8]) {
        self.bytes
            .extend_from_slice(&chunk[chunk.len().saturating_sub(Self::BYTES)..]);
        let excess = self.bytes.len().saturating_sub(Self::BYTES);
        self.bytes.drain(..excess);
    }

    /// Whether the last event of a stream is whole. A stream without an event has not begun.
    fn ends_event(&self) -> bool {
        self.bytes.ends_with(b"\n\n") || self.bytes.ends_with(b"\r\n\r\n")
    }
}

fn content_type_of(headers: &HeaderMap) -> &str {
    let value = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    value.unwrap_or("application/octet-stream")
}

/// The refusal of a request that the target states it has not run.
fn rejection(stated: &Stated) -> Option<Refusal> {
    let retry_after = stated.availability().backoff;
    let retry_ms = retry_after.map_or(RETRY_MS, millis);
    let message = "the target rejects the request";
    stated
        .not_run
        .then(|| Refusal::not_run(Reason::QueueFull, retry_ms, message))
}

/// Headers that belong to the target's connection or have their own fields in a message. Sorted.
const NOT_FORWARDED: [&str; 9] = [
    "connection",
    "content-length",
    "content-type",
    "date",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Maximum total length of the forwarded headers, in bytes, which keeps a message within the limit
/// of its frame.
const MAX_HEADER_BYTES: usize = 16 << 10;

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut bytes = 0;
    let mut out = Vec::new();
    for (name, value) in headers {
        let own = name.as_str().starts_with("dandelionstair-");
        let is_dropped = own || NOT_FORWARDED.binary_search(&name.as_str()).is_ok();
        let (false, Ok(value)) = (is_dropped, value.to_str()) else {
            continue;
        };
        bytes += name.as_str().len() + value.len();
        if bytes > MAX_HEADER_BYTES {
            break;
        }
        out.push(Header {
            name: name.as_str().into(),
            value: value.into(),
        });
    }
    out
}

fn target_failure(e: HttpError) -> Failed {
    let refusal = match e.verdict() {
        Verdict::NotRun => Refusal::not_run(
            Reason::TargetFailed,
            RETRY_MS,
            "the target is not reachable",
        ),
        _ => Refusal::may_have_run(Reason::TargetFailed, 0, "the target's answer was cut"),
    };
    Failed {
        refusal,
        suspect: true,
    }
}
