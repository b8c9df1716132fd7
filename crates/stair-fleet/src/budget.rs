//! One entry's share of the retry budget.
//!
//! Load: targets fail or reject many requests at once, and retries would multiply them. An entry keeps to `ratio` of
//! its own requests and an equal share of `extra`, so the sum over all entries holds without coordination.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde::Serialize;

/// The bound for all entries together, and the part of one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Options {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window that no request has to pay for, over all entries.
    pub extra: f64,
    /// The window, which slides.
    pub window: Duration,
    /// Entries that share `extra`. More than are expected at once: entries that were replaced
    /// within the window have spent their part too.
    pub entries: u32,
}

/// How many shares there are for each entry that is heard of: those that were replaced within the
/// window have spent theirs too, and one that is cut off is not heard of and goes on spending.
const SHARES_PER_ENTRY: u32 = 2;

/// Returns the number of entries that share `extra`: as many as the settings say, more when an agent
/// hears of more. `counts` is what each agent says; the largest counts, as an agent that is cut off
/// from most entries would have the rest take too large a share.
pub fn entries<I>(settings: u32, counts: I) -> u32
where
    I: IntoIterator<Item = u32>,
{
    let most = counts.into_iter().max().unwrap_or(0);
    settings.max(most.saturating_mul(SHARES_PER_ENTRY))
}

/// Part of the bound that is used: requests are counted when they arrive and retries when they
/// are sent, so at the edge of a window the two can be off by a few.
const USED_FRACTION: f64 = 0.8;

/// Requests and retries of one service within the window.
#[derive(Debug, Clone)]
pub struct Budget {
    opts: Options,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Makes an empty one.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the bound; what was counted stays.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
    }

    /// The bound.
    pub fn options(&self) -> Options {
        self.opts
    }

    /// Counts a request for the service.
    pub fn request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a retry, and tells whether it may be made.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.expire(now);
        let earned = self.opts.ratio * self.requests.len() as f64;
        let extra = self.opts.extra / f64::from(self.opts.entries.max(1));
        let allowed = (self.retries.len() + 1) as f64 <= USED_FRACTION * (earned + extra);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Retries made within the window.
    pub fn spent(&self) -> usize {
        self.retries.len()
    }

    fn expire(&mut self, now: Duration) {
        let start = now.saturating_sub(self.opts.window);
        for list in [&mut self.requests, &mut self.retries] {
            while list.front().is_some_and(|t| *t < start) {
                list.pop_front();
            }
        }
    }
}
