//! Decides which requests of a workspace are admitted while its quota is short.
//!
//! The demand of a workspace is counted apart from what it is admitted, refused requests included. While
//! the demand is within the quota, all requests are admitted. Otherwise the quota is short until the demand has
//! been below it for some time. Each rank and route has a [`Class`] with a share of the rate meanwhile, and a
//! request is admitted if its class has not used up its share. The size of a request does not matter for that, so
//! large and small requests of a route are admitted at the same fraction.
//!
//! A client that is refused gets a reservation if it still waits when its class can serve it. A quarter of each
//! share is promised that way: with all of it promised, each request would be served only after a refusal.

use std::time::Duration;

use serde::Serialize;

pub use super::class::{
    Class,
    Counts, //
};
use super::{
    Bucket, OrderedReply, OrderedRequest, Refused, Reply, Rule,
    class::{
        LimitedBy,
        divide, //
    },
    reservation::{
        Reservation,
        Reservations,
        TOLERANCE, //
    },
};
use crate::workspace::Quota;

/// Time whose rate the order may overdraw for requests that must not be refused because others have just spent
/// the quota. The bound of 8 s allows an excess of a tenth, which is 0.8 s.
pub const OVERDRAFT: Duration = Duration::from_millis(300);

/// The longest wait of an admitted request, which is also bounded by its objective. The bound allows no more.
pub const MAX_FRESH_WAIT: Duration = Duration::from_millis(250);

/// Time whose rate the demand may be in debt: after a long excess, the quota is short no longer than this at
/// moderate demand.
const MAX_DEMAND_DEBT: Duration = Duration::from_secs(1);

/// Pause between two divisions of the quota.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(50);

/// Time over which the level of the bucket is brought to [`RESERVE_FRACTION`].
const LEVEL_TIME_S: f64 = 2.0;

/// Part of the burst, and of a second's rate, that is kept for sudden demand of higher ranks.
const RESERVE_FRACTION: f64 = 0.25;

/// Part of the share of a class that is promised to refused clients.
const PROMISED_FRACTION: f64 = 0.25;

/// Time over which the return times of clients without a reservation are spread.
const RETURN_SPREAD_WINDOW: Duration = Duration::from_secs(2);

/// The latest time of a reservation, beyond the timeouts of known clients.
const MAX_RESERVATION: Duration = Duration::from_secs(60);

/// Classes of one workspace. More routes than this share classes.
const MAX_CLASSES: usize = 32;

/// The order among the requests of one workspace.
#[derive(Debug, Clone, Serialize)]
pub struct Order {
    /// Charged with all requests, also with refused ones.
    demand: Bucket,
    /// Since when the quota is short.
    short_since: Option<Duration>,
    /// Sorted by rank and route.
    classes: Vec<Class>,
    reservations: Reservations,
    #[serde(skip)]
    divided_at: Duration,
    /// Whether the quota or the classes have changed since.
    #[serde(skip)]
    is_outdated: bool,
}

impl Order {
    /// Creates the order of a workspace whose requests have been charged to `bucket` so far.
    pub fn new(bucket: &Bucket, now: Duration) -> Self {
        Self {
            demand: bucket.clone(),
            short_since: None,
            classes: Vec::new(),
            reservations: Reservations::default(),
            divided_at: now,
            is_outdated: true,
        }
    }

    /// Changes the quota.
    pub fn set(&mut self, quota: Quota, now: Duration) {
        if quota != self.demand.quota() {
            self.demand.set(quota, now);
            self.is_outdated = true;
        }
    }

    /// Whether the quota is short.
    pub fn is_short(&self) -> bool {
        self.short_since.is_some()
    }

    /// The ranks and routes, sorted.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    pub(super) fn estimate(&mut self, now: Duration) {
        self.classes.iter_mut().for_each(|c| c.estimate(now));
    }

    /// The number of clients that have a reservation.
    pub fn reserved(&self) -> usize {
        self.reservations.len()
    }

    /// Charges a request that was admitted without the order.
    pub(super) fn charge(&mut self, cost: f64, now: Duration) {
        self.demand.charge_limited(cost, MAX_DEMAND_DEBT, now);
    }

    /// Refunds the cost of a request that was not run.
    pub(super) fn refund(&mut self, cost: f64, now: Duration) {
        self.demand.refund(cost, now);
    }

    /// Admits a request, now or after a short wait, or returns when its client is served.
    pub fn decide(
        &mut self,
        bucket: &mut Bucket,
        req: &OrderedRequest,
        now: Duration,
    ) -> OrderedReply {
        let quota = bucket.quota();
        let cost = quota.bounded(req.request.cost);
        bucket.refill(now);
        self.demand.refill(now);
        self.expire(now);
        let i = self.class(req, now);
        let held = req.fingerprint.and_then(|f| self.reservations.get(f));
        let is_due = held.is_some_and(|r| now + TOLERANCE >= r.at);
        let is_within = self.demand.level() >= 0.0;
        // A client that returns when told was counted when it was refused.
        if !is_due {
            self.demand.charge_limited(cost, MAX_DEMAND_DEBT, now);
        }
        self.classes[i].record(cost, now);
        self.update(bucket, is_within, now);
        let overdraft = quota.per_s * OVERDRAFT.as_secs_f64();
        let max_wait = req.request.max_wait.min(MAX_FRESH_WAIT);
        let admit = |order: &mut Self, bucket: &mut Bucket, wait| {
            if let Some(held) = held {
                order.reservations.claim(held.fingerprint);
            }
            bucket.charge(cost, now);
            let class = &mut order.classes[i];
            class.charge(cost);
            class.counts.admitted += 1;
            OrderedReply {
                reply: Reply {
                    granted: true,
                    wait,
                },
                short: order.is_short(),
                refused: None,
            }
        };
        let open = bucket.level() >= -overdraft;
        if req.request.admitted || (!self.is_short() && open) {
            return admit(self, bucket, Duration::ZERO);
        }
        if let Some(held) = held {
            let early = held.at.saturating_sub(now);
            let wait = early.max(bucket.refill_time(-overdraft - bucket.level()));
            if early <= max_wait.max(TOLERANCE) && wait <= MAX_FRESH_WAIT {
                return admit(self, bucket, wait);
            }
            if !is_due {
                return self.refuse_early(i, early, cost);
            }
            self.reservations.claim(held.fingerprint);
        }
        let class = &self.classes[i];
        // Requests within their share, and of the highest rank, may overdraw the quota.
        let floor = match (class.limited_by, class.rank == self.classes[0].rank) {
            (LimitedBy::Nothing, _) => -overdraft,
            (_, true) => -overdraft / 2.0,
            (_, false) => 0.0,
        };
        let lacking = (floor - bucket.level()).max(0.0);
        let own_wait = wait_time(-class.level, class.share);
        let wait = own_wait.max(bucket.refill_time(lacking));
        if wait <= max_wait {
            return admit(self, bucket, wait);
        }
        let rule = match class.limited_by {
            _ if own_wait <= max_wait => Rule::Bound,
            LimitedBy::Rank => Rule::Rank,
            LimitedBy::Nothing | LimitedBy::Route => Rule::Route,
        };
        let short_by = lacking.max(-class.level);
        self.refuse(
            i,
            req,
            Refusal {
                cost,
                wait,
                rule,
                short_by,
                again: held.is_some(),
            },
            now,
        )
    }

    fn refuse_early(&mut self, i: usize, wait: Duration, cost: f64) -> OrderedReply {
        let counts = &mut self.classes[i].counts;
        counts.refused += 1;
        counts.refused_again += 1;
        OrderedReply {
            reply: Reply {
                granted: false,
                wait,
            },
            short: true,
            refused: Some(Refused {
                rule: Rule::Early,
                short_by: cost,
                reserved: true,
                again: true,
            }),
        }
    }

    fn refuse(
        &mut self,
        i: usize,
        req: &OrderedRequest,
        refusal: Refusal,
        now: Duration,
    ) -> OrderedReply {
        let is_full = self.reservations.is_full();
        let class = &mut self.classes[i];
        class.counts.refused += 1;
        class.counts.refused_again += u64::from(refusal.again);
        let spacing = wait_time(refusal.cost, class.share * PROMISED_FRACTION);
        let earliest = now + refusal.wait;
        let at = class.next_reservation.max(earliest);
        // The rest of the client's time is for serving it.
        let needed = req.objective.min(req.time_left / 2);
        let until = now + req.time_left.saturating_sub(needed).min(MAX_RESERVATION);
        let reserved = req.fingerprint.filter(|_| !is_full && at <= until);
        let back = match reserved {
            Some(fingerprint) => {
                class.next_reservation = at + spacing;
                self.reservations.add(Reservation {
                    fingerprint,
                    at,
                    class: class.key(),
                    spacing,
                });
                at
            }
            None => {
                let back = class.next_return.clamp(at, at + RETURN_SPREAD_WINDOW);
                class.next_return = back + wait_time(refusal.cost, class.share);
                back
            }
        };
        OrderedReply {
            reply: Reply {
                granted: false,
                wait: back - now,
            },
            short: self.is_short(),
            refused: Some(Refused {
                rule: refusal.rule,
                short_by: refusal.short_by,
                reserved: reserved.is_some(),
                again: refusal.again,
            }),
        }
    }

    /// Index of the class of a request.
    fn class(&mut self, req: &OrderedRequest, now: Duration) -> usize {
        let key = (req.rank, &*req.route);
        let found = self
            .classes
            .binary_search_by(|c| (c.rank, &*c.route).cmp(&key));
        let at = match found {
            Ok(i) => return i,
            Err(i) => i,
        };
        if self.classes.len() < MAX_CLASSES {
            self.classes
                .insert(at, Class::new(req.rank, &req.route, now));
            self.is_outdated = true;
            return at;
        }
        if let Some(idle) = self.classes.iter().position(|c| c.is_idle(now)) {
            self.classes.remove(idle);
            return self.class(req, now);
        }
        at.min(MAX_CLASSES - 1)
    }

    /// Begins and ends the shortage, and divides the quota.
    fn update(&mut self, bucket: &Bucket, is_within: bool, now: Duration) {
        let quota = bucket.quota();
        match self.short_since {
            None if is_within => return,
            None => {
                self.short_since = Some(now);
                self.divide(bucket, now);
                self.classes.iter_mut().for_each(Class::begin);
            }
            Some(_) if self.demand.level() >= quota.burst / 2.0 && is_within => {
                self.short_since = None;
                return;
            }
            Some(_) => {}
        }
        if self.is_outdated || self.divided_at + DIVIDE_INTERVAL <= now {
            self.divide(bucket, now);
        }
        self.classes.iter_mut().for_each(|c| c.refill(now));
    }

    fn divide(&mut self, bucket: &Bucket, now: Duration) {
        self.divided_at = now;
        self.is_outdated = false;
        let quota = bucket.quota();
        for class in &mut self.classes {
            class.refill(now);
            class.estimate(now);
            let latest = now + MAX_RESERVATION;
            class.next_reservation = class.next_reservation.min(latest);
        }
        let reserve = quota.burst.min(quota.per_s) * RESERVE_FRACTION;
        let capacity = quota.per_s + (bucket.level() - reserve) / LEVEL_TIME_S;
        let capacity = capacity.clamp(quota.per_s / 2.0, quota.per_s * 2.0);
        divide(&mut self.classes, quota.per_s, capacity);
    }

    /// Gives the time of unclaimed reservations to other clients.
    fn expire(&mut self, now: Duration) {
        let classes = &mut self.classes;
        self.reservations.expire(now, |r| {
            if let Some(class) = classes.iter_mut().find(|c| c.key() == r.class) {
                class.next_reservation = class.next_reservation.saturating_sub(r.spacing);
            }
        });
    }
}

/// A refusal that is decided, before its client's return is known.
struct Refusal {
    cost: f64,
    wait: Duration,
    rule: Rule,
    short_by: f64,
    again: bool,
}

/// Time in which a number of units accumulates at a rate.
fn wait_time(units: f64, rate: f64) -> Duration {
    let time = Duration::try_from_secs_f64(units.max(0.0) / rate);
    time.unwrap_or(MAX_RESERVATION).min(MAX_RESERVATION)
}
