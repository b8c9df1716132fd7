//! The software versions that a service has had, and since when that is known.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Time after which a version that has left is forgotten. No stream lasts as long.
const MAX_AGE: Duration = Duration::from_secs(600);

/// A version of the software of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportedVersion {
    /// The service.
    pub service: Box<str>,
    /// The version; empty if it is not known.
    pub version: Box<str>,
    /// Time since a target of it was last listed; `None` while one is.
    pub left: Option<Duration>,
}

/// The versions that a process has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Time for which the list of targets has been known without a gap.
    pub coverage: Option<Duration>,
    /// The versions.
    pub versions: Vec<ReportedVersion>,
}

#[derive(Debug, Clone)]
struct Seen {
    service: Box<str>,
    version: Box<str>,
    listed: bool,
    /// When it was last known to be listed.
    last: Duration,
}

/// The versions that one process knows, by itself and from others.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Sorted by service and version.
    seen: Vec<Seen>,
    coverage: Option<Coverage>,
}

/// The time up to now for which all versions are known. It may begin before the process.
#[derive(Debug, Clone, Copy)]
struct Coverage {
    at: Duration,
    /// Its length then.
    length: Duration,
}

impl History {
    /// Applies the whole list: the service and the version of each listed target. Returns whether a version has
    /// come or left.
    pub fn observe<'a, I>(&mut self, listed: I, now: Duration) -> bool
    where
        I: IntoIterator<Item = (&'a str, &'a str)>,
    {
        let mut listed: Vec<(&str, &str)> = listed.into_iter().collect();
        listed.sort_unstable();
        listed.dedup();
        let mut changed = self.coverage.is_none();
        self.coverage.get_or_insert(Coverage {
            at: now,
            length: Duration::ZERO,
        });
        for seen in self.seen.iter_mut().filter(|s| s.listed) {
            seen.last = now;
            let key = (&*seen.service, &*seen.version);
            if listed.binary_search(&key).is_err() {
                seen.listed = false;
                changed = true;
            }
        }
        for (service, version) in listed {
            let seen = self.entry(service, version, now);
            changed |= !seen.listed;
            seen.listed = true;
            seen.last = now;
        }
        self.seen
            .retain(|s| s.listed || now.saturating_sub(s.last) < MAX_AGE);
        changed
    }

    /// Applies an entry's report of what it has seen. Versions that it does not list have left.
    pub fn merge(&mut self, report: &Report, now: Duration) {
        let listed = report.versions.iter().filter(|v| v.left.is_none());
        let coverage = self.coverage;
        self.observe(listed.map(|v| (&*v.service, &*v.version)), now);
        self.coverage = coverage;
        self.add(report, now);
    }

    /// Adds what another process has seen, without taking anything back.
    pub fn add(&mut self, report: &Report, now: Duration) {
        for reported in &report.versions {
            let seen = self.entry(&reported.service, &reported.version, now);
            let at = now.saturating_sub(reported.left.unwrap_or_default());
            seen.last = seen.last.max(at);
        }
        if report.coverage > self.covered(now) {
            let length = report.coverage.unwrap_or_default();
            self.coverage = Some(Coverage { at: now, length });
        }
    }

    /// Forgets since when the versions are known, after a time in which none were reported.
    pub fn interrupt(&mut self) {
        self.coverage = None;
    }

    /// The versions, of one service or of all.
    pub fn report(&self, service: Option<&str>, now: Duration) -> Report {
        let of = |s: &&Seen| service.is_none_or(|name| *s.service == *name);
        let reported = |s: &Seen| ReportedVersion {
            service: s.service.clone(),
            version: s.version.clone(),
            left: (!s.listed).then(|| now.saturating_sub(s.last)),
        };
        Report {
            coverage: self.covered(now),
            versions: self.seen.iter().filter(of).map(reported).collect(),
        }
    }

    /// The only version that a service has had for this time, as far as it is known; `None` if there were several.
    /// It is the only one indeed if [`History::covers`] that time.
    pub fn sole(&self, service: &str, within: Duration, now: Duration) -> Option<&str> {
        let mut all = self.recent(service, within, now);
        match (all.next(), all.next()) {
            (Some(one), None) if !one.is_empty() => Some(one),
            _ => None,
        }
    }

    /// The versions that a service has had for this time, as far as they are known.
    pub fn recent(
        &self,
        service: &str,
        within: Duration,
        now: Duration,
    ) -> impl Iterator<Item = &str> {
        let recent = move |s: &&Seen| {
            *s.service == *service && (s.listed || now.saturating_sub(s.last) <= within)
        };
        self.seen.iter().filter(recent).map(|s| &*s.version)
    }

    /// Whether all versions of this time are known.
    pub fn covers(&self, within: Duration, now: Duration) -> bool {
        self.covered(now).is_some_and(|t| t >= within)
    }

    fn covered(&self, now: Duration) -> Option<Duration> {
        let coverage = self.coverage?;
        Some(coverage.length + now.saturating_sub(coverage.at))
    }

    fn entry(&mut self, service: &str, version: &str, now: Duration) -> &mut Seen {
        let key = (service, version);
        let found = self
            .seen
            .binary_search_by(|s| (&*s.service, &*s.version).cmp(&key));
        let i = found.unwrap_or_else(|i| {
            let seen = Seen {
                service: service.into(),
                version: version.into(),
                listed: false,
                last: now,
            };
            self.seen.insert(i, seen);
            i
        });
        &mut self.seen[i]
    }
}
