//! Links to many addresses, opened on demand and closed when idle.
//!
//! One link serves all requests to an address. Concurrent requests to an address without a link
//! share one connection attempt and its result, so a burst opens a single link.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio::sync::watch;

use crate::{
    Dialer,
    Error,
    Link,
    link::Probing, //
};

/// Links by address. Clones share them.
#[derive(Clone)]
pub struct Pool {
    dialer: Dialer,
    probing: Probing,
    /// Sorted by address.
    slots: Arc<Mutex<Vec<Slot>>>,
}

struct Slot {
    addr: SocketAddr,
    state: State,
}

#[derive(Clone)]
enum State {
    Open(Link),
    /// An attempt is in progress; the channel receives its result.
    Opening(watch::Receiver<Option<Outcome>>),
}

/// The result of an attempt, shared by all its waiters.
type Outcome = Result<Link, Box<str>>;

/// Slots without a live link are removed before an insertion that would bring the number of
/// slots to a multiple of this.
const SWEEP_INTERVAL: usize = 256;

impl Pool {
    /// Returns an empty pool.
    pub fn new(dialer: Dialer, probing: Probing) -> Self {
        Self {
            dialer,
            probing,
            slots: Arc::default(),
        }
    }

    /// Returns the live link to an address, opening it if there is none.
    ///
    /// An attempt to reach an unresponsive address takes the full connect timeout. If all waiters
    /// made their own attempts one after the other, the last request of a burst would wait for a
    /// multiple of the timeout. All waiters of an attempt therefore share its failure, and can try
    /// another address at once.
    ///
    /// # Errors
    ///
    /// As [`Dialer::connect`].
    pub async fn get(&self, addr: SocketAddr) -> Result<Link, Error> {
        let mut attempt = match self.get_or_start(addr) {
            State::Open(link) => return Ok(link),
            State::Opening(attempt) => attempt,
        };
        let failed = |cause| Error::Connect { addr, cause };
        let outcome = match attempt.wait_for(Option::is_some).await {
            Ok(outcome) => outcome.clone(),
            // The runtime of the attempt is shutting down.
            Err(_) => None,
        };
        outcome
            .unwrap_or_else(|| Err("the connection attempt was aborted".into()))
            .map_err(failed)
    }

    /// Returns the number of live links.
    pub fn live(&self) -> usize {
        self.slots().iter().filter(|s| s.is_live()).count()
    }

    /// Returns the dialer that opens the links.
    pub fn dialer(&self) -> &Dialer {
        &self.dialer
    }

    /// Returns the live link or the attempt in progress, and starts an attempt if there is neither.
    ///
    /// The attempt runs in its own task, because the request that started it may be cancelled while
    /// others wait.
    fn get_or_start(&self, addr: SocketAddr) -> State {
        let mut slots = self.slots();
        let at = slots.binary_search_by_key(&addr, |s| s.addr);
        if let Ok(i) = at
            && slots[i].is_live()
        {
            return slots[i].state.clone();
        }
        let (tx, rx) = watch::channel(None);
        let state = State::Opening(rx);
        match at {
            Ok(i) => slots[i].state = state.clone(),
            Err(_) => insert(&mut slots, addr, state.clone()),
        }
        drop(slots);
        tokio::spawn(self.clone().open(addr, tx));
        state
    }

    async fn open(self, addr: SocketAddr, tx: watch::Sender<Option<Outcome>>) {
        let result = self.dialer.connect(addr, self.probing).await;
        let mut slots = self.slots();
        if let Ok(i) = slots.binary_search_by_key(&addr, |s| s.addr) {
            match &result {
                Ok(link) => slots[i].state = State::Open(link.clone()),
                Err(_) => drop(slots.remove(i)),
            }
        }
        drop(slots);
        tx.send_replace(Some(result.map_err(cause)));
    }

    fn slots(&self) -> MutexGuard<'_, Vec<Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    fn is_live(&self) -> bool {
        match &self.state {
            State::Open(link) => !link.is_closed(),
            // A closed channel without a result means that the runtime aborted the attempt.
            State::Opening(attempt) => attempt.has_changed().is_ok(),
        }
    }
}

fn insert(slots: &mut Vec<Slot>, addr: SocketAddr, state: State) {
    if slots.len() % SWEEP_INTERVAL == SWEEP_INTERVAL - 1 {
        slots.retain(Slot::is_live);
    }
    let at = slots.partition_point(|s| s.addr < addr);
    slots.insert(at, Slot { addr, state });
}

fn cause(e: Error) -> Box<str> {
    match e {
        Error::Connect { cause, .. } => cause,
        other => other.to_string().into(),
    }
}
