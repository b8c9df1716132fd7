//! One entry's share of the retry budget.
//!
//! When targets fail or reject many requests at once, retries would multiply the load. Each entry
//! limits its retries to `ratio` of its own requests and an equal share of `extra`, so the sum over
//! all entries is bounded without coordination.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde::Serialize;

/// The bound for all entries together, and the number of shares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Options {
    /// Retries per request.
    pub ratio: f64,
    /// Further retries per window over all entries, independent of the number of requests.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of shares of `extra`. More than the entries expected at once, because entries that
    /// were replaced within the window have spent shares too.
    pub entries: u32,
}

/// Shares per known entry. Entries that were replaced within the window have spent theirs, and an
/// entry that is disconnected from the agents is not counted and continues to spend.
const SHARES_PER_ENTRY: u32 = 2;

/// Returns the number of shares of `extra`: the setting, or more if an agent counts more entries.
///
/// `counts` are the numbers of entries connected to each agent. The largest one is used: an agent
/// that is disconnected from most entries would make the others take too large shares.
pub fn entries<I>(settings: u32, counts: I) -> u32
where
    I: IntoIterator<Item = u32>,
{
    let most = counts.into_iter().max().unwrap_or(0);
    settings.max(most.saturating_mul(SHARES_PER_ENTRY))
}

/// Fraction of the bound that is used. Requests are counted on arrival and retries when they are
/// sent, so at the edge of a window the two can differ by a few.
const USED_FRACTION: f64 = 0.8;

/// Requests and retries of one service within the window.
#[derive(Debug, Clone)]
pub struct Budget {
    opts: Options,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Creates an empty budget.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the bound; counted requests and retries stay.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
    }

    /// Returns the bound.
    pub fn options(&self) -> Options {
        self.opts
    }

    /// Counts a request for the service.
    pub fn request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true if the budget allows it.
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

    /// Number of retries within the window.
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
