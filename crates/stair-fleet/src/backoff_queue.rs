//! The order of the requests of one process that wait for the end of a target's backoff.
//!
//! After a backoff, requests are let through one by one at intervals of [`PROBE_INTERVAL`] until the
//! target has responded, and all others follow. The queue decides which request goes first, and whether a
//! request that arrives is let wait at all.
//!
//! # Invariants
//!
//! - Waiting requests are sent in the order of their [`Place`]: by rank, then by the end of the client's
//!   time, then by arrival. A request that does not wait goes after those with an earlier place.
//! - A request waits only if its turn is expected within its time. A waiting request that is overtaken so
//!   far that its turn comes too late is refused as soon as that is known.
//! - A granted turn that is not used for [`PROBE_INTERVAL`] delays nobody any longer.
//! - The table holds at most [`MAX_WAITING`] requests and [`MAX_PROMISES`] promises for each target.

use std::time::Duration;

use crate::{
    availability::{
        Availability,
        PROBE_INTERVAL, //
    },
    view::TargetKey,
};

/// Requests that wait in one process at most. An entry of the smallest VM accepts a few thousand
/// connections, so that most of them stay free for requests that need not wait.
pub const MAX_WAITING: usize = 1024;

/// Promised times that are kept for one target: four seconds of turns without a response, after which most
/// clients have left.
pub const MAX_PROMISES: usize = 16;

/// Time by which the turn of a waiting request may come later than was expected. A refusal of a request that
/// has waited for its turn would make its response later still.
pub const GRACE: Duration = Duration::from_millis(500);

/// The time over which clients return that are expected after the target's first response. All of them at
/// once would fill it.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// The least time until the return of a refused client: a round trip and the pause of a busy entry.
const MIN_RETURN: Duration = Duration::from_millis(50);

/// The place of a request among those that wait. Times count from the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Its urgency, 0 for the most urgent.
    rank: u8,
    /// The end of its client's time.
    until: Duration,
    /// The number of its arrival; unique.
    arrival: u64,
}

impl Place {
    /// The number of its arrival, which identifies the request.
    pub fn arrival(&self) -> u64 {
        self.arrival
    }
}

/// The times of a request.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// The end of its client's time.
    pub until: Duration,
    /// The time by which it has to be sent for its response to be of use.
    pub send_by: Duration,
    /// The objective of its route, within which the target is expected to respond.
    pub objective: Duration,
    /// Whether it has waited before. A request that was granted its turn and could not be sent keeps its grace.
    pub waited: bool,
}

impl Times {
    /// The time by which the turn of a request that waits has to come.
    fn keep_until(&self) -> Duration {
        let grace = self.send_by.saturating_add(GRACE);
        grace.min(self.until).max(self.send_by)
    }
}

/// The state of the target that a request waits for.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// The target.
    pub key: TargetKey,
    /// What its responses state.
    pub availability: &'a Availability,
}

/// What a waiting request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// It may be sent now.
    Go,
    /// Its turn is expected after this time.
    Wait(Duration),
    /// Its turn does not come within its time; the time until its turn.
    TooLate(Duration),
}

/// A request that waits for one target.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    place: Place,
    key: TargetKey,
    times: Times,
    /// When its turn was granted.
    granted: Option<Duration>,
}

/// A time that a refused client was given for its return.
#[derive(Debug, Clone, Copy)]
struct Promise {
    key: TargetKey,
    at: Duration,
}

/// The requests of one process that wait for targets in backoff.
#[derive(Debug, Default)]
pub struct Queue {
    /// Sorted by place.
    waiting: Vec<Waiting>,
    promises: Vec<Promise>,
    arrivals: u64,
}

impl Queue {
    /// The place of a request that arrives now.
    pub fn place(&mut self, rank: u8, until: Duration) -> Place {
        self.arrivals += 1;
        Place {
            rank,
            until,
            arrival: self.arrivals,
        }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The number of requests that wait for a target, or for any.
    pub fn count(&self, key: Option<TargetKey>) -> usize {
        let waiting = self.waiting.iter();
        waiting.filter(|w| key.is_none_or(|k| w.key == k)).count()
    }

    /// The number of promised times for a target that are not over.
    pub fn promised(&self, key: TargetKey, now: Duration) -> usize {
        let promises = self.promises.iter();
        promises.filter(|p| p.key == key && p.at > now).count()
    }

    /// The targets for which requests wait that go before the request with this place. `is_backing_off` tells
    /// whether a target has not responded after its backoff yet.
    pub fn withheld<F>(&self, place: Place, is_backing_off: F, now: Duration) -> Vec<TargetKey>
    where
        F: Fn(TargetKey) -> bool,
    {
        let mut keys: Vec<TargetKey> = Vec::new();
        for w in self.waiting.iter().take_while(|w| w.place < place) {
            if !keys.contains(&w.key) && w.precedes(is_backing_off(w.key), now) {
                keys.push(w.key);
            }
        }
        keys
    }

    /// Time until the turn of a request at a target; `None` if the target takes no requests any more.
    pub fn turn(
        &self,
        target: Target<'_>,
        place: Place,
        objective: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let ahead = self.ahead(target, place, now);
        expected_turn(target.availability, ahead, objective, now).map(|turn| turn.wait)
    }

    /// The number of requests that go to the target before the one with this place.
    pub fn ahead(&self, target: Target<'_>, place: Place, now: Duration) -> usize {
        let backs_off = target.availability.backoff().is_some();
        let before = self.waiting.iter().take_while(|w| w.place < place);
        before
            .filter(|w| w.key == target.key && w.precedes(backs_off, now))
            .count()
    }

    /// Lets a request wait for a target if its turn is expected in time. Returns whether it waits. A request
    /// that waits for another target waits for this one from now on.
    pub fn enter(&mut self, target: Target<'_>, place: Place, times: Times, now: Duration) -> bool {
        let known = self.find(place);
        let limit = match known {
            Some(i) => self.waiting[i].times.keep_until(),
            None if times.waited => times.keep_until(),
            None => times.send_by,
        };
        let turn = self.turn(target, place, times.objective, now);
        let in_time = turn.is_some_and(|t| now.saturating_add(t) <= limit);
        match known {
            _ if !in_time => {}
            Some(i) if self.waiting[i].key == target.key => {}
            Some(i) => {
                self.waiting[i].key = target.key;
                self.waiting[i].granted = None;
            }
            None if self.waiting.len() >= MAX_WAITING => return false,
            None => {
                let i = self.waiting.partition_point(|w| w.place < place);
                let waiting = Waiting {
                    place,
                    key: target.key,
                    times,
                    granted: None,
                };
                self.waiting.insert(i, waiting);
            }
        }
        in_time
    }

    /// What a waiting request does now. Grants its turn if it has come.
    pub fn check(&mut self, target: Target<'_>, place: Place, now: Duration) -> Check {
        let Some(i) = self.find(place) else {
            return Check::Go;
        };
        let waiting = self.waiting[i];
        let ahead = self.ahead(target, place, now);
        let Some(turn) = expected_turn(target.availability, ahead, waiting.times.objective, now)
        else {
            // The target shuts down. Another search finds what is left.
            return Check::Go;
        };
        if ahead == 0 && turn.wait.is_zero() {
            self.waiting[i].granted = Some(now);
            return Check::Go;
        }
        self.waiting[i].granted = None;
        match now.saturating_add(turn.wait) <= waiting.times.keep_until() {
            true => Check::Wait(turn.wait),
            false => Check::TooLate(turn.wait),
        }
    }

    /// The target that a request waits for, and whether its turn has been granted.
    pub fn waits_for(&self, place: Place) -> Option<(TargetKey, bool)> {
        let waiting = &self.waiting[self.find(place)?];
        Some((waiting.key, waiting.granted.is_some()))
    }

    /// Removes a request, whether or not it was sent. Returns the target that it waited for.
    pub fn leave(&mut self, place: Place) -> Option<TargetKey> {
        let i = self.find(place)?;
        Some(self.waiting.remove(i).key)
    }

    /// The request whose turn at a target is next.
    pub fn next(&self, key: TargetKey) -> Option<Place> {
        let mut waiting = self.waiting.iter();
        let next = waiting.find(|w| w.key == key && w.granted.is_none());
        next.map(|w| w.place)
    }

    /// The requests whose turns at a target come after the one with this place.
    pub fn behind(&self, key: TargetKey, place: Place) -> impl Iterator<Item = Place> {
        let behind = self.waiting.iter().rev();
        behind
            .take_while(move |w| w.place > place)
            .filter(move |w| w.key == key)
            .map(|w| w.place)
    }

    /// The time after which a refused request may return to be served by the target: after the requests that
    /// wait and those that were refused before. `spread`, 0 to 1, differs between requests. `None` if the
    /// target takes no requests any more.
    pub fn promise(
        &mut self,
        target: Target<'_>,
        objective: Duration,
        spread: f64,
        now: Duration,
    ) -> Option<Duration> {
        self.promises.retain(|p| p.at > now);
        let promised = self.promised(target.key, now);
        let ahead = self.count(Some(target.key)) + promised;
        let turn = expected_turn(target.availability, ahead, objective, now)?;
        let wait = match turn.after_response {
            true => turn.wait + RETURN_SPREAD.mul_f64(spread.clamp(0.0, 1.0)),
            false => turn.wait,
        };
        let wait = wait.max(MIN_RETURN);
        if promised < MAX_PROMISES {
            self.promises.push(Promise {
                key: target.key,
                at: now.saturating_add(wait),
            });
        }
        Some(wait)
    }

    fn find(&self, place: Place) -> Option<usize> {
        self.waiting.binary_search_by_key(&place, |w| w.place).ok()
    }
}

impl Waiting {
    /// Whether it goes before those with later places. While the target has not responded after its backoff, a
    /// granted turn is the next request that it gets.
    fn precedes(&self, backs_off: bool, now: Duration) -> bool {
        match self.granted {
            None => true,
            Some(at) => backs_off && now < at.saturating_add(PROBE_INTERVAL),
        }
    }
}

/// An expected turn.
struct Turn {
    wait: Duration,
    /// Whether it is expected after the target's first response, when all waiting requests are sent.
    after_response: bool,
}

/// The turn of a request with `ahead` others before it: after as many intervals, or when the target has
/// responded to the first request, which it does within `objective`. A first response that is overdue is not
/// expected any more.
fn expected_turn(
    availability: &Availability,
    ahead: usize,
    objective: Duration,
    now: Duration,
) -> Option<Turn> {
    let wait = availability.wait(now)?;
    let Some(backoff) = availability.backoff() else {
        return Some(Turn {
            wait,
            after_response: true,
        });
    };
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    let by_interval = wait.saturating_add(PROBE_INTERVAL.saturating_mul(ahead));
    let first_sent = backoff.first_sent().unwrap_or(now.max(backoff.until));
    let response = first_sent
        .saturating_add(objective)
        .checked_sub(now)
        .map(|left| left.max(wait));
    Some(match response {
        Some(response) if response < by_interval => Turn {
            wait: response,
            after_response: true,
        },
        _ => Turn {
            wait: by_interval,
            after_response: false,
        },
    })
}
