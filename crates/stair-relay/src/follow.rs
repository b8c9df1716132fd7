//! Replicates changes of the store from the entry of the data centre that watches it.
//!
//! The list of targets changes many times a second; one watch for each entry would load the store.
//!
//! Agents report the watcher: the entry with the least name in the data centre. A follower that receives
//! nothing in time watches by itself until it can follow again. A watcher serves followers only while the
//! store replies to its own calls in time.

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
    Target,
    msg::Peer,
    view::Listed, //
};
use stair_telemetry::event::Line;
use stair_types::{
    Era,
    StoreRevision, //
};
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
        self,
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

/// Limit for connecting to the watcher.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a message after which a watcher is no longer followed: three heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(750);

/// Interval of heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Pause before the watcher is followed again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(1000);

/// Time for which a watcher of an earlier release is not followed.
const RELEASE_PAUSE: Duration = Duration::from_secs(10);

/// Time beyond the duration of a watch within which the store has to reply to it.
const REPLY_SLACK: Duration = Duration::from_millis(300);

/// Time beyond [`REPLY_SLACK`] in which a busy process may not have read a reply.
const OVERDUE_SLACK: Duration = Duration::from_millis(1000);

/// Interval in which followers are sent the inventories of targets, which agents report directly.
const INVENTORY_INTERVAL: Duration = Duration::from_millis(4000);

/// Capacity of the queue of changes to one follower; a follower that misses changes starts again with the
/// whole list.
const QUEUE: usize = 64;

/// A part of the state that an entry watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watched {
    /// The catalogue that operators declare.
    Catalogue,
    /// The list of targets.
    Targets,
}

/// A change of the replicated state, published to the connections of followers.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// Another catalogue is in force.
    Catalogue,
    /// The whole list of targets was replaced.
    Whole,
    /// Changes of the list, and the store's revision up to which the list is then complete.
    Changes(Arc<[TargetChange]>, StoreRevision),
}

/// A message to a follower.
#[derive(Debug, Serialize, Deserialize)]
enum Update {
    Catalogue(Catalogue),
    Whole(Vec<Listed>, StoreRevision),
    Changes(Vec<TargetChange>, StoreRevision),
    /// A heartbeat without changes, and the era of the list.
    Alive(Era),
}

impl Update {
    fn targets(&self) -> Vec<&Target> {
        match self {
            Self::Catalogue(_) | Self::Alive(_) => Vec::new(),
            Self::Whole(list, _) => list.iter().map(|l| &l.target).collect(),
            Self::Changes(changes, _) => changes.iter().filter_map(TargetChange::put).collect(),
        }
    }

    fn targets_mut(&mut self) -> Vec<&mut Target> {
        match self {
            Self::Catalogue(_) | Self::Alive(_) => Vec::new(),
            Self::Whole(list, _) => list.iter_mut().map(|l| &mut l.target).collect(),
            Self::Changes(changes, _) => {
                let all = changes.iter_mut();
                all.filter_map(TargetChange::put_mut).collect()
            }
        }
    }

    /// The era of the list that the sender has, if the message states it.
    fn era(&self) -> Option<Era> {
        match self {
            Self::Catalogue(_) => None,
            Self::Whole(_, revision) | Self::Changes(_, revision) => Some(revision.era),
            Self::Alive(era) => Some(*era),
        }
    }
}

/// Whether this entry follows another one, and the changes for its own followers.
pub struct Follow {
    follows: watch::Sender<bool>,
    updates: broadcast::Sender<StateChange>,
    state: Mutex<State>,
}

struct State {
    /// The time by which the store's next reply is due, indexed by [`Watched`]; `None` after a failed call.
    reply_due: [Option<Instant>; 2],
    /// The last deferred change of each target that has not been sent.
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
    /// Whether this entry follows another one at present.
    pub fn follows(&self) -> bool {
        *self.follows.borrow()
    }

    /// Waits until this entry has to watch the store itself.
    pub async fn until_not_following(&self) {
        // The sender outlives this wait.
        let _ = self.follows.subscribe().wait_for(|f| !*f).await;
    }

    /// The duration of a watch: `followed` while other entries follow this one, otherwise `alone`.
    pub fn watch_duration(&self, alone: Duration, followed: Duration) -> Duration {
        match self.updates.receiver_count() {
            0 => alone,
            _ => followed,
        }
    }

    /// Records that the store's next reply is due within `within`: a watch has begun, or begins after a
    /// pause.
    pub fn expect_reply(&self, watched: Watched, within: Duration) {
        self.state().reply_due[watched as usize] = Some(Instant::now() + within + REPLY_SLACK);
    }

    /// Records that a call of the store has failed.
    pub fn record_failure(&self, watched: Watched) {
        self.state().reply_due[watched as usize] = None;
    }

    /// Publishes a change to followers.
    pub fn publish(&self, change: StateChange) {
        // An error means that there are no followers.
        let _ = self.updates.send(change);
    }

    /// Publishes the whole list. Deferred changes are older than it: sent later, one would undo what the list
    /// states about its target.
    pub fn replaced(&self) {
        self.state().deferred.clear();
        self.publish(StateChange::Whole);
    }

    /// Publishes changes to followers in order. Deferred changes are published at intervals of
    /// `INVENTORY_INTERVAL`.
    ///
    /// A deferred change is dropped when a later one arrives for its target. Sent after the later change, it
    /// would restore a target that has announced its shutdown, and requests sent there would be interrupted.
    pub fn changed(&self, changes: Vec<(TargetChange, Urgency)>, revision: StoreRevision) {
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

    /// Whether the catalogue is up to date here: the store or the watcher that is followed has replied in
    /// time.
    pub fn is_current(&self) -> bool {
        let due = self.state().reply_due[Watched::Catalogue as usize];
        self.follows() || due.is_some_and(|t| Instant::now() < t)
    }

    /// Whether the store is known to have been available: no call for the targets has failed since its last reply,
    /// nor is one overdue, or the watcher that is followed replies in time.
    pub fn store_is_available(&self) -> bool {
        let due = self.state().reply_due[Watched::Targets as usize];
        self.follows() || due.is_some_and(|t| Instant::now() < t + OVERDUE_SLACK)
    }

    /// Whether the last call of the store for the targets has failed, if this entry makes them itself.
    pub fn targets_are_failing(&self) -> bool {
        !self.follows() && self.state().reply_due[Watched::Targets as usize].is_none()
    }

    /// Whether other entries may follow this one: it watches by itself, and the store replies in time.
    fn is_authoritative(&self) -> bool {
        let now = Instant::now();
        let reply_due = self.state().reply_due;
        !self.follows() && reply_due.iter().all(|t| t.is_some_and(|t| now < t))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the entry that watches the store, until the process ends.
pub async fn keep(cx: Arc<Context>) {
    loop {
        if let Some(peer) = watcher(&cx) {
            let ended = receive(&cx, &peer).await;
            if cx.follow.follows.send_replace(false) {
                Line::failure("follow.ended")
                    .text("peer", &peer.entry)
                    .show("why", &ended)
                    .write();
            }
            if matches!(ended, Ended::NoVersions) {
                sleep(RELEASE_PAUSE).await;
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

/// Why a peer is no longer followed.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("cannot connect")]
    NotOpened,
    #[error("no message in time")]
    Silent,
    #[error("its state is of an earlier era")]
    Outdated,
    #[error("it states no versions of targets")]
    NoVersions,
    #[error(transparent)]
    Frame(#[from] frame::Error),
}

/// Applies the updates of a peer until the connection ends or is silent.
async fn receive(cx: &Arc<Context>, peer: &Peer) -> Ended {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.addr)).await else {
        return Ended::NotOpened;
    };
    let own = cx.replication_state();
    let request = PeerRequest::Follow(Versions {
        catalogue: own.catalogue,
        targets: own.targets,
    });
    if let Err(e) = frame::write_message(&mut stream, &request).await {
        return e.into();
    }
    loop {
        let read = timeout(SILENCE_TIMEOUT, frame::read_extended(&mut stream)).await;
        let (mut update, versions): (Update, change::Versions) = match read {
            Ok(Ok(both)) => both,
            Ok(Err(e)) => return e.into(),
            Err(_) => return Ended::Silent,
        };
        if !versions.apply(update.targets_mut()) {
            return Ended::NoVersions;
        }
        if let Some(era) = update.era() {
            replicate::observe_era(cx, era, &peer.entry);
            if era < cx.eras.newest() {
                return Ended::Outdated;
            }
        }
        match update {
            Update::Catalogue(catalogue) => replicate::apply_catalogue(cx, catalogue, &peer.entry),
            Update::Whole(list, revision) => {
                replicate::apply_peer_list(cx, list, revision, &peer.entry)
            }
            Update::Changes(changes, revision) => replicate::apply_changes(cx, changes, revision),
            Update::Alive(_) => {}
        }
        if !cx.follow.follows.send_replace(true) {
            Line::failure("follow").text("peer", &peer.entry).write();
        }
    }
}

/// Sends one follower the state that is newer than its own, and then all changes while this entry is
/// authoritative: it watches by itself, the store replies in time, and its list is of the newest era.
pub async fn serve(cx: &Context, known: &Versions, mut w: OwnedWriteHalf) {
    replicate::observe_era(cx, known.targets.era, "follower");
    let mut updates = cx.follow.updates.subscribe();
    let mut next = initial_updates(cx, known);
    loop {
        for update in next {
            if !is_authoritative(cx) || !write(&mut w, &update).await {
                return;
            }
        }
        next = match timeout(HEARTBEAT_INTERVAL, updates.recv()).await {
            Err(_) => vec![alive(cx)],
            Ok(Ok(StateChange::Catalogue)) => catalogue(cx, 0).into_iter().collect(),
            Ok(Ok(StateChange::Whole)) => vec![full_list(cx)],
            Ok(Ok(StateChange::Changes(changes, revision))) => {
                vec![Update::Changes(changes.to_vec(), revision)]
            }
            // The follower has missed changes; it reconnects and gets the whole list.
            Ok(Err(_)) => return,
        };
    }
}

fn initial_updates(cx: &Context, known: &Versions) -> Vec<Update> {
    let mut out: Vec<Update> = catalogue(cx, known.catalogue).into_iter().collect();
    if cx.state().view.revision > known.targets {
        out.push(full_list(cx));
    }
    out.push(alive(cx));
    out
}

fn is_authoritative(cx: &Context) -> bool {
    cx.follow.is_authoritative() && cx.state().view.revision.era == cx.eras.newest()
}

fn alive(cx: &Context) -> Update {
    Update::Alive(cx.state().view.revision.era)
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
    let versions = change::Versions::of(update.targets());
    let written = frame::write_extended(w, update, &versions);
    matches!(timeout(SILENCE_TIMEOUT, written).await, Ok(Ok(())))
}
