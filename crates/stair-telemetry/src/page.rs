//! Counters, gauges and latency histograms in the Prometheus text format.
//!
//! A sample is `name{labels} value`; histograms have cumulative buckets in milliseconds.

use std::{
    fmt::Write,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

/// Inclusive upper bounds of the buckets in milliseconds, from one store call to the longest
/// request.
const BOUNDS_MS: [u32; 14] = [
    2, 5, 10, 25, 50, 100, 200, 400, 800, 1600, 2500, 5000, 10_000, 15_000,
];

/// Maximum number of series of each kind. It bounds the memory when a label has unbounded values.
const MAX_SERIES: usize = 512;

/// The metrics of a process. Labels must have few distinct values.
///
/// New series beyond 512 counters, gauges or histograms are dropped.
#[derive(Debug, Default)]
pub struct Page {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by key.
    counters: Vec<(Key, u64)>,
    /// Sorted by key.
    gauges: Vec<(Key, i64)>,
    /// Sorted by key.
    histograms: Vec<(Key, Histogram)>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    name: &'static str,
    labels: Box<str>,
}

#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BOUNDS_MS.len() + 1],
    sum: Duration,
}

/// Name and value of a label.
pub type Label<'a> = (&'static str, &'a str);

impl Page {
    /// Adds to a counter.
    pub fn count(&self, name: &'static str, labels: &[Label<'_>], n: u64) {
        if let Some(value) = series(&mut self.lock().counters, name, labels) {
            *value += n;
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, labels: &[Label<'_>], to: i64) {
        if let Some(value) = series(&mut self.lock().gauges, name, labels) {
            *value = to;
        }
    }

    /// Records a duration in a histogram.
    pub fn time(&self, name: &'static str, labels: &[Label<'_>], t: Duration) {
        if let Some(h) = series(&mut self.lock().histograms, name, labels) {
            let ms = u32::try_from(t.as_millis()).unwrap_or(u32::MAX);
            h.buckets[BOUNDS_MS.partition_point(|b| *b < ms)] += 1;
            h.sum += t;
        }
    }

    /// Renders all metrics as text.
    pub fn text(&self) -> String {
        let inner = self.lock();
        let mut out = String::new();
        for (key, value) in &inner.counters {
            let _ = writeln!(out, "{}{{{}}} {value}", key.name, key.labels);
        }
        for (key, value) in &inner.gauges {
            let _ = writeln!(out, "{}{{{}}} {value}", key.name, key.labels);
        }
        for (key, h) in &inner.histograms {
            h.write(&mut out, key);
        }
        out
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Histogram {
    fn write(&self, out: &mut String, key: &Key) {
        let comma = if key.labels.is_empty() { "" } else { "," };
        let mut sum = 0;
        for (i, n) in self.buckets.iter().enumerate() {
            sum += n;
            let le = BOUNDS_MS
                .get(i)
                .map_or("+Inf".to_owned(), |b| b.to_string());
            let Key { name, labels } = key;
            let _ = writeln!(out, "{name}_bucket{{{labels}{comma}le=\"{le}\"}} {sum}");
        }
        let ms = self.sum.as_secs_f64() * 1000.0;
        let _ = writeln!(out, "{}_sum{{{}}} {ms:.1}", key.name, key.labels);
        let _ = writeln!(out, "{}_count{{{}}} {sum}", key.name, key.labels);
    }
}

fn series<'a, T: Default>(
    all: &'a mut Vec<(Key, T)>,
    name: &'static str,
    labels: &[Label<'_>],
) -> Option<&'a mut T> {
    let mut text = String::new();
    for (i, (label, value)) in labels.iter().enumerate() {
        let comma = if i == 0 { "" } else { "," };
        let _ = write!(text, "{comma}{label}={value:?}");
    }
    let key = Key {
        name,
        labels: text.into(),
    };
    let i = match all.binary_search_by(|(k, _)| k.cmp(&key)) {
        Ok(i) => i,
        Err(_) if all.len() >= MAX_SERIES => return None,
        Err(i) => {
            all.insert(i, (key, T::default()));
            i
        }
    };
    Some(&mut all[i].1)
}
