//! How many loads from the weight store are of use at once.
//!
//! The load it answers: engines that crash, are replaced, or see demand move, so that many models
//! are to come from the weight store together. Beyond a number that nobody declares, loads slow each
//! other down in proportion: four at once then all end when the last of four in a row would, and the
//! most urgent model comes four times as late.
//!
//! So the number is found out: from loads under way that are late, and from what agents tell of the
//! last load that ended at their engines, how many times its declared time it took and how many ran
//! when it began. Each entry works the number out anew from the reports of all agents, so that one
//! that has just started knows as much as the others.

use std::time::Duration;

use crate::{
    catalogue::{
        Engine,
        Model, //
    },
    target::{
        Copy,
        Fetched, //
    },
    view::View,
};

/// Loads at once as long as no load has told better, where one is as fast as an engine's link.
const FIRST_BY_LINK: usize = 4;

/// The same where it is slower. The weight store itself bounds it then, and others would share that.
const FIRST_BY_STORE: usize = 1;

/// What an engine's link takes, in MB a second: 100 Gbit/s, less a fifth for protocols. It only decides
/// until loads have ended.
const LINK_MB_PER_S: f64 = 10_000.0;

/// Loads, of those that are of use at once, that are only begun for a request which waits for one. Were
/// all taken by loads ahead of requests, it would wait for one of those to end first.
const KEPT_FREE: usize = 1;

/// Number up to which loads that kept their declared time let twice as many begin; beyond it, one
/// more. The weight stores in use run one to four at full speed.
const DOUBLES_UP_TO: usize = 2;

/// Part of the declared time beyond which a load was slowed by others. Agents see the end of a load
/// up to 40 ms late, and one beside four others at a store for four takes 1.25 times as long.
const SLOWED: f32 = 1.15;

/// Age up to which an entry waits for the reports of all engines before it has a model fetched from
/// the weight store. Links to agents are up within a second; one that stays silent is cut off.
const HEARD_TIME: Duration = Duration::from_millis(2500);

/// Loads that are of use at once, at least one.
pub fn at_once(view: &View, service: &str, engine: &Engine, now: Duration) -> usize {
    let together = u32::try_from(under_way(view, service, now)).unwrap_or(u32::MAX);
    let reports = || view.of(service).filter_map(|(_, s)| s.fresh(now));
    let late = reports()
        .filter_map(|r| r.load.loading.as_ref())
        .filter(|l| l.from == Copy::Store)
        .map(|l| Fetched {
            together,
            times: l.times,
        })
        .filter(|f| f.times > SLOWED);
    let ended = reports().filter_map(|r| r.load.fetched);
    let (slow, fast): (Vec<Fetched>, Vec<Fetched>) =
        late.chain(ended).partition(|f| f.times > SLOWED);
    let full_speed = |f: &Fetched| (f.together as f32 / f.times).round().max(1.0) as usize;
    // One that ran alone was not slowed by others, whatever it took.
    let slow = slow.iter().filter(|f| f.together > 1).map(full_speed);
    let proven = fast.iter().map(|f| f.together as usize).max().unwrap_or(0);
    if let Some(n) = slow.min() {
        // Too low where others joined after a load had begun, which its agent cannot know.
        return n.max(proven);
    }
    let more = match proven {
        0 => 0,
        n if n <= DOUBLES_UP_TO => 2 * n,
        n => n + 1,
    };
    more.max(first(engine))
}

/// Loads that may run at once without a request that waits for one of them to end, at least one.
pub fn prefetches(view: &View, service: &str, engine: &Engine, now: Duration) -> usize {
    let at_once = at_once(view, service, engine, now);
    at_once.saturating_sub(KEPT_FREE).max(1)
}

fn first(engine: &Engine) -> usize {
    let rate = |m: &Model| m.weights_mb / m.from_store.as_secs_f64().max(0.001);
    let fastest = engine.models.iter().map(rate).fold(0.0, f64::max);
    if fastest >= LINK_MB_PER_S {
        FIRST_BY_LINK
    } else {
        FIRST_BY_STORE
    }
}

/// Counts the loads that are under way.
pub fn under_way(view: &View, service: &str, now: Duration) -> usize {
    view.of(service)
        .filter_map(|(_, s)| s.fresh(now)?.load.loading.as_ref())
        .filter(|l| l.from == Copy::Store)
        .count()
}

/// Whether an entry that has just started still lacks the report of an engine, or knows of none.
///
/// All VMs come back together after a power cut. What engines have on their disks is told by their
/// agents, within half a second or so; an entry that does not wait for it has rare models fetched
/// from the weight store although a copy is a second away, and the store is busy with those for
/// eight seconds while the busy models need it.
pub fn unreported(view: &View, service: &str, now: Duration) -> bool {
    let mut open = view.of(service).filter(|(_, s)| s.open(now)).peekable();
    let none = open.peek().is_none();
    now < HEARD_TIME && (none || open.any(|(_, s)| s.fresh(now).is_none()))
}
