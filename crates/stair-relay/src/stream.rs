//! Forwards the events of a stream to the client, and resumes the stream at another target.
//!
//! Invariants: only whole events are forwarded, each once and in order; the client's response is complete
//! only if a target completed it. A stream that breaks is resumed after its last event where the route allows
//! it, and otherwise truncated.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Response;
use stair_fleet::catalogue::Repeat;
use stair_fleet::{
    engine_estimate::Sampler,
    events::{
        Event,
        Splitter, //
    },
    view::TargetKey, //
};
use stair_http::body::{
    Body,
    channel, //
};
use stair_telemetry::event::Line;
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        timeout_at, //
    },
};

use crate::{
    assign,
    attempt::{
        self,
        LiveResponse, //
    },
    buffers::{
        SMALL_BYTES,
        Share, //
    },
    context::{
        Context,
        InFlight, //
    },
    crash,
    job::Job,
    origin, quarantine,
    refuse::Reason,
    relay::{
        self,
        Attempts, //
    },
    select::Selected,
};

/// Events buffered for a client that reads slowly.
const QUEUE: usize = 16;

/// Divisor of the longest pause that the client accepts by its route. After the resulting time another target
/// is searched for: an engine that is only busy, or that repeats a prefill after it ran out of memory, sends
/// an event before, and the rest of the pause is enough to resume at another target.
const HUNG_DIVISOR: u32 = 2;

/// Lower bound of the time for the first event of a repeatable request, before [`FIRST_EVENT_FACTOR`]
/// applies.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Multiple of [`MIN_FIRST_EVENT_TIMEOUT`], or of the objective where the objective is longer, after which a
/// repeatable request is tried at another target.
const FIRST_EVENT_FACTOR: u32 = 2;

/// Comments in a row, in bytes, after which a stream without an event between them has failed.
const MAX_COMMENT_BYTES: usize = 64 << 10;

enum Next {
    Event(Event),
    End,
    Broken(Box<str>),
    Late,
}

struct Source {
    cx: Arc<Context>,
    /// When the head of the response arrived.
    begun: Instant,
    live: LiveResponse,
    in_flight: InFlight,
    split: Splitter,
    /// The share of the buffers of an event that is not complete yet.
    share: Option<Share>,
    has_events: bool,
    /// Bytes of the comments since the last event.
    comment_bytes: usize,
    /// Measures the time of an event at the target.
    sampler: Sampler,
}

/// Waits for the first event, then forwards the stream in a task of its own.
///
/// # Errors
///
/// The reason why the stream broke before its first event.
pub async fn open(
    cx: &Arc<Context>,
    job: &Arc<Job>,
    selected: Selected,
    live: LiveResponse,
    attempts: &mut Attempts,
) -> Result<Response<Body>, Reason> {
    let key = selected.in_flight.key();
    let begun = Instant::now();
    let head = live.head.clone();
    let mut source = Source::new(cx, live, selected.in_flight);
    let mut comments = Vec::new();
    let until = first_event_deadline(job, attempts);
    let client_leaves = assign::selection_deadline(job, None);
    let abandoned = relay::until_abandoned(
        cx,
        &attempts.keys,
        key,
        attempts.may_run_again(job),
        client_leaves,
    );
    let unanswered = crash::UnansweredRun::new(cx, job, key);
    let next = tokio::select! {
        next = source.first_event(until, &mut comments) => next,
        () = abandoned => Next::Late,
    };
    unanswered.finish();
    let first = match next {
        Next::Event(e) => Some(e),
        Next::End => None,
        Next::Broken(e) => {
            cx.state().view.get_mut(key).record_attempt(false);
            attempts.keys.push(key);
            crash::record_interrupted(cx, job, key, Some(begun));
            log_break(job, &selected.id, None, &e);
            return Err(Reason::Lost);
        }
        Next::Late => {
            attempts.keys.push(key);
            crash::record_interrupted(cx, job, key, Some(begun));
            log_break(job, &selected.id, None, "no first event in time");
            return Err(Reason::Late);
        }
    };
    source.in_flight.mark_read();
    relay::record_served(cx, attempts, key);
    if first.is_some() {
        origin::begun(cx, job, selected.version.as_deref());
        cx.record_prefill(key, job, selected.reads, selected.selected_at.elapsed());
    }
    let took = begun.elapsed().as_secs_f64() * 1000.0;
    cx.state()
        .view
        .get_mut(key)
        .record_delay((took - selected.wait_ms).max(0.0) / 4.0);
    cx.page.time("first_event_ms", &[], job.received.elapsed());
    let (tx, body) = channel(QUEUE);
    let pump = Pump {
        cx: cx.clone(),
        job: job.clone(),
        attempts: std::mem::replace(attempts, Attempts::new(cx, job)),
        last: job.meta.last_event,
        forwarded: 0,
        first: job.received.elapsed(),
        longest_pause: Duration::ZERO,
        forwarded_at: Instant::now(),
        abandoned_as_unresponsive: None,
        tx,
    };
    comments.extend(first);
    tokio::spawn(pump.run(source, comments));
    Ok(relay::client_response(&head, body))
}

fn first_event_deadline(job: &Job, attempts: &Attempts) -> Instant {
    if !attempts.may_run_again(job) {
        return job.deadline;
    }
    (Instant::now() + job.route.objective.max(MIN_FIRST_EVENT_TIMEOUT) * FIRST_EVENT_FACTOR)
        .min(job.deadline)
}

impl Source {
    fn new(cx: &Arc<Context>, live: LiveResponse, in_flight: InFlight) -> Self {
        Self {
            cx: cx.clone(),
            begun: Instant::now(),
            live,
            in_flight,
            split: Splitter::default(),
            share: None,
            has_events: false,
            comment_bytes: 0,
            sampler: Sampler::default(),
        }
    }

    /// Waits for the first event, and collects the comments before it.
    async fn first_event(&mut self, until: Instant, comments: &mut Vec<Event>) -> Next {
        loop {
            match self.next(until).await {
                Next::Event(event) if event.comment => comments.push(event),
                next => return next,
            }
        }
    }

    fn event(&mut self, event: Event) -> Next {
        if event.comment {
            self.comment_bytes += event.bytes.len();
            if self.comment_bytes > MAX_COMMENT_BYTES {
                return Next::Broken("comments without an event".into());
            }
        } else {
            self.has_events = true;
            self.comment_bytes = 0;
        }
        Next::Event(event)
    }

    /// The share that the parts of the last event have taken.
    fn take_share(&mut self) -> Option<Share> {
        match self.split.buffered() > SMALL_BYTES {
            true => None,
            false => self.share.take(),
        }
    }

    async fn next(&mut self, until: Instant) -> Next {
        loop {
            if self.split.buffered() > SMALL_BYTES && self.share.is_none() {
                self.share = self.cx.buffers.medium(until).await;
                if self.share.is_none() {
                    return Next::Late;
                }
            }
            if let Some(event) = self.split.next_event() {
                return self.event(event);
            }
            match timeout_at(until, self.live.chunk()).await {
                Err(_) => return Next::Late,
                Ok(Err(e)) => return Next::Broken(e.to_string().into()),
                Ok(Ok(None)) if self.split.is_inside() => {
                    return Next::Broken("the body ended inside an event".into());
                }
                // A target that ends sends no event after the head, as does one that has none to send.
                Ok(Ok(None)) if self.live.unframed && !self.has_events => {
                    return Next::Broken("the body ended without an event".into());
                }
                Ok(Ok(None)) => return Next::End,
                Ok(Ok(Some(data))) => {
                    if let Err(e) = self.split.push(&data) {
                        return Next::Broken(e.to_string().into());
                    }
                }
            }
        }
    }
}

struct Pump {
    cx: Arc<Context>,
    job: Arc<Job>,
    attempts: Attempts,
    last: Option<u64>,
    forwarded: u64,
    /// Time from the request to the first event.
    first: Duration,
    longest_pause: Duration,
    forwarded_at: Instant,
    /// The last target that was abandoned because its VM was found to be unresponsive. Another one is
    /// searched for at once; after that the target is treated like any silent one.
    abandoned_as_unresponsive: Option<TargetKey>,
    tx: mpsc::Sender<Option<Bytes>>,
}

/// The result of waiting for the next event of a stream.
enum Received {
    Next(Next),
    /// The target is silent, and no other target takes the stream.
    Silent,
    /// The target is silent, and another target takes the stream.
    OtherTarget(Selected),
    ClientGone,
}

enum Ended {
    Complete,
    ClientGone,
    Truncated(Box<str>),
}

impl Pump {
    async fn run(mut self, source: Source, first: Vec<Event>) {
        let ended = self.forward_all(source, first).await;
        let (line, text) = match &ended {
            Ended::Complete => (Line::new("answered"), "complete"),
            Ended::ClientGone => (Line::new("answered"), "client gone"),
            Ended::Truncated(e) => (Line::failure("answered"), &**e),
        };
        line.text("id", &self.job.meta.id)
            .num("status", 200)
            .num("events", self.forwarded)
            .num("targets", i64::from(self.attempts.ran))
            .ms("first_ms", self.first)
            .ms("pause_ms", self.longest_pause)
            .text("end", text)
            .ms("took_ms", self.job.received.elapsed())
            .write();
        let kind = match ended {
            Ended::Complete => "complete",
            Ended::ClientGone => "client-gone",
            Ended::Truncated(_) => "cut",
        };
        self.cx.page.count("streams_total", &[("end", kind)], 1);
        // One sample for each stream; one for each event would cost more than forwarding the event.
        let pause = self.longest_pause;
        self.cx.page.time("longest_pause_ms", &[], pause);
        if matches!(ended, Ended::Complete) {
            // A client that has disconnected by now does not need the end of the body.
            let _ = self.tx.send(None).await;
        }
    }

    /// Forwards the events that were read before, which end with the first one if the stream has any, and all others.
    async fn forward_all(&mut self, mut source: Source, before: Vec<Event>) -> Ended {
        for event in before {
            let share = source.take_share();
            if let Some(ended) = self.forward(event, share).await {
                return ended;
            }
        }
        if !source.has_events {
            self.record_end(&source);
            return Ended::Complete;
        }
        let _ = source.sampler.arrived(self.cx.now());
        loop {
            let received = self.receive(&mut source).await;
            self.sample(&mut source, &received);
            let (why, target) = match received {
                Received::Next(Next::Event(event)) => {
                    let share = source.take_share();
                    match self.forward(event, share).await {
                        None => continue,
                        Some(ended) => return ended,
                    }
                }
                Received::Next(Next::End) => {
                    self.record_end(&source);
                    return Ended::Complete;
                }
                Received::Next(Next::Broken(e)) => {
                    let key = source.in_flight.key();
                    self.cx.state().view.get_mut(key).record_attempt(false);
                    (e, None)
                }
                Received::Next(Next::Late) => ("no event in time".into(), None),
                // The stream stays at its target, which may only be busy.
                Received::Silent => continue,
                Received::OtherTarget(target) => ("no event in time".into(), Some(target)),
                Received::ClientGone => return Ended::ClientGone,
            };
            let key = source.in_flight.key();
            crash::record_interrupted(&self.cx, &self.job, key, Some(source.begun));
            log_break(&self.job, "", self.last, &why);
            // The engine stops when its connection closes, so that the two runs do not overlap.
            drop(source);
            self.attempts.keys.push(key);
            source = match self.resume(target).await {
                Some(source) => source,
                None => return Ended::Truncated(why),
            };
        }
    }

    /// Records the time of an event at the target whenever enough events of the stream are known.
    fn sample(&self, source: &mut Source, received: &Received) {
        let event_ms = match received {
            Received::Next(Next::Event(e)) if !e.comment => source.sampler.arrived(self.cx.now()),
            Received::Next(Next::End) => source.sampler.take(),
            _ => None,
        };
        if let Some(event_ms) = event_ms {
            let key = source.in_flight.key();
            self.cx.record_event_time(key, &self.job, event_ms);
        }
    }

    /// Records that the target has completed the stream.
    fn record_end(&self, source: &Source) {
        let key = source.in_flight.key();
        match source.live.unframed {
            true => crash::record_unframed(&self.cx, &self.job, key, source.begun),
            false => quarantine::survived(&self.cx, &self.job),
        }
    }

    /// Waits for the next event; after a long silence also for another target that takes the stream.
    async fn receive(&mut self, source: &mut Source) -> Received {
        let (cx, job, tx) = (self.cx.clone(), self.job.clone(), self.tx.clone());
        let until = self.pause_deadline();
        let key = source.in_flight.key();
        let may_leave = until < job.deadline && self.abandoned_as_unresponsive != Some(key);
        let own = [key];
        let next = tokio::select! {
            next = source.next(until) => next,
            () = cx.until_unresponsive(&own), if may_leave => {
                self.abandoned_as_unresponsive = Some(key);
                Next::Late
            }
            () = tx.closed() => return Received::ClientGone,
        };
        if !matches!(next, Next::Late) || Instant::now() >= job.deadline {
            return Received::Next(next);
        }
        let mut excluded = self.attempts.keys.clone();
        excluded.push(key);
        tokio::select! {
            next = source.next(job.deadline) => Received::Next(next),
            target = assign_elsewhere(&cx, &job, &excluded, self.last) => {
                target.map_or(Received::Silent, Received::OtherTarget)
            }
            () = tx.closed() => Received::ClientGone,
        }
    }

    /// Forwards one event unless the client already has it.
    async fn forward(&mut self, event: Event, share: Option<Share>) -> Option<Ended> {
        match (event.id, self.last) {
            (Some(id), Some(last)) if id <= last => return None,
            (Some(id), Some(last)) if id > last + 1 => {
                return Some(Ended::Truncated("an event is missing".into()));
            }
            _ => {}
        }
        if event.id.is_some() {
            self.last = event.id;
        }
        if !event.comment {
            self.forwarded += 1;
            self.longest_pause = self.longest_pause.max(self.forwarded_at.elapsed());
            self.forwarded_at = Instant::now();
        }
        let until = self.job.deadline;
        let Some(bytes) = self.cx.buffers.event(event.bytes, share, until).await else {
            return Some(Ended::Truncated("other clients read too slowly".into()));
        };
        match timeout_at(until, self.tx.send(Some(bytes))).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(Ended::ClientGone),
            Err(_) => Some(Ended::Truncated("the client reads too slowly".into())),
        }
    }

    fn pause_deadline(&self) -> Instant {
        let resumable = self.job.route.repeat == Repeat::FromEvent;
        if !resumable || !self.attempts.may_run_again(&self.job) {
            return self.job.deadline;
        }
        let pause = self.job.route.client_timeout() / HUNG_DIVISOR;
        (Instant::now() + pause).min(self.job.deadline)
    }

    /// Sends the request to the target that was selected for it, or else selects one now.
    async fn send(&mut self, target: Option<Selected>) -> Option<(Selected, attempt::Outcome)> {
        let (cx, job) = (&self.cx, &self.job);
        let Some(selected) = target else {
            return relay::attempt_once(cx, job, &mut self.attempts, self.last)
                .await
                .ok();
        };
        let outcome = relay::send(cx, job, &mut self.attempts, &selected, self.last).await;
        Some((selected, outcome))
    }

    /// Resumes the stream at another target after the last event. The first attempt goes to `target`, if
    /// given, whose retry has been taken from the budget.
    async fn resume(&mut self, mut target: Option<Selected>) -> Option<Source> {
        let resumable = self.job.route.repeat == Repeat::FromEvent;
        while resumable
            && self.last.is_some()
            && self.attempts.may_run_again(&self.job)
            && Instant::now() < self.job.deadline
            && (target.is_some() || self.cx.may_retry(&self.job.service))
        {
            let tx = self.tx.clone();
            let sent = tokio::select! {
                sent = self.send(target.take()) => sent,
                () = tx.closed() => return None,
            };
            let (selected, outcome) = sent?;
            let cx = &self.cx;
            match outcome {
                attempt::Outcome::Head(live) if live.head.status.is_success() => {
                    Line::new("resumed")
                        .text("id", &self.job.meta.id)
                        .text("target", &selected.id)
                        .text("version", selected.version.as_deref().unwrap_or(""))
                        .num("after_event", self.last.unwrap_or(0))
                        .write();
                    return Some(Source::new(cx, live, selected.in_flight));
                }
                attempt::Outcome::Head(_) => self.attempts.keys.push(selected.in_flight.key()),
                _ => {}
            }
        }
        None
    }
}

/// Assigns a silent stream to another target and takes the retry from the budget.
///
/// The stream is abandoned only when another target takes it. Otherwise streams would be truncated whenever
/// all targets are busy, and their clients would get nothing for the wait.
async fn assign_elsewhere(
    cx: &Arc<Context>,
    job: &Job,
    excluded: &[TargetKey],
    last: Option<u64>,
) -> Option<Selected> {
    let selected = assign::assign(cx, job, excluded, last).await.ok()?;
    cx.may_retry(&job.service).then_some(selected)
}

fn log_break(job: &Job, target: &str, after: Option<u64>, why: &str) {
    Line::failure("broken")
        .text("id", &job.meta.id)
        .text("target", target)
        .num("after_event", after.unwrap_or(0))
        .text("why", why)
        .write();
}
