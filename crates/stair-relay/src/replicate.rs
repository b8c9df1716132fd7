//! Replicates the catalogue and the list of targets from the store.
//!
//! One entry of a data centre watches the store, and the others [`follow`](crate::follow) it. An entry that
//! receives nothing watches by itself.
//!
//! Invariant: versions only rise; an older reply of a stale store or a lagging peer changes nothing. A newer
//! era is newer at any revision: when one is known, from whatever source, both parts are listed again.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform_adapter::{
    catalogue,
    store::{
        Change,
        Object,
        Store, //
    },
    target,
    workspace, //
};
use stair_fleet::{
    Catalogue, Target,
    target::Incarnation,
    view::{
        Listed,
        MISSING_GRACE, //
    },
};
use stair_platform::Error;
use stair_telemetry::event::Line;
use stair_types::{
    Era,
    StoreRevision, //
};
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    change::{
        self,
        TargetChange,
        Urgency, //
    },
    context::{
        Context,
        State, //
    },
    follow::{
        StateChange,
        Watched, //
    }, //
    list,
};

/// Duration of a watch. A dead connection shows only when a watch does not end in time, so this bounds the
/// age of the state. Shorter watches cost more, since each call is charged.
const WATCH_DURATION: Duration = Duration::from_millis(1200);

/// Duration of a watch of the targets at an entry that others follow.
const FOLLOWED_TARGETS_DURATION: Duration = Duration::from_millis(500);

/// Duration of a watch of the catalogue at an entry that others follow. It is longer, since no pause follows
/// a change of the catalogue.
const FOLLOWED_CATALOGUE_DURATION: Duration = Duration::from_millis(1000);

/// Time from a failed call to the next one, doubled after each further one, and the shortest pause between them.
/// Rejected calls are charged too.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause for the catalogue: changes are due within 2 s after the store is back.
const MAX_CATALOGUE_PAUSE: Duration = Duration::from_millis(1200);

/// Longest pause for the catalogue while calls for the targets fail too. The first of them that succeeds ends it.
const MAX_OUTAGE_PAUSE: Duration = Duration::from_millis(2400);

/// Longest pause for the targets. A target that has left meanwhile is used for this time and [`MISSING_GRACE`].
const MAX_TARGETS_PAUSE: Duration = Duration::from_millis(900);

/// Pause after a watch of the targets that returned changes, which come many times a second.
const BATCH_PAUSE: Duration = Duration::from_millis(600);

/// Pause after a watch of the targets that returned changes, in a recently started process. It is shorter,
/// since after a power failure all targets announce new incarnations.
const RECENT_START_BATCH_PAUSE: Duration = Duration::from_millis(150);

/// Shortest outage of the store in which announcements expire: a target that was about to announce itself has
/// then missed three heartbeats.
const EXPIRING_OUTAGE: Duration = Duration::from_millis(2000);

/// Interval of the reads by which the end of an outage is noticed while a call gets no response.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Age up to which a process counts as recently started: three heartbeats of a target and its start.
const RECENT_START: Duration = Duration::from_secs(5);

/// Replicates the catalogue until the process ends.
///
/// A list states the store's revision, from which a watch can start. The revision of the object itself may be
/// older than the store's history.
pub async fn follow_catalogue(cx: Arc<Context>) {
    let mut health = Health::new("catalogue");
    loop {
        cx.follow.until_not_following().await;
        let store = cx.store();
        let begun = Instant::now();
        let receive = |object: Object| {
            if *object.name == *catalogue::NAME {
                receive_catalogue(&cx, object);
            }
        };
        match list::each(&cx, &store, catalogue::KIND, receive).await {
            Ok(listed) => {
                health.record_success();
                cx.record_unreadable_list(catalogue::KIND, &listed.unreadable);
                watch_catalogue(&cx, &store, listed.revision, &mut health).await;
            }
            // The store came back between two pages.
            Err(Error::Gone) => {}
            Err(e) => health.record_failure(&cx, &e, begun),
        }
        let returned = cx.store_returned.notified();
        let declared = cx.state().catalogue.is_some();
        if declared && cx.follow.targets_are_failing() {
            tokio::select! {
                () = sleep(health.pause(MAX_OUTAGE_PAUSE)) => {}
                () = returned => {}
            }
        } else {
            sleep(health.pause(MAX_CATALOGUE_PAUSE)).await;
        }
    }
}

async fn watch_catalogue(
    cx: &Context,
    store: &Store,
    mut since: StoreRevision,
    health: &mut Health,
) {
    while !cx.follow.follows() && since.era == cx.eras.newest() {
        let wait = cx
            .follow
            .watch_duration(WATCH_DURATION, FOLLOWED_CATALOGUE_DURATION);
        cx.follow.expect_reply(Watched::Catalogue, wait);
        let begun = Instant::now();
        match store.watch(catalogue::KIND, since, wait).await {
            Ok(update) => {
                health.record_success();
                since = update.revision;
                for change in update.changes {
                    match change {
                        Change::Put(object) if *object.name == *catalogue::NAME => {
                            cx.record_readable(catalogue::KIND, &object.name);
                            receive_catalogue(cx, object);
                        }
                        Change::Put(Object { name, .. }) | Change::Removed(name) => {
                            cx.record_readable(catalogue::KIND, &name);
                        }
                        Change::Unreadable(e) => cx.record_unreadable(catalogue::KIND, &e),
                    }
                }
            }
            Err(e) => return record_watch_error(cx, Watched::Catalogue, health, &e, begun),
        }
    }
}

/// Records why a watch ended. When the store has dropped the history since the last revision, or has come
/// back from a copy, the list is read again; this is not an outage.
fn record_watch_error(
    cx: &Context,
    watched: Watched,
    health: &mut Health,
    e: &Error,
    begun: Instant,
) {
    if *e == Error::Gone {
        cx.follow.expect_reply(watched, RETRY_PAUSE);
        return;
    }
    cx.follow.record_failure(watched);
    health.record_failure(cx, e, begun);
}

fn receive_catalogue(cx: &Context, mut object: Object) {
    let decoded = catalogue::decode(&object.spec);
    workspace::wipe_keys(&mut object.spec);
    match decoded {
        Ok(new) => apply_catalogue(cx, new, "store"),
        // The last valid catalogue stays in force.
        Err(e) => Line::failure("catalogue.unreadable")
            .num("revision", object.revision.counter)
            .num("era", object.revision.era.0)
            .show("error", e)
            .write(),
    }
}

/// Puts a catalogue in force unless one as new or newer is.
pub fn apply_catalogue(cx: &Context, new: Catalogue, source: &str) {
    let version = new.version;
    {
        let mut state = cx.state();
        let known = state.catalogue.as_ref().map_or(0, |c| c.version);
        if version <= known {
            return;
        }
        state.view.declare(new.services.iter().map(|s| &*s.name));
        state.catalogue = Some(Arc::new(new));
    }
    Line::failure("catalogue")
        .num("version", version)
        .text("source", source)
        .write();
    let gauge = i64::try_from(version).unwrap_or(i64::MAX);
    cx.page.gauge("catalogue_version", &[], gauge);
    cx.follow.publish(StateChange::Catalogue);
    cx.changed.notify_waiters();
}

/// Logs each era that the store states, until the process ends.
pub async fn log_eras(cx: Arc<Context>) {
    let mut known = Era::default();
    loop {
        cx.eras.after(known).await;
        known = cx.eras.newest();
        Line::failure("store.era").num("era", known.0).write();
        cx.page
            .gauge("store_era", &[], i64::try_from(known.0).unwrap_or(i64::MAX));
    }
}

/// Records an era that another process states; if it is newer, the store is listed again.
pub fn observe_era(cx: &Context, era: Era, source: &str) {
    if cx.eras.observe(era) {
        Line::failure("store.era_observed")
            .num("era", era.0)
            .text("source", source)
            .write();
    }
}

/// Replicates the targets until the process ends.
pub async fn follow_targets(cx: Arc<Context>) {
    let mut health = Health::new("targets");
    loop {
        cx.until_declared().await;
        cx.follow.until_not_following().await;
        let store = cx.store();
        let begun = Instant::now();
        match list_once_reachable(&cx, &store, &health).await {
            Ok((targets, revision)) => {
                let outage = health.record_success();
                if outage > Duration::ZERO {
                    cx.store_returned.notify_waiters();
                }
                apply_store_list(&cx, targets, revision, outage);
                watch_targets(&cx, &store, &mut health).await;
            }
            // The store came back between two pages.
            Err(Error::Gone) => {}
            Err(e) => {
                cx.follow.record_failure(Watched::Targets);
                health.record_failure(&cx, &e, begun);
            }
        }
        sleep(health.pause(MAX_TARGETS_PAUSE)).await;
    }
}

/// Lists the targets. A call that was sent before the end of an outage may get no response, so the list is
/// requested anew as soon as the store replies.
async fn list_once_reachable(
    cx: &Context,
    store: &Store,
    health: &Health,
) -> Result<(Vec<Target>, StoreRevision), Error> {
    tokio::select! {
        listed = list_targets(cx, store) => return listed,
        () = until_reachable(store), if health.is_failing() => {}
    }
    list_targets(cx, store).await
}

/// Waits until the store replies to a read that was sent after this call.
async fn until_reachable(store: &Store) {
    let mut probes = JoinSet::new();
    loop {
        tokio::select! {
            () = sleep(PROBE_INTERVAL) => {
                let store = store.clone();
                probes.spawn(async move { store.is_reachable().await });
            }
            Some(Ok(true)) = probes.join_next() => return,
        }
    }
}

pub(crate) async fn list_targets(
    cx: &Context,
    store: &Store,
) -> Result<(Vec<Target>, StoreRevision), Error> {
    let mut targets = Vec::new();
    let mut malformed = Vec::new();
    let listed = list::each(cx, store, target::KIND, |object| {
        match change::decode(&object) {
            Ok(target) => targets.push(target),
            Err(e) => malformed.push(e),
        }
    });
    let mut listed = listed.await?;
    malformed.append(&mut listed.unreadable);
    cx.record_unreadable_list(target::KIND, &malformed);
    Ok((targets, listed.revision))
}

/// Applies a whole list from the store. A target that is missing after an outage in which announcements expire
/// gets [`MISSING_GRACE`], as its announcement may only be late.
fn apply_store_list(cx: &Context, targets: Vec<Target>, revision: StoreRevision, outage: Duration) {
    let now = cx.now();
    let grace = if outage >= EXPIRING_OUTAGE {
        MISSING_GRACE
    } else {
        Duration::ZERO
    };
    let count = targets.len() as i64;
    {
        let mut state = cx.state();
        if revision < state.view.revision {
            return log_dropped(cx, "list", revision, state.view.revision);
        }
        state.view.expire(now);
        let drains = state.view.replace(targets, revision, now + grace, now);
        state.drop_stale_incarnations();
        share_drains(&mut state, &drains, now);
        state.observe_versions(now);
    }
    log_list(cx, revision, count, "store");
}

/// Tells the other processes which targets drain although a copy of the store's state has them as ready.
fn share_drains(state: &mut State, drains: &[Incarnation], now: Duration) {
    for incarnation in drains {
        Line::failure("drain.retained")
            .text("target", &incarnation.id)
            .write();
        state.share_drain(incarnation, now);
    }
}

/// Applies the list of a peer, unless this entry's is as new.
pub fn apply_peer_list(cx: &Context, listed: Vec<Listed>, revision: StoreRevision, peer: &str) {
    let count = listed.len() as i64;
    observe_era(cx, revision.era, peer);
    let store_available = cx.follow.store_is_available();
    {
        let now = cx.now();
        let mut state = cx.state();
        if revision <= state.view.revision {
            return;
        }
        let drains = state
            .view
            .replace_from_peer(listed, revision, store_available, now);
        state.drop_stale_incarnations();
        share_drains(&mut state, &drains, now);
        state.observe_versions(now);
    }
    log_list(cx, revision, count, peer);
}

/// Records that a statement about the list of targets is older than what is known.
fn log_dropped(cx: &Context, what: &str, revision: StoreRevision, known: StoreRevision) {
    Line::failure("targets.dropped")
        .text("what", what)
        .num("revision", revision.counter)
        .num("era", revision.era.0)
        .num("known", known.counter)
        .num("known_era", known.era.0)
        .write();
    cx.page.count("targets_dropped_total", &[("what", what)], 1);
}

fn log_list(cx: &Context, revision: StoreRevision, count: i64, source: &str) {
    Line::failure("targets")
        .num("revision", revision.counter)
        .num("era", revision.era.0)
        .num("count", count)
        .text("source", source)
        .write();
    cx.follow.replaced();
    cx.changed.notify_waiters();
}

/// Decodes a change of the list of targets, and logs an announcement that does not decode.
fn decode_change(cx: &Context, change: Change) -> TargetChange {
    let (change, unreadable) = change::decode_change(change);
    match unreadable {
        Some(e) => cx.record_unreadable(target::KIND, &e),
        None => cx.record_readable(target::KIND, change.id()),
    }
    change
}

/// Watches the targets while the store replies, always from the newest revision known, also from a peer.
async fn watch_targets(cx: &Context, store: &Store, health: &mut Health) {
    loop {
        cx.follow.until_not_following().await;
        let since = cx.state().view.revision;
        if since.era != cx.eras.newest() {
            return;
        }
        let wait = cx
            .follow
            .watch_duration(WATCH_DURATION, FOLLOWED_TARGETS_DURATION);
        cx.follow.expect_reply(Watched::Targets, wait);
        let begun = Instant::now();
        match store.watch(target::KIND, since, wait).await {
            Ok(update) => {
                health.record_success();
                let changes = update.changes.into_iter().map(|c| decode_change(cx, c));
                let changes: Vec<TargetChange> = changes.collect();
                let any = !changes.is_empty();
                apply_changes(cx, changes, update.revision);
                if any {
                    let recent = cx.now() < RECENT_START;
                    let pause = if recent {
                        RECENT_START_BATCH_PAUSE
                    } else {
                        BATCH_PAUSE
                    };
                    cx.follow.expect_reply(Watched::Targets, pause);
                    sleep(pause).await;
                }
            }
            // Without an outage a target that is missing from the next list has been removed.
            Err(e) => return record_watch_error(cx, Watched::Targets, health, &e, begun),
        }
    }
}

/// Applies changes of the list up to a revision, from the store or from the peer that watches it.
///
/// Changes of another era than the list's are dropped: they continue a list that is not known here.
pub fn apply_changes(cx: &Context, changes: Vec<TargetChange>, revision: StoreRevision) {
    let mut lines = Vec::new();
    let mut ranked = Vec::new();
    let any = !changes.is_empty();
    {
        let mut state = cx.state();
        // A peer's changes can be older than those received from the store.
        if revision < state.view.revision || revision.era != state.view.revision.era {
            return log_dropped(cx, "changes", revision, state.view.revision);
        }
        let now = cx.now();
        state.view.expire(now);
        for change in changes {
            let urgency = change.urgency(&state.view);
            let was = state.view.state_of(change.id());
            match &change {
                TargetChange::Removed(id) => state.view.remove(id),
                TargetChange::Put(target) => {
                    state.view.put((**target).clone(), now);
                }
            }
            let is = state.view.state_of(change.id());
            if was != is {
                lines.push((Box::<str>::from(change.id()), is));
            }
            ranked.push((change, urgency));
        }
        state.view.revision = revision;
        if ranked.iter().any(|(_, u)| *u == Urgency::Immediate) {
            state.observe_versions(now);
        }
    }
    for (id, is) in lines {
        let state = is.map_or("gone".to_owned(), |s| format!("{s:?}"));
        Line::failure("target")
            .text("target", &id)
            .text("state", &state)
            .num("revision", revision.counter)
            .num("era", revision.era.0)
            .write();
    }
    cx.follow.changed(ranked, revision);
    if any {
        cx.changed.notify_waiters();
    }
}

/// Logs when calls of the store begin to fail, when they fail in another way, and when they succeed again.
struct Health {
    part: &'static str,
    /// Consecutive failed calls.
    failures: u32,
    /// How the last of them failed, by [`Error::label`].
    why: &'static str,
    /// When the first of them was sent.
    failing_since: Instant,
    /// How long the last failed call took.
    last_took: Duration,
}

impl Health {
    fn new(part: &'static str) -> Self {
        Self {
            part,
            failures: 0,
            why: "",
            failing_since: Instant::now(),
            last_took: Duration::ZERO,
        }
    }

    fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful call. Returns the time since which all calls before it had failed.
    fn record_success(&mut self) -> Duration {
        if std::mem::take(&mut self.failures) == 0 {
            return Duration::ZERO;
        }
        let outage = self.failing_since.elapsed();
        Line::failure("store.regained")
            .text("part", self.part)
            .ms("after_ms", outage)
            .write();
        outage
    }

    /// Records that a call sent at `begun` has failed.
    fn record_failure(&mut self, cx: &Context, e: &Error, begun: Instant) {
        let why = e.label();
        let labels = [("part", self.part), ("why", why)];
        cx.page.count("store_calls_failed_total", &labels, 1);
        let event = match self.failures {
            0 => Some("store.lost"),
            _ if why != self.why => Some("store.failing"),
            _ => None,
        };
        if self.failures == 0 {
            self.failing_since = begun;
        }
        if let Some(event) = event {
            Line::failure(event)
                .text("part", self.part)
                .text("why", why)
                .show("error", e)
                .write();
        }
        self.why = why;
        self.failures = self.failures.saturating_add(1);
        self.last_took = begun.elapsed();
    }

    /// The pause before the next call, at most `max`.
    fn pause(&self, max: Duration) -> Duration {
        // After a few doublings the bound applies.
        let doublings = self.failures.saturating_sub(1).min(4);
        let interval = (RETRY_PAUSE * 2_u32.pow(doublings)).min(max);
        interval.saturating_sub(self.last_took).max(RETRY_PAUSE)
    }
}
