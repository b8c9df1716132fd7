//! An entry's knowledge of suspects and quarantined causes.

use std::time::Duration;

use stair_types::{
    Fingerprint,
    fingerprint::Outline, //
};

use super::{
    BLAME_TTL,
    Notice,
    Parts,
    Standing, //
};

/// Limit of watched causes. At the limit a quarantined cause replaces a suspect, and a suspect
/// is not added.
const MAX_WATCHED: usize = 4096;

/// What an entry watches.
#[derive(Debug, Clone, Default)]
pub struct Watchlist {
    /// Sorted by cause, and therefore by outline.
    list: Vec<Watched>,
}

/// What the watchlist says of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Assessment {
    /// None of its causes is watched.
    Ordinary,
    /// It runs only on trial, because of these causes.
    Suspect(Vec<Fingerprint>),
    /// It is not run for this time.
    Quarantined {
        /// Why.
        cause: Fingerprint,
        /// The remaining time.
        left: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct Watched {
    fingerprint: Fingerprint,
    /// End of the quarantine; the request is a suspect after it.
    quarantined_until: Duration,
    forget_at: Duration,
}

impl Watchlist {
    /// Whether nothing is watched.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether a request with this outline may be watched.
    pub fn has_outline(&self, outline: Outline) -> bool {
        let key = |w: &Watched| w.fingerprint.outline();
        self.list.binary_search_by_key(&outline, key).is_ok()
    }

    /// The standing of a request; `None` for an ordinary one.
    pub fn standing(&self, fingerprint: &Fingerprint, now: Duration) -> Option<Standing> {
        let watched = self.list[self.find(fingerprint).ok()?];
        match watched.quarantined_until.saturating_sub(now) {
            Duration::ZERO if now >= watched.forget_at => None,
            Duration::ZERO => Some(Standing::Suspect),
            left => Some(Standing::Quarantined(left)),
        }
    }

    /// Assesses a request by the parts of its prompt and by itself; `None` if its outline is not
    /// watched.
    pub fn assess(&self, request: Option<Fingerprint>, parts: &Parts, now: Duration) -> Assessment {
        let mut suspects = Vec::new();
        let mut quarantined: Option<(Duration, Fingerprint)> = None;
        for cause in request.iter().chain(parts.as_slice()) {
            match self.standing(cause, now) {
                None | Some(Standing::Cleared) => {}
                Some(Standing::Suspect) => suspects.push(*cause),
                Some(Standing::Quarantined(left)) => {
                    quarantined = quarantined.max(Some((left, *cause)));
                }
            }
        }
        match quarantined {
            Some((left, cause)) => Assessment::Quarantined { cause, left },
            None if suspects.is_empty() => Assessment::Ordinary,
            None => Assessment::Suspect(suspects),
        }
    }

    /// Those of these causes that are watched.
    pub fn watched<'a, I>(&self, causes: I) -> Vec<Fingerprint>
    where
        I: IntoIterator<Item = &'a Fingerprint>,
    {
        let causes = causes.into_iter();
        causes.filter(|c| self.find(c).is_ok()).copied().collect()
    }

    /// Applies a notice, and returns whether it changes the standing of the request.
    pub fn apply(&mut self, notice: &Notice, now: Duration) -> bool {
        self.list
            .retain(|w| now < w.forget_at || now < w.quarantined_until);
        let before = self.standing(&notice.fingerprint, now);
        let quarantined_until = match notice.standing {
            Standing::Cleared => return self.remove(&notice.fingerprint),
            Standing::Suspect => Duration::ZERO,
            Standing::Quarantined(left) => now + left,
        };
        match self.find(&notice.fingerprint) {
            Ok(i) => {
                let watched = &mut self.list[i];
                watched.quarantined_until = watched.quarantined_until.max(quarantined_until);
                watched.forget_at = now + BLAME_TTL;
            }
            Err(_) => self.insert(notice.fingerprint, quarantined_until, now),
        }
        let kind = |s: Option<Standing>| s.map(|s| std::mem::discriminant(&s));
        kind(before) != kind(self.standing(&notice.fingerprint, now))
    }

    fn insert(&mut self, fingerprint: Fingerprint, quarantined_until: Duration, now: Duration) {
        if self.list.len() >= MAX_WATCHED {
            let is_quarantined = now < quarantined_until;
            let suspect = self.list.iter().position(|w| w.quarantined_until <= now);
            match suspect.filter(|_| is_quarantined) {
                Some(i) => drop(self.list.remove(i)),
                None => return,
            }
        }
        let watched = Watched {
            fingerprint,
            quarantined_until,
            forget_at: now + BLAME_TTL,
        };
        if let Err(i) = self.find(&fingerprint) {
            self.list.insert(i, watched);
        }
    }

    /// Removes a request, and returns whether it was watched.
    pub fn remove(&mut self, fingerprint: &Fingerprint) -> bool {
        let found = self.find(fingerprint);
        found.map(|i| self.list.remove(i)).is_ok()
    }

    /// The standings of all watched requests.
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        let notice = |w: &Watched| {
            let fingerprint = w.fingerprint;
            let standing = self.standing(&fingerprint, now)?;
            Some(Notice {
                fingerprint,
                standing,
            })
        };
        self.list.iter().filter_map(notice).collect()
    }

    fn find(&self, fingerprint: &Fingerprint) -> Result<usize, usize> {
        self.list
            .binary_search_by_key(fingerprint, |w| w.fingerprint)
    }
}
