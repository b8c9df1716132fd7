//! Offers that come before the grant that they rest on.
//!
//! An entry learns of a new grant by its watch and may offer the first request before the agent
//! has its new assignment. Refusing it would cost the caller an answer that the target is about to
//! be able to give; so the offer waits for the assignment, for a short while.

use std::time::Duration;

use bytes::Bytes;
use stair_state::grants::shard_of;
use stair_wire::request::{
    Offer,
    Work, //
};
use tokio::sync::mpsc;

use crate::{
    control::Core,
    msg::Event, //
};

/// How long an offer waits for its assignment. Both come from entries that hear of a grant within
/// milliseconds of each other; what takes longer is a broken link, and the request is better off
/// elsewhere.
const WAIT: Duration = Duration::from_secs(1);

/// Offers that may wait so. More would be a burst on a model that is granted at this moment; they
/// are refused as not granted.
const MAX: usize = 1024;

/// An offer that waits for its assignment.
pub(crate) struct Early {
    offer: Box<Offer>,
    body: Bytes,
    events: mpsc::UnboundedSender<Event>,
    until: Duration,
}

impl Core {
    /// Takes an offer, now or when the assignment that it rests on has come.
    pub(crate) fn take_offer(
        &mut self,
        offer: Box<Offer>,
        body: Bytes,
        events: mpsc::UnboundedSender<Event>,
    ) {
        if !self.is_early(&offer) || self.early.len() >= MAX {
            self.offer(offer, body, events);
            return;
        }
        let until = self.now() + WAIT;
        self.early.push(Early {
            offer,
            body,
            events,
            until,
        });
    }

    /// Takes the early offers whose assignment has come or whose time is up.
    pub(crate) fn take_early(&mut self) {
        if self.early.is_empty() {
            return;
        }
        let now = self.now();
        for early in std::mem::take(&mut self.early) {
            // The entry has withdrawn it meanwhile.
            if early.events.is_closed() {
                continue;
            }
            if early.until > now && self.is_early(&early.offer) {
                self.early.push(early);
            } else {
                self.offer(early.offer, early.body, early.events);
            }
        }
    }

    fn is_early(&self, offer: &Offer) -> bool {
        let Work::Model { model, .. } = &offer.work else {
            return false;
        };
        let known = self.in_force.version(shard_of(model));
        let behind = offer.shard_version > known;
        // At its start the agent reads its grants from the platform, and learns what the models
        // are like from its first entry.
        let unspecified = self.in_force.model(model).is_none() && self.in_force.grants(model);
        (behind && self.in_force.may_hold(model).is_none() || unspecified) && !self.takes_no_work()
    }
}
