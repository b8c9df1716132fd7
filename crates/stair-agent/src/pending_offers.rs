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
    msg::OfferEvent, //
};

/// How long an offer waits for its assignment. Both come from entries that hear of a grant within
/// milliseconds of each other; what takes longer is a broken link, and the request is better off
/// elsewhere.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Offers that may wait so. More would be a burst on a model that is granted at this moment; they
/// are refused as not granted.
const MAX_PENDING_OFFERS: usize = 1024;

/// An offer that waits for its assignment.
pub(crate) struct PendingOffer {
    offer: Box<Offer>,
    body: Bytes,
    events: mpsc::UnboundedSender<OfferEvent>,
    until: Duration,
}

impl Core {
    /// Takes an offer, now or when the assignment that it rests on has come.
    pub(crate) fn receive_offer(
        &mut self,
        offer: Box<Offer>,
        body: Bytes,
        events: mpsc::UnboundedSender<OfferEvent>,
    ) {
        if !self.awaits_assignment(&offer) || self.pending_offers.len() >= MAX_PENDING_OFFERS {
            self.admit(offer, body, events);
            return;
        }
        let until = self.now() + ASSIGNMENT_TIMEOUT;
        self.pending_offers.push(PendingOffer {
            offer,
            body,
            events,
            until,
        });
    }

    /// Takes the early offers whose assignment has come or whose time is up.
    pub(crate) fn retry_pending_offers(&mut self) {
        if self.pending_offers.is_empty() {
            return;
        }
        let now = self.now();
        for pending in std::mem::take(&mut self.pending_offers) {
            // The entry has withdrawn it meanwhile.
            if pending.events.is_closed() {
                continue;
            }
            if pending.until > now && self.awaits_assignment(&pending.offer) {
                self.pending_offers.push(pending);
            } else {
                self.admit(pending.offer, pending.body, pending.events);
            }
        }
    }

    fn awaits_assignment(&self, offer: &Offer) -> bool {
        let Work::Model { model, .. } = &offer.work else {
            return false;
        };
        let known = self.in_force.version(shard_of(model));
        let lags = offer.shard_version > known;
        // At its start the agent reads its grants from the platform, and learns what the models
        // are like from its first entry.
        let unspecified = self.in_force.model(model).is_none() && self.in_force.is_granted(model);
        (lags && self.in_force.servable_model(model).is_none() || unspecified)
            && !self.refuses_work()
    }
}
