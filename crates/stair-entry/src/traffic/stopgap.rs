//! Stand-ins for the policy crate, with its signatures, until it can be linked.

pub(super) mod retry {
    #[derive(Default, Clone, Copy)]
    pub(in crate::traffic) struct Options {}

    pub(in crate::traffic) struct Budget {
        credit: u64,
    }

    impl Budget {
        pub(in crate::traffic) fn new(_: Options) -> Self {
            Self { credit: 1_000 }
        }

        pub(in crate::traffic) fn request(&mut self) {
            self.credit = (self.credit + 10).min(5_000);
        }

        pub(in crate::traffic) fn try_retry(&mut self) -> bool {
            let allowed = self.credit >= 100;
            if allowed {
                self.credit -= 100;
            }
            allowed
        }

        pub(in crate::traffic) fn left(&self) -> u64 {
            self.credit / 100
        }
    }
}

pub(super) mod backoff {
    use std::time::Duration;

    pub(in crate::traffic) fn retry_after(drain: Duration, spread: u64) -> Duration {
        let base = drain.clamp(Duration::from_millis(200), Duration::from_secs(30));
        base + base * u32::try_from(spread % 1000).unwrap_or(0) / 1000
    }
}

pub(super) mod choose {
    use std::time::Duration;

    use rand::Rng;
    use stair_types::TargetKey;

    #[derive(Default)]
    pub(in crate::traffic) struct Options {}

    #[derive(Debug, Clone, Copy)]
    pub(in crate::traffic) struct Candidate {
        pub(in crate::traffic) key: TargetKey,
        pub(in crate::traffic) loaded: bool,
        pub(in crate::traffic) expected_wait: Duration,
        pub(in crate::traffic) report_age: Duration,
        pub(in crate::traffic) in_flight: u16,
        pub(in crate::traffic) cold_start: Duration,
        pub(in crate::traffic) prefix_affinity: bool,
        pub(in crate::traffic) same_data_centre: bool,
        pub(in crate::traffic) weight: f32,
    }

    pub(in crate::traffic) fn prefix_home<I>(hash: u64, candidates: I) -> Option<TargetKey>
    where
        I: IntoIterator<Item = (TargetKey, u64)>,
    {
        let scored = candidates.into_iter();
        scored
            .max_by_key(|(_, name)| (hash ^ name).wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .map(|(key, _)| key)
    }

    pub(in crate::traffic) fn order<R>(
        _: &Options,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Vec<TargetKey>
    where
        R: Rng + ?Sized,
    {
        let mut ranked: Vec<(bool, Duration, u32, TargetKey)> = candidates
            .iter()
            .map(|c| {
                let cold = if c.loaded {
                    Duration::ZERO
                } else {
                    c.cold_start
                };
                let queue = c.expected_wait + Duration::from_millis(50) * u32::from(c.in_flight);
                let far = Duration::from_millis(if c.same_data_centre { 0 } else { 4 });
                let gain = Duration::from_millis(if c.prefix_affinity { 300 } else { 0 });
                let cost = (queue.max(cold) + far).saturating_sub(gain);
                let fresh = c.report_age < Duration::from_millis(100);
                let tie = if fresh { 0 } else { rng.next_u32() };
                (c.weight < 0.5, cost, tie, c.key)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|r| r.3).collect()
    }
}
