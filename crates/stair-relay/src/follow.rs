//! Replicates the store's changes from the one entry of the data centre that watches it.
//!
//! Load: many entries that would each watch a list which changes many times a second.
//!
//! Agents name the watcher: the entry with the least name in the data centre. A follower that receives nothing for
//! a while watches by itself until it can follow again. A watcher serves followers only while its own calls to the
//! store are answered in time.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use stair_fleet::{
    Catalogue,
    msg::Peer,
    view::Listed, //
};
use stair_telemetry::event::Line;
use stair_wire::frame;
use tokio::{
    net::{
        TcpStream,
        tcp::OwnedWriteHalf, //
    },
    sync::{
        broadcast,
        watch, //
    },
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use crate::{
    change::{
        TargetChange,
        Urgency, //
    },
    context::Context,
    peers::{
        PeerRequest, //
        Versions,
    },
    replicate,
};

/// Time to open a connection to the entry that watches.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a message after which a watcher is not followed any longer: three heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(750);

/// Pause between heartbeats while there is nothing to tell.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Pause before an entry is followed again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(1000);

/// Time beyond that of a watch within which the store has to answer it.
const REPLY_SLACK: Duration = Duration::from_millis(300);

/// Pause between reports of what targets hold, which their agents report at once.
const INVENTORY_INTERVAL: Duration = Duration::from_millis(4000);

/// Changes that wait for one follower; one that has missed some begins anew.
const QUEUE: usize = 64;

/// What an entry watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watched {
    /// What operators declare.
    Catalogue,
    /// The list of targets.
    Targets,
}

/// What has changed, for the connections of followers.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// Another catalogue is in force.
    Catalogue,
    /// The whole list of targets was replaced.
    Whole,
    /// Changes of the list, and the revision that it is complete up to.
    Changes(Arc<[TargetChange]>, u64),
}

/// What an entry tells those that follow it.
#[derive(Debug, Serialize, Deserialize)]
enum Update {
    Catalogue(Catalogue),
    Whole(Vec<Listed>, u64),
    Changes(Vec<TargetChange>, u64),
    /// Nothing is new.
    Alive,
}

/// Whether this entry follows another, and what it tells those that follow it.
pub struct Follow {
    follows: watch::Sender<bool>,
    updates: broadcast::Sender<StateChange>,
    state: Mutex<State>,
}

struct State {
    /// Until when the store's next word on each watched is on time; `None` after a call that failed.
    reply_due: [Option<Instant>; 2],
    /// The last words of what targets hold that have not been told, by id.
    deferred: Vec<TargetChange>,
    deferred_sent_at: Instant,
}

impl Default for Follow {
    fn default() -> Self {
        Self {
            follows: watch::Sender::new(false),
            updates: broadcast::Sender::new(QUEUE),
            state: Mutex::new(State {
                reply_due: [None; 2],
                deferred: Vec::new(),
                deferred_sent_at: Instant::now(),
            }),
        }
    }
}

impl Follow {
    /// Whether this entry hears the store's news from another one.
    pub fn follows(&self) -> bool {
        *self.follows.borrow()
    }

    /// Waits until this entry has to watch the store itself.
    pub async fn until_not_following(&self) {
        // The sender lives as long as this.
        let _ = self.follows.subscribe().wait_for(|f| !*f).await;
    }

    /// The time of a watch: another one while others follow.
    pub fn watch_duration(&self, alone: Duration, followed: Duration) -> Duration {
        match self.updates.receiver_count() {
            0 => alone,
            _ => followed,
        }
    }

    /// Notes that the store's next word on a watched is due within a time: a watch has begun, or will after a
    /// pause.
    pub fn expect_reply(&self, watched: Watched, within: Duration) {
        self.state().reply_due[watched as usize] = Some(Instant::now() + within + REPLY_SLACK);
    }

    /// Notes that a call for a watched has failed.
    pub fn record_failure(&self, watched: Watched) {
        self.state().reply_due[watched as usize] = None;
    }

    /// Tells followers.
    pub fn publish(&self, change: StateChange) {
        // Nobody follows when this fails.
        let _ = self.updates.send(change);
    }

    /// Tells followers of changes, in their order; the minor ones only now and then.
    ///
    /// A minor word that waits is dropped when a later one comes for its target. Told after that, it would
    /// bring back a target that has said that it leaves, and requests sent there would be cut.
    pub fn changed(&self, changes: Vec<(TargetChange, Urgency)>, revision: u64) {
        let mut state = self.state();
        if self.updates.receiver_count() == 0 {
            state.deferred.clear();
            return;
        }
        let mut update = Vec::new();
        for (change, urgency) in changes {
            state.deferred.retain(|c| c.id() != change.id());
            match urgency {
                Urgency::Immediate => update.push(change),
                Urgency::Deferred => state.deferred.push(change),
            }
        }
        if state.deferred_sent_at.elapsed() >= INVENTORY_INTERVAL {
            state.deferred_sent_at = Instant::now();
            update.append(&mut state.deferred);
        }
        drop(state);
        self.publish(StateChange::Changes(update.into(), revision));
    }

    /// Whether what operators declared lately is known here: the store's word on it, or that of the entry that
    /// is followed, is on time.
    pub fn is_current(&self) -> bool {
        let due = self.state().reply_due[Watched::Catalogue as usize];
        self.follows() || due.is_some_and(|t| Instant::now() < t)
    }

    /// Whether others may rely on what this entry knows.
    fn is_authoritative(&self) -> bool {
        let now = Instant::now();
        let reply_due = self.state().reply_due;
        !self.follows() && reply_due.iter().all(|t| t.is_some_and(|t| now < t))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the entry that watches the store, for as long as the process runs.
pub async fn keep(cx: Arc<Context>) {
    loop {
        if let Some(peer) = watcher(&cx) {
            let ended = receive(&cx, &peer).await;
            if cx.follow.follows.send_replace(false) {
                Line::failure("follow.ended")
                    .text("peer", &peer.entry)
                    .show("why", ended)
                    .write();
            }
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

fn watcher(cx: &Context) -> Option<Peer> {
    let state = cx.state();
    let (peers, _) = state.peers.as_ref()?;
    peers
        .watcher
        .clone()
        .filter(|p| p.entry != cx.settings.name)
}

/// Why a peer is not followed any longer.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("no connection")]
    NotOpened,
    #[error("no word in time")]
    Silent,
    #[error(transparent)]
    Frame(#[from] frame::Error),
}

/// Takes in what a peer tells, until it tells nothing more.
async fn receive(cx: &Arc<Context>, peer: &Peer) -> Ended {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.addr)).await else {
        return Ended::NotOpened;
    };
    let own = cx.replication_state();
    let question = PeerRequest::Follow(Versions {
        catalogue: own.catalogue,
        targets: own.targets,
    });
    if let Err(e) = frame::write_message(&mut stream, &question).await {
        return e.into();
    }
    loop {
        let update = match timeout(SILENCE_TIMEOUT, frame::read_message(&mut stream)).await {
            Ok(Ok(update)) => update,
            Ok(Err(e)) => return e.into(),
            Err(_) => return Ended::Silent,
        };
        match update {
            Update::Catalogue(catalogue) => replicate::apply_catalogue(cx, catalogue, &peer.entry),
            Update::Whole(list, revision) => {
                replicate::apply_listed(cx, list, revision, &peer.entry)
            }
            Update::Changes(changes, revision) => replicate::apply_changes(cx, changes, revision),
            Update::Alive => {}
        }
        if !cx.follow.follows.send_replace(true) {
            Line::failure("follow").text("peer", &peer.entry).write();
        }
    }
}

/// Tells one follower all that is newer than what it has, and then what is new, for as long as this entry
/// vouches for it.
pub async fn serve(cx: &Context, known: &Versions, mut w: OwnedWriteHalf) {
    let mut updates = cx.follow.updates.subscribe();
    let mut next = initial_updates(cx, known);
    loop {
        for update in next {
            if !cx.follow.is_authoritative() || !write(&mut w, &update).await {
                return;
            }
        }
        next = match timeout(HEARTBEAT_INTERVAL, updates.recv()).await {
            Err(_) => vec![Update::Alive],
            Ok(Ok(StateChange::Catalogue)) => catalogue(cx, 0).into_iter().collect(),
            Ok(Ok(StateChange::Whole)) => vec![full_list(cx)],
            Ok(Ok(StateChange::Changes(changes, revision))) => {
                vec![Update::Changes(changes.to_vec(), revision)]
            }
            // It has missed some, and begins anew.
            Ok(Err(_)) => return,
        };
    }
}

fn initial_updates(cx: &Context, known: &Versions) -> Vec<Update> {
    let mut out: Vec<Update> = catalogue(cx, known.catalogue).into_iter().collect();
    if cx.state().view.revision > known.targets {
        out.push(full_list(cx));
    }
    out.push(Update::Alive);
    out
}

fn catalogue(cx: &Context, known: u64) -> Option<Update> {
    let state = cx.state();
    let newer = state.catalogue.as_ref().filter(|c| c.version > known)?;
    Some(Update::Catalogue((**newer).clone()))
}

fn full_list(cx: &Context) -> Update {
    let state = cx.state();
    Update::Whole(state.view.list(cx.now()), state.view.revision)
}

async fn write(w: &mut OwnedWriteHalf, update: &Update) -> bool {
    matches!(
        timeout(SILENCE_TIMEOUT, frame::write_message(w, update)).await,
        Ok(Ok(()))
    )
}
