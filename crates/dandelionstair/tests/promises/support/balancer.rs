//! A small balancer before the entries, as the platform has one.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio::task::JoinHandle;

use super::{
    LIMIT,
    caller::{
        Answer,
        Ask,
        Caller, //
    },
};

/// Time between two health checks of an entry.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Time between two tries of a request. Callers of the balancer do not come back by `Retry-After`
/// here, so that a test is not longer than it has to be.
const TRY_EVERY: Duration = Duration::from_millis(50);

/// Follows `/healthz`, and sends a request again only when it surely has not run.
///
/// Dropping it ends the health checks.
pub(crate) struct Balancer {
    shared: Arc<Shared>,
    checks: Vec<JoinHandle<()>>,
}

/// Sends requests through the balancer.
#[derive(Clone)]
pub(crate) struct Balanced {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    entries: Mutex<Vec<Behind>>,
    turn: AtomicUsize,
    retries: AtomicU64,
}

struct Behind {
    caller: Caller,
    is_well: bool,
}

impl Balancer {
    /// Makes one without entries.
    pub(crate) fn new() -> Self {
        Self {
            shared: Arc::default(),
            checks: Vec::new(),
        }
    }

    /// Adds an entry; it gets requests once it is well.
    pub(crate) fn add(&mut self, caller: Caller) {
        let behind = Behind {
            caller: caller.clone(),
            is_well: false,
        };
        let mut entries = self.shared.entries();
        entries.push(behind);
        let number = entries.len() - 1;
        drop(entries);
        let shared = self.shared.clone();
        self.checks.push(tokio::spawn(async move {
            loop {
                let is_well = caller.is_well().await;
                shared.entries()[number].is_well = is_well;
                tokio::time::sleep(CHECK_EVERY).await;
            }
        }));
    }

    /// Returns a handle to send requests with.
    pub(crate) fn handle(&self) -> Balanced {
        Balanced {
            shared: self.shared.clone(),
        }
    }

    /// Returns how often a request was sent again.
    pub(crate) fn retries(&self) -> u64 {
        self.shared.retries.load(Ordering::Relaxed)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.checks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    fn entries(&self) -> std::sync::MutexGuard<'_, Vec<Behind>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next(&self) -> Option<Caller> {
        let entries = self.entries();
        let well: Vec<&Behind> = entries.iter().filter(|e| e.is_well).collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let chosen = well.get(turn % well.len().max(1))?;
        Some(chosen.caller.clone())
    }
}

impl Balanced {
    /// Sends a request until it is answered or may have run.
    pub(crate) async fn ask(&self, ask: &Ask) -> Answer {
        let began = Instant::now();
        loop {
            if let Some(entry) = self.shared.next() {
                let mut answer = entry.ask(ask).await;
                if !answer.surely_not_run() || began.elapsed() > LIMIT {
                    answer.took = began.elapsed();
                    return answer;
                }
                self.shared.retries.fetch_add(1, Ordering::Relaxed);
            }
            assert!(began.elapsed() < 2 * LIMIT, "no entry is well");
            tokio::time::sleep(TRY_EVERY).await;
        }
    }
}
