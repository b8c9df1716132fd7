//! Finds out which requests were running on a target when it crashed.
//!
//! After a run without a complete response the agent reports whether its target crashed. If the agent
//! itself ended, the view shows that it was replaced or is gone.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::quarantine::ESTABLISHED_DURATION;
use stair_link::RecvStream;
use stair_types::{
    FencingToken,
    TargetName, //
};
use stair_wire::{
    frame,
    request::FromAgent, //
};
use tokio::{
    sync::watch,
    time::{
        Instant,
        timeout, //
    },
};

use crate::View;

use super::{
    Cx,
    choose::Chosen,
    quarantine::{
        Quarantine,
        Trial,
        interrupted_runs, //
    },
    request::Request,
};

/// Limit for the agent's report: its own watch of the target, and the time in which a silent link is
/// detected.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3000);

/// Time after a link was lost in which its agent may be found to have ended.
const REPLACED_WINDOW: Duration = Duration::from_secs(6);

/// A run of a request at one target.
pub(super) struct TrackedRun {
    quarantine: Arc<Quarantine>,
    view: watch::Receiver<Arc<View>>,
    req: Arc<Request>,
    target: TargetName,
    trial: Option<Trial>,
    /// The agent's incarnation.
    token: FencingToken,
    /// Whether the agent may have started the request.
    started: bool,
    /// When the response began.
    begun: Option<Instant>,
}

impl TrackedRun {
    pub(super) fn new<S>(
        cx: &Cx<S>,
        req: Arc<Request>,
        target: &Chosen,
        trial: Option<Trial>,
    ) -> Self {
        Self {
            quarantine: cx.quarantine.clone(),
            view: cx.view.clone(),
            req,
            target: target.name.clone(),
            trial,
            token: target.token,
            started: false,
            begun: None,
        }
    }

    /// Records the agent's incarnation that queued the request.
    pub(super) fn set_token(&mut self, token: FencingToken) {
        self.token = token;
    }

    /// Records that the agent may start the request from now on.
    pub(super) fn start(&mut self) {
        self.started = true;
    }

    /// Records that the response has begun.
    pub(super) fn begin_response(&mut self) {
        self.begun.get_or_insert_with(Instant::now);
    }

    /// Waits until it is known whether the target crashed, and reports the crash.
    pub(super) async fn follow_up(self, mut rx: RecvStream, link_lost: bool) {
        if !self.started {
            return;
        }
        let established = self
            .begun
            .is_some_and(|t| t.elapsed() >= ESTABLISHED_DURATION);
        let Self {
            quarantine,
            view,
            req,
            target,
            // The trial lasts until the crash is reported.
            trial,
            token,
            ..
        } = self;
        let id = req.id;
        let on_trial = trial.as_ref().map_or(&[][..], Trial::causes);
        let runs = interrupted_runs(&req, established, on_trial);
        // The body is not kept while the target is watched.
        drop(req);
        let crash = match timeout(REPORT_TIMEOUT, read_crash(&mut rx)).await {
            Ok(Aftermath::Crashed { crash }) => Some(Some(crash)),
            Ok(Aftermath::Survived) if !link_lost => None,
            Ok(_) | Err(_) => is_lost(view, &target, token).await.then_some(None),
        };
        let Some(crash) = crash else {
            return;
        };
        let incarnation = match crash {
            Some(n) => format!("{target}@{token}/{n}"),
            None => format!("{target}@{token}"),
        };
        quarantine.report(id, incarnation.into(), runs);
    }
}

/// Waits until the view shows that the agent was replaced, or that its target is gone. Returns false
/// when it shows neither in time, or that the target is leaving.
async fn is_lost(
    mut view: watch::Receiver<Arc<View>>,
    target: &TargetName,
    token: FencingToken,
) -> bool {
    let ending = |view: &Arc<View>| {
        let at = view.targets.binary_search_by(|t| t.name.cmp(target));
        at.map_or(true, |i| {
            view.targets[i].leaving || view.targets[i].token > token
        })
    };
    match timeout(REPLACED_WINDOW, view.wait_for(ending)).await {
        Ok(Ok(view)) => {
            let at = view.targets.binary_search_by(|t| t.name.cmp(target));
            at.map_or(true, |i| view.targets[i].token > token)
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Whether the target survived a run.
enum Aftermath {
    Survived,
    Crashed { crash: u64 },
    Unknown,
}

/// Reads the rest of an agent's messages about a run.
async fn read_crash(rx: &mut RecvStream) -> Aftermath {
    loop {
        match frame::read(rx).await {
            Ok(frame::Frame::Message(FromAgent::Crashed { crash })) => {
                return Aftermath::Crashed { crash };
            }
            Ok(frame::Frame::Message(FromAgent::End { .. })) => return Aftermath::Survived,
            Ok(_) => {}
            Err(frame::Error::Io(e)) if e.kind() == std::io::ErrorKind::UnexpectedEof => {
                return Aftermath::Survived;
            }
            Err(_) => return Aftermath::Unknown,
        }
    }
}
