//! The limits of all targets that one process counts.

use std::time::Duration;

use serde::Serialize;

use super::{
    CachedLimit, Change, Limiter, Rate, Statement, ToLedger, ToSender,
    limiter::{
        Requested,
        Ticket, //
    },
};

/// Time without a message about a target after which its state is dropped.
const IDLE_TTL: Duration = Duration::from_secs(600);

/// The limits of all targets that one process counts.
#[derive(Debug, Clone, Serialize)]
pub struct Ledger {
    epoch: u64,
    /// Sorted by target.
    limiters: Vec<Entry>,
}

#[derive(Debug, Clone, Serialize)]
struct Entry {
    #[serde(flatten)]
    limiter: Limiter,
    #[serde(skip)]
    used: Duration,
}

/// A message to the sender of one link.
#[derive(Debug, Clone, PartialEq)]
pub struct Addressed {
    /// The link.
    pub owner: u64,
    /// The message.
    pub msg: ToSender,
}

/// What follows from a message to the ledger.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Effects {
    /// Messages to single senders.
    pub replies: Vec<Addressed>,
    /// Changed limits, which all senders receive.
    pub changes: Vec<Change>,
}

impl Ledger {
    /// Creates an empty ledger. `epoch` differs from those of all other processes.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            limiters: Vec::new(),
        }
    }

    /// Applies a message of the sender of link `owner`.
    pub fn receive(&mut self, owner: u64, msg: ToLedger, now: Duration) -> Effects {
        let mut effects = Effects::default();
        match msg {
            ToLedger::Request {
                seq,
                target,
                rank,
                max_wait,
                known,
                stand_in,
            } => {
                let limiter = self.limiter(&target, now);
                limiter.set_stand_in(stand_in, now);
                effects.changes.extend(limiter.adopt(&known, now));
                let ticket = Ticket { owner, seq };
                let msg = match limiter.request(ticket, rank, max_wait, now) {
                    Requested::Done(reply) => ToSender::Reply { seq, reply },
                    Requested::Queued(wait) => ToSender::Queued { seq, wait },
                };
                effects.replies.push(Addressed { owner, msg });
            }
            ToLedger::Cancel { target, seq } => {
                let ticket = Ticket { owner, seq };
                self.limiter(&target, now).cancel(ticket);
            }
            ToLedger::Unused { target } => self.limiter(&target, now).unused(now),
            ToLedger::Stated { target, statement } => {
                let change = self.limiter(&target, now).state(&statement, now);
                effects.changes.extend(change);
            }
            ToLedger::Known(list) => {
                for (target, known) in list {
                    let change = self.limiter(&target, now).adopt(&known, now);
                    effects.changes.extend(change);
                }
            }
        }
        effects.replies.extend(self.settle(now));
        effects
    }

    /// Applies a response to a call of this process itself.
    pub fn state(&mut self, target: &str, statement: &Statement, now: Duration) -> Option<Change> {
        self.limiter(target, now).state(statement, now)
    }

    /// Adopts a limit, as [`Limiter::adopt`].
    pub fn adopt(&mut self, target: &str, known: &CachedLimit, now: Duration) -> Option<Change> {
        self.limiter(target, now).adopt(known, now)
    }

    /// Grants and refuses requests that wait, as [`Limiter::settle`].
    pub fn settle(&mut self, now: Duration) -> Vec<Addressed> {
        let mut out = Vec::new();
        for entry in &mut self.limiters {
            let settled = entry.limiter.settle(now).into_iter();
            out.extend(settled.map(|(ticket, reply)| Addressed {
                owner: ticket.owner,
                msg: ToSender::Reply {
                    seq: ticket.seq,
                    reply,
                },
            }));
        }
        out
    }

    /// Time until [`Ledger::settle`] has to be called; `None` if nothing waits.
    pub fn next_settle(&self, now: Duration) -> Option<Duration> {
        let all = self.limiters.iter();
        all.filter_map(|e| e.limiter.next_settle(now)).min()
    }

    /// Withdraws the requests of a sender whose link has ended.
    pub fn owner_disconnected(&mut self, owner: u64) {
        for entry in &mut self.limiters {
            entry.limiter.owner_disconnected(owner);
        }
    }

    /// The message that begins a link.
    pub fn all(&self) -> ToSender {
        ToSender::All {
            epoch: self.epoch,
            limits: self.limits().map(|(t, r)| (t.into(), r)).collect(),
        }
    }

    /// The message that tells senders of a change.
    pub fn notice(&self, change: &Change) -> ToSender {
        ToSender::Changed {
            epoch: self.epoch,
            target: change.target.clone(),
            rate: change.rate,
        }
    }

    /// The targets with a limit, sorted.
    pub fn limits(&self) -> impl Iterator<Item = (&str, Rate)> {
        let all = self.limiters.iter().map(|e| &e.limiter);
        all.filter_map(|l| Some((l.target(), l.rate()?)))
    }

    /// The state of a target.
    pub fn limiter(&mut self, target: &str, now: Duration) -> &mut Limiter {
        let find = |list: &[Entry]| list.binary_search_by(|e| e.limiter.target().cmp(target));
        let i = match find(&self.limiters) {
            Ok(i) => i,
            Err(_) => {
                let used = |e: &Entry| now.saturating_sub(e.used) < IDLE_TTL;
                self.limiters.retain(used);
                let i = find(&self.limiters).unwrap_or_else(|i| i);
                let limiter = Limiter::new(target, self.epoch, now);
                self.limiters.insert(i, Entry { limiter, used: now });
                i
            }
        };
        self.limiters[i].used = now;
        &mut self.limiters[i].limiter
    }
}
