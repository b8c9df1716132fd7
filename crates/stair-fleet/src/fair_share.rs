//! Shares the prefill slots of one engine among callers of equal rank.
//!
//! The engine's agent remembers the prefill time that it granted to each caller, and the prompts
//! that wait. A prompt that has to wait gets a turn: its place in the order, and the time at which
//! it asks again. Prompts ask in the order of their places, so the slot is theirs when they do; no
//! reply is delayed, and a turn whose prompt does not ask again lapses.
//!
//! While no prompt of any caller waits and none had to within the window, the decisions are those
//! of [`Schedule::reserve`].
//!
//! # Invariants
//!
//! - A prompt that [`Schedule::reserve`] would admit is told to wait only while the engine has other
//!   prompts to prefill, and only until the engine can begin the next burst.
//! - It gives way only to waiting prompts before it in the order: by rank; callers without a slot for
//!   [`UNSERVED_TIMEOUT`]; callers below their max-min share by the time that their prompts have
//!   left; the other callers by arrival.
//! - At most [`MAX_TURNS`] turns and [`MAX_CALLERS`] callers are remembered.

mod callers;
mod labels;
mod prompt;

use std::time::Duration;

pub use callers::{
    CallerState,
    Counts,
    MAX_CALLERS,
    MAX_NAME_BYTES,
    WINDOW, //
};
pub use labels::{
    Labels,
    MAX_LABELS, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use callers::{
    Callers,
    Slot, //
};
use prompt::{
    Ahead,
    Prompt,
    longest_hold,
    refusal, //
};

use crate::prefill::{
    Probe,
    Reply,
    Request,
    Schedule, //
};

/// Turns that are remembered. A burst has room for a dozen short prompts, so these are the prompts
/// of several seconds.
pub const MAX_TURNS: usize = 256;

/// Time without a slot after which a caller goes before all others of its rank. A caller is served
/// within 8 s; the rest of that is for the prompts of the other callers in its position.
pub const UNSERVED_TIMEOUT: Duration = Duration::from_secs(4);

/// The longest time until a waiting prompt asks again. Entries of earlier releases ask again after
/// this time.
pub const MAX_RETRY: Duration = Duration::from_millis(300);

/// Time after which a turn lapses whose prompt has not asked again: a round trip and the longest
/// pause of a busy VM.
const TURN_GRACE: Duration = Duration::from_millis(150);

/// Time after which a slot is not kept any longer for a prompt that has not asked again in time: a
/// round trip and a timer. The prompt keeps its place for the next slot.
const POLL_DELAY: Duration = Duration::from_millis(20);

/// Callers in a dump.
const DUMPED_CALLERS: usize = 64;

/// Names the caller of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The workspace, or what the prompt is about.
    pub name: Box<str>,
    /// The rank of the prompt, 0 for the most urgent.
    pub rank: u8,
    /// Identifies the prompt among all prompts of the entry.
    pub prompt: u64,
    /// Time until the prompt must have its slot.
    pub time_left: Duration,
}

impl Caller {
    /// The name of the caller of a prompt about which only its model is known.
    pub fn name_of_model(model: &str) -> Box<str> {
        format!("model/{model}").into()
    }
}

/// The position of a caller among those of its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// It had no slot for [`UNSERVED_TIMEOUT`].
    Unserved,
    /// It was granted less than its share.
    Below,
    /// It was granted its share.
    Above,
}

/// The turn of a prompt that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Time after which the prompt asks again.
    pub retry_in: Duration,
    /// The number of waiting prompts before it.
    pub ahead: u32,
    /// The position of its caller.
    pub standing: Standing,
}

/// A request for a prefill slot.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The connection of the entry.
    pub link: u64,
    /// The caller; `None` if the entry does not name it.
    pub caller: Option<&'a Caller>,
    /// The prompt.
    pub request: &'a Request,
}

/// The reply to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The reply.
    pub reply: Reply,
    /// The prompt's turn, if it has to wait.
    pub turn: Option<Turn>,
    /// Whether the prompt counts as demand that the engine could not meet: the schedule has no slot
    /// for it, or it is refused. Counted once for each prompt.
    pub is_unmet: bool,
    /// Whether slots are short: a prompt of its rank had no slot within [`WINDOW`], or one waits.
    pub is_short: bool,
}

/// A prompt that waits.
#[derive(Debug)]
struct Waiting {
    link: u64,
    prompt: u64,
    caller: Slot,
    /// The first request for a slot.
    asked: Duration,
    /// The latest time at which the engine can begin with it.
    latest: Duration,
    /// The time at which it asks again.
    due: Duration,
    cost: Duration,
    /// Whether it was counted as demand that the engine could not meet.
    is_counted: bool,
    /// What counts as demand of its caller for it, in milliseconds, and in which bucket.
    unmet: Option<(f32, u64)>,
}

/// A place in the order of the prompts that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: u8,
    standing: Standing,
    by: Duration,
}

/// The shares of callers in one engine's prefill slots, and the prompts that wait for them.
#[derive(Debug, Default)]
pub struct FairShares {
    callers: Callers,
    waiting: Vec<Waiting>,
}

impl FairShares {
    /// Reserves the slot of a prompt, or has it wait or go elsewhere. `memory` is the engine's
    /// capacity in tokens.
    pub fn reserve(
        &mut self,
        prefills: &mut Schedule,
        ask: &Ask<'_>,
        memory: u64,
        now: Duration,
    ) -> Decision {
        self.callers.advance(prefills.backlog(now), now);
        self.drop_lapsed(now);
        let prompt = Prompt::of(ask);
        let before = self.take(prompt.link, prompt.id);
        let caller = match ask.caller {
            Some(caller) => self.callers.slot(&caller.name, prompt.rank),
            None => {
                let name = Caller::name_of_model(&ask.request.model);
                self.callers.slot(&name, prompt.rank)
            }
        };
        let probe = prefills.probe(ask.request, now);
        let asked = before.as_ref().map_or(now, |w| w.asked);
        let latest = (now + prompt.time_left).saturating_sub(probe.cost);
        let place = self.place(caller, asked, latest, now);
        let ahead = self.ahead(place, &probe, now);
        // A prompt that comes later may have a better right to the slot.
        let is_late = match place.standing {
            Standing::Unserved => false,
            Standing::Below => self.callers.has_unserved(place.rank),
            Standing::Above => true,
        } || self.callers.is_short_before(place.rank);
        let is_short = self.callers.is_short(caller) || !self.waiting.is_empty();
        let retry_in = match probe.reply.reserved {
            true => prompt.hold(&probe, is_late, &ahead),
            false => Some(prompt.retry(&probe, is_late, &ahead)),
        };
        let Some(retry_in) = retry_in else {
            let reply = prefills.reserve(ask.request, memory, now);
            if let Some((cost, bucket)) = before.and_then(|w| w.unmet) {
                self.callers.remove_unmet(caller, cost, bucket);
            }
            self.callers.grant(caller, ms(probe.cost), now);
            return Decision {
                reply,
                turn: None,
                is_unmet: false,
                is_short,
            };
        };
        let is_known = before.is_some();
        let was_counted = before.as_ref().map_or(!ask.request.first, |w| w.is_counted);
        let unmet = match before {
            Some(before) => before.unmet,
            None if ask.request.first => {
                let cost = ms(probe.cost);
                Some((cost, self.callers.add_unmet(caller, cost, now)))
            }
            // Its demand counts at the engine that it asked first.
            None => None,
        };
        let reply = refusal(&probe, &prompt, &ahead, ask.request);
        if reply.wait > prompt.time_left {
            self.callers.count_refused(caller);
            return Decision {
                reply,
                turn: None,
                is_unmet: !was_counted,
                is_short: true,
            };
        }
        let is_unmet = !was_counted && !probe.reply.reserved;
        if !is_known {
            self.callers.count_waited(caller);
        }
        self.insert(
            Waiting {
                link: prompt.link,
                prompt: prompt.id,
                caller,
                asked,
                latest,
                due: now + retry_in,
                cost: probe.cost,
                is_counted: was_counted || is_unmet,
                unmet,
            },
            now,
        );
        Decision {
            reply,
            turn: Some(Turn {
                retry_in,
                ahead: ahead.prompts,
                standing: place.standing,
            }),
            is_unmet,
            is_short: true,
        }
    }

    /// Drops the turns of an entry whose link has ended.
    pub fn link_closed(&mut self, link: u64) {
        let callers = &mut self.callers;
        self.waiting.retain(|w| {
            if w.link == link {
                callers.turn_ended(w.caller);
            }
            w.link != link
        });
    }

    /// The number of prompts that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The number of callers that are remembered.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// The callers that were granted most within [`WINDOW`].
    pub fn states(&self) -> Vec<CallerState> {
        self.callers.most_granted(DUMPED_CALLERS)
    }

    fn drop_lapsed(&mut self, now: Duration) {
        let callers = &mut self.callers;
        self.waiting.retain(|w| {
            let is_live = w.due + TURN_GRACE >= now;
            if !is_live {
                callers.turn_ended(w.caller);
            }
            is_live
        });
    }

    fn take(&mut self, link: u64, prompt: u64) -> Option<Waiting> {
        let is_same = |w: &Waiting| w.link == link && w.prompt == prompt;
        let i = self.waiting.iter().position(is_same)?;
        let taken = self.waiting.swap_remove(i);
        self.callers.turn_ended(taken.caller);
        Some(taken)
    }

    fn place(&self, caller: Slot, asked: Duration, latest: Duration, now: Duration) -> Place {
        let (standing, by) = match self.callers.unserved_since(caller, now) {
            Some(since) => (Standing::Unserved, since),
            None if self.callers.is_below(caller) => (Standing::Below, latest),
            None => (Standing::Above, asked),
        };
        Place {
            rank: self.callers.rank(caller),
            standing,
            by,
        }
    }

    /// The waiting prompts before `place`.
    fn ahead(&self, place: Place, probe: &Probe, now: Duration) -> Ahead {
        let latest = longest_hold(probe);
        let mut ahead = Ahead::default();
        for w in &self.waiting {
            if self.place(w.caller, w.asked, w.latest, now) >= place {
                continue;
            }
            ahead.prompts += 1;
            ahead.cost += w.cost;
            let due_in = w.due.saturating_sub(now);
            let is_overdue = w.due + POLL_DELAY < now;
            if due_in <= latest && !is_overdue {
                ahead.due_in = Some(ahead.due_in.map_or(due_in, |d| d.min(due_in)));
            }
        }
        ahead
    }

    /// Remembers a prompt. If there are too many, the last one in the order is forgotten; it keeps
    /// asking, without a turn.
    fn insert(&mut self, new: Waiting, now: Duration) {
        let place = |w: &Waiting| self.place(w.caller, w.asked, w.latest, now);
        if self.waiting.len() >= MAX_TURNS {
            let last = (0..self.waiting.len()).max_by_key(|i| place(&self.waiting[*i]));
            match last.filter(|i| place(&self.waiting[*i]) > place(&new)) {
                Some(i) => {
                    let forgotten = self.waiting.swap_remove(i);
                    self.callers.turn_ended(forgotten.caller);
                }
                None => return,
            }
        }
        self.callers.turn_began(new.caller);
        self.waiting.push(new);
    }
}

fn ms(t: Duration) -> f32 {
    t.as_secs_f32() * 1000.0
}
