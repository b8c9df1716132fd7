//! What an entry knows of suspects and quarantined requests.

use std::time::Duration;

use stair_types::{
    Fingerprint,
    fingerprint::Outline, //
};

use super::{
    BLAME_TTL,
    Notice,
    Standing, //
};

/// Requests that are watched at most. A suspect makes way for a quarantined request, and does not come in otherwise.
const MAX_WATCHED: usize = 1024;

/// The requests that an entry watches.
#[derive(Debug, Clone, Default)]
pub struct Watchlist {
    /// Sorted by request, so by outline too.
    list: Vec<Watched>,
}

#[derive(Debug, Clone, Copy)]
struct Watched {
    fingerprint: Fingerprint,
    /// Until when it is not run; a suspect from then on.
    quarantined_until: Duration,
    forget_at: Duration,
}

impl Watchlist {
    /// Whether no request is watched.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether a request with such an outline may be watched.
    pub fn has_outline(&self, outline: Outline) -> bool {
        let key = |w: &Watched| w.fingerprint.outline();
        self.list.binary_search_by_key(&outline, key).is_ok()
    }

    /// What is known of a request; `None` for an ordinary one.
    pub fn standing(&self, fingerprint: &Fingerprint, now: Duration) -> Option<Standing> {
        let watched = self.list[self.find(fingerprint).ok()?];
        match watched.quarantined_until.saturating_sub(now) {
            Duration::ZERO if now >= watched.forget_at => None,
            Duration::ZERO => Some(Standing::Suspect),
            left => Some(Standing::Quarantined(left)),
        }
    }

    /// Takes in what is known of a request, and tells whether that is new.
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

    /// Drops a request, and tells whether it was there.
    pub fn remove(&mut self, fingerprint: &Fingerprint) -> bool {
        let found = self.find(fingerprint);
        found.map(|i| self.list.remove(i)).is_ok()
    }

    /// All that is known.
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
