//! Turns at the weight store.
//!
//! Each load of any agent asks the home entry for a turn on a stream of its own. The desk is soft
//! state: when the home dies the agents ask the next one, and two homes for a while only make
//! loads slower.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use stair_policy::load_slots::{
    LoadSlots, //
    Options,
};
use stair_types::TierRank;
use tokio::{
    sync::{
        Notify,
        oneshot, //
    },
    time::Instant,
};

/// A turn ends with its stream, and a stream with its link. The policy's own expiry is the second
/// line: no load takes an hour.
const LEASE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Names one request for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaiterId(u64);

/// Gives out turns. Cloning shares them.
#[derive(Clone)]
pub struct LoadSlotScheduler {
    inner: Arc<Inner>,
}

struct Inner {
    started: Instant,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    slots: LoadSlots<WaiterId>,
    waiters: Vec<Waiter>,
    next_id: u64,
}

struct Waiter {
    id: WaiterId,
    tx: oneshot::Sender<()>,
}

/// A request for a turn, or the turn itself; ends when dropped.
pub struct LoadSlotLease {
    scheduler: LoadSlotScheduler,
    id: WaiterId,
    granted: oneshot::Receiver<()>,
}

impl LoadSlotLease {
    /// Waits until the load may start.
    pub async fn granted(&mut self) {
        // The sender is dropped without a word only with the desk itself.
        let _ = (&mut self.granted).await;
    }
}

impl Drop for LoadSlotLease {
    fn drop(&mut self) {
        let mut state = self.scheduler.state();
        state.slots.cancel(self.id);
        state.waiters.retain(|w| w.id != self.id);
        drop(state);
        self.scheduler.inner.changed.notify_one();
    }
}

impl LoadSlotScheduler {
    /// Makes a desk and starts to give out turns.
    pub fn start(opts: Options) -> Self {
        let scheduler = Self {
            inner: Arc::new(Inner {
                started: Instant::now(),
                state: Mutex::new(State {
                    slots: LoadSlots::new(with_lease_timeout(opts)),
                    waiters: Vec::new(),
                    next_id: 0,
                }),
                changed: Notify::new(),
            }),
        };
        tokio::spawn(run(scheduler.clone()));
        scheduler
    }

    /// Changes what the weight store allows. Turns that are held or asked for stay.
    pub fn set_options(&self, opts: Options) {
        self.state().slots.set_options(with_lease_timeout(opts));
        self.inner.changed.notify_one();
    }

    /// Asks for a turn.
    pub fn request(&self, rank: TierRank, time_left: Duration) -> LoadSlotLease {
        let now = self.now();
        let (tx, granted) = oneshot::channel();
        let mut state = self.state();
        let id = WaiterId(state.next_id);
        state.next_id += 1;
        state.slots.request(now, id, rank, now + time_left);
        state.waiters.push(Waiter { id, tx });
        drop(state);
        self.inner.changed.notify_one();
        LoadSlotLease {
            scheduler: self.clone(),
            id,
            granted,
        }
    }

    /// Returns how many loads wait for a turn.
    pub fn waiting(&self) -> usize {
        self.state().slots.waiting()
    }

    fn now(&self) -> Duration {
        self.inner.started.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives out all turns that are due and returns when the next one may be.
    fn grant_due(&self) -> Option<Duration> {
        let now = self.now();
        let mut state = self.state();
        while let Some(id) = state.slots.next(now) {
            let at = state.waiters.iter().position(|w| w.id == id);
            if let Some(at) = at {
                let _ = state.waiters.swap_remove(at).tx.send(());
            }
        }
        state.slots.next_at()
    }
}

async fn run(scheduler: LoadSlotScheduler) {
    /// Nothing waits: the next request wakes the task.
    const IDLE_DELAY: Duration = Duration::from_secs(3600);
    loop {
        let due = scheduler
            .grant_due()
            .map_or(scheduler.now() + IDLE_DELAY, |at| at);
        tokio::select! {
            () = tokio::time::sleep_until(scheduler.inner.started + due) => {}
            () = scheduler.inner.changed.notified() => {}
        }
    }
}

fn with_lease_timeout(opts: Options) -> Options {
    Options {
        holder_timeout: LEASE_TIMEOUT,
        ..opts
    }
}
