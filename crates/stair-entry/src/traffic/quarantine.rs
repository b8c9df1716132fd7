//! Withholds requests that end the targets that run them, by themselves or by a part of their
//! prompts.
//!
//! A few agents keep ledgers of crashes ([`ledger_links`](super::ledger_links)), and report the
//! standings of requests to all entries. While no agent is linked, an entry keeps a ledger of its own.
//! [`quarantine`](stair_fleet::quarantine) defines the decisions.
//!
//! Invariants: a request with a cause that is quarantined here is not offered to a target, and the
//! verdict in its refusal is true.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::Serialize;
use stair_fleet::{
    msg::Features,
    quarantine::{
        Assessment,
        Crash,
        Ledger,
        Notice,
        REPLY_TIMEOUT,
        Run,
        SETTLE_DELAYS,
        SKIP_DURATION,
        Standing,
        Survivals,
        TRIAL_RETRY_INTERVAL,
        TRIAL_WAIT,
        ToLedger,
        ToWatchlist,
        TrialReply,
        Watchlist,
        choose_ledgers,
        interrupted, //
    },
};
use stair_telemetry::{
    Metrics,
    Part,
    info,
    warn, //
};
use stair_types::{
    FencingToken,
    Fingerprint,
    Reason,
    Refusal,
    RequestId,
    TargetName,
    fingerprint::Contents, //
};
use stair_wire::request::Work;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout, //
    },
};

use super::{
    refuse::millis,
    request::Request, //
};

/// What an entry knows of what ends targets.
pub(super) struct Quarantine {
    started: Instant,
    metrics: Metrics,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    watchlist: Watchlist,
    survivals: Survivals,
    /// This entry's own ledger, used while no agent is linked.
    own: Ledger,
    links: Vec<LedgerLink>,
    /// Requests for a trial that wait for a reply.
    pending: Vec<PendingTrial>,
    next_id: u64,
}

/// The stream to an agent that keeps a ledger.
struct LedgerLink {
    id: LinkId,
    target: TargetName,
    /// The agent's incarnation.
    token: FencingToken,
    tx: mpsc::Sender<ToLedger>,
    features: Features,
    skipped_until: Duration,
}

/// Identifies the stream to a ledger within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LinkId(u64);

struct PendingTrial {
    seq: u64,
    link: LinkId,
    tx: oneshot::Sender<TrialReply>,
}

/// The run of a request with suspects; the trial ends when this is dropped.
pub(super) struct Trial {
    quarantine: Arc<Quarantine>,
    /// The suspects.
    causes: Vec<Fingerprint>,
    /// The ledger that granted the trial; `None` for this entry's own.
    link: Option<LinkId>,
}

/// Whether a request may be offered to a target now.
pub(super) enum Permit {
    /// The request may be offered. For a suspect, the trial counts until it is dropped.
    Granted(Option<Trial>),
    /// The request is a suspect, and another trial has to end before its own can begin.
    Busy,
    /// The request is quarantined.
    Quarantined(Refusal),
}

/// A cause that is watched, in the state dump.
#[derive(Debug, Serialize)]
pub(super) struct Watched {
    fingerprint: Box<str>,
    standing: Standing,
}

impl Trial {
    /// The suspects that are on trial.
    pub(super) fn causes(&self) -> &[Fingerprint] {
        &self.causes
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        // Each suspect is in one trial only, so that one of them tells which.
        let Some(cause) = self.causes.first().copied() else {
            return;
        };
        let now = self.quarantine.now();
        let mut state = self.quarantine.lock();
        match self.link {
            Some(link) => state.send(link, ToLedger::TrialEnded(cause)),
            None => state.own.end_trial(cause, now),
        }
    }
}

impl Quarantine {
    pub(super) fn new(metrics: Metrics) -> Self {
        Self {
            started: Instant::now(),
            metrics,
            state: Mutex::default(),
        }
    }

    /// Refuses a request that is quarantined.
    ///
    /// # Errors
    ///
    /// The refusal, with the remaining time as the retry time.
    pub(super) fn admit(&self, req: &Request) -> Result<(), Refusal> {
        match self.assess(req) {
            Assessment::Quarantined { left, .. } => Err(refusal(left)),
            Assessment::Suspect(_) | Assessment::Ordinary => Ok(()),
        }
    }

    /// Waits for a short time until the request may be offered to a target. One with suspects needs the
    /// permission of a ledger.
    pub(super) async fn permit(self: &Arc<Self>, req: &Request, target: &TargetName) -> Permit {
        let begun = Instant::now();
        loop {
            let causes = match self.assess(req) {
                Assessment::Ordinary => return Permit::Granted(None),
                Assessment::Quarantined { left, .. } => return Permit::Quarantined(refusal(left)),
                Assessment::Suspect(causes) => causes,
            };
            match self.request_trial(req, &causes, target).await {
                (TrialReply::Granted, link) => {
                    let quarantine = self.clone();
                    return Permit::Granted(Some(Trial {
                        quarantine,
                        causes,
                        link,
                    }));
                }
                (TrialReply::Quarantined { left, .. }, _) => {
                    return Permit::Quarantined(refusal(left));
                }
                (TrialReply::Busy, _) => {}
            }
            if begun.elapsed() + TRIAL_RETRY_INTERVAL >= TRIAL_WAIT {
                return Permit::Busy;
            }
            sleep(TRIAL_RETRY_INTERVAL).await;
        }
    }

    fn assess(&self, req: &Request) -> Assessment {
        if self.lock().watchlist.is_empty() {
            return Assessment::Ordinary;
        }
        let request = self.watched_request(req);
        let now = self.now();
        self.lock().watchlist.assess(request, req.parts(), now)
    }

    /// The request's fingerprint, if a request with its outline is watched. It is computed without the
    /// lock, as its time grows with the body.
    fn watched_request(&self, req: &Request) -> Option<Fingerprint> {
        let contents = contents(req);
        let is_watched = self.lock().watchlist.has_outline(contents.outline());
        is_watched.then(|| contents.fingerprint())
    }

    /// Requests a trial from a ledger, this entry's own if no other one replies.
    async fn request_trial(
        &self,
        req: &Request,
        causes: &[Fingerprint],
        target: &TargetName,
    ) -> (TrialReply, Option<LinkId>) {
        let (reply, link) = match self.query_ledger(causes, target).await {
            Some((reply, link)) => (reply, Some(link)),
            None => {
                let now = self.now();
                let own = &mut self.lock().own;
                (own.begin_trial(causes, target.as_str(), 0, now), None)
            }
        };
        let id = req.id;
        info!(
            Part::Dispatch,
            "the trial of request {id} with {causes:?} at {target}: {reply:?}"
        );
        (reply, link)
    }

    /// Requests a trial from the first ledger; `None` when there is none or it does not reply.
    async fn query_ledger(
        &self,
        causes: &[Fingerprint],
        target: &TargetName,
    ) -> Option<(TrialReply, LinkId)> {
        let (link, rx) = {
            let now = self.now();
            let mut state = self.lock();
            let link = *state.ledgers(now).first()?;
            let seq = state.next_id();
            let (tx, rx) = oneshot::channel();
            state.pending.push(PendingTrial { seq, link, tx });
            let features = state.features_of(link);
            let msg = ToLedger::trial(features, seq, causes, target.as_str().into());
            state.send(link, msg);
            (link, rx)
        };
        if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, rx).await {
            return Some((reply, link));
        }
        let until = self.now() + SKIP_DURATION;
        let mut state = self.lock();
        state.pending.retain(|p| !p.tx.is_closed());
        if let Some(link) = state.links.iter_mut().find(|l| l.id == link) {
            warn!(Part::Links, "the ledger of {} does not reply", link.target);
            link.skipped_until = until;
        }
        None
    }

    /// Reports the causes of a request that was running on a target when it crashed.
    pub(super) fn report(self: &Arc<Self>, id: RequestId, incarnation: Box<str>, runs: Vec<Run>) {
        let causes: Vec<_> = runs.iter().map(|r| r.fingerprint).collect();
        let established = runs.iter().all(|r| r.established);
        let on_trial = runs.iter().any(|r| r.on_trial);
        warn!(
            Part::Dispatch,
            "{incarnation} crashed while it ran request {id} with {causes:?}, \
             established: {established}, on trial: {on_trial}"
        );
        self.metrics.crashed_run();
        let crash = Crash { incarnation, runs };
        let now = self.now();
        let mut state = self.lock();
        state.survivals.activate(now);
        let ledgers = state.ledgers(now);
        for link in &ledgers {
            state.send(*link, ToLedger::Crashed(crash.clone()));
        }
        if !ledgers.is_empty() {
            return;
        }
        state.own.report(&crash, now);
        drop(state);
        let own = self.clone();
        tokio::spawn(async move {
            let reported = Instant::now();
            for delay in SETTLE_DELAYS {
                sleep_until(reported + delay).await;
                let now = own.now();
                let notices = own.lock().own.settle(now);
                own.apply(&notices);
            }
        });
    }

    /// Records that a target completed the request and is still running.
    pub(super) fn survived(&self, req: &Request) {
        let now = self.now();
        if !self.lock().records_next(now) {
            return;
        }
        let parts = req.parts().as_slice();
        self.lock().survivals.record(parts, now);
        let request = self.watched_request(req);
        let causes = request.iter().chain(req.parts().as_slice());
        let mut state = self.lock();
        for cause in state.watchlist.watched(causes) {
            info!(
                Part::Dispatch,
                "request {} with {cause} was completed", req.id
            );
            state.watchlist.remove(&cause);
            state.own.survived(cause, now);
            for link in state.ledgers(now) {
                state.send(link, ToLedger::Survived(cause));
            }
        }
    }

    /// Handles a message of a ledger.
    pub(super) fn receive(&self, link: LinkId, msg: ToWatchlist) {
        let (seq, reply) = match msg {
            ToWatchlist::Known(notices) => return self.apply(&notices),
            ToWatchlist::Trial { seq, granted: true } => (seq, TrialReply::Granted),
            ToWatchlist::Trial {
                seq,
                granted: false,
            } => (seq, TrialReply::Busy),
            ToWatchlist::TrialReply { seq, reply } => (seq, reply),
        };
        let pending = &mut self.lock().pending;
        let found = pending.iter().position(|p| p.link == link && p.seq == seq);
        // The request that waited may have been dropped.
        found.map(|i| pending.swap_remove(i).tx.send(reply));
    }

    /// Adds the stream to a ledger, and sends it what is known here.
    pub(super) fn link_began(
        &self,
        target: TargetName,
        token: FencingToken,
        features: Features,
        tx: mpsc::Sender<ToLedger>,
    ) -> LinkId {
        let now = self.now();
        let mut state = self.lock();
        let known = state.watchlist.notices(now);
        if !known.is_empty() {
            // The channel is empty.
            let _ = tx.try_send(ToLedger::Known(known));
        }
        let id = LinkId(state.next_id());
        state.links.push(LedgerLink {
            id,
            target,
            token,
            tx,
            features,
            skipped_until: Duration::ZERO,
        });
        id
    }

    pub(super) fn link_ended(&self, id: LinkId) {
        let mut state = self.lock();
        state.links.retain(|l| l.id != id);
        state.pending.retain(|p| p.link != id);
    }

    /// Returns the watched requests, for the state dump.
    pub(super) fn watched(&self) -> Vec<Watched> {
        let notices = self.lock().watchlist.notices(self.now());
        let watched = |n: Notice| Watched {
            fingerprint: n.fingerprint.to_string().into(),
            standing: n.standing,
        };
        notices.into_iter().map(watched).collect()
    }

    /// Returns the targets and incarnations of the agents whose ledgers are linked, for the state dump.
    pub(super) fn ledgers(&self) -> Vec<Box<str>> {
        let state = self.lock();
        let name = |l: &LedgerLink| format!("{}@{}", l.target, l.token).into();
        state.links.iter().map(name).collect()
    }

    fn apply(&self, notices: &[Notice]) {
        let now = self.now();
        let mut state = self.lock();
        let mut suspects = Vec::new();
        for notice in notices {
            if state.watchlist.apply(notice, now) {
                let (cause, standing) = (notice.fingerprint, notice.standing);
                warn!(Part::Dispatch, "{cause} is now {standing:?}");
                if standing == Standing::Suspect {
                    suspects.push(cause);
                }
            }
        }
        if !state.watchlist.is_empty() {
            state.survivals.activate(now);
        }
        state.report_survivals(&suspects, now);
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether the next request that survives is to be recorded.
    fn records_next(&mut self, now: Duration) -> bool {
        self.survivals.take_turn(now) || !self.watchlist.is_empty()
    }

    /// The ledgers in use, in the common order of all entries.
    fn ledgers(&self, now: Duration) -> Vec<LinkId> {
        let available: Vec<_> = self
            .links
            .iter()
            .filter(|l| l.skipped_until <= now)
            .collect();
        let chosen = choose_ledgers(available.iter().map(|l| l.target.as_str()));
        chosen.into_iter().map(|i| available[i].id).collect()
    }

    /// Reports when new suspects last survived a run here, which tells the parts of ordinary requests
    /// from the one that ends targets.
    fn report_survivals(&mut self, suspects: &[Fingerprint], now: Duration) {
        let list = self.survivals.of(suspects, now);
        if list.is_empty() {
            return;
        }
        for (cause, age) in &list {
            if self.own.survived_before(*cause, *age, now) {
                self.watchlist.remove(cause);
            }
        }
        for link in self.ledgers(now) {
            if self.features_of(link).causes {
                self.send(link, ToLedger::SurvivedBefore(list.clone()));
            }
        }
    }

    fn features_of(&self, id: LinkId) -> Features {
        let found = self.links.iter().find(|l| l.id == id);
        found.map_or(Features::default(), |l| l.features)
    }

    fn send(&self, id: LinkId, msg: ToLedger) {
        if let Some(link) = self.links.iter().find(|l| l.id == id) {
            // A full queue may drop the message; other ledgers get it too.
            let _ = link.tx.try_send(msg);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

fn refusal(left: Duration) -> Refusal {
    let message = "targets crashed each time they ran this request";
    Refusal::not_run(Reason::Quarantined, millis(left).max(1), message)
}

fn contents(req: &Request) -> Contents<'_> {
    let service = match &req.work {
        Work::Model { .. } => "",
        Work::Service { service } => service.as_str(),
    };
    Contents {
        workspace: Some(req.caller.as_str()),
        method: &req.method,
        host: service.as_bytes(),
        path: &req.path,
        body: &req.body,
    }
}

/// The causes of a run of the request that was interrupted, of which `on_trial` were on trial.
pub(super) fn interrupted_runs(
    req: &Request,
    established: bool,
    on_trial: &[Fingerprint],
) -> Vec<Run> {
    let request = contents(req).fingerprint();
    interrupted(request, req.parts(), established, on_trial)
}
