//! Reservations of refused clients.
//!
//! Invariant: a reservation ends when its client claims it or [`GRACE`] after its time.

use std::time::Duration;

use serde::Serialize;
use stair_types::Fingerprint;

/// Reservations of one workspace. A reservation has 48 bytes; the largest known quota makes 180 a second for the
/// smallest requests.
const MAX_RESERVATIONS: usize = 1024;

/// How much earlier than its time a reservation may be claimed. `Retry-After` is rounded to 10 ms, and clients'
/// timers are not exact.
pub(super) const TOLERANCE: Duration = Duration::from_millis(50);

/// Time after which an unclaimed reservation ends: a network round trip, a new connection, and a slow client.
const GRACE: Duration = Duration::from_millis(1000);

/// The reservations of one workspace.
#[derive(Debug, Clone, Default, Serialize)]
#[serde(transparent)]
pub(super) struct Reservations {
    /// Sorted by fingerprint and time.
    list: Vec<Reservation>,
    /// No reservation ends before.
    #[serde(skip)]
    next_end: Duration,
}

/// The reservation of one refused client.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Reservation {
    #[serde(skip)]
    pub(super) fingerprint: Fingerprint,
    /// When the client may return.
    pub(super) at: Duration,
    /// Its rank and the hash of its route.
    #[serde(skip)]
    pub(super) class: (u8, u64),
    /// Time between this reservation and the next one of its class.
    pub(super) spacing: Duration,
}

impl Reservations {
    /// The earliest reservation of a client.
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<Reservation> {
        let i = self.list.partition_point(|r| r.fingerprint < fingerprint);
        let first = self.list.get(i).copied();
        first.filter(|r| r.fingerprint == fingerprint)
    }

    /// Removes the earliest reservation of a client.
    pub(super) fn claim(&mut self, fingerprint: Fingerprint) {
        let i = self.list.partition_point(|r| r.fingerprint < fingerprint);
        if self
            .list
            .get(i)
            .is_some_and(|r| r.fingerprint == fingerprint)
        {
            self.list.remove(i);
        }
    }

    /// Whether there is no room for another one.
    pub(super) fn is_full(&self) -> bool {
        self.list.len() >= MAX_RESERVATIONS
    }

    /// The number of reservations.
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Adds a reservation.
    pub(super) fn add(&mut self, new: Reservation) {
        let end = new.at + GRACE;
        if self.list.is_empty() || end < self.next_end {
            self.next_end = end;
        }
        let key = |r: &Reservation| (r.fingerprint, r.at);
        let i = self.list.partition_point(|r| key(r) <= key(&new));
        self.list.insert(i, new);
    }

    /// Removes the reservations that were not claimed in time, and passes them to `unclaimed`.
    pub(super) fn expire<F>(&mut self, now: Duration, mut unclaimed: F)
    where
        F: FnMut(&Reservation),
    {
        if self.list.is_empty() || now < self.next_end {
            return;
        }
        self.list.retain(|r| {
            let ended = r.at + GRACE <= now;
            if ended {
                unclaimed(r);
            }
            !ended
        });
        let ends = self.list.iter().map(|r| r.at + GRACE);
        self.next_end = ends.min().unwrap_or_default();
    }
}
