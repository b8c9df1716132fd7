//! The answer of one run, kept so that it can be taken up again by offset.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
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

/// Status and media type of the target's answer.
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

/// What a reader gets next.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    Head(Head),
    Body(Bytes),
    End {
        total_bytes: u64,
        run_ms: u32,
    },
    Refused(Refusal),
    /// Another stream has taken up the answer, or the bytes are no longer kept.
    Unavailable,
}

#[derive(Debug, Default)]
struct Buffer {
    head: Option<Head>,
    chunks: VecDeque<Bytes>,
    /// The offset of the first byte kept.
    start: u64,
    /// The bytes of the whole answer so far.
    total_bytes: u64,
    /// What the present reader has passed on.
    read: u64,
    outcome: Option<RunOutcome>,
    /// Rises with each reader; an older one is gone.
    reader: u64,
}

/// One run's answer.
#[derive(Debug)]
pub(crate) struct Response {
    buffer: Mutex<Buffer>,
    max_bytes: u64,
    changed: watch::Sender<u64>,
    attached: watch::Sender<bool>,
    cancelled: watch::Sender<bool>,
    readers: ReaderCount,
}

/// Counts the answers that are being read. Cloning shares the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReaderCount(Arc<AtomicUsize>);

impl ReaderCount {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Response {
    pub(crate) fn new(max_bytes: u64, readers: ReaderCount) -> Arc<Self> {
        Arc::new(Self {
            buffer: Mutex::default(),
            max_bytes,
            changed: watch::Sender::new(0),
            attached: watch::Sender::new(false),
            cancelled: watch::Sender::new(false),
            readers,
        })
    }

    pub(crate) fn head(&self, head: Head) {
        self.buffer().head = Some(head);
        self.notify();
    }

    /// Keeps a piece of the body; waits when the reader is so far behind that more would exceed
    /// the limit. That holds back the target rather than filling the agent's memory.
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
            buffer.chunks.push_back(chunk);
        }
        self.notify();
    }

    fn evict_read(&self, bytes: u64) -> bool {
        let mut buffer = self.buffer();
        while buffer.total_bytes - buffer.start + bytes > self.max_bytes {
            let Some(first) = buffer.chunks.front().map(|c| c.len() as u64) else {
                return true;
            };
            if buffer.start + first > buffer.read {
                return false;
            }
            buffer.chunks.pop_front();
            buffer.start += first;
        }
        true
    }

    pub(crate) fn end(&self, outcome: RunOutcome) {
        self.buffer().outcome.get_or_insert(outcome);
        self.notify();
    }

    /// Takes up the answer at an offset; a reader before this one is gone.
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

    /// Waits until nobody has read the answer for `ttl`.
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

    /// Returns the bytes kept.
    pub(crate) fn bytes(&self) -> u64 {
        let buffer = self.buffer();
        buffer.total_bytes - buffer.start
    }

    /// Notes whether somebody reads the answer; called with `buffer` locked.
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

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads an answer from an offset to its end.
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
