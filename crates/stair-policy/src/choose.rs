//! Orders the targets that may serve a request.
//!
//! Many entries choose at the same time among a few granted targets, on load reports that lag. If all
//! of them picked the target that was idle in the last report, it would be overloaded (herding), so
//! stale reports decide only together with chance. A target with the model loaded is preferred to a
//! cold start unless its wait is longer, prefix-cache affinity is bounded so that a popular prefix does
//! not overload its target, and a slow target gets less than a full share.
//!
//! The cost of a choice depends on the number of candidates, not on the size of the fleet.

use std::time::Duration;

use rand::Rng;
use stair_types::TargetKey;

/// Limits of the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Age up to which a report decides alone. Other entries have probably sent work since an older
    /// report.
    pub fresh_for: Duration,
    /// Wait added for each request that this entry has in flight, which the last report may not
    /// include.
    pub per_in_flight: Duration,
    /// Prefill time saved where the prompt's prefix is cached.
    pub affinity_gain: Duration,
    /// Longest additional wait accepted at the affinity target. Beyond it, a popular prefix overloads
    /// its target, and another prefill is cheaper than the wait.
    pub affinity_bound: Duration,
    /// Cost of a target in another data centre.
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
    /// Expected wait for a slot, as last reported.
    pub expected_wait: Duration,
    /// Age of that report; [`Duration::MAX`] without a report.
    pub report_age: Duration,
    /// Requests that this entry has in flight there.
    pub in_flight: u16,
    /// Expected time to load the model there; not used when it is loaded.
    pub cold_start: Duration,
    /// Whether the target is the affinity target of the prompt's prefix.
    pub prefix_affinity: bool,
    /// Whether the target is in this entry's data centre.
    pub same_data_centre: bool,
    /// The target's weight from [`traffic_weights`](crate::traffic_weights); 1 is a full share.
    pub weight: f32,
}

impl Candidate {
    fn cost(&self, opts: &Options) -> Duration {
        // The reported queue has drained by the report's age since. A short wait in an old report
        // carries no information, a long one still does.
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

/// Returns the candidate to which requests with this prompt prefix are routed for its prefix cache.
///
/// Candidates are pairs of a target and the hash of its name. Rendezvous hashing: when a target is added
/// or removed, only its own prefixes move.
pub fn affinity_target<I>(prefix_hash: u64, candidates: I) -> Option<TargetKey>
where
    I: IntoIterator<Item = (TargetKey, u64)>,
{
    let scored = candidates.into_iter();
    scored
        .max_by_key(|(_, name_hash)| crate::hash::mix(prefix_hash, *name_hash))
        .map(|(key, _)| key)
}

/// Orders the candidates by preference. A later one is tried when the earlier ones have refused.
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

/// A candidate with its sort key.
struct Ranked<'a> {
    candidate: &'a Candidate,
    /// Expected wait, with the costs and savings of the target.
    cost: Duration,
    /// Whether the target's weight excludes it from this choice on equal terms.
    demoted: bool,
    /// Random tie-breaker.
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

/// Decides at random whether a target takes part in this choice on equal terms.
///
/// A target with a low weight has little in flight, so it ranks first whenever it takes part. Drawn with
/// its weight as the probability, it would get that fraction of all requests instead of that
/// fraction of its fair share. So the probability is lower, the more so with more candidates.
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

/// Moves the better of two random candidates to the front.
///
/// With stale reports all entries rank the same target first and would overload it. The better of two
/// random candidates spreads the entries and still avoids the worst targets (power of two choices).
/// Only candidates that are loaded and demoted like the first are drawn; a cold start or a slow
/// target would cost more than spreading gains.
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
