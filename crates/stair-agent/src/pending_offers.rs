//! Pending offers, which arrive before the assignment with their grant.
//!
//! An entry receives a new grant from its watch and may offer the first request before the agent
//! has its new assignment. The target can serve such a request as soon as the assignment arrives,
//! so the offer waits for a short time and is not refused.

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

/// Time for which an offer waits for its assignment. Entries receive a grant within milliseconds of
/// each other. A longer delay means a broken link, and another target should serve the request.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of pending offers. Further ones, of a burst on a model whose grant is just
/// arriving, are refused as not granted.
const MAX_PENDING_OFFERS: usize = 1024;

/// An offer that waits for its assignment.
pub(crate) struct PendingOffer {
    offer: Box<Offer>,
    body: Bytes,
    events: mpsc::UnboundedSender<OfferEvent>,
    until: Duration,
}

impl Core {
    /// Admits an offer, or defers it until the assignment with its grant arrives.
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

    /// Admits the pending offers whose assignment has arrived or whose wait has timed out.
    pub(crate) fn retry_pending_offers(&mut self) {
        if self.pending_offers.is_empty() {
            return;
        }
        let now = self.now();
        for pending in std::mem::take(&mut self.pending_offers) {
            // The entry has withdrawn the offer meanwhile.
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
        // At its start the agent reads its grants from the platform; the models' declarations come
        // with the first assignment of an entry.
        let unspecified = self.in_force.model(model).is_none() && self.in_force.is_granted(model);
        (lags && self.in_force.servable_model(model).is_none() || unspecified)
            && !self.refuses_work()
    }
}
