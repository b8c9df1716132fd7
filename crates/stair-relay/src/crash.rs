//! Finds out which requests were on a target when it ended.
//!
//! A connection that is cut does not tell whether its target has ended. A target has ended when its address refuses
//! connections, when its agent finds it dead, or when the store's list lacks it although it has not said that it leaves.
//! A client that leaves tells nothing at all: the target is watched for a moment.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    quarantine::{
        Crash,
        ESTABLISHED_DURATION,
        Run, //
    },
    target::State,
    target_state::TargetState,
    view::TargetKey, //
};
use stair_telemetry::event::Line;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout, //
    },
};

use crate::{
    context::Context,
    job::Job,
    quarantine, //
};

/// When the target's address is tried after a cut; the second time is for one that closes its connections first.
const PROBE_AT: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(250)];

/// Time for the address to refuse a connection.
const PROBE_TIME: Duration = Duration::from_millis(300);

/// Pause between looks at the list.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Time after a cut in which its target may be found to have ended: three heartbeats, and the store's word of it.
const WATCH_TIME: Duration = Duration::from_secs(6);

/// The same after a client has left: its request hardly ends a target that has stood that long.
const LEFT_TIME: Duration = Duration::from_millis(1500);

/// Cut requests that are kept of one target; it runs no more at once.
const MAX_RUNS: usize = 512;

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Life {
    id: Box<str>,
    started: Option<u64>,
}

impl Life {
    fn of(seen: &TargetState) -> Self {
        Self {
            id: seen.target.id.clone(),
            started: seen.target.started,
        }
    }
}

/// Requests that were cut lately, by target.
#[derive(Default)]
pub(crate) struct Crashes {
    cuts: Vec<Cuts>,
}

struct Cuts {
    life: Life,
    runs: Vec<Run>,
    /// Whether the target is known to have ended.
    ended: bool,
    /// Whether its address is tried.
    probed: bool,
    /// Until when it is watched.
    until: Instant,
}

impl Crashes {
    /// Adds a request, and tells whether its target has to be watched for it.
    fn add(&mut self, life: &Life, run: Run, how: How) -> bool {
        let found = self.cuts.iter().position(|c| c.life == *life);
        let i = found.unwrap_or_else(|| {
            self.cuts.push(Cuts {
                life: life.clone(),
                runs: Vec::new(),
                ended: false,
                probed: false,
                until: Instant::now(),
            });
            self.cuts.len() - 1
        });
        let cuts = &mut self.cuts[i];
        if cuts.runs.len() < MAX_RUNS {
            cuts.runs.push(run);
        }
        cuts.until = cuts.until.max(Instant::now() + how.watch_time());
        let first = match how {
            How::Cut => !std::mem::replace(&mut cuts.probed, true),
            How::Left => found.is_none(),
        };
        first && !cuts.ended
    }

    /// Takes what was cut at a target that has ended, from now on too.
    fn take_ended(&mut self, life: &Life) -> Vec<Run> {
        let cuts = self.cuts.iter_mut().find(|c| c.life == *life);
        cuts.map_or_else(Vec::new, |c| {
            c.ended = true;
            std::mem::take(&mut c.runs)
        })
    }

    fn has_ended(&self, life: &Life) -> bool {
        self.cuts.iter().any(|c| c.life == *life && c.ended)
    }

    fn forget_old(&mut self) {
        let now = Instant::now();
        self.cuts.retain(|c| now < c.until);
    }
}

/// How a request has ended that may have ended its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum How {
    /// Its connection was cut, or its answer was late.
    Cut,
    /// Its client has left.
    Left,
}

impl How {
    fn watch_time(self) -> Duration {
        match self {
            Self::Cut => WATCH_TIME,
            Self::Left => LEFT_TIME,
        }
    }
}

/// A request at a target that has not answered yet. Dropped before that, its client has left.
pub(crate) struct Unanswered<'a> {
    cx: &'a Arc<Context>,
    job: &'a Job,
    key: TargetKey,
    answered: bool,
}

impl<'a> Unanswered<'a> {
    pub(crate) fn new(cx: &'a Arc<Context>, job: &'a Job, key: TargetKey) -> Self {
        Self {
            cx,
            job,
            key,
            answered: false,
        }
    }

    /// Notes that the target has answered, or will not.
    pub(crate) fn ended(mut self) {
        self.answered = true;
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.answered {
            note(self.cx, self.job, self.key, None, How::Left);
        }
    }
}

/// Notes that a request was cut, or got no answer in time, at a target that may have ended.
/// Its answer began at `begun`, if it did.
pub(crate) fn note_cut(cx: &Arc<Context>, job: &Job, key: TargetKey, begun: Option<Instant>) {
    note(cx, job, key, begun, How::Cut);
}

fn note(cx: &Arc<Context>, job: &Job, key: TargetKey, begun: Option<Instant>, how: How) {
    let run = Run {
        fingerprint: job.fingerprint(),
        established: begun.is_some_and(|t| t.elapsed() >= ESTABLISHED_DURATION),
        on_trial: job.is_on_trial(),
    };
    let (life, addr, first, ended) = {
        let mut state = cx.state();
        let seen = state.view.get(key);
        // What a target cuts that leaves is not put down to its requests.
        if seen.target.state != State::Ready {
            return;
        }
        let (life, addr) = (Life::of(seen), seen.target.addr);
        let first = state.crashes.add(&life, run, how);
        let ended = state.crashes.has_ended(&life);
        (life, addr, first, ended)
    };
    let event = match how {
        How::Cut => "run.cut",
        How::Left => "run.left",
    };
    Line::failure(event)
        .text("id", &job.meta.id)
        .text("target", &life.id)
        .show("fingerprint", run.fingerprint)
        .flag("established", run.established)
        .flag("on_trial", run.on_trial)
        .write();
    if ended {
        report(cx, &life, addr);
    } else if first {
        tokio::spawn(watch(cx.clone(), life, addr, how));
    }
}

/// Watches a target that a request may have ended.
async fn watch(cx: Arc<Context>, life: Life, addr: SocketAddr, how: How) {
    let begun = Instant::now();
    let until = begun + how.watch_time();
    let refused = how == How::Cut && is_refused(addr, begun).await;
    if refused || is_lost(&cx, &life, until).await {
        report(&cx, &life, addr);
    }
    // Requests that come later are still reported.
    sleep_until(until).await;
    cx.state().crashes.forget_old();
}

/// Whether the target's address refuses connections.
async fn is_refused(addr: SocketAddr, begun: Instant) -> bool {
    for at in PROBE_AT {
        sleep_until(begun + at).await;
        let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        if let Ok(Err(e)) = timeout(PROBE_TIME, TcpStream::connect(addr)).await
            && refused(&e)
        {
            return true;
        }
    }
    false
}

/// Waits until the list lacks the target or its agent finds it dead. Returns false when it says that it leaves, or
/// stays until then.
async fn is_lost(cx: &Context, life: &Life, until: Instant) -> bool {
    while Instant::now() < until {
        {
            let now = cx.now();
            let state = cx.state();
            let found = state.view.all().find(|(_, s)| Life::of(s) == *life);
            let Some((_, seen)) = found else {
                return true;
            };
            match seen.target.state {
                State::Draining(_) => return false,
                State::Ready if seen.fresh_report(now).is_some_and(|r| !r.load.alive) => {
                    return true;
                }
                State::Ready => {}
            }
        }
        sleep(LOOK_EVERY).await;
    }
    false
}

/// Tells which requests were on a target that has ended.
fn report(cx: &Arc<Context>, life: &Life, addr: SocketAddr) {
    let runs = cx.state().crashes.take_ended(life);
    let names: Vec<String> = runs.iter().map(|r| r.fingerprint.to_string()).collect();
    Line::failure("target.crashed")
        .text("target", &life.id)
        .show("addr", addr)
        .num("runs", runs.len() as i64)
        .text("fingerprints", &names.join(" "))
        .write();
    cx.page.count("target_crashes_total", &[], 1);
    cx.page.count("crashed_runs_total", &[], runs.len() as u64);
    let life = match life.started {
        Some(started) => format!("{}@{started}", life.id).into(),
        None => life.id.clone(),
    };
    quarantine::report(
        cx,
        Crash {
            incarnation: life,
            runs,
        },
    );
}
