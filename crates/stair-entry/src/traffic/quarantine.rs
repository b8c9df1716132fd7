//! Withholds requests that end the targets that run them.
//!
//! A few agents keep ledgers of crashes ([`ledger_links`](super::ledger_links)), and report the
//! standings of requests to all entries. While no agent is linked, an entry keeps a ledger of its own.
//! [`quarantine`](stair_fleet::quarantine) defines the decisions.
//!
//! Invariants: a request that is quarantined here is not offered to a target, and the verdict in its
//! refusal is true.

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
use stair_fleet::quarantine::{
    Crash,
    Ledger,
    Notice,
    REPLY_TIMEOUT,
    Run,
    SETTLE_DELAYS,
    SKIP_DURATION,
    Standing,
    TRIAL_RETRY_INTERVAL,
    TRIAL_WAIT,
    ToLedger,
    ToWatchlist,
    Watchlist,
    choose_ledgers, //
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

/// What an entry knows of requests that end targets.
pub(super) struct Quarantine {
    started: Instant,
    metrics: Metrics,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    watchlist: Watchlist,
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
    skipped_until: Duration,
}

/// Identifies the stream to a ledger within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LinkId(u64);

struct PendingTrial {
    seq: u64,
    link: LinkId,
    tx: oneshot::Sender<bool>,
}

/// The run of a suspect; the trial ends when this is dropped.
pub(super) struct Trial {
    quarantine: Arc<Quarantine>,
    fingerprint: Fingerprint,
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

/// A request that is watched, in the state dump.
#[derive(Debug, Serialize)]
pub(super) struct Watched {
    fingerprint: Box<str>,
    standing: Standing,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.quarantine.now();
        let mut state = self.quarantine.lock();
        match self.link {
            Some(link) => state.send(link, ToLedger::TrialEnded(self.fingerprint)),
            None => state.own.end_trial(self.fingerprint, now),
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
        match self.standing(req) {
            Some(Standing::Quarantined(left)) => Err(refusal(left)),
            Some(Standing::Suspect | Standing::Cleared) | None => Ok(()),
        }
    }

    /// Waits for a short time until the request may be offered to a target. A suspect needs the
    /// permission of a ledger.
    pub(super) async fn permit(self: &Arc<Self>, req: &Request, target: &TargetName) -> Permit {
        let begun = Instant::now();
        loop {
            match self.standing(req) {
                None | Some(Standing::Cleared) => return Permit::Granted(None),
                Some(Standing::Quarantined(left)) => return Permit::Quarantined(refusal(left)),
                Some(Standing::Suspect) => {}
            }
            if let Some(trial) = self.request_trial(req, target).await {
                return Permit::Granted(Some(trial));
            }
            if begun.elapsed() + TRIAL_RETRY_INTERVAL >= TRIAL_WAIT {
                return Permit::Busy;
            }
            sleep(TRIAL_RETRY_INTERVAL).await;
        }
    }

    /// The standing of a request; `None` for an ordinary one.
    fn standing(&self, req: &Request) -> Option<Standing> {
        if self.lock().watchlist.is_empty() {
            return None;
        }
        let contents = contents(req);
        let outline = contents.outline();
        if !self.lock().watchlist.has_outline(outline) {
            return None;
        }
        // Computed without the lock, as its time grows with the body.
        let fingerprint = contents.fingerprint();
        let now = self.now();
        self.lock().watchlist.standing(&fingerprint, now)
    }

    async fn request_trial(self: &Arc<Self>, req: &Request, target: &TargetName) -> Option<Trial> {
        let fingerprint = fingerprint(req);
        let (granted, link) = match self.query_ledger(fingerprint, target).await {
            Some((granted, link)) => (granted, Some(link)),
            None => {
                let now = self.now();
                let own = &mut self.lock().own;
                (own.begin_trial(fingerprint, target.as_str(), 0, now), None)
            }
        };
        let id = req.id;
        info!(
            Part::Dispatch,
            "the trial of request {id} with fingerprint {fingerprint} at {target} is granted: {granted}"
        );
        granted.then(|| Trial {
            quarantine: self.clone(),
            fingerprint,
            link,
        })
    }

    /// Requests a trial from the first ledger; `None` when there is none or it does not reply.
    async fn query_ledger(
        &self,
        fingerprint: Fingerprint,
        target: &TargetName,
    ) -> Option<(bool, LinkId)> {
        let (link, rx) = {
            let now = self.now();
            let mut state = self.lock();
            let link = *state.ledgers(now).first()?;
            let seq = state.next_id();
            let (tx, rx) = oneshot::channel();
            state.pending.push(PendingTrial { seq, link, tx });
            let msg = ToLedger::Trial {
                seq,
                fingerprint,
                target: target.as_str().into(),
            };
            state.send(link, msg);
            (link, rx)
        };
        if let Ok(Ok(granted)) = timeout(REPLY_TIMEOUT, rx).await {
            return Some((granted, link));
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

    /// Reports a request that was running on a target when it crashed.
    pub(super) fn report(self: &Arc<Self>, id: RequestId, incarnation: Box<str>, run: Run) {
        let fingerprint = run.fingerprint;
        warn!(
            Part::Dispatch,
            "{incarnation} crashed while it ran request {id} with fingerprint {fingerprint}, \
             established: {}, on trial: {}",
            run.established,
            run.on_trial
        );
        self.metrics.crashed_run();
        let crash = Crash {
            incarnation,
            runs: vec![run],
        };
        let now = self.now();
        let mut state = self.lock();
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
        if self.standing(req).is_none() {
            return;
        }
        let fingerprint = fingerprint(req);
        info!(
            Part::Dispatch,
            "request {} with fingerprint {fingerprint} was completed", req.id
        );
        let now = self.now();
        let mut state = self.lock();
        state.watchlist.remove(&fingerprint);
        state.own.survived(fingerprint);
        for link in state.ledgers(now) {
            state.send(link, ToLedger::Survived(fingerprint));
        }
    }

    /// Handles a message of a ledger.
    pub(super) fn receive(&self, link: LinkId, msg: ToWatchlist) {
        match msg {
            ToWatchlist::Known(notices) => self.apply(&notices),
            ToWatchlist::Trial { seq, granted } => {
                let pending = &mut self.lock().pending;
                let found = pending.iter().position(|p| p.link == link && p.seq == seq);
                // The request that waited may have been dropped.
                found.map(|i| pending.swap_remove(i).tx.send(granted));
            }
        }
    }

    /// Adds the stream to a ledger, and sends it what is known here.
    pub(super) fn link_began(
        &self,
        target: TargetName,
        token: FencingToken,
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
        for notice in notices {
            if state.watchlist.apply(notice, now) {
                let (fingerprint, standing) = (notice.fingerprint, notice.standing);
                warn!(Part::Dispatch, "request {fingerprint} is now {standing:?}");
            }
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
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

pub(super) fn fingerprint(req: &Request) -> Fingerprint {
    contents(req).fingerprint()
}
