//! Passes the events of a stream to the client, and resumes it at another target.
//!
//! Invariants: only whole events are passed, each once and in order; the client's answer is complete only if a target
//! completed it. A stream that breaks is resumed after its last event where its route allows it, and otherwise cut.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Response;
use stair_fleet::catalogue::Repeat;
use stair_fleet::{
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
    attempt::{
        self,
        Live, //
    },
    context::{
        Context,
        Flight, //
    },
    crash,
    job::Job,
    pick::Picked,
    place, quarantine,
    refuse::Reason,
    relay::{
        self,
        Tried, //
    },
};

/// Events waiting for a client that reads slowly.
const QUEUE: usize = 16;

/// A client leaves a stream after a pause that follows from its route; after this part of it another target
/// is looked for. An engine that is merely busy, or reads a request anew after it ran out of memory, is
/// heard again before that, and the rest is enough to go on elsewhere.
const HUNG_PART: u32 = 2;

/// Time for the first event of a repeatable request for which a target is not taken for hung.
const HUNG_TIME: Duration = Duration::from_millis(1500);

/// So many times that, or the objective where it is longer, until the request is tried elsewhere.
const HUNG_PAUSES: u32 = 2;

enum Next {
    Event(Event),
    End,
    Broken(Box<str>),
    Late,
}

struct Source {
    /// When the head of the answer came.
    begun: Instant,
    live: Live,
    flight: Flight,
    split: Splitter,
}

/// Waits for the first event, then passes the stream on in a task of its own.
///
/// # Errors
///
/// Why the stream broke before its first event.
pub async fn open(
    cx: &Arc<Context>,
    job: &Arc<Job>,
    picked: Picked,
    live: Live,
    tried: &mut Tried,
) -> Result<Response<Body>, Reason> {
    let key = picked.flight.key();
    let begun = Instant::now();
    let head = live.head.clone();
    let mut source = Source {
        begun,
        live,
        flight: picked.flight,
        split: Splitter::default(),
    };
    let until = first_until(job, tried);
    let leaves = place::pick_until(job, None);
    let gone = relay::given_up(cx, &tried.keys, key, tried.may_run_again(job), leaves);
    let unanswered = crash::Unanswered::new(cx, job, key);
    let next = tokio::select! {
        next = source.next(until) => next,
        () = gone => Next::Late,
    };
    unanswered.ended();
    let first = match next {
        Next::Event(e) => Some(e),
        Next::End => None,
        Next::Broken(e) => {
            tried.keys.push(key);
            crash::note_cut(cx, job, key, Some(begun));
            log_break(job, &picked.id, None, &e);
            return Err(Reason::Lost);
        }
        Next::Late => {
            tried.keys.push(key);
            crash::note_cut(cx, job, key, Some(begun));
            log_break(job, &picked.id, None, "no first event in time");
            return Err(Reason::Late);
        }
    };
    source.flight.read();
    if first.is_some() {
        cx.was_read(key, job, picked.reads, picked.at.elapsed());
    }
    let took = begun.elapsed().as_secs_f64() * 1000.0;
    cx.state()
        .view
        .get_mut(key)
        .record_delay((took - picked.wait_ms).max(0.0) / 4.0);
    cx.page.time("first_event_ms", &[], job.received.elapsed());
    let (tx, body) = channel(QUEUE);
    let pump = Pump {
        cx: cx.clone(),
        job: job.clone(),
        tried: std::mem::replace(tried, Tried::new(cx, job)),
        last: job.meta.last_event,
        passed: 0,
        first: job.received.elapsed(),
        longest_pause: Duration::ZERO,
        passed_at: Instant::now(),
        left_for_quiet: None,
        tx,
    };
    tokio::spawn(pump.run(source, first));
    Ok(relay::response(&head, body))
}

fn first_until(job: &Job, tried: &Tried) -> Instant {
    if !tried.may_run_again(job) {
        return job.deadline;
    }
    (Instant::now() + job.route.objective.max(HUNG_TIME) * HUNG_PAUSES).min(job.deadline)
}

impl Source {
    async fn next(&mut self, until: Instant) -> Next {
        loop {
            if let Some(event) = self.split.next_event() {
                return Next::Event(event);
            }
            match timeout_at(until, self.live.chunk()).await {
                Err(_) => return Next::Late,
                Ok(Err(e)) => return Next::Broken(e.to_string().into()),
                Ok(Ok(None)) if self.split.is_inside() => {
                    return Next::Broken("it ended inside an event".into());
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
    tried: Tried,
    last: Option<u64>,
    passed: u64,
    /// Time from the request to the first event.
    first: Duration,
    longest_pause: Duration,
    passed_at: Instant,
    /// The last target whose VM was found to stand still; another one is looked for at once, and after that
    /// as for any silent target.
    left_for_quiet: Option<TargetKey>,
    tx: mpsc::Sender<Option<Bytes>>,
}

/// What came while a stream's target was listened to.
enum Received {
    Next(Next),
    /// Silence, and no other target takes the stream.
    Nothing,
    /// Silence, and another target takes the stream.
    Elsewhere(Picked),
    ClientGone,
}

enum Ended {
    Complete,
    ClientGone,
    Cut(Box<str>),
}

impl Pump {
    async fn run(mut self, source: Source, first: Option<Event>) {
        let ended = self.pass_all(source, first).await;
        let (line, text) = match &ended {
            Ended::Complete => (Line::new("answered"), "complete"),
            Ended::ClientGone => (Line::new("answered"), "client gone"),
            Ended::Cut(e) => (Line::failure("answered"), &**e),
        };
        line.text("id", &self.job.meta.id)
            .num("status", 200)
            .num("events", self.passed)
            .num("targets", i64::from(self.tried.ran))
            .ms("first_ms", self.first)
            .ms("pause_ms", self.longest_pause)
            .text("end", text)
            .ms("took_ms", self.job.received.elapsed())
            .write();
        let kind = match ended {
            Ended::Complete => "complete",
            Ended::ClientGone => "client-gone",
            Ended::Cut(_) => "cut",
        };
        self.cx.page.count("streams_total", &[("end", kind)], 1);
        // One sample a stream: a sample an event would cost the entry more than passing it on.
        let pause = self.longest_pause;
        self.cx.page.time("longest_pause_ms", &[], pause);
        if matches!(ended, Ended::Complete) {
            quarantine::survived(&self.cx, &self.job);
            // A client that is gone by now has no use for the end.
            let _ = self.tx.send(None).await;
        }
    }

    async fn pass_all(&mut self, source: Source, first: Option<Event>) -> Ended {
        let Some(first) = first else {
            return Ended::Complete;
        };
        if let Some(ended) = self.pass(first).await {
            return ended;
        }
        let mut source = source;
        loop {
            let (why, place) = match self.receive(&mut source).await {
                Received::Next(Next::Event(event)) => match self.pass(event).await {
                    None => continue,
                    Some(ended) => return ended,
                },
                Received::Next(Next::End) => return Ended::Complete,
                Received::Next(Next::Broken(e)) => (e, None),
                Received::Next(Next::Late) => ("no event in time".into(), None),
                // It is left to its target, which may only be busy.
                Received::Nothing => continue,
                Received::Elsewhere(place) => ("no event in time".into(), Some(place)),
                Received::ClientGone => return Ended::ClientGone,
            };
            let key = source.flight.key();
            crash::note_cut(&self.cx, &self.job, key, Some(source.begun));
            log_break(&self.job, "", self.last, &why);
            // The engine stops when its connection closes, so that the two runs do not overlap.
            drop(source);
            self.tried.keys.push(key);
            source = match self.resume(place).await {
                Some(source) => source,
                None => return Ended::Cut(why),
            };
        }
    }

    /// Waits for the target; after a long silence also for another one that would take the stream.
    async fn receive(&mut self, source: &mut Source) -> Received {
        let (cx, job, tx) = (self.cx.clone(), self.job.clone(), self.tx.clone());
        let until = self.pause_until();
        let key = source.flight.key();
        let may_leave = until < job.deadline && self.left_for_quiet != Some(key);
        let own = [key];
        let next = tokio::select! {
            next = source.next(until) => next,
            () = cx.fall_quiet(&own), if may_leave => {
                self.left_for_quiet = Some(key);
                Next::Late
            }
            () = tx.closed() => return Received::ClientGone,
        };
        if !matches!(next, Next::Late) || Instant::now() >= job.deadline {
            return Received::Next(next);
        }
        let mut left_out = self.tried.keys.clone();
        left_out.push(key);
        tokio::select! {
            next = source.next(job.deadline) => Received::Next(next),
            place = place_elsewhere(&cx, &job, &left_out, self.last) => {
                place.map_or(Received::Nothing, Received::Elsewhere)
            }
            () = tx.closed() => Received::ClientGone,
        }
    }

    /// Passes one event on.
    async fn pass(&mut self, event: Event) -> Option<Ended> {
        match (event.id, self.last) {
            (Some(id), Some(last)) if id <= last => return None,
            (Some(id), Some(last)) if id > last + 1 => {
                return Some(Ended::Cut("an event is missing".into()));
            }
            _ => {}
        }
        if event.id.is_some() {
            self.last = event.id;
        }
        self.passed += 1;
        self.longest_pause = self.longest_pause.max(self.passed_at.elapsed());
        self.passed_at = Instant::now();
        match timeout_at(self.job.deadline, self.tx.send(Some(event.bytes))).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(Ended::ClientGone),
            Err(_) => Some(Ended::Cut("the client reads too slowly".into())),
        }
    }

    fn pause_until(&self) -> Instant {
        let resumable = self.job.route.repeat == Repeat::FromEvent;
        if !resumable || !self.tried.may_run_again(&self.job) {
            return self.job.deadline;
        }
        let pause = self.job.route.client_timeout() / HUNG_PART;
        (Instant::now() + pause).min(self.job.deadline)
    }

    /// Sends the request to a place that was found for it, or else to one that is found now.
    async fn send(&mut self, place: Option<Picked>) -> Option<(Picked, attempt::Outcome)> {
        let (cx, job) = (&self.cx, &self.job);
        let Some(picked) = place else {
            return relay::once(cx, job, &mut self.tried, self.last).await.ok();
        };
        let outcome = relay::send(cx, job, &mut self.tried, &picked, self.last).await;
        Some((picked, outcome))
    }

    /// Goes on at another target after the last event; at first at the one that was found for it, which
    /// has been paid for.
    async fn resume(&mut self, mut place: Option<Picked>) -> Option<Source> {
        let resumable = self.job.route.repeat == Repeat::FromEvent;
        while resumable
            && self.last.is_some()
            && self.tried.may_run_again(&self.job)
            && Instant::now() < self.job.deadline
            && (place.is_some() || self.cx.may_retry(&self.job.service))
        {
            let tx = self.tx.clone();
            let sent = tokio::select! {
                sent = self.send(place.take()) => sent,
                () = tx.closed() => return None,
            };
            let (picked, outcome) = sent?;
            match outcome {
                attempt::Outcome::Head(live) if live.head.status.is_success() => {
                    Line::new("resumed")
                        .text("id", &self.job.meta.id)
                        .text("target", &picked.id)
                        .num("after_event", self.last.unwrap_or(0))
                        .write();
                    return Some(Source {
                        begun: Instant::now(),
                        live,
                        flight: picked.flight,
                        split: Splitter::default(),
                    });
                }
                attempt::Outcome::Head(_) => self.tried.keys.push(picked.flight.key()),
                _ => {}
            }
        }
        None
    }
}

/// Looks for another target for a stream whose own is silent, and pays for the retry.
///
/// A client whose answer is cut for a silence has nothing; were the stream given up before it is known
/// that another target takes it, that would happen wherever all are busy.
async fn place_elsewhere(
    cx: &Arc<Context>,
    job: &Job,
    left_out: &[TargetKey],
    last: Option<u64>,
) -> Option<Picked> {
    let picked = place::place(cx, job, left_out, last).await.ok()?;
    cx.may_retry(&job.service).then_some(picked)
}

fn log_break(job: &Job, target: &str, after: Option<u64>, why: &str) {
    Line::failure("broken")
        .text("id", &job.meta.id)
        .text("target", target)
        .num("after_event", after.unwrap_or(0))
        .text("why", why)
        .write();
}
