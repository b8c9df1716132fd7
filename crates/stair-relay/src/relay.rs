//! Brings a request to a target and its answer back.
//!
//! Invariants: a request that must not run twice is sent on only after a target's word that it has
//! not run; an answer that promises so is sent only when all targets it was sent to gave that word;
//! every further target draws on the shared retry budget.

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
    target_state::SUSPECT_DURATION,
    view::TargetKey, //
};
use stair_http::body::{
    Body,
    full, //
};
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
    attempt::{
        self,
        Live, //
    },
    context::Context,
    crash,
    failures::Failures,
    job::Job,
    pick::Picked,
    place::{
        NotPlaced,
        pick_until,
        place, //
    },
    quarantine,
    refuse::{
        Reason,
        Refusal, //
    },
    stream,
};

/// Retry-After when all targets were full.
pub(crate) const REFUSED_COME_BACK: Duration = Duration::from_millis(500);

/// Targets that one request is sent to at most while each says that it has not run it.
const MAX_SENDS: usize = 4;

/// A repeatable request is tried at another target after so many objectives: most targets that take longer have
/// hung.
const HUNG_AFTER: u32 = 3;

/// Serves one request.
pub async fn serve(cx: Arc<Context>, req: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let id = Meta::decode(req.headers()).id;
    let mut waiting = Waiting::begin(&cx, &id, received);
    let result = match admit(&cx, req, received).await {
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
                .ms("come_back_ms", refusal.come_back.unwrap_or_default())
                .write();
            let labels = [("reason", refusal.reason.as_str())];
            cx.page.count("refusals_total", &labels, 1);
            refusal.response()
        }
    };
    waiting.answered = true;
    let status = resp.status();
    let labels = [("status", status.as_str())];
    cx.page.count("answers_total", &labels, 1);
    cx.page.time("answer_ms", &[], received.elapsed());
    resp
}

/// A request without an answer yet. The work on it is dropped when its client leaves, so a line from
/// here is all that tells an engineer why the request's story ends.
struct Waiting {
    cx: Arc<Context>,
    id: Box<str>,
    received: Instant,
    answered: bool,
}

impl Waiting {
    fn begin(cx: &Arc<Context>, id: &str, received: Instant) -> Self {
        Self {
            cx: cx.clone(),
            id: id.into(),
            received,
            answered: false,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            Line::failure("client.left")
                .text("id", &self.id)
                .ms("took_ms", self.received.elapsed())
                .write();
            self.cx.page.count("clients_left_total", &[], 1);
        }
    }
}

/// How the attempts of one request went so far.
pub struct Tried {
    /// Targets that are not to be tried again.
    pub keys: Vec<TargetKey>,
    /// Attempts that may have run.
    pub ran: u8,
    /// Requests sent.
    pub sent: usize,
    /// Whether the next retry has been taken from the budget.
    pub paid: bool,
    /// A target's own failure that was to be bettered by a retry.
    failure: Option<Response<Body>>,
    /// Failures by targets' own word.
    failures: Failures,
}

impl Tried {
    /// Makes that of a request that has not been sent.
    pub fn new(cx: &Arc<Context>, job: &Job) -> Self {
        Self {
            keys: Vec::new(),
            ran: 0,
            sent: 0,
            paid: false,
            failure: None,
            failures: Failures::new(cx, job),
        }
    }

    /// Whether the attempt that is under way may be given up for another target.
    pub fn may_be_left(&self, job: &Job) -> bool {
        job.route.repeatable() && self.ran + 1 < job.route.attempts
    }

    /// Whether another target may be tried after an attempt that may have run.
    pub fn may_run_again(&self, job: &Job) -> bool {
        job.route.repeatable() && self.ran < job.route.attempts
    }
}

async fn run(cx: &Arc<Context>, job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    let mut tried = Tried::new(cx, &job);
    let result = attempts(cx, job, &mut tried).await;
    // What a target has answered is passed on rather than replaced by a failure of the entry's own,
    // which would tell the client less.
    match (result, tried.failure.take()) {
        (Err(_), Some(failure)) => Ok(failure),
        (result, _) => result,
    }
}

async fn attempts(
    cx: &Arc<Context>,
    job: Arc<Job>,
    tried: &mut Tried,
) -> Result<Response<Body>, Refusal> {
    loop {
        let (picked, outcome) = match once(cx, &job, tried, None).await {
            Ok(both) => both,
            Err(e) => return Err(give_up(tried, e.reason, e.come_back)),
        };
        let retry = match outcome {
            attempt::Outcome::Head(live) => match answer(cx, &job, picked, live, tried).await {
                Answered::Done(resp) => return Ok(resp),
                Answered::Failed(reason) => {
                    if !tried.may_run_again(&job) {
                        return Err(Refusal::may_have_run(reason));
                    }
                    reason
                }
            },
            attempt::Outcome::NotSent(_) | attempt::Outcome::NotRun { .. } => Reason::Refused,
            attempt::Outcome::Late | attempt::Outcome::Lost(_) if !tried.may_run_again(&job) => {
                let late = matches!(outcome, attempt::Outcome::Late);
                let reason = if late { Reason::Late } else { Reason::Lost };
                return Err(Refusal::may_have_run(reason));
            }
            attempt::Outcome::Late => Reason::Late,
            attempt::Outcome::Lost(_) => Reason::Lost,
        };
        if tried.ran > 0 && Instant::now() >= pick_until(&job, None) {
            return Err(give_up(tried, retry, REFUSED_COME_BACK));
        }
        let paid = std::mem::take(&mut tried.paid) || tried.sent == 0;
        if tried.sent >= MAX_SENDS || !(paid || cx.may_retry(&job.service)) {
            return Err(give_up(tried, retry, REFUSED_COME_BACK));
        }
    }
}

fn give_up(tried: &Tried, reason: Reason, come_back: Duration) -> Refusal {
    if tried.ran == 0 {
        return Refusal::not_run(reason, Some(come_back));
    }
    let reason = match reason {
        Reason::Late => Reason::Late,
        _ => Reason::Lost,
    };
    Refusal::may_have_run(reason)
}

/// Picks a target and sends the request there once.
///
/// # Errors
///
/// [`NotPlaced`] if no target can run it in time, or none may.
pub async fn once(
    cx: &Arc<Context>,
    job: &Job,
    tried: &mut Tried,
    after_event: Option<u64>,
) -> Result<(Picked, attempt::Outcome), NotPlaced> {
    let picked = place(cx, job, &tried.keys, after_event).await?;
    let outcome = send(cx, job, tried, &picked, after_event).await;
    Ok((picked, outcome))
}

/// Sends the request to a target once.
pub async fn send(
    cx: &Arc<Context>,
    job: &Job,
    tried: &mut Tried,
    picked: &Picked,
    after_event: Option<u64>,
) -> attempt::Outcome {
    let begun = Instant::now();
    job.note_sent(true);
    let req = job.request(&picked.id, after_event);
    let until = attempt_until(job, tried);
    let sent = attempt::send(picked.addr, req, &job.meta.id, until);
    let (key, leaves) = (picked.flight.key(), pick_until(job, after_event));
    let gone = given_up(cx, &tried.keys, key, tried.may_be_left(job), leaves);
    let unanswered = crash::Unanswered::new(cx, job, key);
    let outcome = tokio::select! {
        outcome = sent => outcome,
        () = gone => attempt::Outcome::Late,
    };
    unanswered.ended();
    note(cx, job, tried, picked, &outcome, begun);
    job.note_sent(tried.ran > 0);
    outcome
}

/// Waits until an attempt is given up for a VM that stands still.
///
/// What may run elsewhere is given up at once. The rest waits until right before its client leaves, and is then
/// answered that it may have run: a VM that stands still cannot take the client's close.
///
/// `before` were tried before the target `key`; a run at one of them may go on as well.
pub async fn given_up(
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
        cx.fall_quiet(&all).await;
    };
    tokio::select! {
        () = cx.fall_quiet(&own), if elsewhere => {}
        () = noted => {}
    }
}

/// When an attempt is given up for another: a repeatable request is not left to a target that hangs.
fn attempt_until(job: &Job, tried: &Tried) -> Instant {
    if !tried.may_be_left(job) || job.route.objective.is_zero() {
        return job.deadline;
    }
    (Instant::now() + job.route.objective * HUNG_AFTER).min(job.deadline)
}

/// Takes the outcome of an attempt into what is known of the target.
fn note(
    cx: &Arc<Context>,
    job: &Job,
    tried: &mut Tried,
    picked: &Picked,
    outcome: &attempt::Outcome,
    begun: Instant,
) {
    use attempt::Outcome;
    let key = picked.flight.key();
    let text = match outcome {
        Outcome::NotSent(e) => format!("not sent: {e}"),
        Outcome::NotRun { status, .. } => format!("not run: {status}"),
        Outcome::Lost(e) => format!("lost: {e}"),
        Outcome::Late => "late".to_owned(),
        Outcome::Head(live) => format!("head: {}", live.head.status.as_u16()),
    };
    if !matches!(outcome, Outcome::NotSent(_)) {
        tried.sent += 1;
    }
    if !matches!(outcome, Outcome::Head(_)) {
        tried.keys.push(key);
    }
    let now = cx.now();
    let mut state = cx.state();
    let seen = state.view.get_mut(key);
    let mut former = None;
    match outcome {
        Outcome::NotSent(_) => {
            seen.suspect_until = now + SUSPECT_DURATION;
        }
        Outcome::NotRun {
            misdirected: true,
            instance,
            ..
        } => {
            let other = instance.as_ref().is_some_and(|i| *i != picked.id);
            match &job.meta.model {
                // The target that was meant is gone, whatever the list still says.
                _ if other => {
                    seen.mark_removed();
                    former = Some(seen.target.addr);
                }
                Some(model) => seen.mark_not_loaded(model),
                None => seen.record_attempt(false),
            }
        }
        Outcome::NotRun { .. } => seen.record_attempt(false),
        Outcome::Lost(_) | Outcome::Late => {
            tried.ran += 1;
            seen.record_attempt(false);
        }
        Outcome::Head(live) => {
            tried.ran += 1;
            if live.head.status.is_server_error() {
                tried.failures.add(key);
            } else {
                seen.record_attempt(true);
            }
        }
    }
    drop(state);
    if matches!(outcome, Outcome::Lost(_) | Outcome::Late) {
        crash::note_cut(cx, job, key, None);
    }
    if matches!(outcome, Outcome::Head(live) if !live.head.status.is_server_error()) {
        tried.failures.served();
    }
    if let Some(engine) = former {
        cx.report_former(engine, picked.id.clone());
    }
    let line = match outcome {
        Outcome::Head(live) if live.head.status.is_success() => Line::new("attempt"),
        _ => Line::failure("attempt"),
    };
    line.text("id", &job.meta.id)
        .text("target", &picked.id)
        .num("sent", tried.sent as i64)
        .text("outcome", &text)
        .ms("took_ms", begun.elapsed())
        .write();
    let kind = text.split(':').next().unwrap_or("");
    cx.page.count("attempts_total", &[("outcome", kind)], 1);
}

enum Answered {
    Done(Response<Body>),
    Failed(Reason),
}

/// Passes a target's answer on.
async fn answer(
    cx: &Arc<Context>,
    job: &Arc<Job>,
    picked: Picked,
    mut live: Live,
    tried: &mut Tried,
) -> Answered {
    let key = picked.flight.key();
    let begun = Instant::now();
    if job.route.stream && live.head.status.is_success() {
        return match stream::open(cx, job, picked, live, tried).await {
            Ok(resp) => Answered::Done(resp),
            Err(reason) => Answered::Failed(reason),
        };
    }
    let until = attempt_until(job, tried);
    let body = match live.collect(until).await {
        Ok(body) => body,
        Err(e) => {
            tried.keys.push(key);
            crash::note_cut(cx, job, key, Some(begun));
            Line::failure("cut")
                .text("id", &job.meta.id)
                .text("error", &e)
                .write();
            return Answered::Failed(Reason::Lost);
        }
    };
    let failed = live.head.status.is_server_error();
    let in_time = job.deadline.saturating_duration_since(Instant::now()) > job.route.objective / 2;
    if failed && in_time && tried.may_run_again(job) && cx.may_retry(&job.service) {
        tried.keys.push(key);
        tried.paid = true;
        tried.failure = Some(response(&live.head, full(body)));
        return Answered::Failed(Reason::Lost);
    }
    quarantine::survived(cx, job);
    Line::new("answered")
        .text("id", &job.meta.id)
        .num("status", live.head.status.as_u16())
        .num("bytes", body.len() as i64)
        .ms("took_ms", job.received.elapsed())
        .write();
    Answered::Done(response(&live.head, full(body)))
}

/// Makes the client's answer from the head of a target's.
pub fn response(head: &hyper::http::response::Parts, body: Body) -> Response<Body> {
    let mut headers = head.headers.clone();
    strip_hop(&mut headers);
    let mut resp = Response::new(body);
    *resp.status_mut() = head.status;
    *resp.headers_mut() = headers;
    resp
}
