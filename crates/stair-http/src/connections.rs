//! The open connections of a listener, within the limits of the process.
//!
//! A listener that stops accepting keeps its clients waiting in the kernel, where nobody reads or
//! refuses them. All connections are therefore accepted. At the limit, the one that has been idle
//! for the longest time is closed for the new one, and if none is idle the new one is closed unread.
//!
//! # Invariants
//!
//! A connection is closed here only while it is idle: it has no request, and its last response has been
//! handed to the kernel as a whole. The client may then send its next request to another process.

use std::{
    io::{
        self,
        IoSlice, //
    },
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use hyper::Response;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

use crate::{
    body::{
        Body,
        holding, //
    },
    throttle::{
        SAMPLE_INTERVAL,
        Throttle, //
    },
};

/// Pause after `accept` has failed for want of descriptors and no connection is idle.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Idle connections that are closed when descriptors have run out.
const EVICTIONS: usize = 16;

/// The connections of one listener.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    started: Instant,
    inner: Mutex<Inner>,
    counts: Counters,
}

#[derive(Debug, Default)]
struct Inner {
    /// In the order of their keys.
    open: Vec<Open>,
    next_key: u64,
    throttle: Throttle,
}

#[derive(Debug)]
struct Open {
    key: u64,
    /// None while it has a request, or a response that has not been sent as a whole.
    idle_since: Option<Instant>,
    evicted: bool,
    evict: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Counters {
    evicted: AtomicU64,
    full: AtomicU64,
    overloaded: AtomicU64,
}

/// Numbers of connections that were closed without a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Open connections.
    pub open: usize,
    /// Idle ones that gave way.
    pub evicted: u64,
    /// New ones that found no idle one to replace.
    pub full: u64,
    /// New ones that the processor could not have served in time.
    pub overloaded: u64,
}

/// One open connection; it is removed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    all: Arc<Connections>,
    key: u64,
    evict: Arc<Notify>,
    progress: Arc<Progress>,
}

/// What a connection still has to do before it is idle.
#[derive(Debug, Default)]
struct Progress {
    /// Requests whose responses have not been handed to the HTTP library.
    requests: AtomicU64,
    /// Whether a request has begun since all responses were last handed to the kernel.
    unsent: AtomicBool,
}

/// The stream of a connection, which becomes idle when its responses have been handed to the kernel.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    all: Arc<Connections>,
    key: u64,
    progress: Arc<Progress>,
}

/// A request of a connection, until its response has been handed to the HTTP library.
#[derive(Debug)]
pub struct RequestGuard {
    progress: Arc<Progress>,
}

impl Connections {
    /// Creates the set of a listener with at most `max` connections.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            started: Instant::now(),
            inner: Mutex::default(),
            counts: Counters::default(),
        })
    }

    /// Waits for a new connection that can be read. Others are closed unread.
    pub async fn accept(self: &Arc<Self>, listener: &TcpListener) -> (Stream, Connection) {
        loop {
            match listener.accept().await {
                // Dropping the stream closes the connection.
                Ok((inner, _)) => {
                    if let Some(connection) = self.admit() {
                        // Only a latency option: a small response may wait some milliseconds without it.
                        let _ = inner.set_nodelay(true);
                        let stream = Stream {
                            inner,
                            all: self.clone(),
                            key: connection.key,
                            progress: connection.progress.clone(),
                        };
                        return (stream, connection);
                    }
                }
                Err(_) => self.free_descriptors().await,
            }
        }
    }

    /// Measures the delay of tasks, on which the admission of new connections depends, for as long as it
    /// is awaited.
    pub async fn watch_delay(&self) {
        loop {
            let due = Instant::now() + SAMPLE_INTERVAL;
            sleep_until(due).await;
            let now = self.started.elapsed();
            self.lock().throttle.record_delay(due.elapsed(), now);
        }
    }

    /// Whether new connections may be refused because the processor is used up.
    pub fn is_overloaded(&self) -> bool {
        self.lock().throttle.is_limiting()
    }

    /// Returns the number of connections that are not idle.
    pub fn in_use(&self) -> usize {
        let inner = self.lock();
        inner.open.iter().filter(|o| o.idle_since.is_none()).count()
    }

    /// Returns the numbers of connections so far.
    pub fn counts(&self) -> Counts {
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Counts {
            open: self.lock().open.len(),
            evicted: count(&self.counts.evicted),
            full: count(&self.counts.full),
            overloaded: count(&self.counts.overloaded),
        }
    }

    fn admit(self: &Arc<Self>) -> Option<Connection> {
        let now = self.started.elapsed();
        let mut inner = self.lock();
        if !inner.throttle.admit(now) {
            self.counts.overloaded.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let open = inner.open.iter().filter(|o| !o.evicted).count();
        if open >= self.max && inner.evict(1) == 0 {
            self.counts.full.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        if open >= self.max {
            self.counts.evicted.fetch_add(1, Ordering::Relaxed);
        }
        inner.next_key += 1;
        let key = inner.next_key;
        let evict = Arc::new(Notify::new());
        inner.open.push(Open {
            key,
            idle_since: Some(Instant::now()),
            evicted: false,
            evict: evict.clone(),
        });
        drop(inner);
        Some(Connection {
            all: self.clone(),
            key,
            evict,
            progress: Arc::default(),
        })
    }

    /// Closes idle connections after `accept` has failed, or waits if there are none. Accepting again at
    /// once would spin.
    async fn free_descriptors(&self) {
        let evicted = self.lock().evict(EVICTIONS);
        self.counts
            .evicted
            .fetch_add(evicted as u64, Ordering::Relaxed);
        match evicted {
            0 => sleep(ACCEPT_PAUSE).await,
            // The connections close when their tasks run.
            _ => tokio::task::yield_now().await,
        }
    }

    fn set_idle(&self, key: u64, idle_since: Option<Instant>) {
        let mut inner = self.lock();
        if let Some(i) = inner.find(key) {
            let open = &mut inner.open[i];
            open.idle_since = idle_since;
            if open.evicted && idle_since.is_some() {
                open.evict.notify_one();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn find(&self, key: u64) -> Option<usize> {
        self.open.binary_search_by_key(&key, |o| o.key).ok()
    }

    fn is_idle(&self, key: u64) -> bool {
        self.find(key)
            .is_none_or(|i| self.open[i].idle_since.is_some())
    }

    /// Closes up to `count` idle connections, those first that have been idle for the longest time.
    /// Returns how many.
    fn evict(&mut self, count: usize) -> usize {
        for n in 0..count {
            let idle = self.open.iter_mut().filter(|o| !o.evicted);
            let idle = idle.filter(|o| o.idle_since.is_some());
            let Some(longest) = idle.min_by_key(|o| o.idle_since) else {
                return n;
            };
            longest.evicted = true;
            longest.evict.notify_one();
        }
        count
    }
}

impl Connection {
    /// Waits until the connection has to give way, and has no request.
    pub async fn evicted(&self) {
        loop {
            self.evict.notified().await;
            // A request may have come before this task ran; its end notifies again.
            if self.all.lock().is_idle(self.key) {
                return;
            }
        }
    }

    /// Begins a request.
    pub fn begin_request(&self) -> RequestGuard {
        self.progress.requests.fetch_add(1, Ordering::Relaxed);
        self.progress.unsent.store(true, Ordering::Relaxed);
        self.all.set_idle(self.key, None);
        RequestGuard {
            progress: self.progress.clone(),
        }
    }
}

impl Stream {
    /// Records that all bytes written so far have been handed to the kernel.
    fn record_flush(&self) {
        if self.progress.requests.load(Ordering::Relaxed) == 0
            && self.progress.unsent.swap(false, Ordering::Relaxed)
        {
            self.all.set_idle(self.key, Some(Instant::now()));
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    // The HTTP library flushes the stream only once its own buffers are empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl RequestGuard {
    /// Keeps the guard until the HTTP library has taken the whole response.
    pub fn until_taken(self, resp: Response<Body>) -> Response<Body> {
        resp.map(|body| holding(body, self))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut inner = self.all.lock();
        if let Some(i) = inner.find(self.key) {
            inner.open.remove(i);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.progress.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
