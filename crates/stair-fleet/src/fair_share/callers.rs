//! The prefill time granted to each caller of an engine, and its max-min share.

use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::UNSERVED_TIMEOUT;

/// Time for which granted prefill time counts: long enough for several prompts of 0.3 s of each of
/// a dozen callers, and half of the time within which each caller has to be served.
pub const WINDOW: Duration = Duration::from_millis(1000 * BUCKETS as u64);

/// Time of one bucket of a window.
const BUCKET: Duration = Duration::from_millis(1000);

/// Buckets of a window.
const BUCKETS: usize = 8;

/// Callers that are remembered. Beyond, one that was granted little is forgotten, which errs by no
/// more than what it was granted.
pub const MAX_CALLERS: usize = 1024;

/// Callers that are compared when one has to be forgotten. All of them would take longer than the
/// rest of a decision.
const COMPARED_CALLERS: usize = 32;

/// Longest name that is kept, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Ranks that are told apart; the last one stands for all further ones.
const RANKS: usize = 16;

/// Pause between computations of the shares, which take some microseconds with a full table. In
/// this time a caller is granted a small part of what counts.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// Passes in which the share is approached. Each pass removes the callers with less demand than the
/// share so far; five suffice unless the demands differ by many orders of magnitude.
const SHARE_PASSES: usize = 8;

/// Fraction of its share below which a caller counts as below it, as the sums are rounded.
const BELOW_FRACTION: f32 = 0.999;

/// Backlog beyond which slots are short: more than a burst and its break. Less is usual where
/// prompts arrive together.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Least part of what a rank was granted that counts as read, as its part of the backlog is not
/// known.
const MIN_READ_FRACTION: f32 = 0.25;

/// Milliseconds within a sliding window.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    buckets: [f32; BUCKETS],
    sum: f32,
}

impl Window {
    fn add(&mut self, bucket: u64, ms: f32) {
        let value = &mut self.buckets[bucket as usize % BUCKETS];
        // Removed at most as far as it was added.
        let ms = ms.max(-*value);
        *value += ms;
        self.sum += ms;
    }

    /// Forgets what is no longer within the window once `bucket` has begun.
    fn begin(&mut self, bucket: u64) {
        self.buckets[bucket as usize % BUCKETS] = 0.0;
        self.sum = self.buckets.iter().sum();
    }
}

/// Identifies a caller in the table until it is forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Slot(u16);

#[derive(Debug)]
struct Entry {
    key: u64,
    name: Box<str>,
    rank: u8,
    /// Prefill time granted.
    granted: Window,
    /// Prefill time of prompts that had to wait or were refused, and have no slot.
    unmet: Window,
    /// Turns of its waiting prompts.
    turns: u32,
    /// Since when it has had prompts without a slot and no prompt with one.
    unserved_since: Option<Duration>,
    counts: Counts,
}

impl Entry {
    fn is_unserved(&self, now: Duration) -> bool {
        let is_long = |t: Duration| now.saturating_sub(t) >= UNSERVED_TIMEOUT;
        self.unserved_since.is_some_and(is_long)
    }
}

/// Prompts of a caller since it was last added to the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Prompts with a slot.
    pub granted: u64,
    /// Replies that told a prompt to wait.
    pub waited: u64,
    /// Replies that sent a prompt elsewhere.
    pub refused: u64,
}

/// What an engine's agent remembers of a caller.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CallerState {
    /// The caller.
    pub caller: Box<str>,
    /// Its rank, 0 for the most urgent.
    pub rank: u8,
    /// Prefill time granted within [`WINDOW`], in milliseconds.
    pub granted_ms: f32,
    /// Prefill time of prompts without a slot within [`WINDOW`], in milliseconds.
    pub unmet_ms: f32,
    /// Its max-min share within [`WINDOW`], in milliseconds; `None` if there is enough for all.
    pub share_ms: Option<f32>,
    /// Its prompts that wait.
    pub waiting: u32,
    /// Its prompts by outcome.
    pub counts: Counts,
}

/// The callers of one engine.
#[derive(Debug)]
pub(super) struct Callers {
    /// Keys and slots, sorted by key.
    index: Vec<(u64, Slot)>,
    entries: Vec<Entry>,
    free: Vec<Slot>,
    /// The position in the index from which callers are compared when one has to be forgotten.
    next_compared: usize,
    /// The number of the present bucket.
    bucket: u64,
    /// The max-min share by rank, infinite while there is enough for all.
    shares: [f32; RANKS],
    shares_at: Option<Duration>,
    /// Whether a caller of the rank has been without a slot for [`UNSERVED_TIMEOUT`].
    has_unserved: [bool; RANKS],
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            index: Vec::new(),
            entries: Vec::new(),
            free: Vec::new(),
            next_compared: 0,
            bucket: 0,
            shares: [f32::INFINITY; RANKS],
            shares_at: None,
            has_unserved: [false; RANKS],
        }
    }
}

impl Callers {
    /// Moves the windows to `now`, forgets idle callers and computes the shares if they are due.
    /// `backlog` is the time for which the engine has prompts to prefill.
    pub(super) fn advance(&mut self, backlog: Duration, now: Duration) {
        let bucket = u64::try_from(now.as_millis() / BUCKET.as_millis()).unwrap_or(u64::MAX);
        if bucket > self.bucket {
            let first = (self.bucket + 1).max(bucket.saturating_sub(BUCKETS as u64 - 1));
            for begun in first..=bucket {
                for entry in &mut self.entries {
                    entry.granted.begin(begun);
                    entry.unmet.begin(begun);
                }
            }
            self.bucket = bucket;
            self.forget_idle();
            self.shares_at = None;
        }
        let due = |at: Duration| now.saturating_sub(at) >= SHARE_INTERVAL;
        if self.shares_at.is_none_or(due) {
            self.shares_at = Some(now);
            let queued = Some(backlog).filter(|b| *b > MAX_BACKLOG);
            self.find_unserved(now);
            self.compute_shares(queued.map_or(0.0, |b| b.as_secs_f32() * 1000.0));
        }
    }

    fn forget_idle(&mut self) {
        let idle = |e: &Entry| e.turns == 0 && e.granted.sum <= 0.0 && e.unmet.sum <= 0.0;
        for entry in &mut self.entries {
            if entry.turns == 0 && entry.unmet.sum <= 0.0 {
                entry.unserved_since = None;
            }
        }
        let (entries, free) = (&self.entries, &mut self.free);
        self.index.retain(|(_, slot)| {
            let is_idle = idle(&entries[slot.0 as usize]);
            if is_idle {
                free.push(*slot);
            }
            !is_idle
        });
        if self.index.is_empty() {
            self.entries.clear();
            self.free.clear();
        }
    }

    fn find_unserved(&mut self, now: Duration) {
        self.has_unserved = [false; RANKS];
        for (_, slot) in &self.index {
            let entry = &self.entries[slot.0 as usize];
            self.has_unserved[usize::from(entry.rank)] |= entry.is_unserved(now);
        }
    }

    /// Computes the max-min share of each rank: the demand of each caller up to the share adds up to
    /// what the engine has read for the rank, all but the `queued_ms` that it was granted in advance.
    fn compute_shares(&mut self, queued_ms: f32) {
        let mut granted = [0.0_f32; RANKS];
        let mut unmet = [0.0_f32; RANKS];
        for (_, slot) in &self.index {
            let entry = &self.entries[slot.0 as usize];
            granted[usize::from(entry.rank)] += entry.granted.sum;
            unmet[usize::from(entry.rank)] += entry.unmet.sum;
        }
        for rank in 0..RANKS {
            let is_short = unmet[rank] > 0.0 || queued_ms > 0.0;
            let read = (granted[rank] - queued_ms).max(granted[rank] * MIN_READ_FRACTION);
            self.shares[rank] = match is_short && granted[rank] > 0.0 {
                true => share(&self.demands(rank), read),
                false => f32::INFINITY,
            };
        }
    }

    fn demands(&self, rank: usize) -> Vec<f32> {
        let entries = self.index.iter().map(|(_, slot)| self.get(*slot));
        let of_rank = entries.filter(|e| usize::from(e.rank) == rank);
        of_rank.map(|e| e.granted.sum + e.unmet.sum).collect()
    }

    /// Finds a caller or adds it.
    pub(super) fn slot(&mut self, name: &str, rank: u8) -> Slot {
        let rank = rank.min(RANKS as u8 - 1);
        let key = xxh3_64_with_seed(name.as_bytes(), u64::from(rank));
        let i = match self.index.binary_search_by_key(&key, |(k, _)| *k) {
            Ok(i) => return self.index[i].1,
            Err(i) => i,
        };
        let entry = Entry {
            key,
            name: truncated(name).into(),
            rank,
            granted: Window::default(),
            unmet: Window::default(),
            turns: 0,
            unserved_since: None,
            counts: Counts::default(),
        };
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None if self.entries.len() < MAX_CALLERS => {
                self.index.insert(i, (key, Slot(self.entries.len() as u16)));
                self.entries.push(entry);
                return Slot(self.entries.len() as u16 - 1);
            }
            None => self.forget_least(),
        };
        self.entries[slot.0 as usize] = entry;
        let i = self.index.partition_point(|(k, _)| *k < key);
        self.index.insert(i, (key, slot));
        slot
    }

    /// Forgets the caller that was granted least among the next ones without waiting prompts.
    fn forget_least(&mut self) -> Slot {
        let len = self.index.len();
        let from = self.next_compared;
        self.next_compared = (from + COMPARED_CALLERS) % len;
        let entry = |i: &usize| self.get(self.index[*i].1);
        let least = (0..len)
            .map(|n| (from + n) % len)
            .filter(|i| entry(i).turns == 0)
            .take(COMPARED_CALLERS)
            .min_by(|a, b| entry(a).granted.sum.total_cmp(&entry(b).granted.sum));
        // There are more callers than turns, so some caller has no waiting prompt.
        self.index.remove(least.unwrap_or(0)).1
    }

    fn get(&self, slot: Slot) -> &Entry {
        &self.entries[slot.0 as usize]
    }

    fn get_mut(&mut self, slot: Slot) -> &mut Entry {
        &mut self.entries[slot.0 as usize]
    }

    /// The rank by which callers are compared.
    pub(super) fn rank(&self, slot: Slot) -> u8 {
        self.get(slot).rank
    }

    /// Whether some prompt of the caller's rank had no slot within the window.
    pub(super) fn is_short(&self, slot: Slot) -> bool {
        self.shares[usize::from(self.get(slot).rank)].is_finite()
    }

    /// Whether some caller of the rank has been without a slot for [`UNSERVED_TIMEOUT`].
    pub(super) fn has_unserved(&self, rank: u8) -> bool {
        self.has_unserved[usize::from(rank)]
    }

    /// Whether a prompt of a higher rank had no slot within the window.
    pub(super) fn is_short_before(&self, rank: u8) -> bool {
        let higher = &self.shares[..usize::from(rank)];
        higher.iter().any(|s| s.is_finite())
    }

    /// Whether the caller was granted less than its share.
    pub(super) fn is_below(&self, slot: Slot) -> bool {
        let entry = self.get(slot);
        entry.granted.sum < self.shares[usize::from(entry.rank)] * BELOW_FRACTION
    }

    /// Since when the caller has had prompts without a slot and none with one, if that is longer than
    /// [`UNSERVED_TIMEOUT`].
    pub(super) fn unserved_since(&self, slot: Slot, now: Duration) -> Option<Duration> {
        let entry = self.get(slot);
        entry.unserved_since.filter(|_| entry.is_unserved(now))
    }

    /// Counts a prompt with a slot.
    pub(super) fn grant(&mut self, slot: Slot, cost_ms: f32, now: Duration) {
        let bucket = self.bucket;
        let entry = self.get_mut(slot);
        entry.granted.add(bucket, cost_ms);
        entry.unserved_since = (entry.turns > 0).then_some(now);
        entry.counts.granted += 1;
    }

    /// Counts the demand of a prompt that has no slot. Returns the bucket in which it counts.
    pub(super) fn add_unmet(&mut self, slot: Slot, cost_ms: f32, now: Duration) -> u64 {
        let bucket = self.bucket;
        let entry = self.get_mut(slot);
        entry.unmet.add(bucket, cost_ms);
        entry.unserved_since.get_or_insert(now);
        // The first one makes the slots short at once.
        if !self.is_short(slot) {
            self.shares_at = None;
        }
        bucket
    }

    /// Removes the demand of a prompt that now has a slot.
    pub(super) fn remove_unmet(&mut self, slot: Slot, cost_ms: f32, bucket: u64) {
        if bucket + (BUCKETS as u64) > self.bucket {
            self.get_mut(slot).unmet.add(bucket, -cost_ms);
        }
    }

    pub(super) fn count_waited(&mut self, slot: Slot) {
        self.get_mut(slot).counts.waited += 1;
    }

    pub(super) fn count_refused(&mut self, slot: Slot) {
        self.get_mut(slot).counts.refused += 1;
    }

    pub(super) fn turn_began(&mut self, slot: Slot) {
        self.get_mut(slot).turns += 1;
    }

    pub(super) fn turn_ended(&mut self, slot: Slot) {
        let entry = self.get_mut(slot);
        entry.turns = entry.turns.saturating_sub(1);
    }

    /// The number of callers that are remembered.
    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    /// The callers that were granted most, in that order.
    pub(super) fn most_granted(&self, n: usize) -> Vec<CallerState> {
        let mut all: Vec<&Entry> = self.index.iter().map(|(_, s)| self.get(*s)).collect();
        all.sort_by(|a, b| {
            b.granted
                .sum
                .total_cmp(&a.granted.sum)
                .then(a.key.cmp(&b.key))
        });
        let state = |e: &Entry| CallerState {
            caller: e.name.clone(),
            rank: e.rank,
            granted_ms: e.granted.sum,
            unmet_ms: e.unmet.sum,
            share_ms: Some(self.shares[usize::from(e.rank)]).filter(|s| s.is_finite()),
            waiting: e.turns,
            counts: e.counts,
        };
        all.into_iter().take(n).map(state).collect()
    }
}

/// The max-min share: the demands up to the share add up to `granted`.
fn share(demands: &[f32], granted: f32) -> f32 {
    let mut share = 0.0;
    for _ in 0..SHARE_PASSES {
        let (mut met, mut above) = (0.0, 0.0_f32);
        for demand in demands {
            let is_met = *demand <= share;
            met += if is_met { *demand } else { 0.0 };
            above += if is_met { 0.0 } else { 1.0 };
        }
        let next = (granted - met) / above;
        if above == 0.0 || next <= share {
            break;
        }
        share = next;
    }
    share
}

/// The name, at most [`MAX_NAME_BYTES`] long.
pub(super) fn truncated(name: &str) -> &str {
    let end = (0..=name.len().min(MAX_NAME_BYTES)).rev();
    let end = end.into_iter().find(|i| name.is_char_boundary(*i));
    &name[..end.unwrap_or(0)]
}
