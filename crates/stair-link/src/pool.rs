//! Links to many addresses, opened on demand and closed when idle.
//!
//! One link serves all requests to an address. Several requests that find none at the same time
//! share one attempt, so a burst does not open a link each.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

use tokio::sync::Mutex as AsyncMutex;

use crate::{
    Dialer,
    Error,
    Link,
    link::Probing, //
};

/// Links by address. Cloning shares them.
#[derive(Clone)]
pub struct Pool {
    dialer: Dialer,
    probing: Probing,
    /// Sorted by address.
    slots: Arc<Mutex<Vec<Slot>>>,
}

struct Slot {
    addr: SocketAddr,
    link: Arc<AsyncMutex<Option<Link>>>,
}

/// Slots without a live link are swept when this many have been added since the last sweep.
const SWEEP_AT: usize = 256;

impl Pool {
    /// Makes an empty pool.
    pub fn new(dialer: Dialer, probing: Probing) -> Self {
        Self {
            dialer,
            probing,
            slots: Arc::default(),
        }
    }

    /// Returns the live link to an address, opening it if there is none.
    ///
    /// # Errors
    ///
    /// As [`Dialer::connect`].
    pub async fn get(&self, addr: SocketAddr) -> Result<Link, Error> {
        let slot = self.slot(addr);
        let mut held = slot.lock().await;
        if let Some(link) = held.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }
        let link = self.dialer.connect(addr, self.probing).await?;
        *held = Some(link.clone());
        Ok(link)
    }

    /// Returns the number of live links.
    pub fn live(&self) -> usize {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.iter().filter(|s| is_live(s)).count()
    }

    /// Returns the dialer.
    pub fn dialer(&self) -> &Dialer {
        &self.dialer
    }

    fn slot(&self, addr: SocketAddr) -> Arc<AsyncMutex<Option<Link>>> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = slots.binary_search_by_key(&addr, |s| s.addr) {
            return slots[i].link.clone();
        }
        if slots.len() % SWEEP_AT == SWEEP_AT - 1 {
            slots.retain(is_live);
        }
        let link = Arc::new(AsyncMutex::new(None));
        let at = slots.partition_point(|s| s.addr < addr);
        slots.insert(
            at,
            Slot {
                addr,
                link: link.clone(),
            },
        );
        link
    }
}

/// A slot that is locked is being opened and counts as live.
fn is_live(slot: &Slot) -> bool {
    match slot.link.try_lock() {
        Ok(link) => link.as_ref().is_some_and(|l| !l.is_closed()),
        Err(_) => true,
    }
}
