//! The limit of one target: its statements, its token bucket and the requests that wait for it.

use std::time::Duration;

use serde::Serialize;

use super::{
    CachedLimit,
    Change,
    ChangeKind,
    Rate,
    Reply,
    Source,
    Stamp,
    Statement, //
};

/// Time whose requests may be sent at once. One request may always be.
const BURST_TIME: Duration = Duration::from_millis(250);

/// The longest time over which the return times of refused clients are spread.
const RETURN_SPREAD_WINDOW: Duration = Duration::from_secs(2);

/// Fraction of the limit that an agent's own calls may take while the target carries out no order.
const IDLE_CALLS_FRACTION: f64 = 0.1;

/// Fraction of the limit that an agent's own calls may take during an order.
const BUSY_CALLS_FRACTION: f64 = 0.5;

/// Fraction of the limit that a stand-in grants.
const STAND_IN_FRACTION: f64 = 0.5;

/// Time after a request to the process itself, and not to a stand-in, for which it grants the whole
/// limit.
const WHOLE_LIMIT_TTL: Duration = Duration::from_secs(2);

/// While requests wait, the agent's own calls are this many times as rare.
const OVERDUE_FACTOR: u32 = 3;

/// Bound on waits, beyond all deadlines.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// The limit of one target.
#[derive(Debug, Clone, Serialize)]
pub struct Limiter {
    target: Box<str>,
    #[serde(skip)]
    epoch: u64,
    /// Statements so far.
    statements: u64,
    limit: Option<Limit>,
    /// The limit that was lifted last, and the statement that lifted it.
    #[serde(skip)]
    lifted: Option<(Rate, u64)>,
    /// Requests that may be sent at once; below 0 after calls that were not granted before.
    level: f64,
    at: Duration,
    /// Whether the limit is a sender's own share.
    #[serde(skip)]
    is_share: bool,
    /// Whether the process stands in for another one.
    is_stand_in: bool,
    /// The time until which requests as a stand-in do not count, after one that was not.
    #[serde(skip)]
    whole_until: Option<Duration>,
    /// When the next refused client may return.
    #[serde(skip)]
    next_return_at: Duration,
    /// When the agent last called the target by itself.
    #[serde(skip)]
    called_at: Option<Duration>,
    /// Whether a permit is ready for the agent's own call.
    #[serde(skip)]
    call_granted: bool,
    /// Ordered by urgency and arrival.
    waiting: Vec<Waiter>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Limit {
    rate: Rate,
    since: Duration,
    source: Source,
    /// The last statement that named it.
    stated: u64,
    /// Whether responses to the agent's own calls name it.
    in_agent_calls: bool,
}

/// Identifies a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Ticket {
    /// The link of its sender.
    pub owner: u64,
    /// Its number among those of the sender.
    pub seq: u64,
}

/// Identifies the agent's own call among the requests that wait.
const OWN_CALL: Ticket = Ticket {
    owner: u64::MAX,
    seq: u64::MAX,
};

#[derive(Debug, Clone, Copy, Serialize)]
struct Waiter {
    ticket: Ticket,
    rank: u8,
    until: Duration,
}

/// The result of [`Limiter::request`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Requested {
    /// It is granted or refused.
    Done(Reply),
    /// It waits, for this time by all that is known.
    Queued(Duration),
}

impl Limiter {
    /// Creates the state of a target that has named no limit. `epoch` identifies the process.
    pub fn new(target: &str, epoch: u64, now: Duration) -> Self {
        Self {
            target: target.into(),
            epoch,
            statements: 0,
            limit: None,
            lifted: None,
            level: 0.0,
            at: now,
            is_share: false,
            is_stand_in: false,
            whole_until: None,
            next_return_at: now,
            called_at: None,
            call_granted: false,
            waiting: Vec::new(),
        }
    }

    /// The target's id.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// The limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.limit.map(|l| l.rate)
    }

    /// The stamp of a request that is sent now.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            epoch: self.epoch,
            seq: self.statements,
        }
    }

    /// Applies what a response states. [`Limiter::settle`] has to be called after a change.
    pub fn state(&mut self, statement: &Statement, now: Duration) -> Option<Change> {
        self.statements += 1;
        let newer = |than: u64| {
            let stamp = statement.stamp.filter(|s| s.epoch == self.epoch);
            stamp.is_some_and(|s| s.seq >= than)
        };
        match (statement.rate, self.limit) {
            (Some(rate), None) => {
                let outdated = |(lifted, at): (Rate, u64)| {
                    lifted == rate && statement.stamp.is_some() && !newer(at)
                };
                if self.lifted.is_some_and(outdated) {
                    return None;
                }
                Some(self.set(rate, statement.source, now))
            }
            (Some(rate), Some(limit)) if rate == limit.rate => {
                let statements = self.statements;
                if let Some(limit) = &mut self.limit {
                    limit.stated = statements;
                    limit.in_agent_calls |= statement.source == Source::AgentCall;
                }
                None
            }
            // Of two statements whose order is unknown the lower limit holds.
            (Some(rate), Some(limit)) if rate < limit.rate || newer(limit.stated) => {
                Some(self.set(rate, statement.source, now))
            }
            (None, Some(limit)) if newer(limit.stated) => {
                let names = statement.source != Source::AgentCall || limit.in_agent_calls;
                names.then(|| self.lift(limit, statement.source, now))
            }
            _ => None,
        }
    }

    /// Adopts a limit that a sender knows, unless this process has lifted it.
    pub fn adopt(&mut self, known: &CachedLimit, now: Duration) -> Option<Change> {
        if self.limit.is_some() || known.epoch == Some(self.epoch) {
            return None;
        }
        self.statements += 1;
        Some(self.set(known.rate, Source::Process, now))
    }

    /// Records a request to this process, or to it as a stand-in for another one.
    pub fn set_stand_in(&mut self, stand_in: bool, now: Duration) {
        self.refill(now);
        if !stand_in {
            self.whole_until = Some(now + WHOLE_LIMIT_TTL);
        }
        self.is_stand_in = stand_in && self.whole_until.is_none_or(|t| now >= t);
    }

    /// Sets the limit to a sender's own share of it.
    pub fn set_share(&mut self, rate: Rate, now: Duration) {
        self.is_share = true;
        if self.rate() != Some(rate) {
            self.set(rate, Source::Process, now);
        }
    }

    fn set(&mut self, rate: Rate, source: Source, now: Duration) -> Change {
        self.refill(now);
        let before = self.limit;
        if before.is_none() {
            // Requests that were sent before are not known.
            self.level = 0.0;
            self.next_return_at = now;
        }
        self.limit = Some(Limit {
            rate,
            since: now,
            source,
            stated: self.statements,
            in_agent_calls: source == Source::AgentCall,
        });
        self.level = self.level.min(self.burst());
        Change {
            target: self.target.clone(),
            kind: match before {
                None => ChangeKind::Named,
                Some(_) => ChangeKind::Changed,
            },
            rate: Some(rate),
            source,
            age: before.map_or(Duration::ZERO, |l| now.saturating_sub(l.since)),
        }
    }

    fn lift(&mut self, limit: Limit, source: Source, now: Duration) -> Change {
        self.limit = None;
        self.lifted = Some((limit.rate, self.statements));
        Change {
            target: self.target.clone(),
            kind: ChangeKind::Lifted,
            rate: None,
            source,
            age: now.saturating_sub(limit.since),
        }
    }

    /// Grants a permit, lets the request wait, or refuses it if it cannot be granted in time.
    /// [`Limiter::settle`] has to be called if it waits.
    pub fn request(
        &mut self,
        ticket: Ticket,
        rank: u8,
        max_wait: Duration,
        now: Duration,
    ) -> Requested {
        self.refill(now);
        if self.limit.is_none() {
            return Requested::Done(self.granted());
        }
        let ahead = self.waiting.partition_point(|w| w.rank <= rank);
        let wait = self.time_to(ahead + 1);
        if ahead == 0 && wait.is_zero() {
            self.level -= 1.0;
            return Requested::Done(self.granted());
        }
        if wait > max_wait {
            return Requested::Done(self.refused(now));
        }
        let until = now + max_wait;
        self.waiting.insert(
            ahead,
            Waiter {
                ticket,
                rank,
                until,
            },
        );
        Requested::Queued(wait)
    }

    /// Grants a permit or refuses it at once; the request does not wait. The reply to a refusal has the
    /// time after which it may be granted.
    pub fn request_now(&mut self, now: Duration) -> Reply {
        self.refill(now);
        let wait = self.time_to(self.waiting.len() + 1);
        if !wait.is_zero() {
            return Reply {
                granted: None,
                next: wait,
                retry_after: wait,
            };
        }
        if self.limit.is_some() {
            self.level -= 1.0;
        }
        self.granted()
    }

    /// Grants what can be granted now, and refuses requests that can no longer be granted in time.
    pub fn settle(&mut self, now: Duration) -> Vec<(Ticket, Reply)> {
        self.refill(now);
        let mut out = Vec::new();
        while !self.waiting.is_empty() && self.time_to(1).is_zero() {
            let first = self.waiting.remove(0);
            if self.limit.is_some() {
                self.level -= 1.0;
            }
            match first.ticket {
                OWN_CALL => self.call_granted = true,
                ticket => out.push((ticket, self.granted())),
            }
        }
        let mut i = 0;
        while i < self.waiting.len() {
            if now + self.time_to(i + 1) <= self.waiting[i].until {
                i += 1;
                continue;
            }
            let late = self.waiting.remove(i);
            out.push((late.ticket, self.refused(now)));
        }
        out
    }

    /// Time until [`Limiter::settle`] has to be called; `None` if nothing waits.
    pub fn next_settle(&self, now: Duration) -> Option<Duration> {
        let grants_at = self.at + self.time_to(1);
        (!self.waiting.is_empty()).then(|| grants_at.saturating_sub(now))
    }

    /// Withdraws a request that waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Withdraws all requests of a sender whose link has ended.
    pub fn owner_disconnected(&mut self, owner: u64) {
        self.waiting.retain(|w| w.ticket.owner != owner);
    }

    /// Takes back a permit that was not used.
    pub fn unused(&mut self, now: Duration) {
        self.refill(now);
        self.level = (self.level + 1.0).min(self.burst());
    }

    /// Whether the agent may call the target by itself now; if so, the call is counted.
    pub fn may_call(&mut self, busy: bool, now: Duration) -> bool {
        if self.limit.is_none() {
            return true;
        }
        let fraction = match busy {
            true => BUSY_CALLS_FRACTION,
            false => IDLE_CALLS_FRACTION,
        };
        let pause = Duration::from_secs_f64(1.0 / (fraction * self.granted_rate()));
        let due = |at: Duration| now.saturating_sub(at) >= pause;
        // The first call after the limit was named waits as well.
        let last = self.called_at.or(self.limit.map(|l| l.since));
        let overdue = |at: Duration| now.saturating_sub(at) >= pause * OVERDUE_FACTOR;
        if std::mem::take(&mut self.call_granted) {
            self.called_at = Some(now);
            return true;
        }
        match self.waiting.last().map(|w| w.rank) {
            None if last.is_none_or(due) => {
                self.charge(now);
                return true;
            }
            // Counted at once, the call would make requests late that have been promised a permit.
            Some(rank) if last.is_none_or(overdue) => self.queue_call(rank),
            _ => {}
        }
        false
    }

    /// Lets the agent's own call wait behind all requests that wait now.
    fn queue_call(&mut self, rank: u8) {
        if self.waiting.iter().all(|w| w.ticket != OWN_CALL) {
            self.waiting.push(Waiter {
                ticket: OWN_CALL,
                rank,
                until: Duration::MAX,
            });
        }
    }

    /// Whether the agent may send an order now. Requests go first.
    pub fn has_permit(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.limit.is_none() || (self.waiting.is_empty() && self.time_to(1).is_zero())
    }

    /// As [`Limiter::has_permit`]; if it is permitted, the order is counted.
    pub fn may_order(&mut self, now: Duration) -> bool {
        let permitted = self.has_permit(now);
        if permitted && self.limit.is_some() {
            self.charge(now);
        }
        permitted
    }

    /// Counts a call that was not granted before.
    pub fn charge(&mut self, now: Duration) {
        self.refill(now);
        if self.limit.is_some() {
            self.level -= 1.0;
            self.called_at = Some(now);
        }
    }

    /// Time until one more request could be sent if it was the most urgent one.
    pub fn next(&self, now: Duration) -> Duration {
        (self.at + self.time_to(1)).saturating_sub(now)
    }

    /// Time between two permits; `None` without a limit.
    pub fn interval(&self) -> Option<Duration> {
        self.limit?;
        Some(Duration::from_secs_f64(1.0 / self.granted_rate()))
    }

    fn granted(&self) -> Reply {
        Reply {
            granted: Some(self.stamp()),
            next: self.time_to(1),
            retry_after: Duration::ZERO,
        }
    }

    fn refused(&mut self, now: Duration) -> Reply {
        let earliest = now + self.time_to(self.waiting.len() + 1);
        let latest = earliest + RETURN_SPREAD_WINDOW;
        let back = self.next_return_at.clamp(earliest, latest);
        self.next_return_at = back + self.interval().unwrap_or_default();
        Reply {
            granted: None,
            next: self.time_to(1),
            retry_after: back - now,
        }
    }

    fn granted_rate(&self) -> f64 {
        let Some(rate) = self.rate() else {
            return 1.0;
        };
        if self.is_share {
            return rate.per_s();
        }
        let fraction = match self.is_stand_in {
            true => STAND_IN_FRACTION,
            false => 1.0,
        };
        rate.granted().per_s() * fraction
    }

    fn burst(&self) -> f64 {
        (self.granted_rate() * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let more = self.granted_rate() * passed.as_secs_f64();
        self.level = (self.level + more).min(self.burst());
    }

    /// Time from the last refill until `n` requests can have been sent.
    fn time_to(&self, n: usize) -> Duration {
        /// Fraction of a request that is rounding error.
        const ROUNDING: f64 = 1e-9;
        let missing = n as f64 - self.level - ROUNDING;
        if self.limit.is_none() || missing <= 0.0 {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64(missing / self.granted_rate());
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}
