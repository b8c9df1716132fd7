//! Streams to the agents that keep the ledgers of crashes.
//!
//! All entries choose the same agents, as far as they know the same targets and can reach them.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::quarantine::choose_ledgers;
use stair_link::{
    Dialer,
    link::Probing, //
};
use stair_telemetry::{
    Part,
    debug, //
};
use stair_types::{
    FencingToken,
    TargetName, //
};
use stair_wire::{
    frame,
    request::ToAgent, //
};
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    task::{
        AbortHandle,
        JoinSet, //
    },
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    TargetView,
    View, //
};

use super::quarantine::Quarantine;

/// Interval in which the agents are chosen again.
const CHOICE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an agent whose stream ended is not chosen.
const AVOID_DURATION: Duration = Duration::from_secs(5);

/// Messages that may wait for a stream.
const MAX_QUEUED: usize = 1024;

/// The streams of this entry.
struct Links {
    quarantine: Arc<Quarantine>,
    dialer: Dialer,
    open: Vec<OpenLink>,
    avoided: Vec<(TargetName, Instant)>,
    tasks: JoinSet<TargetName>,
}

struct OpenLink {
    target: TargetName,
    /// The agent's incarnation.
    token: FencingToken,
    task: AbortHandle,
}

/// Maintains the streams until it is dropped.
pub(super) async fn run(
    quarantine: Arc<Quarantine>,
    dialer: Dialer,
    mut view: watch::Receiver<Arc<View>>,
) {
    let mut links = Links {
        quarantine,
        dialer,
        open: Vec::new(),
        avoided: Vec::new(),
        tasks: JoinSet::new(),
    };
    loop {
        let current = view.borrow_and_update().clone();
        links.update(&current);
        // The view may change many times a second, and the first one decides when links can begin.
        tokio::select! {
            () = sleep(CHOICE_INTERVAL) => {}
            Some(ended) = links.tasks.join_next() => links.remove(ended.ok()),
            changed = view.changed(), if links.open.is_empty() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

impl Links {
    /// Opens the streams to the chosen agents, and closes those to others.
    fn update(&mut self, view: &View) {
        self.avoided
            .retain(|(_, since)| since.elapsed() < AVOID_DURATION);
        let avoided = |name: &TargetName| self.avoided.iter().any(|(n, _)| n == name);
        let candidates: Vec<_> = view
            .targets
            .iter()
            .filter(|t| !t.leaving && !avoided(&t.name))
            .collect();
        let chosen = choose_ledgers(candidates.iter().map(|t| t.name.as_str()));
        let chosen: Vec<_> = chosen.into_iter().map(|i| candidates[i]).collect();
        self.open.retain(|l| {
            let keep = chosen
                .iter()
                .any(|t| t.name == l.target && t.token == l.token);
            if !keep {
                l.task.abort();
            }
            keep
        });
        for target in chosen {
            if self.open.iter().any(|l| l.target == target.name) {
                continue;
            }
            let stream = serve(self.quarantine.clone(), self.dialer.clone(), target.clone());
            self.open.push(OpenLink {
                target: target.name.clone(),
                token: target.token,
                task: self.tasks.spawn(stream),
            });
        }
    }

    /// Removes a stream that ended; `None` if it was closed here.
    fn remove(&mut self, ended: Option<TargetName>) {
        if let Some(name) = ended {
            self.open.retain(|l| l.target != name);
            self.avoided.push((name, Instant::now()));
        }
    }
}

/// Serves the stream to one agent until it ends, and returns the agent's target.
async fn serve(quarantine: Arc<Quarantine>, dialer: Dialer, target: TargetView) -> TargetName {
    let name = target.name.clone();
    if let Err(e) = exchange(&quarantine, &dialer, target).await {
        debug!(Part::Links, "the stream to the ledger of {name} ended: {e}");
    }
    name
}

/// Ends the link of the quarantine when dropped, also when the stream is aborted.
struct LinkGuard<'a> {
    quarantine: &'a Quarantine,
    id: super::quarantine::LinkId,
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.quarantine.link_ended(self.id);
    }
}

async fn exchange(
    quarantine: &Quarantine,
    dialer: &Dialer,
    target: TargetView,
) -> anyhow::Result<()> {
    // Apart from the links that carry requests, which are probed more often than this one needs.
    let link = dialer.connect(target.link, Probing::CONTROL).await?;
    let _in_use = link.use_it();
    let (mut tx, mut rx) = link.open().await?;
    frame::write_message(&mut tx, &ToAgent::Ledger).await?;
    let (queue, mut messages) = mpsc::channel(MAX_QUEUED);
    // The agent sends what it knows first; one of an older build ends the stream instead.
    let (first, features) = frame::read_extended(&mut rx).await?;
    let id = quarantine.link_began(target.name, target.token, features, queue);
    let _guard = LinkGuard { quarantine, id };
    quarantine.receive(id, first);
    let reading = async {
        loop {
            let msg = frame::read_message(&mut rx).await?;
            quarantine.receive(id, msg);
        }
    };
    let writing = async {
        while let Some(msg) = messages.recv().await {
            frame::write_message(&mut tx, &msg).await?;
        }
        Ok(())
    };
    tokio::select! {
        result = reading => result,
        result = writing => result,
    }
}
