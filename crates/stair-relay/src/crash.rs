//! Determines which requests were running on a target when it ended.
//!
//! An interrupted connection does not show whether its target has ended. A target has ended when its address
//! refuses connections, when its agent reports it dead, or when the list lacks it although it has not
//! announced its shutdown. A client that disconnects gives no sign at all, so the target is watched for some
//! time.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    quarantine::{
        Crash,
        ESTABLISHED_DURATION,
        Run,
        interrupted,
        merge_run, //
    },
    target::Incarnation,
    view::TargetKey, //
};
use stair_http::probe;
use stair_telemetry::event::Line;
use stair_types::Fingerprint;
use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};

use crate::{
    context::Context,
    job::Job,
    quarantine, //
};

/// Delays after an interruption at which the target's address is probed. The second probe is for a target
/// that closes its connections before its listener.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(250)];

/// Interval of the checks of the list.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after an interruption in which its target may be found to have ended: three heartbeats, and the delay
/// of the store.
const WATCH_WINDOW: Duration = Duration::from_secs(6);

/// Time after a client has disconnected, or a response has ended with its connection, in which the target may
/// be found to have ended. The request hardly ends a target that has kept running for this time.
const CLIENT_LEFT_WINDOW: Duration = Duration::from_millis(1500);

/// Limit of the causes recorded for one target.
const MAX_RUNS: usize = 2048;

/// Runs that were interrupted recently, by incarnation of the target.
#[derive(Default)]
pub(crate) struct Crashes {
    interrupted: Vec<InterruptedRuns>,
}

struct InterruptedRuns {
    incarnation: Incarnation,
    /// By cause, sorted.
    runs: Vec<Run>,
    /// Causes of runs that were complete if the target has not ended.
    completed: Vec<Fingerprint>,
    /// Whether the target is known to have ended.
    ended: bool,
    /// Whether the target's address has been probed.
    probed: bool,
    /// The end of the watch.
    until: Instant,
}

impl Crashes {
    /// Adds the runs of one request. Returns whether its target has to be watched for them.
    fn add(&mut self, incarnation: &Incarnation, runs: &[Run], ending: Ending) -> bool {
        let found = self
            .interrupted
            .iter()
            .position(|c| c.incarnation == *incarnation);
        let i = found.unwrap_or_else(|| {
            self.interrupted.push(InterruptedRuns {
                incarnation: incarnation.clone(),
                runs: Vec::new(),
                completed: Vec::new(),
                ended: false,
                probed: false,
                until: Instant::now(),
            });
            self.interrupted.len() - 1
        });
        let interrupted = &mut self.interrupted[i];
        for run in runs {
            merge_run(&mut interrupted.runs, run, MAX_RUNS);
            if ending == Ending::Unframed && interrupted.completed.len() < MAX_RUNS {
                interrupted.completed.push(run.fingerprint);
            }
        }
        interrupted.until = interrupted
            .until
            .max(Instant::now() + ending.watch_window());
        let first = match ending {
            Ending::Interrupted => !std::mem::replace(&mut interrupted.probed, true),
            Ending::ClientLeft | Ending::Unframed => found.is_none(),
        };
        first && !interrupted.ended
    }

    /// Takes the runs interrupted at a target, and records that the target has ended.
    fn take_ended(&mut self, incarnation: &Incarnation) -> Vec<Run> {
        let interrupted = self
            .interrupted
            .iter_mut()
            .find(|c| c.incarnation == *incarnation);
        interrupted.map_or_else(Vec::new, |c| {
            c.ended = true;
            std::mem::take(&mut c.runs)
        })
    }

    fn has_ended(&self, incarnation: &Incarnation) -> bool {
        self.interrupted
            .iter()
            .any(|c| c.incarnation == *incarnation && c.ended)
    }

    /// Removes the targets that are no longer watched. Returns the causes of complete runs at those that
    /// have not ended.
    fn remove_expired(&mut self) -> Vec<Fingerprint> {
        let now = Instant::now();
        let expired = self.interrupted.extract_if(.., |c| now >= c.until);
        let kept_running = expired.filter(|c| !c.ended);
        kept_running.flat_map(|c| c.completed).collect()
    }
}

/// How a run ended that may have ended its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The connection was interrupted, or the response was late.
    Interrupted,
    /// The client has disconnected.
    ClientLeft,
    /// The response ended with its connection, as it does when the target ends.
    Unframed,
}

impl Ending {
    fn watch_window(self) -> Duration {
        match self {
            Self::Interrupted => WATCH_WINDOW,
            Self::ClientLeft | Self::Unframed => CLIENT_LEFT_WINDOW,
        }
    }
}

/// A run without a response so far. Dropping it without [`finish`](Self::finish) means that the client has
/// disconnected.
pub(crate) struct UnansweredRun<'a> {
    cx: &'a Arc<Context>,
    job: &'a Job,
    key: TargetKey,
    answered: bool,
}

impl<'a> UnansweredRun<'a> {
    pub(crate) fn new(cx: &'a Arc<Context>, job: &'a Job, key: TargetKey) -> Self {
        Self {
            cx,
            job,
            key,
            answered: false,
        }
    }

    /// Records that the target has responded, or will not.
    pub(crate) fn finish(mut self) {
        self.answered = true;
    }
}

impl Drop for UnansweredRun<'_> {
    fn drop(&mut self) {
        if !self.answered {
            record(self.cx, self.job, self.key, None, Ending::ClientLeft);
        }
    }
}

/// Records that a run was interrupted, or got no response in time, at a target that may have ended. `begun`
/// is when its response began, if it did.
pub(crate) fn record_interrupted(
    cx: &Arc<Context>,
    job: &Job,
    key: TargetKey,
    begun: Option<Instant>,
) {
    record(cx, job, key, begun, Ending::Interrupted);
}

/// Records that a response without length or chunks has ended. The run was complete unless its target has
/// ended.
pub(crate) fn record_unframed(cx: &Arc<Context>, job: &Job, key: TargetKey, begun: Instant) {
    record(cx, job, key, Some(begun), Ending::Unframed);
}

fn record(cx: &Arc<Context>, job: &Job, key: TargetKey, begun: Option<Instant>, ending: Ending) {
    let established = begun.is_some_and(|t| t.elapsed() >= ESTABLISHED_DURATION);
    let on_trial = job.on_trial();
    let runs = interrupted(job.fingerprint(), job.parts(), established, &on_trial);
    let (incarnation, addr, first, ended) = {
        let mut state = cx.state();
        let target_state = state.view.get(key);
        // Interruptions by a target that shuts down are not attributed to its requests.
        if target_state.is_draining() {
            return;
        }
        let (incarnation, addr) = (target_state.target.incarnation(), target_state.target.addr);
        let first = state.crashes.add(&incarnation, &runs, ending);
        let ended = state.crashes.has_ended(&incarnation);
        (incarnation, addr, first, ended)
    };
    let line = match ending {
        Ending::Interrupted => Line::failure("run.cut"),
        Ending::ClientLeft => Line::failure("run.left"),
        Ending::Unframed => Line::new("run.unframed"),
    };
    line.text("id", &job.meta.id)
        .text("target", &incarnation.id)
        .show("fingerprint", job.fingerprint())
        .text("parts", &names(job.parts().as_slice()))
        .flag("established", established)
        .flag("on_trial", !on_trial.is_empty())
        .write();
    if ended {
        report(cx, &incarnation, addr);
    } else if first {
        tokio::spawn(watch(cx.clone(), incarnation, addr, ending));
    }
}

/// Watches a target that a run may have ended.
async fn watch(cx: Arc<Context>, incarnation: Incarnation, addr: SocketAddr, ending: Ending) {
    let begun = Instant::now();
    let until = begun + ending.watch_window();
    let refused = ending == Ending::Interrupted && is_refused(addr, begun).await;
    if refused || wait_until_lost(&cx, &incarnation, until).await {
        report(&cx, &incarnation, addr);
    }
    // Runs interrupted later at this target are still reported.
    sleep_until(until).await;
    let completed = cx.state().crashes.remove_expired();
    quarantine::causes_survived(&cx, &completed);
}

/// Whether the target's address refuses connections.
async fn is_refused(addr: SocketAddr, begun: Instant) -> bool {
    for at in PROBE_DELAYS {
        sleep_until(begun + at).await;
        if probe::is_refused(addr).await {
            return true;
        }
    }
    false
}

/// Waits until the list lacks the target or its agent reports it dead. Returns false when the target
/// announces its shutdown, or still runs at `until`.
async fn wait_until_lost(cx: &Context, incarnation: &Incarnation, until: Instant) -> bool {
    while Instant::now() < until {
        {
            let now = cx.now();
            let state = cx.state();
            let found = state
                .view
                .all()
                .find(|(_, s)| s.target.incarnation() == *incarnation);
            let Some((_, target_state)) = found else {
                return true;
            };
            if target_state.is_draining() {
                return false;
            }
            if target_state
                .fresh_report(now)
                .is_some_and(|r| !r.load.alive)
            {
                return true;
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    false
}

/// Reports the runs that were interrupted on a target that has ended.
fn report(cx: &Arc<Context>, incarnation: &Incarnation, addr: SocketAddr) {
    let runs = cx.state().crashes.take_ended(incarnation);
    let causes = runs.iter().map(|r| r.fingerprint);
    let (parts, requests): (Vec<_>, Vec<_>) = causes.partition(|c| c.part().is_some());
    Line::failure("target.crashed")
        .text("target", &incarnation.id)
        .show("addr", addr)
        .num("runs", requests.len() as i64)
        .text("fingerprints", &names(&requests))
        .text("parts", &names(&parts))
        .write();
    cx.page.count("target_crashes_total", &[], 1);
    cx.page
        .count("crashed_runs_total", &[], requests.len() as u64);
    let incarnation = match incarnation.started {
        Some(started) => format!("{}@{started}", incarnation.id).into(),
        None => incarnation.id.clone(),
    };
    quarantine::report(cx, Crash { incarnation, runs });
}

fn names(causes: &[Fingerprint]) -> String {
    let names: Vec<String> = causes.iter().map(Fingerprint::to_string).collect();
    names.join(" ")
}
