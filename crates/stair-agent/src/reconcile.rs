//! Unconfirmed orders to the engine, and the reconciliation of the ledger with its inventory.

use std::time::Duration;

use stair_state::ledger::Item;

use crate::{
    control::Core,
    engine::Inventory,
    msg::Msg, //
};

/// Time for which an order without a reply may still take effect. It may be in the buffer of a
/// closed connection, or read and not executed. If it took effect after an inventory that does not
/// show it, the memory or the replica would be assigned twice.
///
/// Engines that check fencing tokens receive a higher one before the inventory is read. Other
/// engines receive no new order for this time: an engine that replies to a request for its
/// inventory has by then also read the earlier orders on other connections.
pub(crate) const UNCONFIRMED_WINDOW: Duration = Duration::from_secs(2);

/// Delay before the inventory is requested again while the engine is changing it or does not reply.
const RELIST_DELAY: Duration = Duration::from_millis(100);

/// An engine that has not replied to requests for its inventory for this time is down and not just
/// busy. Its requests would wait until their deadlines although another target may serve them.
const ENGINE_DOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Orders without a reply, which may still take effect.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnconfirmedOrders {
    /// When the last such order can no longer take effect; none when there is no such order.
    until: Option<Duration>,
    items: Vec<Item>,
}

impl UnconfirmedOrders {
    /// Returns the orders that a stale incarnation of the agent may have sent.
    pub(crate) fn of_stale_incarnation() -> Self {
        Self {
            until: Some(UNCONFIRMED_WINDOW),
            items: Vec::new(),
        }
    }

    /// Returns whether any order is unconfirmed.
    pub(crate) fn any(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether an order for an item or its base model is unconfirmed. A late unload would
    /// interrupt the requests that run on the item.
    pub(crate) fn affects(&self, item: &Item) -> bool {
        let concerns =
            |other: &Item| other.model == item.model && (other.adapter.is_none() || other == item);
        self.items.iter().any(concerns)
    }

    fn add(&mut self, now: Duration, item: &Item) {
        self.until = Some(now + UNCONFIRMED_WINDOW);
        if !self.items.contains(item) {
            self.items.push(item.clone());
        }
    }

    /// Clears the orders once none of them can take effect; returns whether that happened now.
    fn expire(&mut self, now: Duration) -> bool {
        let ended = self.until.is_some_and(|until| until <= now);
        if ended {
            *self = Self::default();
        }
        ended
    }
}

impl Core {
    /// Returns whether the ledger is known to match the engine's inventory.
    pub(crate) fn knows_inventory(&self) -> bool {
        !self.relist && !self.listing && !self.ledger.has_unconfirmed()
    }

    /// Returns whether the engine may receive orders now. A draining agent still unloads the models
    /// whose grants it releases, also from an engine that shuts down.
    pub(crate) fn may_order(&self) -> bool {
        self.knows_inventory() && !self.unconfirmed.any() && !self.backs_off()
    }

    /// Requests the engine's inventory when the ledger may not match it. The inventory confirms an
    /// order only if it is requested after the last reply came or was lost, so no order is sent
    /// meanwhile.
    pub(crate) fn reconcile_inventory(&mut self) {
        let now = self.now();
        if self.unconfirmed.expire(now) {
            self.relist = true;
        }
        let unsettled = self.relist || self.ledger.has_unconfirmed();
        if !unsettled || self.listing || self.orders > 0 {
            return;
        }
        let Some(engine) = self.args.engine.clone() else {
            return;
        };
        if self.backs_off() || !self.limiter.may_call(true, now) {
            return;
        }
        self.listing = true;
        let me = self.me.clone();
        tokio::spawn(async move {
            let inventory = engine.list_fenced().await;
            let failed = inventory.is_err();
            if failed || inventory.as_ref().is_ok_and(|l| l.is_changing()) {
                tokio::time::sleep(RELIST_DELAY).await;
            }
            let _ = me.send_message(Msg::Inventory(inventory.ok()));
        });
    }

    /// Reconciles the ledger with the inventory; none means that the engine did not reply.
    pub(crate) fn inventory_received(&mut self, inventory: Option<Inventory>) {
        self.listing = false;
        match inventory {
            Some(inventory) => {
                self.ledger.reconcile(inventory.entries());
                self.relist = false;
                self.unresponsive_since = None;
            }
            // The engine runs and wants no calls.
            None if self.backs_off() => self.relist = true,
            None => {
                let now = self.now();
                self.unresponsive_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether the engine counts as down, as [`ENGINE_DOWN_TIMEOUT`] describes.
    pub(crate) fn engine_is_down(&self) -> bool {
        let down = |since: Duration| self.now().saturating_sub(since) >= ENGINE_DOWN_TIMEOUT;
        self.unresponsive_since.is_some_and(down)
    }

    /// Records an order without a reply. Later orders carry a higher fencing token, which the
    /// engine receives before the next inventory is read.
    pub(crate) fn record_unconfirmed(&mut self, item: &Item) {
        let now = self.now();
        self.unconfirmed.add(now, item);
        if let Some(engine) = &mut self.args.engine {
            engine.raise_fence();
        }
    }
}
