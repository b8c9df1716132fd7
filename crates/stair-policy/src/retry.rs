//! Bounds retries to a share of the requests.
//!
//! The load it is made for: targets that fail or refuse many requests at once. The harm it
//! prevents: each failure sent on as new work, so that a fleet that lost a tenth of its capacity
//! gets twice the load and never recovers (a retry storm).

/// Bounds of one budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Retries allowed for a hundred requests. A tenth covers a target that goes away with its
    /// work, and adds no more than a tenth to a load that is too large already.
    pub percent: u16,
    /// Retries allowed before the requests that pay for them; those pay nothing afterwards until
    /// the debt is settled. Without it the first requests of a process could not move on from a
    /// target that is gone.
    pub advance: u16,
    /// Unused retries are saved up to so many, lest an hour of quiet pay for a storm.
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
    /// Makes a budget that may spend its advance.
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

    /// Takes a retry from the budget, and tells whether it may be made.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.credit >= RETRY_COST;
        if allowed {
            self.credit -= RETRY_COST;
        }
        allowed
    }

    /// Retries that could be made now.
    pub fn available(&self) -> u64 {
        self.credit / RETRY_COST
    }
}
