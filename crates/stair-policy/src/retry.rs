//! Limits retries to a fraction of the requests.
//!
//! Without a limit, each failed or refused request is sent again as new work, so that a fleet that has
//! lost a tenth of its capacity gets twice the load and does not recover (a retry storm).

/// Limits of one budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Retries allowed per hundred requests. A tenth covers the loss of a target with its requests, and
    /// adds no more than a tenth to an overload.
    pub percent: u16,
    /// Retries allowed in advance of requests; the next requests repay them before they earn new ones.
    /// Without it, the first requests of a process could not be retried after the loss of a target.
    pub advance: u16,
    /// Limit of saved unused retries, so that a period without failures does not fund a retry storm.
    pub max_saved: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            percent: 10,
            advance: 10,
            max_saved: 50,
        }
    }
}

/// Credit that a retry costs. A request earns `percent`.
const RETRY_COST: u64 = 100;

/// Counts requests and retries of one process.
///
/// Retries never exceed the larger of `advance` and `percent` of the requests.
#[derive(Debug, Clone)]
pub struct Budget {
    opts: Options,
    credit: u64,
    debt: u64,
}

impl Budget {
    /// Creates a budget with its advance available.
    pub fn new(opts: Options) -> Self {
        let advance = u64::from(opts.advance) * RETRY_COST;
        Self {
            opts,
            credit: advance,
            debt: advance,
        }
    }

    /// Counts a first attempt.
    pub fn request(&mut self) {
        let earned = u64::from(self.opts.percent);
        let repaid = earned.min(self.debt);
        self.debt -= repaid;
        let max = u64::from(self.opts.max_saved.max(self.opts.advance)) * RETRY_COST;
        self.credit = (self.credit + earned - repaid).min(max);
    }

    /// Takes a retry from the budget; returns whether it may be made.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.credit >= RETRY_COST;
        if allowed {
            self.credit -= RETRY_COST;
        }
        allowed
    }

    /// Retries that are available now.
    pub fn available(&self) -> u64 {
        self.credit / RETRY_COST
    }
}
