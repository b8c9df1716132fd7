//! Decides how many new connections a process can read, from the delay of its tasks.
//!
//! A process whose processor is used up runs its tasks late. The delay of a periodic task shows for how
//! long a new connection would wait until it is read. While the delay is long, new connections are
//! refused at once, so that their clients reach another process in time.
//!
//! # Invariants
//!
//! A single late run, as after a pause of the whole VM, refuses nothing. Connections are admitted
//! again as soon as the tasks run in time.

use std::time::Duration;

/// Interval of the periodic task.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval over which delays are judged.
const WINDOW: Duration = Duration::from_millis(200);

/// Delays above this one show a queue of tasks. A busy moment is followed by runs in time.
const QUEUED_DELAY: Duration = Duration::from_millis(40);

/// Delays above this one leave too little time to serve requests.
const EXCESSIVE_DELAY: Duration = Duration::from_millis(150);

/// Share of the admitted rate that stays admitted after a window with a queue.
const DECREASE: f64 = 0.7;

/// Share of the admitted rate that is added after a window without a queue.
const INCREASE: f64 = 0.1;

/// Least number of connections per second that is admitted unless the delay is excessive.
const MIN_RATE: f64 = 2.0;

/// Time over which connections that were not used may be admitted later.
const BURST: Duration = Duration::from_millis(100);

/// The rate at which new connections are admitted. Times are those since the process started.
#[derive(Debug, Clone, Default)]
pub struct Throttle {
    window_end: Duration,
    /// The shortest delay in the window, and the number of its samples.
    shortest: Option<Duration>,
    samples: u32,
    /// Connections that came in the window, admitted or not.
    arrived: u32,
    /// Connections per second; `None` if all are admitted.
    rate: Option<f64>,
    excessive: bool,
    tokens: f64,
    refilled_at: Duration,
}

impl Throttle {
    /// Records that the periodic task ran `delay` later than it was due.
    pub fn record_delay(&mut self, delay: Duration, now: Duration) {
        self.shortest = Some(self.shortest.map_or(delay, |s| s.min(delay)));
        self.samples += 1;
        if delay < QUEUED_DELAY {
            self.excessive = false;
        }
        if now < self.window_end || self.samples < 2 {
            return;
        }
        let begun = self.window_end.saturating_sub(WINDOW);
        let secs = now.saturating_sub(begun).as_secs_f64();
        let arrived = f64::from(self.arrived) / secs.max(WINDOW.as_secs_f64());
        let shortest = self.shortest.unwrap_or_default();
        self.excessive = shortest >= EXCESSIVE_DELAY;
        self.rate = match self.rate {
            rate if shortest >= QUEUED_DELAY => {
                Some((rate.unwrap_or(f64::MAX).min(arrived) * DECREASE).max(MIN_RATE))
            }
            // Twice the rate that comes is no limit.
            Some(rate) if rate > arrived * 2.0 + MIN_RATE => None,
            Some(rate) => Some(rate * (1.0 + INCREASE) + MIN_RATE * INCREASE),
            None => None,
        };
        self.window_end = now + WINDOW;
        self.shortest = None;
        self.samples = 0;
        self.arrived = 0;
    }

    /// Decides whether a new connection is admitted.
    pub fn admit(&mut self, now: Duration) -> bool {
        self.arrived = self.arrived.saturating_add(1);
        if self.excessive {
            return false;
        }
        let Some(rate) = self.rate else {
            return true;
        };
        let since = now.saturating_sub(self.refilled_at).as_secs_f64();
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + rate * since).min(most);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether new connections may be refused now.
    pub fn is_limiting(&self) -> bool {
        self.excessive || self.rate.is_some()
    }
}
