//! Orders the targets that may serve a request.
//!
//! The load it is made for: many entries that choose at once among a few granted targets, with
//! reports of load that lag. The harms it prevents: all entries running to the one target that
//! looked idle a moment ago (herding); a request that waits through a cold start while a loaded
//! target has room; prefix-cache affinity that overloads the home of a popular style guide; a
//! slow target that gets its full share.
//!
//! Only the candidates are looked at, so the cost does not grow with the fleet.

use std::time::Duration;

use rand::Rng;
use stair_types::TargetKey;

/// Limits of the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// A report younger than this may decide alone. Beyond, other entries have probably sent work
    /// that it does not show.
    pub fresh_for: Duration,
    /// What each request of this entry in flight adds to the wait that a report showed: the
    /// report does not know of them yet.
    pub per_in_flight: Duration,
    /// What a request gains where its prompt's prefix is cached.
    pub affinity_gain: Duration,
    /// How much longer than elsewhere the wait at the prefix's home may be. Beyond, a popular
    /// prefix overloads its home, and computing the prefix again is cheaper than waiting.
    pub affinity_bound: Duration,
    /// What it costs to leave the data centre.
    pub cross_data_centre_cost: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fresh_for: Duration::from_millis(100),
            per_in_flight: Duration::from_millis(50),
            affinity_gain: Duration::from_millis(300),
            affinity_bound: Duration::from_millis(300),
            cross_data_centre_cost: Duration::from_millis(4),
        }
    }
}

/// A target that may serve the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The target.
    pub key: TargetKey,
    /// Whether the model is loaded there.
    pub loaded: bool,
    /// Wait for a slot, as last reported.
    pub expected_wait: Duration,
    /// Age of that report; [`Duration::MAX`] when there was none.
    pub report_age: Duration,
    /// Requests that this entry has there now.
    pub in_flight: u16,
    /// How long loading the model there would take; not used when it is loaded.
    pub cold_start: Duration,
    /// Whether the prompt's prefix has its home there.
    pub prefix_affinity: bool,
    /// Whether the target is in this entry's data centre.
    pub same_data_centre: bool,
    /// The target's share, from [`traffic_weights`](crate::traffic_weights): 1 is a full share.
    pub weight: f32,
}

impl Candidate {
    fn cost(&self, opts: &Options) -> Duration {
        // What waited when the report was made has been worked off since. A small wait in an old
        // report says nothing, a large one still says something.
        let reported = self.expected_wait.saturating_sub(self.report_age);
        let queue = reported + opts.per_in_flight * u32::from(self.in_flight);
        // The model loads while the request waits.
        let start = match self.loaded {
            true => queue,
            false => queue.max(self.cold_start),
        };
        let cross_data_centre_cost = match self.same_data_centre {
            true => Duration::ZERO,
            false => opts.cross_data_centre_cost,
        };
        start + cross_data_centre_cost
    }

    fn is_stale(&self, opts: &Options) -> bool {
        self.report_age > opts.fresh_for
    }
}

/// Tells whether `target` is the home of a prompt's prefix among the candidates.
///
/// Rendezvous hashing: a target that comes or goes moves only the prefixes whose home it is.
pub fn affinity_target<I>(prefix_hash: u64, candidates: I) -> Option<TargetKey>
where
    I: IntoIterator<Item = (TargetKey, u64)>,
{
    let scored = candidates.into_iter();
    scored
        .max_by_key(|(_, name_hash)| crate::hash::mix(prefix_hash, *name_hash))
        .map(|(key, _)| key)
}

/// Orders the candidates: the first is tried first, the others if it refuses.
pub fn order<R>(opts: &Options, candidates: &[Candidate], rng: &mut R) -> Vec<TargetKey>
where
    R: Rng + ?Sized,
{
    let mut ranked: Vec<Ranked<'_>> = candidates.iter().map(|c| Ranked::new(opts, c)).collect();
    apply_affinity(opts, &mut ranked);
    for r in &mut ranked {
        r.demoted = !takes_part(r.candidate.weight, candidates.len(), rng);
        r.tie = rng.next_u32();
    }
    ranked.sort_unstable_by_key(|r| (r.demoted, r.cost, r.tie));
    if ranked.first().is_some_and(|r| r.candidate.is_stale(opts)) {
        two_choices(&mut ranked, rng);
    }
    ranked.iter().map(|r| r.candidate.key).collect()
}

struct Ranked<'a> {
    candidate: &'a Candidate,
    cost: Duration,
    demoted: bool,
    tie: u32,
}

impl<'a> Ranked<'a> {
    fn new(opts: &Options, candidate: &'a Candidate) -> Self {
        Self {
            candidate,
            cost: candidate.cost(opts),
            demoted: false,
            tie: 0,
        }
    }
}

fn apply_affinity(opts: &Options, ranked: &mut [Ranked<'_>]) {
    let Some(best) = ranked.iter().map(|r| r.cost).min() else {
        return;
    };
    let bound = best + opts.affinity_bound;
    let homes = ranked.iter_mut().filter(|r| r.candidate.prefix_affinity);
    for home in homes.filter(|r| r.candidate.loaded && r.cost <= bound) {
        home.cost = home.cost.saturating_sub(opts.affinity_gain);
    }
}

/// Decides whether a target takes part in this choice as any other.
///
/// A target with little weight has little in flight, and so looks best whenever it takes part. It
/// would get its weight's part of all requests, not of its fair share of them; so its chance is
/// less than its weight, the more so the more candidates there are.
fn takes_part<R>(weight: f32, candidates: usize, rng: &mut R) -> bool
where
    R: Rng + ?Sized,
{
    if weight >= 1.0 {
        return true;
    }
    let weight = f64::from(weight);
    let others = candidates.saturating_sub(1) as f64;
    let chance = weight / (1.0 + others * (1.0 - weight));
    let unit = f64::from(rng.next_u32()) / f64::from(u32::MAX);
    unit < chance
}

/// Puts the better of two random candidates first.
///
/// With old reports the best-looking target is the same for all entries, and all of them run to
/// it. Two random ones, of which the better is taken, spread the entries and still avoid the worst
/// (power of two choices). Only candidates like the first are drawn: a cold or demoted one is not
/// worth a spread.
fn two_choices<R>(ranked: &mut [Ranked<'_>], rng: &mut R)
where
    R: Rng + ?Sized,
{
    let like = ranked.iter().take_while(|r| {
        r.candidate.loaded == ranked[0].candidate.loaded && r.demoted == ranked[0].demoted
    });
    let pool = like.count();
    if pool < 3 {
        return;
    }
    let a = rng.next_u32() as usize % pool;
    let b = rng.next_u32() as usize % pool;
    // The slice is sorted by cost, so the lower index is the better one.
    ranked[..=a.min(b)].rotate_right(1);
}
