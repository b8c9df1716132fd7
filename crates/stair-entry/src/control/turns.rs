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
const HOLDER_TIMEOUT: Duration = Duration::from_secs(3600);

/// Names one request for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ticket(u64);

/// Gives out turns. Cloning shares them.
#[derive(Clone)]
pub struct Desk {
    inner: Arc<Inner>,
}

struct Inner {
    started: Instant,
    book: Mutex<Book>,
    changed: Notify,
}

struct Book {
    turns: LoadSlots<Ticket>,
    waiters: Vec<Waiter>,
    next_ticket: u64,
}

struct Waiter {
    ticket: Ticket,
    tx: oneshot::Sender<()>,
}

/// A request for a turn, or the turn itself; ends when dropped.
pub struct Turn {
    desk: Desk,
    ticket: Ticket,
    granted: oneshot::Receiver<()>,
}

impl Turn {
    /// Waits until the load may start.
    pub async fn granted(&mut self) {
        // The sender is dropped without a word only with the desk itself.
        let _ = (&mut self.granted).await;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let mut book = self.desk.book();
        book.turns.cancel(self.ticket);
        book.waiters.retain(|w| w.ticket != self.ticket);
        drop(book);
        self.desk.inner.changed.notify_one();
    }
}

impl Desk {
    /// Makes a desk and starts to give out turns.
    pub fn start(opts: Options) -> Self {
        let desk = Self {
            inner: Arc::new(Inner {
                started: Instant::now(),
                book: Mutex::new(Book {
                    turns: LoadSlots::new(with_timeout(opts)),
                    waiters: Vec::new(),
                    next_ticket: 0,
                }),
                changed: Notify::new(),
            }),
        };
        tokio::spawn(give_out(desk.clone()));
        desk
    }

    /// Changes what the weight store allows. Turns that are held or asked for stay.
    pub fn allow(&self, opts: Options) {
        self.book().turns.set_options(with_timeout(opts));
        self.inner.changed.notify_one();
    }

    /// Asks for a turn.
    pub fn ask(&self, rank: TierRank, time_left: Duration) -> Turn {
        let now = self.now();
        let (tx, granted) = oneshot::channel();
        let mut book = self.book();
        let ticket = Ticket(book.next_ticket);
        book.next_ticket += 1;
        book.turns.request(now, ticket, rank, now + time_left);
        book.waiters.push(Waiter { ticket, tx });
        drop(book);
        self.inner.changed.notify_one();
        Turn {
            desk: self.clone(),
            ticket,
            granted,
        }
    }

    /// Returns how many loads wait for a turn.
    pub fn waiting(&self) -> usize {
        self.book().turns.waiting()
    }

    fn now(&self) -> Duration {
        self.inner.started.elapsed()
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.inner
            .book
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives out all turns that are due and returns when the next one may be.
    fn round(&self) -> Option<Duration> {
        let now = self.now();
        let mut book = self.book();
        while let Some(ticket) = book.turns.next(now) {
            let at = book.waiters.iter().position(|w| w.ticket == ticket);
            if let Some(at) = at {
                let _ = book.waiters.swap_remove(at).tx.send(());
            }
        }
        book.turns.next_at()
    }
}

async fn give_out(desk: Desk) {
    /// Nothing waits: the next request wakes the task.
    const NOTHING_DUE: Duration = Duration::from_secs(3600);
    loop {
        let due = desk.round().map_or(desk.now() + NOTHING_DUE, |at| at);
        tokio::select! {
            () = tokio::time::sleep_until(desk.inner.started + due) => {}
            () = desk.inner.changed.notified() => {}
        }
    }
}

fn with_timeout(opts: Options) -> Options {
    Options {
        holder_timeout: HOLDER_TIMEOUT,
        ..opts
    }
}
