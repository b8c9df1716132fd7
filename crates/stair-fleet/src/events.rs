//! Splits the bytes of a stream into whole events.
//!
//! A target that crashes can stop in the middle of an event. If its bytes were passed on as they
//! arrive, a client that continues after a resume would read the start of one event joined with a
//! whole one. Only whole events leave the buffer; the remainder of an interrupted stream is
//! dropped.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Longest event accepted, in bytes; a few hundred are usual. Without a limit a stream that never
/// ends its event would exhaust the memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Whether it has comments only, which clients skip.
    pub comment: bool,
}

/// The event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`TooLong`] when no event ends within the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes the next whole event from the buffer.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = id_of(&bytes);
        let comment = id.is_none() && is_comment(&bytes);
        Some(Event { bytes, id, comment })
    }

    /// Bytes of an event that is not complete yet.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Whether the buffer holds the start of an event.
    pub fn is_inside(&self) -> bool {
        !self.buf.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let buf = &self.buf[..];
        let mut i = self.searched;
        while i < buf.len() {
            if buf[i] == b'\n' {
                let rest = &buf[i + 1..];
                if rest.first() == Some(&b'\n') {
                    return Some(i + 2);
                }
                if rest.starts_with(b"\r\n") {
                    return Some(i + 3);
                }
            }
            i += 1;
        }
        // The last two bytes may be the start of the blank line.
        self.searched = buf.len().saturating_sub(2);
        None
    }
}

fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    lines.all(|line| line.is_empty() || line[0] == b':')
}

fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
