//! Waits for a turn at a target in backoff, and refuses requests whose turn does not come in time.
//!
//! [`backoff_queue`](stair_fleet::backoff_queue) defines the decisions.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    backoff_queue::{
        Check,
        Place,
        Queue,
        Target,
        Times, //
    },
    choose::BackoffWait,
    view::TargetKey, //
};
use stair_telemetry::event::Line;
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep, //
    }, //
};

use super::{
    CHECK_INTERVAL,
    NoTarget,
    Search,
    candidates::salt, //
};
use crate::{
    context::{
        Context,
        State, //
    },
    job::Job,
    limit::Waits,
    refuse::Reason, //
};

/// Least wait between two checks.
const MIN_BACKOFF_WAIT: Duration = Duration::from_millis(5);

/// The requests of this entry that wait for targets in backoff.
#[derive(Default)]
pub(crate) struct Backoffs {
    pub(crate) queue: Queue,
    /// Wakes the waiting requests; sorted by arrival.
    wakers: Vec<(u64, Arc<Notify>)>,
}

impl Backoffs {
    fn wake(&self, place: Place) {
        let found = self
            .wakers
            .binary_search_by_key(&place.arrival(), |(arrival, _)| *arrival);
        if let Ok(i) = found {
            self.wakers[i].1.notify_one();
        }
    }

    fn wake_next(&self, key: TargetKey) {
        if let Some(next) = self.queue.next(key) {
            self.wake(next);
        }
    }
}

impl State {
    /// The targets that the request with this place must leave to others.
    pub(super) fn withheld(&self, place: Place, now: Duration) -> Vec<TargetKey> {
        let backs_off = |key| self.view.get(key).availability.backoff().is_some();
        self.backoffs.queue.withheld(place, backs_off, now)
    }

    pub(super) fn backoff_target(&self, key: TargetKey) -> Target<'_> {
        Target {
            key,
            availability: &self.view.get(key).availability,
        }
    }
}

/// A request that waits for a target. Dropping it gives the turn to the next one.
pub(super) struct Ticket {
    cx: Arc<Context>,
    place: Place,
    key: TargetKey,
    notify: Arc<Notify>,
    since: Instant,
}

impl Ticket {
    /// Whether it is for this target.
    pub(super) fn is_for(&self, key: TargetKey) -> bool {
        self.key == key
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let arrival = self.place.arrival();
        let mut state = self.cx.state();
        let granted = state.backoffs.queue.waits_for(self.place);
        if let Some(key) = state.backoffs.queue.leave(self.place) {
            state.backoffs.wake_next(key);
        }
        state.backoffs.wakers.retain(|(a, _)| *a != arrival);
        drop(state);
        let outcome = match granted {
            Some((_, true)) => "granted",
            _ => "left",
        };
        count(&self.cx, outcome);
        self.cx
            .page
            .time("backoff_wait_ms", &[], self.since.elapsed());
    }
}

fn count(cx: &Context, outcome: &str) {
    let labels = [("outcome", outcome)];
    cx.page.count("backoff_turns_total", &labels, 1);
}

/// The place of a request, which it keeps for the whole search.
pub(super) fn place(cx: &Context, job: &Job, search: &mut Search) -> Place {
    let until = search.reservation.until;
    *search.place.get_or_insert_with(|| {
        let until = cx.now() + until.saturating_duration_since(Instant::now());
        cx.state().backoffs.queue.place(job.rank(), until)
    })
}

/// The targets that the request must leave to requests that wait for them and go first.
pub(super) fn withheld(cx: &Context, job: &Job, search: &mut Search) -> Vec<TargetKey> {
    if cx.state().backoffs.queue.is_empty() {
        return Vec::new();
    }
    let place = place(cx, job, search);
    cx.state().withheld(place, cx.now())
}

/// Waits for the turn of the request at a target, or until the state of the targets changes. Returns false if
/// the turn does not come in time.
pub(super) async fn wait_for_turn(
    cx: &Arc<Context>,
    job: &Job,
    search: &mut Search,
    backoff: BackoffWait,
) -> bool {
    if !enter(cx, job, search, backoff) {
        search.ticket = None;
        return false;
    }
    let Some(ticket) = &search.ticket else {
        return false;
    };
    loop {
        // Created before the check, so that no change is missed.
        let changed = cx.changed.notified();
        let (check, again) = check(cx, ticket);
        let turn = match check {
            Check::Go => {
                if again {
                    sleep(MIN_BACKOFF_WAIT).await;
                } else {
                    Line::new("backoff.turn")
                        .text("id", &job.meta.id)
                        .ms("waited_ms", ticket.since.elapsed())
                        .write();
                }
                return true;
            }
            Check::TooLate(_) => {
                search.ticket = None;
                return false;
            }
            Check::Wait(turn) => turn.max(MIN_BACKOFF_WAIT),
        };
        tokio::select! {
            () = ticket.notify.notified() => {}
            () = sleep(turn), if turn <= CHECK_INTERVAL => {}
            () = sleep(CHECK_INTERVAL), if turn > CHECK_INTERVAL => return true,
            // Another target may be free.
            () = changed => return true,
        }
    }
}

/// Lets the request wait for the target, if its turn comes in time. Those that it overtakes check theirs.
fn enter(cx: &Arc<Context>, job: &Job, search: &mut Search, backoff: BackoffWait) -> bool {
    let place = place(cx, job, search);
    let times = times(cx, job, search);
    let key = backoff.key;
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let target = Target {
        key,
        availability: &state.view.get(key).availability,
    };
    let ahead = state.backoffs.queue.ahead(target, place, now);
    if !state.backoffs.queue.enter(target, place, times, now) {
        return false;
    }
    let moved = search.ticket.as_ref().map(|t| t.key).filter(|k| *k != key);
    if let Some(before) = moved {
        state.backoffs.wake_next(before);
    }
    if moved.is_some() || search.ticket.is_none() {
        for behind in state.backoffs.queue.behind(key, place) {
            state.backoffs.wake(behind);
        }
    }
    if let Some(ticket) = &mut search.ticket {
        ticket.key = key;
        return true;
    }
    let notify = Arc::new(Notify::new());
    let wakers = &mut state.backoffs.wakers;
    let i = wakers.partition_point(|(arrival, _)| *arrival < place.arrival());
    wakers.insert(i, (place.arrival(), notify.clone()));
    let id = state.view.get(key).target.id.clone();
    drop(guard);
    search.waited = true;
    search.ticket = Some(Ticket {
        cx: cx.clone(),
        place,
        key,
        notify,
        since: Instant::now(),
    });
    Line::new("backoff.waits")
        .text("id", &job.meta.id)
        .text("target", &id)
        .num("rank", job.rank())
        .num("ahead", ahead as i64)
        .ms("turn_ms", backoff.wait)
        .ms("left_ms", times.send_by.saturating_sub(now))
        .ms("client_left_ms", times.until.saturating_sub(now))
        .write();
    true
}

fn check(cx: &Context, ticket: &Ticket) -> (Check, bool) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let target = Target {
        key: ticket.key,
        availability: &state.view.get(ticket.key).availability,
    };
    let before = state.backoffs.queue.waits_for(ticket.place);
    let check = state.backoffs.queue.check(target, ticket.place, now);
    if check == Check::Go {
        state.backoffs.wake_next(ticket.key);
    }
    (check, before.is_some_and(|(_, granted)| granted))
}

fn times(cx: &Context, job: &Job, search: &Search) -> Times {
    let now = cx.now();
    let left = search
        .reservation
        .until
        .saturating_duration_since(Instant::now());
    Times {
        until: now + left,
        send_by: now + Waits::of(job, &search.reservation).longest,
        objective: job.route.objective,
        waited: search.waited,
    }
}

/// The refusal of a request whose turn at a target does not come in time. Its client returns when the target
/// can serve it.
pub(super) fn refuse_for_backoff(cx: &Context, job: &Job, backoff: BackoffWait) -> NoTarget {
    let spread = salt(job) as f64 / u64::MAX as f64;
    let now = cx.now();
    let (retry_after, id, waiting) = {
        let mut guard = cx.state();
        let state = &mut *guard;
        let target_state = state.view.get(backoff.key);
        let target = Target {
            key: backoff.key,
            availability: &target_state.availability,
        };
        let queue = &mut state.backoffs.queue;
        let waiting = queue.count(Some(backoff.key));
        let retry_after = queue.promise(target, job.route.objective, spread, now);
        (retry_after, target_state.target.id.clone(), waiting)
    };
    let Some(retry_after) = retry_after else {
        return NoTarget::after(Duration::ZERO);
    };
    count(cx, "refused");
    Line::failure("backoff.refused")
        .text("id", &job.meta.id)
        .text("target", &id)
        .num("rank", job.rank())
        .num("waiting", waiting as i64)
        .ms("turn_ms", backoff.wait)
        .ms("come_back_ms", retry_after)
        .write();
    NoTarget {
        reason: Reason::TargetBackoff,
        retry_after,
    }
}
