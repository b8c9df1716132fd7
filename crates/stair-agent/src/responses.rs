//! Buffered responses, which an entry can resume at an offset after its link broke.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration,
};

use bytes::Bytes;
use stair_types::Refusal;
use stair_wire::request::Header;
use tokio::{
    sync::watch,
    time::timeout, //
};

/// Limit on the bytes of all responses, of runs that have ended and of those that go on. Above it, a response keeps
/// [`MIN_BYTES`] only: a target may send many responses without end at once.
const MAX_TOTAL_BYTES: u64 = 96 << 20;

/// Bytes that a response may always keep, so that it goes on whatever the others keep.
const MIN_BYTES: u64 = 64 << 10;

/// Status, media type and other headers of the target's response.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) content_type: Box<str>,
    pub(crate) headers: Vec<Header>,
}

/// How a run ended.
#[derive(Debug, Clone)]
pub(crate) enum RunOutcome {
    Complete { run_ms: u32 },
    Refused(Refusal),
}

/// Whether the target survived a run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Aftermath {
    Unknown,
    Survived,
    Crashed { crash: u64 },
}

/// The next part of a response for its reader.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    Head(Head),
    Body(Bytes),
    End {
        total_bytes: u64,
        run_ms: u32,
    },
    Refused(Refusal),
    /// Another reader has replaced this one, or the bytes at its offset are no longer buffered.
    Unavailable,
}

/// The head and the buffered body of a response, and the position of its reader.
#[derive(Debug, Default)]
struct Buffer {
    head: Option<Head>,
    chunks: VecDeque<Bytes>,
    /// The offset of the first buffered byte.
    start: u64,
    /// Bytes received from the target so far.
    total_bytes: u64,
    /// The offset up to which the current reader has read.
    read: u64,
    outcome: Option<RunOutcome>,
    /// The number of the current reader. It rises with each reader, which replaces the older ones.
    reader: u64,
}

/// The buffered response of one run.
#[derive(Debug)]
pub(crate) struct Response {
    buffer: Mutex<Buffer>,
    max_bytes: u64,
    changed: watch::Sender<u64>,
    attached: watch::Sender<bool>,
    cancelled: watch::Sender<bool>,
    aftermath: watch::Sender<Aftermath>,
    readers: ReaderCount,
    total: TotalBytes,
}

/// The bytes of all responses. Cloning shares the number.
#[derive(Debug, Clone, Default)]
pub(crate) struct TotalBytes(Arc<AtomicU64>);

/// Counts the responses that are being read. Cloning shares the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReaderCount(Arc<AtomicUsize>);

impl ReaderCount {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Response {
    pub(crate) fn new(max_bytes: u64, readers: ReaderCount, total: TotalBytes) -> Arc<Self> {
        Arc::new(Self {
            buffer: Mutex::default(),
            max_bytes,
            changed: watch::Sender::new(0),
            attached: watch::Sender::new(false),
            cancelled: watch::Sender::new(false),
            aftermath: watch::Sender::new(Aftermath::Unknown),
            readers,
            total,
        })
    }

    pub(crate) fn head(&self, head: Head) {
        self.buffer().head = Some(head);
        self.notify();
    }

    /// Buffers a chunk of the body. Waits while the buffer is full of bytes that the reader has not
    /// read, which applies back-pressure to the target and bounds the agent's memory.
    pub(crate) async fn push(&self, chunk: Bytes) {
        let mut changed = self.changed.subscribe();
        while !self.evict_read(chunk.len() as u64) {
            if changed.changed().await.is_err() {
                return;
            }
        }
        {
            let mut buffer = self.buffer();
            buffer.total_bytes += chunk.len() as u64;
            self.total
                .0
                .fetch_add(chunk.len() as u64, Ordering::Relaxed);
            buffer.chunks.push_back(chunk);
        }
        self.notify();
    }

    /// Evicts chunks that have been read until `bytes` fit. Returns whether they fit.
    fn evict_read(&self, bytes: u64) -> bool {
        let mut buffer = self.buffer();
        while !self.fits(buffer.total_bytes - buffer.start + bytes, bytes) {
            let Some(first) = buffer.chunks.front().map(|c| c.len() as u64) else {
                return true;
            };
            if buffer.start + first > buffer.read {
                return false;
            }
            buffer.chunks.pop_front();
            buffer.start += first;
            self.total.0.fetch_sub(first, Ordering::Relaxed);
        }
        true
    }

    /// Whether this response may keep so many bytes, of which `added` are not counted yet.
    fn fits(&self, bytes: u64, added: u64) -> bool {
        let total = self.total.0.load(Ordering::Relaxed) + added;
        bytes <= self.max_bytes && (bytes <= MIN_BYTES || total <= MAX_TOTAL_BYTES)
    }

    pub(crate) fn end(&self, outcome: RunOutcome) {
        self.buffer().outcome.get_or_insert(outcome);
        self.notify();
    }

    /// Returns a reader from an offset, which replaces any earlier reader.
    pub(crate) fn read(self: &Arc<Self>, offset: u64) -> Reader {
        let mut buffer = self.buffer();
        buffer.reader += 1;
        buffer.read = offset;
        self.set_attached(true);
        let number = buffer.reader;
        drop(buffer);
        self.notify();
        Reader {
            response: self.clone(),
            number,
            offset,
            head_sent: false,
        }
    }

    /// Waits until the response has had no reader for `ttl`.
    pub(crate) async fn abandoned(&self, ttl: Duration) {
        let mut attached = self.attached.subscribe();
        loop {
            if attached.wait_for(|a| !a).await.is_err() {
                return;
            }
            if timeout(ttl, attached.wait_for(|a| *a)).await.is_err() {
                return;
            }
        }
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn bytes(&self) -> u64 {
        let buffer = self.buffer();
        buffer.total_bytes - buffer.start
    }

    /// Records whether the response has a reader. The caller holds the lock of `buffer`.
    fn set_attached(&self, attached: bool) {
        let before = self.attached.send_replace(attached);
        match (before, attached) {
            (false, true) => self.readers.0.fetch_add(1, Ordering::Relaxed),
            (true, false) => self.readers.0.fetch_sub(1, Ordering::Relaxed),
            _ => return,
        };
    }

    pub(crate) fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    pub(crate) async fn cancelled(&self) {
        let _ = self.cancelled.subscribe().wait_for(|c| *c).await;
    }

    /// Records the number of the crash that the target had during the run, or that it had none.
    pub(crate) fn set_crash(&self, crash: Option<u64>) {
        self.aftermath.send_replace(match crash {
            Some(crash) => Aftermath::Crashed { crash },
            None => Aftermath::Survived,
        });
    }

    /// Waits until it is known whether the target crashed during the run, and returns the number of
    /// the crash.
    pub(crate) async fn crash(&self) -> Option<u64> {
        let mut aftermath = self.aftermath.subscribe();
        let known = aftermath.wait_for(|a| *a != Aftermath::Unknown).await;
        match known.as_deref() {
            Ok(Aftermath::Crashed { crash }) => Some(*crash),
            Ok(Aftermath::Unknown | Aftermath::Survived) | Err(_) => None,
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Response {
    fn drop(&mut self) {
        self.total.0.fetch_sub(self.bytes(), Ordering::Relaxed);
    }
}

/// Reads a response from an offset to its end.
#[derive(Debug)]
pub(crate) struct Reader {
    response: Arc<Response>,
    number: u64,
    offset: u64,
    head_sent: bool,
}

impl Reader {
    pub(crate) fn offset(&self) -> u64 {
        self.offset
    }

    pub(crate) async fn next(&mut self) -> ResponsePart {
        let response = self.response.clone();
        let mut changed = response.changed.subscribe();
        loop {
            if let Some(part) = self.take() {
                return part;
            }
            if changed.changed().await.is_err() {
                return ResponsePart::Unavailable;
            }
        }
    }

    fn take(&mut self) -> Option<ResponsePart> {
        let mut buffer = self.response.buffer();
        if buffer.reader != self.number
            || self.offset < buffer.start
            || self.offset > buffer.total_bytes
        {
            return Some(ResponsePart::Unavailable);
        }
        if !self.head_sent
            && let Some(head) = &buffer.head
        {
            self.head_sent = true;
            return Some(ResponsePart::Head(head.clone()));
        }
        if self.offset < buffer.total_bytes {
            let part = bytes_at(&buffer, self.offset);
            self.offset += part.len() as u64;
            buffer.read = self.offset;
            drop(buffer);
            self.response.notify();
            return Some(ResponsePart::Body(part));
        }
        match buffer.outcome.clone()? {
            RunOutcome::Complete { run_ms } => Some(ResponsePart::End {
                total_bytes: buffer.total_bytes,
                run_ms,
            }),
            RunOutcome::Refused(refusal) => Some(ResponsePart::Refused(refusal)),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let buffer = self.response.buffer();
        if buffer.reader == self.number {
            self.response.set_attached(false);
        }
    }
}

fn bytes_at(buffer: &Buffer, offset: u64) -> Bytes {
    let mut at = buffer.start;
    for chunk in &buffer.chunks {
        let end = at + chunk.len() as u64;
        if offset < end {
            return chunk.slice((offset - at) as usize..);
        }
        at = end;
    }
    Bytes::new()
}
