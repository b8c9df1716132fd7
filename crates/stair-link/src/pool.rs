//! Links to many addresses, opened on demand and closed when idle.
//!
//! One link serves all requests to an address. Several requests that find none at the same time
//! share one attempt and its outcome, so a burst does not open a link each.

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
    state: State,
}

#[derive(Clone)]
enum State {
    Open(Link),
    /// An attempt is under way; its outcome comes here.
    Opening(watch::Receiver<Option<Outcome>>),
}

/// What everybody who waits for an attempt is told.
type Outcome = Result<Link, Box<str>>;

/// Slots without a live link are swept when this many have been added since the last sweep.
const SWEEP_INTERVAL: usize = 256;

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
    /// A dead address answers nothing, and each attempt takes the whole time to connect. If those
    /// that wait made attempts of their own one after the other, a burst of requests would be
    /// held for as many times that time; so they share the failure of the attempt they wait for,
    /// and all go elsewhere at once.
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
            // The runtime of the attempt ends.
            Err(_) => None,
        };
        outcome
            .unwrap_or_else(|| Err("the attempt ended".into()))
            .map_err(failed)
    }

    /// Returns the number of live links.
    pub fn live(&self) -> usize {
        self.slots().iter().filter(|s| s.is_live()).count()
    }

    /// Returns the dialer.
    pub fn dialer(&self) -> &Dialer {
        &self.dialer
    }

    /// Returns the live link or the attempt under way, beginning one if there is neither.
    ///
    /// The attempt has a task of its own: whoever began it may give up while others wait.
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
            // An attempt that ended without a word was cut off with its runtime.
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
