//! How long a prompt without a slot waits until it asks again.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Ask,
    MAX_RETRY, //
};
use crate::prefill::{
    Probe,
    Reply,
    Request,
    burst_duration, //
};

/// The shortest time until a waiting prompt asks again, which bounds the messages.
const MIN_RETRY: Duration = Duration::from_millis(10);

/// Time between the polls of prompts that ask for the same slot, so that they arrive in order.
const RETRY_SPACING: Duration = Duration::from_millis(10);

/// Prompts before another one that delay its poll. A prompt beyond them seldom gets the same slot.
const MAX_SPACINGS: u32 = 5;

/// Time before a slot at which a caller above its share reserves it. Until then a caller below its
/// share may take the slot. The time covers the way of the reply and of the request to the engine.
const RESERVE_AHEAD: Duration = Duration::from_millis(40);

/// What is known of a prompt from its request.
pub(super) struct Prompt {
    pub(super) link: u64,
    pub(super) id: u64,
    pub(super) rank: u8,
    pub(super) time_left: Duration,
    /// Whether the entry asks again at the time that the turn states.
    follows_turn: bool,
}

impl Prompt {
    pub(super) fn of(ask: &Ask<'_>) -> Self {
        let req = ask.request;
        // Without a more urgent route all entries agree on the rank, also those that do not state it.
        let rank = |stated: u8| req.urgent_max_wait.map_or(0, |_| stated.max(1));
        match ask.caller {
            Some(caller) => Self {
                link: ask.link,
                id: caller.prompt,
                rank: rank(caller.rank),
                time_left: caller.time_left,
                follows_turn: true,
            },
            None => Self {
                link: ask.link,
                // The last block belongs to the prompt alone.
                id: req.blocks.last().map_or_else(
                    || xxh3_64_with_seed(req.model.as_bytes(), u64::from(req.tokens)),
                    |b| b.chain,
                ),
                rank: rank(1),
                time_left: req.max_wait,
                follows_turn: false,
            },
        }
    }
}

/// The prompts before another one.
#[derive(Debug, Default)]
pub(super) struct Ahead {
    pub(super) prompts: u32,
    /// Their prefill time.
    pub(super) cost: Duration,
    /// Time until the first of them asks, if that is before the end of the longest hold.
    pub(super) due_in: Option<Duration>,
}

impl Prompt {
    /// Time for which the prompt leaves a slot to others that it could reserve now, if so.
    /// `is_late` is whether it reserves a slot only shortly before.
    pub(super) fn hold(&self, probe: &Probe, is_late: bool, ahead: &Ahead) -> Option<Duration> {
        let longest = longest_hold(probe);
        let shortest = match self.follows_turn {
            true => MIN_RETRY,
            false => MAX_RETRY,
        };
        if longest <= shortest {
            return None;
        }
        // The prompts before it ask first. While they may extend a short burst, it asks before the
        // end of that.
        let last = if probe.extends_short {
            longest - MIN_RETRY
        } else if longest > RESERVE_AHEAD + MIN_RETRY {
            longest - RESERVE_AHEAD + spacing(ahead.prompts)
        } else if longest > 2 * MIN_RETRY {
            longest - MIN_RETRY
        } else {
            longest + MIN_RETRY
        };
        let retry_in = match ahead.due_in {
            Some(_) if is_late => last,
            // It may get a slot in the same burst.
            Some(due_in) => last.min(due_in + spacing(ahead.prompts)),
            None if is_late && probe.reply.wait > RESERVE_AHEAD + MIN_RETRY => {
                probe.reply.wait - RESERVE_AHEAD
            }
            None => return None,
        };
        Some(self.bounded(retry_in))
    }

    /// Time after which the prompt asks again when it cannot reserve a slot now.
    pub(super) fn retry(&self, probe: &Probe, is_late: bool, ahead: &Ahead) -> Duration {
        let reserves_in = match is_late {
            true => probe.reply.wait.saturating_sub(RESERVE_AHEAD),
            false => Duration::ZERO,
        };
        let after_others = probe.opens_in.max(reserves_in) + spacing(ahead.prompts);
        // Those before it may not ask again. The slot is then free at most for this time.
        let latest = probe.opens_in.max(probe.reply.wait + MIN_RETRY);
        self.bounded(after_others.min(latest))
    }

    fn bounded(&self, retry_in: Duration) -> Duration {
        match self.follows_turn {
            true => retry_in.clamp(MIN_RETRY, MAX_RETRY),
            false => MAX_RETRY,
        }
    }
}

/// The longest time for which a prompt may leave a slot to others. The engine is not idle for it: it
/// has other prompts to prefill until then, or takes the break that follows them anyway.
pub(super) fn longest_hold(probe: &Probe) -> Duration {
    match probe.extends_short {
        true => probe.reply.backlog,
        false => probe.next_burst,
    }
}

/// Time by which the poll of a prompt comes after those of the prompts before it.
fn spacing(ahead: u32) -> Duration {
    RETRY_SPACING * ahead.min(MAX_SPACINGS)
}

/// The reply to a prompt without a slot. If the prompts before it take longer than its time, the
/// wait is theirs, so that it goes elsewhere at once.
pub(super) fn refusal(probe: &Probe, prompt: &Prompt, ahead: &Ahead, req: &Request) -> Reply {
    let reply = Reply {
        reserved: false,
        ..probe.reply
    };
    let busy = reply.backlog + ahead.cost;
    // A prompt is sent at the beginning of its burst.
    let earliest = busy.saturating_sub(burst_duration(req));
    match earliest > prompt.time_left {
        true => Reply {
            wait: reply.wait.max(busy),
            backlog: busy,
            ..reply
        },
        false => reply,
    }
}
