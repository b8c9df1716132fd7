//! An object store in memory that fails as a test says.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use serde_json::Value;
use stair_platform::{
    ClaimShard,
    Condition,
    Error,
    Kind,
    Object,
    ObjectStore,
    Page, //
};

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    Down,
    /// Calls are not answered.
    Stuck,
    /// The next write takes effect and its answer is lost.
    LoseAnswer,
}

#[derive(Clone)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    mode: Mode,
    revision: u64,
    objects: Vec<Object>,
    writes: usize,
}

impl MemoryStore {
    pub fn new() -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                mode: Mode::Up,
                revision: 0,
                objects: Vec::new(),
                writes: 0,
            })),
        }
    }

    pub fn set(&self, mode: Mode) {
        self.inner.lock().expect("no panic").mode = mode;
    }

    pub fn writes(&self) -> usize {
        self.inner.lock().expect("no panic").writes
    }

    async fn stuck(&self) {
        let mode = self.inner.lock().expect("no panic").mode;
        if mode == Mode::Stuck {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the number of claims in all shards.
    pub fn claims(&self) -> usize {
        let inner = self.inner.lock().expect("no panic");
        let shards = inner.objects.iter().filter(|o| o.kind == Kind::Claims);
        shards
            .map(|o| serde_json::from_value::<ClaimShard>(o.value.clone()).expect("a shard"))
            .map(|shard| shard.claims.len())
            .sum()
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        self.stuck().await;
        let inner = self.inner.lock().expect("no panic");
        if inner.mode == Mode::Down {
            return Err(Error::Unavailable("down".into()));
        }
        let found = inner
            .objects
            .iter()
            .find(|o| o.kind == kind && *o.name == *name);
        found.cloned().ok_or(Error::NotFound)
    }

    async fn list(&self, _: Kind) -> Result<Page, Error> {
        Ok(Page::default())
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<u64, Error> {
        // Others that wait get to join the next write.
        tokio::task::yield_now().await;
        let mut inner = self.inner.lock().expect("no panic");
        if inner.mode == Mode::Down {
            return Err(Error::Unavailable("down".into()));
        }
        let at = inner
            .objects
            .iter()
            .position(|o| o.kind == kind && *o.name == *name);
        let found = match at {
            Some(i) => Condition::Version(inner.objects[i].version),
            None => Condition::Absent,
        };
        if found != condition {
            return Err(Error::Conflict);
        }
        inner.revision += 1;
        inner.writes += 1;
        let object = Object {
            kind,
            name: name.into(),
            version: inner.revision,
            value: value.clone(),
        };
        match at {
            Some(i) => inner.objects[i] = object,
            None => inner.objects.push(object),
        }
        if inner.mode == Mode::LoseAnswer {
            inner.mode = Mode::Up;
            return Err(Error::Unknown("lost".into()));
        }
        Ok(inner.revision)
    }

    async fn delete(&self, _: Kind, _: &str, _: u64) -> Result<(), Error> {
        Ok(())
    }

    async fn watch(&self, _: &[Kind], _: u64, _: Duration) -> Result<Page, Error> {
        Ok(Page::default())
    }
}
