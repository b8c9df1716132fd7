//! The records of one process.

use std::time::Duration;

use super::{
    Answer,
    Origin,
    Record,
    StreamKey, //
};

/// Interval in which expired records are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of records beyond which the ones that expire first are removed.
const MAX_RECORDS: usize = 1 << 14;

/// Longest time for which a record is kept, whatever its writer states.
const MAX_TTL: Duration = Duration::from_secs(600);

/// Index into the origins of [`Records`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OriginKey(u32);

#[derive(Debug, Clone, Copy)]
struct Kept {
    stream: StreamKey,
    /// `None` after records of two origins.
    origin: Option<OriginKey>,
    until: Duration,
}

/// Origins of streams, until their clients have given up.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Sorted by stream.
    all: Vec<Kept>,
    /// The origins that records refer to; there are few.
    origins: Vec<Origin>,
    swept_at: Duration,
}

impl Records {
    /// Adds a record. It stays unless one of another origin follows.
    pub fn put(&mut self, record: &Record, now: Duration) {
        self.sweep(now);
        let origin = self.key_of(&record.origin);
        let until = now + record.ttl.min(MAX_TTL);
        match self.all.binary_search_by_key(&record.stream, |k| k.stream) {
            Ok(i) => {
                let kept = &mut self.all[i];
                if kept.until <= now {
                    kept.origin = Some(origin);
                } else if kept.origin != Some(origin) {
                    kept.origin = None;
                }
                kept.until = kept.until.max(until);
            }
            Err(i) => {
                let kept = Kept {
                    stream: record.stream,
                    origin: Some(origin),
                    until,
                };
                self.all.insert(i, kept);
            }
        }
    }

    /// What is known of a stream.
    pub fn get(&self, stream: StreamKey, now: Duration) -> Answer {
        let found = self.all.binary_search_by_key(&stream, |k| k.stream).ok();
        match found.map(|i| self.all[i]).filter(|k| now < k.until) {
            None => Answer::Unknown,
            Some(Kept { origin: None, .. }) => Answer::Ambiguous,
            Some(Kept {
                origin: Some(key), ..
            }) => Answer::Known(self.origins[key.0 as usize].clone()),
        }
    }

    /// The number of records of each origin.
    pub fn counts(&self) -> Vec<(&Origin, usize)> {
        let count = |i: usize| {
            let of = |k: &&Kept| k.origin == Some(OriginKey(i as u32));
            self.all.iter().filter(of).count()
        };
        let all = self.origins.iter().enumerate();
        all.map(|(i, o)| (o, count(i))).collect()
    }

    fn key_of(&mut self, origin: &Origin) -> OriginKey {
        let i = self.origins.iter().position(|o| o == origin);
        let i = i.unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        OriginKey(i as u32)
    }

    fn sweep(&mut self, now: Duration) {
        if self.all.len() >= MAX_RECORDS {
            let mut ends: Vec<Duration> = self.all.iter().map(|k| k.until).collect();
            let (_, middle, _) = ends.select_nth_unstable(MAX_RECORDS / 2);
            let middle = *middle;
            self.all.retain(|k| k.until > middle);
        }
        if now.saturating_sub(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.all.retain(|k| now < k.until);
        if self.all.is_empty() {
            self.origins.clear();
        }
    }
}
