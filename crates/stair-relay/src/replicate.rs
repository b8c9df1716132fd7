//! Replicates declarations and the list of targets from the store.
//!
//! One entry of a data centre watches the store, the others [`follow`](crate::follow) it; an entry that receives nothing
//! watches by itself.
//!
//! Invariant: versions only rise; an older answer of a stale store or a lagging peer changes nothing.

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
    Catalogue,
    Target,
    view::Listed, //
};
use stair_platform::Error;
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    change::{
        self,
        TargetChange, //
    },
    context::Context,
    follow::{
        News,
        Part, //
    }, //
};

/// Time of a watch. Its end shows a silent connection, so it bounds the age of the state; each call is charged.
const WATCH_TIME: Duration = Duration::from_millis(3000);

/// The same for the targets at an entry that others follow.
const FOLLOWED_TARGETS_TIME: Duration = Duration::from_millis(500);

/// The same for declarations, which have no pause after a change.
const FOLLOWED_CATALOGUE_TIME: Duration = Duration::from_millis(1000);

/// Pause after a failed call, doubled with each further one. Rejected calls are charged too.
const PAUSE: Duration = Duration::from_millis(300);

/// Longest pause: changes are due within two seconds after the store is back.
const MAX_PAUSE: Duration = Duration::from_millis(1200);

/// Pause between watches of the targets that bring changes, which come many times a second.
const GATHER: Duration = Duration::from_millis(600);

/// The same while the process is young: after a power cut all targets announce new lives.
const GATHER_YOUNG: Duration = Duration::from_millis(150);

/// Age up to which a process is young: three heartbeats of a target and its start.
const YOUNG: Duration = Duration::from_secs(5);

/// Time for which a target that is missing after the store was away is still used; a live one announces itself
/// within two seconds.
pub const MISSING_TIME: Duration = Duration::from_millis(1900);

/// Follows the declarations for as long as the process runs.
///
/// A list names the store's revision, from which a watch can start; the revision of the object itself may be older
/// than the history that the store keeps.
pub async fn follow_catalogue(cx: Arc<Context>) {
    let mut health = Health::new("catalogue");
    loop {
        cx.follow.until_alone().await;
        let store = cx.store();
        let begun = Instant::now();
        let page = store.list(catalogue::KIND, None).await;
        time_call(&cx, "list", begun);
        match page {
            Ok(page) => {
                health.ok();
                let objects = page.objects.into_iter();
                let found = objects.filter(|o| *o.name == *catalogue::NAME);
                found.for_each(|o| take_catalogue(&cx, o));
                watch_catalogue(&cx, &store, page.revision, &mut health).await;
            }
            Err(e) => health.failed(&e),
        }
        sleep(health.pause()).await;
    }
}

async fn watch_catalogue(cx: &Context, store: &Store, mut since: u64, health: &mut Health) {
    while !cx.follow.follows() {
        let wait = cx.follow.wait(WATCH_TIME, FOLLOWED_CATALOGUE_TIME);
        cx.follow.expects(Part::Catalogue, wait);
        match store.watch(catalogue::KIND, since, wait).await {
            Ok(news) => {
                health.ok();
                since = news.revision;
                for change in news.changes {
                    if let Change::Put(object) = change
                        && *object.name == *catalogue::NAME
                    {
                        take_catalogue(cx, object);
                    }
                }
            }
            Err(e) => return watch_ended(cx, Part::Catalogue, health, &e),
        }
    }
}

/// Takes in why a watch has ended. One whose history is gone is read anew; the store is there.
fn watch_ended(cx: &Context, part: Part, health: &mut Health, e: &Error) {
    if *e == Error::Gone {
        cx.follow.expects(part, PAUSE);
        return;
    }
    cx.follow.fails(part);
    health.failed(e);
}

fn take_catalogue(cx: &Context, mut object: Object) {
    let decoded = catalogue::decode(&object.spec);
    workspace::wipe_keys(&mut object.spec);
    match decoded {
        Ok(new) => apply_catalogue(cx, new, "store"),
        // The last good one stays in force.
        Err(e) => Line::failure("catalogue.unreadable")
            .num("revision", object.revision)
            .show("error", e)
            .write(),
    }
}

/// Puts a catalogue in force unless a newer one is.
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
    cx.follow.publish(News::Catalogue);
    cx.changed.notify_waiters();
}

/// Follows the targets for as long as the process runs.
pub async fn follow_targets(cx: Arc<Context>) {
    let mut health = Health::new("targets");
    loop {
        cx.declared().await;
        cx.follow.until_alone().await;
        let store = cx.store();
        match list_targets(&cx, &store).await {
            Ok((targets, revision)) => {
                let was_away = health.ok();
                apply_targets(&cx, targets, revision, was_away);
                watch_targets(&cx, &store, &mut health).await;
            }
            Err(e) => health.failed(&e),
        }
        sleep(health.pause()).await;
    }
}

/// Takes the time of a store call that does not wait for changes, answered or not.
fn time_call(cx: &Context, call: &str, begun: Instant) {
    let labels = [("call", call)];
    cx.page.time("store_call_ms", &labels, begun.elapsed());
}

async fn list_targets(cx: &Context, store: &Store) -> Result<(Vec<Target>, u64), Error> {
    let mut targets = Vec::new();
    let mut revision = None;
    let mut after: Option<Box<str>> = None;
    loop {
        let begun = Instant::now();
        let page = store.list(target::KIND, after.as_deref()).await;
        time_call(cx, "list", begun);
        let page = page?;
        // Changes between pages are seen again by a watch from the first page's revision.
        revision.get_or_insert(page.revision);
        after = page.objects.last().map(|o| o.name.clone());
        targets.extend(page.objects.iter().filter_map(change::decode));
        if !page.more || after.is_none() {
            return Ok((targets, revision.unwrap_or(0)));
        }
    }
}

/// Takes a whole list in. After the store was away, what is missing may only be late.
fn apply_targets(cx: &Context, targets: Vec<Target>, revision: u64, was_away: bool) {
    let now = cx.now();
    let grace = if was_away {
        MISSING_TIME
    } else {
        Duration::ZERO
    };
    let count = targets.len() as i64;
    {
        let mut state = cx.state();
        if revision < state.view.revision {
            return;
        }
        state.view.expire(now);
        state.view.replace(targets, revision, now + grace, now);
        state.drop_former();
    }
    log_list(cx, revision, count, "store");
}

/// Takes the list of a peer in, unless this entry's is as new.
pub fn apply_listed(cx: &Context, listed: Vec<Listed>, revision: u64, peer: &str) {
    let count = listed.len() as i64;
    {
        let mut state = cx.state();
        if revision <= state.view.revision {
            return;
        }
        state.view.replace_from_peer(listed, revision, cx.now());
        state.drop_former();
    }
    log_list(cx, revision, count, peer);
}

fn log_list(cx: &Context, revision: u64, count: i64, source: &str) {
    Line::failure("targets")
        .num("revision", revision)
        .num("count", count)
        .text("source", source)
        .write();
    cx.follow.publish(News::Whole);
    cx.changed.notify_waiters();
}

/// Watches for as long as the store answers. What a peer has told meanwhile is not asked for again.
async fn watch_targets(cx: &Context, store: &Store, health: &mut Health) {
    loop {
        cx.follow.until_alone().await;
        let since = cx.state().view.revision;
        let wait = cx.follow.wait(WATCH_TIME, FOLLOWED_TARGETS_TIME);
        cx.follow.expects(Part::Targets, wait);
        match store.watch(target::KIND, since, wait).await {
            Ok(news) => {
                health.ok();
                let changes: Vec<TargetChange> =
                    news.changes.into_iter().map(TargetChange::from).collect();
                let any = !changes.is_empty();
                take_changes(cx, changes, news.revision);
                if any {
                    let young = cx.now() < YOUNG;
                    let pause = if young { GATHER_YOUNG } else { GATHER };
                    cx.follow.expects(Part::Targets, pause);
                    sleep(pause).await;
                }
            }
            // Without an outage what is missing from the new list is gone.
            Err(e) => return watch_ended(cx, Part::Targets, health, &e),
        }
    }
}

/// Takes changes of the list in, from the store or from a peer that watches it, up to a revision.
pub fn take_changes(cx: &Context, changes: Vec<TargetChange>, revision: u64) {
    let mut lines = Vec::new();
    let mut weighed = Vec::new();
    let any = !changes.is_empty();
    {
        let mut state = cx.state();
        // What a peer tells can be older than what the store has told since.
        if revision < state.view.revision {
            return;
        }
        let now = cx.now();
        state.view.expire(now);
        for change in changes {
            let weight = change.weight(&state.view);
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
            weighed.push((change, weight));
        }
        state.view.revision = revision;
    }
    for (id, is) in lines {
        let state = is.map_or("gone".to_owned(), |s| format!("{s:?}"));
        Line::failure("target")
            .text("target", &id)
            .text("state", &state)
            .num("revision", revision)
            .write();
    }
    cx.follow.changed(weighed, revision);
    if any {
        cx.changed.notify_waiters();
    }
}

/// Says once when the store is lost and once when it is regained.
struct Health {
    part: &'static str,
    /// Calls in a row that have failed.
    failures: u32,
}

impl Health {
    fn new(part: &'static str) -> Self {
        Self { part, failures: 0 }
    }

    /// Returns whether it was away.
    fn ok(&mut self) -> bool {
        let was = std::mem::take(&mut self.failures) > 0;
        if was {
            Line::failure("store.regained")
                .text("part", self.part)
                .write();
        }
        was
    }

    fn failed(&mut self, e: &Error) {
        if self.failures == 0 {
            Line::failure("store.lost")
                .text("part", self.part)
                .show("error", e)
                .write();
        }
        self.failures = self.failures.saturating_add(1);
    }

    /// How long to wait before the next call.
    fn pause(&self) -> Duration {
        // Beyond a few doublings the bound decides.
        let doublings = self.failures.saturating_sub(1).min(4);
        (PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE)
    }
}
