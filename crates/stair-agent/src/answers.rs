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
pub(crate) enum Ended {
    Complete { run_ms: u32 },
    Refused(Refusal),
}

/// What a reader gets next.
#[derive(Debug)]
pub(crate) enum Piece {
    Head(Head),
    Body(Bytes),
    End {
        total_bytes: u64,
        run_ms: u32,
    },
    Refused(Refusal),
    /// Another stream has taken up the answer, or the bytes are no longer kept.
    Gone,
}

#[derive(Debug, Default)]
struct Kept {
    head: Option<Head>,
    chunks: VecDeque<Bytes>,
    /// The offset of the first byte kept.
    from: u64,
    /// The bytes of the whole answer so far.
    total: u64,
    /// What the present reader has passed on.
    read: u64,
    ended: Option<Ended>,
    /// Rises with each reader; an older one is gone.
    reader: u64,
}

/// One run's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    kept: Mutex<Kept>,
    max_bytes: u64,
    changed: watch::Sender<u64>,
    attached: watch::Sender<bool>,
    cancelled: watch::Sender<bool>,
    readers: Readers,
}

/// Counts the answers that are being read. Cloning shares the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct Readers(Arc<AtomicUsize>);

impl Readers {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Answer {
    pub(crate) fn new(max_bytes: u64, readers: Readers) -> Arc<Self> {
        Arc::new(Self {
            kept: Mutex::default(),
            max_bytes,
            changed: watch::Sender::new(0),
            attached: watch::Sender::new(false),
            cancelled: watch::Sender::new(false),
            readers,
        })
    }

    pub(crate) fn head(&self, head: Head) {
        self.kept().head = Some(head);
        self.wake();
    }

    /// Keeps a piece of the body; waits when the reader is so far behind that more would exceed
    /// the limit. That holds back the target rather than filling the agent's memory.
    pub(crate) async fn push(&self, chunk: Bytes) {
        let mut changed = self.changed.subscribe();
        while !self.make_room(chunk.len() as u64) {
            if changed.changed().await.is_err() {
                return;
            }
        }
        {
            let mut kept = self.kept();
            kept.total += chunk.len() as u64;
            kept.chunks.push_back(chunk);
        }
        self.wake();
    }

    fn make_room(&self, bytes: u64) -> bool {
        let mut kept = self.kept();
        while kept.total - kept.from + bytes > self.max_bytes {
            let Some(first) = kept.chunks.front().map(|c| c.len() as u64) else {
                return true;
            };
            if kept.from + first > kept.read {
                return false;
            }
            kept.chunks.pop_front();
            kept.from += first;
        }
        true
    }

    pub(crate) fn end(&self, ended: Ended) {
        self.kept().ended.get_or_insert(ended);
        self.wake();
    }

    /// Takes up the answer at an offset; a reader before this one is gone.
    pub(crate) fn read(self: &Arc<Self>, offset: u64) -> Reader {
        let mut kept = self.kept();
        kept.reader += 1;
        kept.read = offset;
        self.attach(true);
        let number = kept.reader;
        drop(kept);
        self.wake();
        Reader {
            answer: self.clone(),
            number,
            offset,
            head_sent: false,
        }
    }

    /// Waits until nobody has read the answer for `keep`.
    pub(crate) async fn abandoned(&self, keep: Duration) {
        let mut attached = self.attached.subscribe();
        loop {
            if attached.wait_for(|a| !a).await.is_err() {
                return;
            }
            if timeout(keep, attached.wait_for(|a| *a)).await.is_err() {
                return;
            }
        }
    }

    /// Returns the bytes kept.
    pub(crate) fn bytes(&self) -> u64 {
        let kept = self.kept();
        kept.total - kept.from
    }

    /// Notes whether somebody reads the answer; called with `kept` locked.
    fn attach(&self, attached: bool) {
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

    fn wake(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads an answer from an offset to its end.
#[derive(Debug)]
pub(crate) struct Reader {
    answer: Arc<Answer>,
    number: u64,
    offset: u64,
    head_sent: bool,
}

impl Reader {
    pub(crate) fn offset(&self) -> u64 {
        self.offset
    }

    pub(crate) async fn next(&mut self) -> Piece {
        let answer = self.answer.clone();
        let mut changed = answer.changed.subscribe();
        loop {
            if let Some(piece) = self.take() {
                return piece;
            }
            if changed.changed().await.is_err() {
                return Piece::Gone;
            }
        }
    }

    fn take(&mut self) -> Option<Piece> {
        let mut kept = self.answer.kept();
        if kept.reader != self.number || self.offset < kept.from || self.offset > kept.total {
            return Some(Piece::Gone);
        }
        if !self.head_sent
            && let Some(head) = &kept.head
        {
            self.head_sent = true;
            return Some(Piece::Head(head.clone()));
        }
        if self.offset < kept.total {
            let piece = piece_at(&kept, self.offset);
            self.offset += piece.len() as u64;
            kept.read = self.offset;
            drop(kept);
            self.answer.wake();
            return Some(Piece::Body(piece));
        }
        match kept.ended.clone()? {
            Ended::Complete { run_ms } => Some(Piece::End {
                total_bytes: kept.total,
                run_ms,
            }),
            Ended::Refused(refusal) => Some(Piece::Refused(refusal)),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let kept = self.answer.kept();
        if kept.reader == self.number {
            self.answer.attach(false);
        }
    }
}

fn piece_at(kept: &Kept, offset: u64) -> Bytes {
    let mut at = kept.from;
    for chunk in &kept.chunks {
        let end = at + chunk.len() as u64;
        if offset < end {
            return chunk.slice((offset - at) as usize..);
        }
        at = end;
    }
    Bytes::new()
}
