//! Which entries have their requests counted by one agent.
//!
//! Entries that cannot reach the first agent in the order of a workspace use the next one, while others still use
//! the first. Each agent then counts with the fraction of the rate that its part of the entries is of all, so that
//! both together admit no more than one. Entries state which agents they pass over, on changes and with requests.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Time after its start for which an agent takes all entries for its own: their links open one by one.
const START: Duration = Duration::from_millis(3000);

/// Time for which an agent counts as passed over after a request that states it. Entries pass an agent over for a
/// second.
const OBSERVED_TTL: Duration = Duration::from_millis(1250);

/// Time for which the fraction of the first agent is kept, so that it is not computed for each of 16,000 workspaces.
const FIRST_TTL: Duration = Duration::from_millis(50);

/// The agents that an entry does not use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOver {
    /// Whether the receiver is among them.
    pub receiver: bool,
    /// The engines of the others, sorted.
    pub engines: Vec<SocketAddr>,
}

/// The entries that are linked to one agent.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Coverage {
    /// Sorted by key.
    links: Vec<Link>,
    /// The fraction for workspaces in whose order this agent is the first, and until when it is kept.
    #[serde(skip)]
    first: Option<(f64, Duration)>,
}

#[derive(Debug, Clone, Serialize)]
struct Link {
    key: u64,
    /// The number of entries that it knows.
    entries: u32,
    passed_over: PassedOver,
    /// Agents that its requests have passed over, and until when that counts.
    #[serde(skip)]
    observed: Vec<(SocketAddr, Duration)>,
}

impl Coverage {
    /// Records what an entry states.
    pub fn state(&mut self, key: u64, passed_over: PassedOver) {
        let link = self.link(key);
        link.observed.clear();
        link.passed_over = passed_over;
    }

    /// Records what a request of an entry shows.
    pub fn observe(&mut self, key: u64, entries: u32, passed_over: &[SocketAddr], now: Duration) {
        let link = self.link(key);
        link.entries = entries;
        link.observed.retain(|(_, until)| now < *until);
        for engine in passed_over {
            link.observed.retain(|(e, _)| e != engine);
            link.observed.push((*engine, now + OBSERVED_TTL));
        }
    }

    /// Forgets an entry whose link has ended.
    pub fn closed(&mut self, key: u64) {
        self.links.retain(|l| l.key != key);
    }

    /// The fraction of all entries that use this agent for a workspace in whose order the agents `before` precede
    /// it.
    pub fn fraction(&mut self, before: &[SocketAddr], now: Duration) -> f64 {
        if let Some((fraction, until)) = self.first
            && before.is_empty()
            && now < until
        {
            return fraction;
        }
        let fraction = self.count(before, now);
        if before.is_empty() {
            self.first = Some((fraction, now + FIRST_TTL));
        }
        fraction
    }

    fn count(&self, before: &[SocketAddr], now: Duration) -> f64 {
        let stated = self.links.iter().map(|l| l.entries).max().unwrap_or(0);
        let linked = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        let all = stated.max(linked);
        if all == 0 || (before.is_empty() && now < START) {
            return 1.0;
        }
        let users = self.links.iter().filter(|l| l.uses(before, now)).count();
        users as f64 / f64::from(all)
    }

    fn link(&mut self, key: u64) -> &mut Link {
        let i = match self.links.binary_search_by_key(&key, |l| l.key) {
            Ok(i) => i,
            Err(i) => {
                let link = Link {
                    key,
                    entries: 0,
                    passed_over: PassedOver::default(),
                    observed: Vec::new(),
                };
                self.links.insert(i, link);
                i
            }
        };
        &mut self.links[i]
    }
}

impl Link {
    fn uses(&self, before: &[SocketAddr], now: Duration) -> bool {
        let is_passed = |engine: &SocketAddr| {
            let observed = || self.observed.iter().any(|(e, t)| e == engine && now < *t);
            self.passed_over.engines.binary_search(engine).is_ok() || observed()
        };
        !self.passed_over.receiver && before.iter().all(is_passed)
    }
}
