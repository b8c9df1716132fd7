//! What the agent does not know about its engine, and how the engine's list settles it.

use std::time::Duration;

use stair_state::ledger::Item;

use crate::{
    control::Core,
    engine::Inventory,
    msg::Msg, //
};

/// An order whose answer was lost may still be under way: in the buffer of a connection that is
/// closed already, or read and not begun. It then takes effect after a list that does not show it,
/// and the memory or the replica would be given twice. Engines that check fencing tokens are told
/// of a higher one before the list; others are given nothing new for this time, in which an engine
/// that answers its list has also read what came before on other connections.
pub(crate) const UNCONFIRMED_WINDOW: Duration = Duration::from_secs(2);

/// Pause before the list is asked for again while the engine is moving or silent.
const RELIST_DELAY: Duration = Duration::from_millis(100);

/// An engine whose list has not been answered for so long is down, and not just busy. Requests that
/// wait for it would wait until their deadline, though another target may serve them.
const ENGINE_DOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Orders that may take effect although they were given up.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnconfirmedOrders {
    /// Until when; none when there are none.
    until: Option<Duration>,
    items: Vec<Item>,
}

impl UnconfirmedOrders {
    /// Returns those of an agent that ran before this one and has ended.
    pub(crate) fn of_predecessor() -> Self {
        Self {
            until: Some(UNCONFIRMED_WINDOW),
            items: Vec::new(),
        }
    }

    /// Tells whether anything may be under way.
    pub(crate) fn any(&self) -> bool {
        self.until.is_some()
    }

    /// Tells whether an order for an item or its base model may be under way. An unload that comes
    /// late would cut the requests that run on it.
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

    /// Returns whether the time has passed just now.
    fn expire(&mut self, now: Duration) -> bool {
        let ended = self.until.is_some_and(|until| until <= now);
        if ended {
            *self = Self::default();
        }
        ended
    }
}

impl Core {
    /// Tells whether it is known what the engine holds.
    pub(crate) fn knows_inventory(&self) -> bool {
        !self.relist && !self.listing && !self.ledger.in_doubt()
    }

    /// Tells whether the engine may be ordered now. An agent that leaves still unloads what it has
    /// to give back.
    pub(crate) fn may_order(&self) -> bool {
        self.knows_inventory() && !self.unconfirmed.any()
    }

    /// Asks for the engine's list when something is in doubt. The list settles an order only if it
    /// is asked for after the last answer came or was lost, so no order is given meanwhile.
    pub(crate) fn reconcile_inventory(&mut self) {
        let now = self.now();
        if self.unconfirmed.expire(now) {
            self.relist = true;
        }
        let unsettled = self.relist || self.ledger.in_doubt();
        if !unsettled || self.listing || self.orders > 0 {
            return;
        }
        let Some(engine) = self.args.engine.clone() else {
            return;
        };
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

    pub(crate) fn inventory_received(&mut self, inventory: Option<Inventory>) {
        self.listing = false;
        match inventory {
            Some(inventory) => {
                self.ledger.settle(inventory.entries());
                self.relist = false;
                self.unresponsive_since = None;
            }
            None => {
                let now = self.now();
                self.unresponsive_since.get_or_insert(now);
            }
        }
    }

    /// Tells whether the engine has not answered for so long that it counts as lost.
    pub(crate) fn engine_is_down(&self) -> bool {
        let down = |since: Duration| self.now().saturating_sub(since) >= ENGINE_DOWN_TIMEOUT;
        self.unresponsive_since.is_some_and(down)
    }

    /// Notes that an order may still be under way. Orders given from now on carry a higher fencing
    /// token, and the next list is asked for after the engine was told of it.
    pub(crate) fn record_unconfirmed(&mut self, item: &Item) {
        let now = self.now();
        self.unconfirmed.add(now, item);
        if let Some(engine) = &mut self.args.engine {
            engine.raise_fence();
        }
    }
}
