//! Bounds the memory of response data that waits here, for the rest of it or for its client.
//!
//! Targets whose responses do not end, and clients that do not read, would use it up otherwise. Data up to a small
//! size is free. Above it a body or an event takes its share of one budget, and a large body one of a few permits
//! besides. A holder waits for no further share of the budget, so that none waits for another without end.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    time::{
        Instant,
        timeout_at, //
    },
};

/// Largest response body that is buffered as a whole, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;

/// Largest body, and largest part of an event that is not complete, that takes no share of the budget, in bytes.
pub(crate) const SMALL_BYTES: usize = 64 << 10;

/// Largest body that takes no permit of the few for large ones, in bytes.
pub(crate) const MEDIUM_BYTES: usize = 1 << 20;

/// Largest event that takes no share while it waits for its client, in bytes. Some wait for each client.
const SMALL_EVENT_BYTES: usize = 4 << 10;

/// The budget, in KiB.
const BUDGET_KIB: usize = 32 << 10;

/// Large bodies at once.
const MAX_LARGE: usize = 4;

/// The budget of one entry.
pub(crate) struct Buffers {
    budget: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

impl Default for Buffers {
    fn default() -> Self {
        Self {
            budget: Arc::new(Semaphore::new(BUDGET_KIB)),
            large: Arc::new(Semaphore::new(MAX_LARGE)),
        }
    }
}

/// A share of the budget, returned when it is dropped.
#[derive(Debug)]
pub(crate) struct Share(OwnedSemaphorePermit);

impl Buffers {
    /// The share of a body or an event of up to [`MEDIUM_BYTES`]; `None` if it is not free in time.
    pub(crate) async fn medium(&self, until: Instant) -> Option<Share> {
        acquire(&self.budget, kib(MEDIUM_BYTES), until).await
    }

    /// What a body above [`MEDIUM_BYTES`] takes besides.
    pub(crate) async fn large(&self, until: Instant) -> Option<Share> {
        acquire(&self.large, 1, until).await
    }

    /// The event with its share of the budget, which it returns once it has been sent; `share` is what its parts
    /// have taken. `None` if a share is not free in time.
    pub(crate) async fn event(
        &self,
        bytes: Bytes,
        share: Option<Share>,
        until: Instant,
    ) -> Option<Bytes> {
        let size = kib(bytes.len());
        let share = match share {
            _ if bytes.len() <= SMALL_EVENT_BYTES => return Some(bytes),
            Some(Share(mut permit)) => permit.split(size as usize).map(Share)?,
            None => acquire(&self.budget, size, until).await?,
        };
        let held = HeldBytes {
            bytes,
            _share: share,
        };
        Some(Bytes::from_owner(held))
    }
}

struct HeldBytes {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn kib(bytes: usize) -> u32 {
    // All sizes here are far below 4 TiB.
    bytes.div_ceil(1 << 10) as u32
}

async fn acquire(from: &Arc<Semaphore>, permits: u32, until: Instant) -> Option<Share> {
    let acquired = timeout_at(until, from.clone().acquire_many_owned(permits)).await;
    // The semaphores are never closed.
    acquired.ok().and_then(Result::ok).map(Share)
}
