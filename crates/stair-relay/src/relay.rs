//! Relays a request to a target and the target's response to the client.
//!
//! Invariants: a request that must not run twice is sent to another target only after the first one stated
//! that it has not run it. A response that promises that the request has not run is sent only when every
//! target that received the request stated so. Each further target draws on the shared retry budget.

mod pending_response;

use std::{
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Request,
    Response,
    body::Incoming, //
};
use platform_adapter::request::Meta;
use stair_fleet::{
    availability::Withheld,
    target_state::SUSPECT_DURATION,
    view::TargetKey, //
};
use stair_http::body::Body;
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::{
    admit::{
        admit,
        strip_hop, //
    },
    assign::{
        NotAssigned,
        STOP_REFUSAL_MARGIN,
        assign,
        selection_deadline, //
    },
    attempt::{
        self,
        LiveResponse, //
    },
    availability,
    context::Context,
    crash,
    failures::Failures,
    job::Job,
    limit, quarantine,
    refuse::{
        self,
        Reason,
        Refusal,
        STOPPING_RETRY_AFTER, //
    },
    select::Selected,
    stream,
};

use pending_response::PendingResponse;

/// Retry-After when all targets were full and stated no time.
pub(crate) const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request without a response is answered this long before the process ends, since a client can't tell from a
/// closed connection whether its request has run.
const STOP_RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Upper bound on the targets that one request is sent to, as long as each of them states that it has not run
/// it.
const MAX_SENDS: usize = 4;

/// Objectives after which a repeatable request is tried at another target; a target that takes longer usually
/// hangs.
const HUNG_OBJECTIVES: u32 = 3;

/// Serves one request of a client; every outcome is a response.
pub async fn serve(cx: Arc<Context>, req: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let id = Meta::decode(req.headers()).id;
    let mut pending = PendingResponse::begin(&cx, &id, received);
    let admitted = tokio::select! {
        admitted = admit(&cx, req, received) => admitted,
        () = cx.until_ending(STOP_REFUSAL_MARGIN) => {
            Err(Refusal::not_run(Reason::Stopping, Some(STOPPING_RETRY_AFTER)))
        }
    };
    let result = match admitted {
        Ok(job) => run(&cx, Arc::new(job)).await,
        Err(refusal) => Err(refusal),
    };
    let resp = match result {
        Ok(resp) => resp,
        Err(refusal) => {
            Line::failure("refused")
                .text("id", &id)
                .text("reason", refusal.reason.as_str())
                .text("verdict", refusal.verdict.as_str())
                .num("status", refusal.status().as_u16())
                .ms("took_ms", received.elapsed())
                .ms("come_back_ms", refusal.retry_after.unwrap_or_default())
                .write();
            let labels = [("reason", refusal.reason.as_str())];
            cx.page.count("refusals_total", &labels, 1);
            refusal.response()
        }
    };
    pending.responded = true;
    let status = resp.status();
    let labels = [("status", status.as_str())];
    cx.page.count("answers_total", &labels, 1);
    cx.page.time("answer_ms", &[], received.elapsed());
    resp
}

/// The attempts made so far for one request.
pub struct Attempts {
    /// Targets that must not be tried again.
    pub keys: Vec<TargetKey>,
    /// Attempts that may have run the request.
    pub ran: u8,
    /// Attempts that were sent, whether or not they ran.
    pub sent: usize,
    /// The shortest time after which a target wants to be asked again.
    retry_after: Option<Duration>,
    /// Whether the next retry has already been taken from the budget.
    pub paid: bool,
    /// The failure response of a target, forwarded to the client if the retry fails too.
    failure: Option<Response<Body>>,
    /// Failures that targets reported themselves.
    failures: Failures,
}

impl Attempts {
    /// Returns the record of a request that has not been sent.
    pub fn new(cx: &Arc<Context>, job: &Job) -> Self {
        Self {
            keys: Vec::new(),
            ran: 0,
            sent: 0,
            retry_after: None,
            paid: false,
            failure: None,
            failures: Failures::new(cx, job),
        }
    }

    /// The Retry-After of a refusal after these attempts.
    fn retry_after(&self) -> Duration {
        self.retry_after.unwrap_or(REFUSED_RETRY_AFTER)
    }

    /// Whether the attempt in progress may be abandoned for another target.
    pub fn may_abandon(&self, job: &Job) -> bool {
        job.route.repeatable() && self.ran + 1 < job.route.attempts
    }

    /// Whether another target may be tried after an attempt that may have run.
    pub fn may_run_again(&self, job: &Job) -> bool {
        job.route.repeatable() && self.ran < job.route.attempts
    }
}

async fn run(cx: &Arc<Context>, job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::new(cx, &job);
    let result = tokio::select! {
        result = run_attempts(cx, job.clone(), &mut attempts) => result,
        () = cx.until_ending(STOP_RESPONSE_MARGIN) => Err(match job.may_have_run() {
            true => Refusal::may_have_run(Reason::Stopping),
            false => Refusal::not_run(Reason::Stopping, Some(STOPPING_RETRY_AFTER)),
        }),
    };
    // The failure response of a target tells the client more than a failure of the entry.
    match (result, attempts.failure.take()) {
        (Err(_), Some(failure)) => Ok(failure),
        (result, _) => result,
    }
}

async fn run_attempts(
    cx: &Arc<Context>,
    job: Arc<Job>,
    attempts: &mut Attempts,
) -> Result<Response<Body>, Refusal> {
    loop {
        let (selected, outcome) = match attempt_once(cx, &job, attempts, None).await {
            Ok(both) => both,
            Err(e) => {
                let retry_after = match (e.reason, attempts.retry_after) {
                    // Only the targets that have been tried can run it.
                    (Reason::NoTarget, Some(stated)) => stated,
                    (Reason::TargetBackoff, Some(stated)) => stated.min(e.retry_after),
                    _ => e.retry_after,
                };
                return Err(refusal(attempts, e.reason, retry_after));
            }
        };
        let retry = match outcome {
            // Passed on, the status would promise the client what the target has not stated.
            attempt::Outcome::Head(live)
                if !job.route.repeatable() && refuse::promises_not_run(live.head.status) =>
            {
                return Err(Refusal::may_have_run(Reason::Lost));
            }
            attempt::Outcome::Head(live) => match forward(cx, &job, selected, live, attempts).await
            {
                Forwarded::Done(resp) => return Ok(resp),
                Forwarded::Failed(reason) => {
                    if !attempts.may_run_again(&job) {
                        return Err(Refusal::may_have_run(reason));
                    }
                    reason
                }
            },
            attempt::Outcome::NotSent(_)
            | attempt::Outcome::Withheld
            | attempt::Outcome::NotRun { .. } => Reason::Refused,
            attempt::Outcome::Late | attempt::Outcome::Lost(_) if !attempts.may_run_again(&job) => {
                let late = matches!(outcome, attempt::Outcome::Late);
                let reason = if late { Reason::Late } else { Reason::Lost };
                return Err(Refusal::may_have_run(reason));
            }
            attempt::Outcome::Late => Reason::Late,
            attempt::Outcome::Lost(_) => Reason::Lost,
        };
        if attempts.ran > 0 && Instant::now() >= selection_deadline(&job, None) {
            return Err(refusal(attempts, retry, attempts.retry_after()));
        }
        let paid = std::mem::take(&mut attempts.paid) || attempts.sent == 0;
        if attempts.sent >= MAX_SENDS || !(paid || cx.may_retry(&job.service)) {
            return Err(refusal(attempts, retry, attempts.retry_after()));
        }
    }
}

fn refusal(attempts: &Attempts, reason: Reason, retry_after: Duration) -> Refusal {
    if attempts.ran == 0 {
        // A version that is not expected back does not make a retry succeed.
        let is_final = reason == Reason::VersionGone && retry_after.is_zero();
        return Refusal::not_run(reason, (!is_final).then_some(retry_after));
    }
    let reason = match reason {
        Reason::Late => Reason::Late,
        _ => Reason::Lost,
    };
    Refusal::may_have_run(reason)
}

/// Selects a target and sends the request there once.
///
/// # Errors
///
/// [`NotAssigned`] if no target can run it in time, or the request must not run now.
pub async fn attempt_once(
    cx: &Arc<Context>,
    job: &Job,
    attempts: &mut Attempts,
    after_event: Option<u64>,
) -> Result<(Selected, attempt::Outcome), NotAssigned> {
    let selected = assign(cx, job, &attempts.keys, after_event).await?;
    let outcome = send(cx, job, attempts, &selected, after_event).await;
    Ok((selected, outcome))
}

/// Sends the request to the selected target once and records the outcome.
pub async fn send(
    cx: &Arc<Context>,
    job: &Job,
    attempts: &mut Attempts,
    selected: &Selected,
    after_event: Option<u64>,
) -> attempt::Outcome {
    let begun = Instant::now();
    job.set_may_have_run(true);
    if let Some(permit) = &selected.permit {
        permit.set_used();
    }
    let req = job.request(&selected.id, after_event);
    let until = attempt_deadline(job, attempts);
    let (key, client_leaves) = (
        selected.in_flight.key(),
        selection_deadline(job, after_event),
    );
    let takes = || availability::takes(cx, job, key);
    let sent = attempt::send(selected.addr, req, &job.meta.id, until, takes);
    let abandoned = until_abandoned(
        cx,
        &attempts.keys,
        key,
        attempts.may_abandon(job),
        client_leaves,
    );
    let unanswered = crash::UnansweredRun::new(cx, job, key);
    let sent = tokio::select! {
        sent = sent => sent,
        () = abandoned => attempt::Outcome::Late.into(),
    };
    unanswered.finish();
    if let Some(stated) = sent.of_target() {
        limit::observe(cx, key, &stated.limit, selected.permit.as_deref());
    }
    if let Some(stated) = &sent.stated {
        availability::observe(cx, key, stated);
    }
    let outcome = sent.outcome;
    record_outcome(cx, job, attempts, selected, &outcome, begun);
    job.set_may_have_run(attempts.ran > 0);
    outcome
}

/// Waits until an attempt is abandoned because its VM is unresponsive.
///
/// With `elsewhere` the attempt is abandoned at once, as the request may run at another target. Otherwise it
/// is abandoned right before the client disconnects at `client_leaves`, and the response states that the
/// request may have run. An unresponsive VM would not notice that the client closed its connection.
///
/// The targets `before` were tried before the target `key`; the request may still run at one of them.
pub async fn until_abandoned(
    cx: &Context,
    before: &[TargetKey],
    key: TargetKey,
    elsewhere: bool,
    client_leaves: Instant,
) {
    let own = [key];
    let all = [before, &own].concat();
    let noted = async {
        sleep_until(client_leaves).await;
        cx.until_unresponsive(&all).await;
    };
    tokio::select! {
        () = cx.until_unresponsive(&own), if elsewhere => {}
        () = noted => {}
    }
}

/// When an attempt is abandoned for another one. A repeatable request does not wait for a target that hangs.
fn attempt_deadline(job: &Job, attempts: &Attempts) -> Instant {
    if !attempts.may_abandon(job) || job.route.objective.is_zero() {
        return job.deadline;
    }
    (Instant::now() + job.route.objective * HUNG_OBJECTIVES).min(job.deadline)
}

/// Records the outcome of an attempt in the state of the target.
fn record_outcome(
    cx: &Arc<Context>,
    job: &Job,
    attempts: &mut Attempts,
    selected: &Selected,
    outcome: &attempt::Outcome,
    begun: Instant,
) {
    use attempt::Outcome;
    let key = selected.in_flight.key();
    let text = match outcome {
        Outcome::NotSent(e) => format!("not sent: {e}"),
        Outcome::Withheld => "withheld".to_owned(),
        Outcome::NotRun { status, .. } => format!("not run: {status}"),
        Outcome::Lost(e) => format!("lost: {e}"),
        Outcome::Late => "late".to_owned(),
        Outcome::Head(live) => format!("head: {}", live.head.status.as_u16()),
    };
    if !matches!(outcome, Outcome::NotSent(_) | Outcome::Withheld) {
        attempts.sent += 1;
    }
    if !matches!(outcome, Outcome::Head(_)) {
        attempts.keys.push(key);
    }
    if let Outcome::NotRun {
        retry_after: Some(stated),
        ..
    } = outcome
    {
        let least = attempts.retry_after.map_or(*stated, |t| t.min(*stated));
        attempts.retry_after = Some(least);
    }
    let now = cx.now();
    let mut state = cx.state();
    let target_state = state.view.get_mut(key);
    let mut stale_engine = None;
    match outcome {
        Outcome::NotSent(_) => {
            target_state.suspect_until = now + SUSPECT_DURATION;
        }
        Outcome::Withheld => {}
        Outcome::NotRun {
            misdirected: true,
            instance,
            ..
        } => {
            let other = instance.as_ref().is_some_and(|i| *i != selected.id);
            match &job.meta.model {
                // The target has been replaced at its address, although the list still contains it.
                _ if other => {
                    target_state.mark_removed();
                    stale_engine = Some(target_state.target.addr);
                }
                Some(model) => target_state.mark_not_loaded(model),
                None => target_state.record_attempt(false),
            }
        }
        // A target at its limit is not a failing one, nor is one that shuts down or asks for a backoff.
        Outcome::NotRun { .. }
            if target_state.limit.is_some()
                || target_state.availability.withheld(now).is_some() => {}
        Outcome::NotRun { .. } => target_state.record_attempt(false),
        Outcome::Lost(_) | Outcome::Late => {
            attempts.ran += 1;
            target_state.record_attempt(false);
        }
        Outcome::Head(live) => {
            attempts.ran += 1;
            let backs_off = target_state.availability.withheld(now) == Some(Withheld::Backoff);
            match live.head.status.is_server_error() {
                true if backs_off => {}
                true => attempts.failures.add(key),
                // The head alone does not show that the target can respond.
                false => {}
            }
        }
    }
    drop(state);
    if matches!(outcome, Outcome::Lost(_) | Outcome::Late) {
        crash::record_interrupted(cx, job, key, None);
    }
    if let Some(engine) = stale_engine {
        cx.report_stale_incarnation(engine, selected.id.clone());
    }
    let line = match outcome {
        Outcome::Head(live) if live.head.status.is_success() => Line::new("attempt"),
        _ => Line::failure("attempt"),
    };
    line.text("id", &job.meta.id)
        .text("target", &selected.id)
        .num("sent", attempts.sent as i64)
        .text("outcome", &text)
        .ms("took_ms", begun.elapsed())
        .write();
    let kind = text.split(':').next().unwrap_or("");
    cx.page.count("attempts_total", &[("outcome", kind)], 1);
}

/// Records that a target has served the request, or begun to stream its response.
pub(crate) fn record_served(cx: &Context, attempts: &mut Attempts, key: TargetKey) {
    cx.state().view.get_mut(key).record_attempt(true);
    attempts.failures.served();
}

enum Forwarded {
    Done(Response<Body>),
    Failed(Reason),
}

/// Forwards a target's response to the client.
async fn forward(
    cx: &Arc<Context>,
    job: &Arc<Job>,
    selected: Selected,
    mut live: LiveResponse,
    attempts: &mut Attempts,
) -> Forwarded {
    let key = selected.in_flight.key();
    let begun = Instant::now();
    if job.route.stream && live.head.status.is_success() {
        return match stream::open(cx, job, selected, live, attempts).await {
            Ok(resp) => Forwarded::Done(resp),
            Err(reason) => Forwarded::Failed(reason),
        };
    }
    let until = attempt_deadline(job, attempts);
    let body = match live.collect(&cx.buffers, until).await {
        Ok(body) => body,
        Err(e) => {
            cx.state().view.get_mut(key).record_attempt(false);
            attempts.keys.push(key);
            crash::record_interrupted(cx, job, key, Some(begun));
            Line::failure("cut")
                .text("id", &job.meta.id)
                .text("error", &e)
                .write();
            return Forwarded::Failed(Reason::Lost);
        }
    };
    let failed = live.head.status.is_server_error();
    let in_time = job.deadline.saturating_duration_since(Instant::now()) > job.route.objective / 2;
    if failed && in_time && attempts.may_run_again(job) && cx.may_retry(&job.service) {
        attempts.keys.push(key);
        attempts.paid = true;
        attempts.failure = Some(client_response(&live.head, body.into_body()));
        return Forwarded::Failed(Reason::Lost);
    }
    if !failed {
        record_served(cx, attempts, key);
    }
    match live.unframed {
        true => crash::record_unframed(cx, job, key, begun),
        false => quarantine::survived(cx, job),
    }
    Line::new("answered")
        .text("id", &job.meta.id)
        .num("status", live.head.status.as_u16())
        .num("bytes", body.size() as i64)
        .ms("took_ms", job.received.elapsed())
        .write();
    Forwarded::Done(client_response(&live.head, body.into_body()))
}

/// Builds the response to the client from the head of a target's response.
pub fn client_response(head: &hyper::http::response::Parts, body: Body) -> Response<Body> {
    let mut headers = head.headers.clone();
    strip_hop(&mut headers);
    let mut resp = Response::new(body);
    *resp.status_mut() = head.status;
    *resp.headers_mut() = headers;
    resp
}
