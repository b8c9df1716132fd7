//! What a crash can be blamed on: a request, and each part of its prompt that other requests share.

use std::time::Duration;

use stair_types::{
    Fingerprint,
    fingerprint::Scope, //
};

/// Limit of the parts by which a request is recognised. Further parts are ignored.
const MAX_PARTS: usize = 32;

/// Number of slots of [`Survivals`], a power of two.
const SLOTS: usize = 8192;

/// Number of requests of which one is recorded while no target crashes.
const SAMPLE_INTERVAL: u32 = 8;

/// Time after a crash for which all requests are recorded.
const ACTIVE_DURATION: Duration = Duration::from_secs(60);

/// The shared parts of one request's prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Parts {
    /// Sorted.
    list: Box<[Fingerprint]>,
}

impl Parts {
    /// Returns the parts with these ids, of which the last one must not be the request's own.
    pub fn new<I>(workspace: Option<&str>, ids: I) -> Self
    where
        I: IntoIterator<Item = u64>,
    {
        let mut known: Vec<u64> = Vec::new();
        for id in ids {
            if known.len() >= MAX_PARTS {
                break;
            }
            if !known.contains(&id) {
                known.push(id);
            }
        }
        let scopes = [Some(Scope::All), workspace.map(Scope::of)];
        let scopes = scopes.into_iter().flatten();
        let mut list: Vec<Fingerprint> = scopes
            .flat_map(|scope| known.iter().map(move |id| Fingerprint::of_part(scope, *id)))
            .collect();
        list.sort_unstable();
        Self { list: list.into() }
    }

    /// The fingerprints of the parts, sorted.
    pub fn as_slice(&self) -> &[Fingerprint] {
        &self.list
    }
}

/// When parts last survived a run, as far as one entry has seen it.
///
/// It is a direct-mapped cache: a part that is not found has not survived, or was replaced by
/// another one. All requests are recorded for some time after a crash, and a sample otherwise.
#[derive(Debug, Clone, Default)]
pub struct Survivals {
    /// Empty until the first survival.
    slots: Vec<Survival>,
    complete_until: Duration,
    skipped: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Survival {
    /// The bits of the part's outline.
    outline: u64,
    at_ms: u32,
}

impl Survivals {
    /// Records all requests for some time from now on, as a target has crashed.
    pub fn activate(&mut self, now: Duration) {
        self.complete_until = now + ACTIVE_DURATION;
    }

    /// Whether the next request that survives is to be recorded.
    pub fn take_turn(&mut self, now: Duration) -> bool {
        self.skipped += 1;
        let is_due = now < self.complete_until || self.skipped >= SAMPLE_INTERVAL;
        if is_due {
            self.skipped = 0;
        }
        is_due
    }

    /// Records that a target has completed a request with these causes, and is still running.
    pub fn record(&mut self, causes: &[Fingerprint], now: Duration) {
        for part in causes.iter().filter(|c| c.part().is_some()) {
            if self.slots.is_empty() {
                self.slots.resize(SLOTS, Survival::default());
            }
            let outline = part.outline().bits();
            self.slots[slot(outline)] = Survival {
                outline,
                at_ms: millis(now),
            };
        }
    }

    /// Those of these suspects that have survived a run, with the time since then.
    pub fn of(&self, suspects: &[Fingerprint], now: Duration) -> Vec<(Fingerprint, Duration)> {
        let age = |cause: &Fingerprint| Some((*cause, self.age(cause, now)?));
        suspects.iter().filter_map(age).collect()
    }

    /// The time since the part last survived a run.
    pub fn age(&self, part: &Fingerprint, now: Duration) -> Option<Duration> {
        let outline = part.outline().bits();
        let found = self.slots.get(slot(outline))?;
        let age = millis(now).saturating_sub(found.at_ms);
        (found.outline == outline).then(|| Duration::from_millis(age.into()))
    }
}

fn slot(outline: u64) -> usize {
    outline as usize % SLOTS
}

fn millis(now: Duration) -> u32 {
    u32::try_from(now.as_millis()).unwrap_or(u32::MAX)
}
