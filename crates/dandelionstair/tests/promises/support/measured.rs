//! Times that a test has measured.

use std::{
    fmt,
    time::Duration, //
};

/// Times measured several times over.
#[derive(Default)]
pub(crate) struct Measured {
    times: Vec<Duration>,
}

impl Measured {
    pub(crate) fn add(&mut self, time: Duration) {
        let at = self.times.partition_point(|t| *t < time);
        self.times.insert(at, time);
    }

    /// Returns the time that a share of all does not exceed.
    pub(crate) fn percentile(&self, percent: usize) -> Duration {
        let at = (self.times.len() * percent).div_ceil(100).saturating_sub(1);
        self.times.get(at).copied().unwrap_or_default()
    }

    pub(crate) fn max(&self) -> Duration {
        self.percentile(100)
    }

    pub(crate) fn len(&self) -> usize {
        self.times.len()
    }
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (n, p50, max) = (self.len(), self.percentile(50), self.max());
        write!(f, "n {n}, p50 {p50:.1?}, max {max:.1?}")
    }
}

impl FromIterator<Duration> for Measured {
    fn from_iter<I>(times: I) -> Self
    where
        I: IntoIterator<Item = Duration>,
    {
        let mut measured = Self::default();
        times.into_iter().for_each(|t| measured.add(t));
        measured
    }
}
