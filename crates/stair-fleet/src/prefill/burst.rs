//! The bursts in which prompts are read, and the breaks between them.

use std::time::Duration;

use super::{
    DEFAULT_PAUSE,
    Request,
    ms, //
};
use crate::choose::Placement;

/// Fraction of an engine's time for prefill in the long run. The rest is for the tokens of streams,
/// so that streams end.
const PREFILL_FRACTION: f64 = 0.82;

/// Fraction of the promised pause between events that one burst may take. The rest is for the event
/// after it.
const BURST_FRACTION: f64 = 0.7;

/// The least time between two bursts, in milliseconds.
const MIN_BREAK_MS: f64 = 60.0;

/// Part of the promised pause that is left for the network, where the time of an event is known, in
/// milliseconds.
const PAUSE_MARGIN_MS: f64 = 60.0;

/// Fraction of the promised pause for a burst while the engine's prompts have time: engines are 2.5 times as
/// slow for 0.6 s at times, which no estimate can follow.
const NOISE_BURST_FRACTION: f64 = 0.35;

/// Least part of the promised pause that a burst may take, however slow the engine is.
const MIN_BURST_FRACTION: f64 = 0.25;

/// Multiple of the time of an event that the break between two bursts has to last, so that each stream
/// has an event in it. A break may begin late, since the rates are estimates: with 1.5 twice as many streams
/// paused for too long, and with 3.5 prompts were refused (tests of `placement_load`).
const BREAK_EVENTS: f64 = 2.5;

/// Largest break by the time of an event, in milliseconds.
const MAX_BREAK_MS: f64 = 200.0;

/// How fast the engine runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// A fraction of the full speed.
    pub(super) speed: f64,
    /// Time of an event beside the running streams, in milliseconds; 0 if unknown.
    pub(super) event_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            speed: 1.0,
            event_ms: 0.0,
        }
    }
}

impl Pace {
    /// The longest burst, in milliseconds. The event that it stalls comes after it, and takes longer at a
    /// slow engine.
    pub(super) fn longest_burst(self, pause: Duration) -> f64 {
        let pause = ms(pause);
        let usual = BURST_FRACTION * pause;
        if self.event_ms <= 0.0 {
            return usual;
        }
        let left = pause - self.event_ms - PAUSE_MARGIN_MS;
        usual.min(left).max(MIN_BURST_FRACTION * pause)
    }

    /// The longest burst that ends within the promised pause if the engine becomes slow during it, while its
    /// prompts have time; `None` if that does not apply.
    pub(super) fn noise_burst(self, pause: Duration) -> Option<f64> {
        let applies = self.event_ms > 0.0 && Placement::CURRENT == Placement::Separate;
        applies.then(|| NOISE_BURST_FRACTION * ms(pause))
    }

    /// The shortest break after a burst, in milliseconds.
    fn shortest_break(self) -> f64 {
        MIN_BREAK_MS.max((BREAK_EVENTS * self.event_ms).min(MAX_BREAK_MS))
    }
}

/// A slot of a prompt.
pub(super) struct Slot {
    pub(super) burst: Burst,
    pub(super) wait: Duration,
    /// Whether a more urgent prompt would wait too long after it.
    pub(super) delays_urgent: bool,
}

/// Consecutive prompts without a break. Times are in milliseconds since the start of the process.
#[derive(Clone, Copy, Default)]
pub(super) struct Burst {
    pub(super) from: f64,
    pub(super) until: f64,
}

impl Burst {
    /// The break after the burst, in which streams get their fraction of the engine's time.
    pub(super) fn rest(&self, pace: Pace) -> f64 {
        let read = self.until - self.from;
        if read <= 0.0 {
            return 0.0;
        }
        (read * (1.0 - PREFILL_FRACTION) / PREFILL_FRACTION).max(pace.shortest_break())
    }

    /// Whether the break after the burst is the shortest one.
    pub(super) fn has_shortest_break(&self, pace: Pace) -> bool {
        self.rest(pace) <= pace.shortest_break()
    }
}

/// The longest burst beside the streams that the request names, at full speed.
pub(crate) fn burst_duration(req: &Request) -> Duration {
    req.pause.unwrap_or(DEFAULT_PAUSE).mul_f64(BURST_FRACTION)
}
