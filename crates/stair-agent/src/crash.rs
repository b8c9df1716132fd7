//! Finds out whether the target crashed during a run.
//!
//! An interrupted connection does not show whether the target has ended, and a cancelled run shows
//! nothing at all. The target's address is therefore probed for some time after such a run.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use stair_http::probe;
use stair_telemetry::{
    Part,
    warn, //
};
use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Delay of the first probe, for a target that closes its connections before its listener.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(20);

/// Pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which a proxy closes a connection that it cannot forward.
const CLOSE_WINDOW: Duration = Duration::from_millis(50);

/// Time after a run in which its target may be found to have crashed. The run hardly ends a target
/// that has kept running for this time.
const WATCH_WINDOW: Duration = Duration::from_millis(1500);

/// Time after which a target that is still down is no longer probed.
const MAX_OUTAGE: Duration = Duration::from_secs(30);

/// Counts the crashes of the target.
pub(crate) struct CrashWatch {
    addr: SocketAddr,
    crashes: watch::Sender<u64>,
    /// The target shuts down, so that its end is not attributed to runs.
    draining: AtomicBool,
    probing: Mutex<Probing>,
}

#[derive(Default)]
struct Probing {
    /// A task probes the target.
    active: bool,
    /// The end of the watch; none before the first one.
    until: Option<Instant>,
}

impl CrashWatch {
    pub(crate) fn new(addr: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            addr,
            crashes: watch::Sender::new(0),
            draining: AtomicBool::new(false),
            probing: Mutex::default(),
        })
    }

    /// Returns the number of crashes found so far.
    pub(crate) fn count(&self) -> u64 {
        *self.crashes.borrow()
    }

    /// Sets whether the target shuts down.
    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Waits until the target is found to have crashed after `count` crashes. Returns the number of
    /// that crash, or `None` when the target keeps running.
    pub(crate) async fn next_crash(self: &Arc<Self>, count: u64) -> Option<u64> {
        if self.draining.load(Ordering::Relaxed) {
            return None;
        }
        let mut crashes = self.crashes.subscribe();
        self.watch();
        let found = timeout(WATCH_WINDOW, crashes.wait_for(|n| *n > count)).await;
        matches!(found, Ok(Ok(_))).then_some(count + 1)
    }

    /// Whether the target has ended shortly before. Waits for a target that closes its connections
    /// before its listener.
    pub(crate) async fn is_down(&self) -> bool {
        sleep(FIRST_PROBE_DELAY).await;
        probe::is_down(self.addr, CLOSE_WINDOW).await
    }

    /// Probes the target for the time of a watch from now on.
    pub(crate) fn watch(self: &Arc<Self>) {
        let mut probing = self.lock();
        probing.until = Some(Instant::now() + WATCH_WINDOW);
        if !std::mem::replace(&mut probing.active, true) {
            tokio::spawn(self.clone().probe());
        }
    }

    /// Probes until the end of the watch, and until a target that is down is back.
    async fn probe(self: Arc<Self>) {
        let begun = Instant::now();
        let mut down = false;
        sleep(FIRST_PROBE_DELAY).await;
        loop {
            let was_down =
                std::mem::replace(&mut down, probe::is_down(self.addr, CLOSE_WINDOW).await);
            if down && !was_down {
                self.crashes.send_modify(|n| *n += 1);
                warn!(Part::Engine, "the target crashed, crash {}", self.count());
            }
            if self.stop_if_due(down && begun.elapsed() < MAX_OUTAGE) {
                return;
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Ends the probes after the watch, unless the target has to be probed until it is back.
    fn stop_if_due(&self, until_back: bool) -> bool {
        let mut probing = self.lock();
        let watching = probing.until.is_some_and(|t| Instant::now() < t);
        probing.active = watching || until_back;
        !probing.active
    }

    fn lock(&self) -> MutexGuard<'_, Probing> {
        self.probing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
