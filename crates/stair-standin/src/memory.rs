//! The platform's objects without the network, for tests of one part.
//!
//! The rules of conditional updates are those of [`Platform`](crate::platform::Platform); failures
//! are planned call by call.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::Serialize;
use serde_json::Value;
use stair_platform::{
    Condition,
    Eras,
    Error,
    Kind,
    Object,
    ObjectStore,
    Page, //
};
use stair_types::StoreRevision;
use tokio::sync::watch;

use crate::platform::{
    Rejected,
    Return,
    store::Store, //
};

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The answer is lost before the call takes effect.
    LostBefore,
    /// The answer is lost after the call took effect.
    LostAfter,
    /// The answer is lost, and the call takes effect only after this many further calls.
    Late(usize),
    /// The platform refuses.
    Down,
}

struct Planned {
    /// None for a call on any kind.
    kind: Option<Kind>,
    fault: Fault,
    writes_only: bool,
}

struct Late {
    calls_left: usize,
    kind: Kind,
    name: Box<str>,
    value: Value,
    condition: Condition,
}

#[derive(Default)]
struct State {
    store: Store,
    planned: VecDeque<Planned>,
    late: Option<Late>,
    down: bool,
    writes_yield: bool,
    puts: Vec<Kind>,
}

/// The store. Cloning shares it.
#[derive(Clone)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    stuck: watch::Sender<bool>,
    eras: Eras,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            stuck: watch::Sender::new(false),
            eras: Eras::default(),
        }
    }
}

impl MemoryStore {
    /// Lets the next write of a kind fail.
    pub fn fail_write(&self, kind: Kind, fault: Fault) {
        self.plan(Some(kind), fault, true);
    }

    /// Lets the next call of any sort on a kind fail.
    pub fn fail_call(&self, kind: Kind, fault: Fault) {
        self.plan(Some(kind), fault, false);
    }

    /// Refuses the next so many calls, of any sort and kind.
    pub fn refuse(&self, calls: usize) {
        for _ in 0..calls {
            self.plan(None, Fault::Down, false);
        }
    }

    /// Refuses every call from now on, or none.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Leaves every call without an answer from now on, or lets all go on.
    pub fn set_stuck(&self, stuck: bool) {
        self.stuck.send_replace(stuck);
    }

    /// Takes a copy of the present state.
    pub fn take_copy(&self) {
        self.lock().store.take_copy();
    }

    /// Comes back from the last copy: what was written since is lost, and its revisions are given out
    /// again.
    pub fn restore(&self) {
        self.lock().store.restore(Return::Stated);
    }

    /// Lets other tasks run during each write, as they do while a real one is under way.
    pub fn set_writes_yield(&self) {
        self.lock().writes_yield = true;
    }

    /// Counts the writes of a kind that were tried.
    pub fn puts(&self, kind: Kind) -> usize {
        self.lock().puts.iter().filter(|k| **k == kind).count()
    }

    /// Returns an object.
    pub fn object(&self, kind: Kind, name: &str) -> Option<Object> {
        self.lock().store.get(kind, name)
    }

    /// Returns all objects of a kind.
    pub fn objects(&self, kind: Kind) -> Page {
        self.lock().store.list(kind)
    }

    /// Writes an object without condition.
    ///
    /// # Panics
    ///
    /// When the value is not JSON.
    pub fn set<T>(&self, kind: Kind, name: &str, value: &T)
    where
        T: Serialize,
    {
        let value = serde_json::to_value(value).expect("the value is JSON");
        self.lock().store.write(kind, name, value);
    }

    fn plan(&self, kind: Option<Kind>, fault: Fault, writes_only: bool) {
        self.lock().planned.push_back(Planned {
            kind,
            fault,
            writes_only,
        });
    }

    async fn not_stuck(&self) {
        // The sender lives in `self`.
        let _ = self.stuck.subscribe().wait_for(|stuck| !*stuck).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn fault(&mut self, kind: Kind, write: bool) -> Option<Fault> {
        self.land_late();
        if self.down {
            return Some(Fault::Down);
        }
        // Faults of a kind come in the order in which they were planned.
        let matches = |p: &Planned| p.kind.is_none_or(|k| k == kind);
        let at = self.planned.iter().position(matches)?;
        if self.planned[at].writes_only && !write {
            return None;
        }
        self.planned.remove(at).map(|p| p.fault)
    }

    fn land_late(&mut self) {
        let Some(late) = &mut self.late else {
            return;
        };
        if late.calls_left > 0 {
            late.calls_left -= 1;
            return;
        }
        if let Some(late) = self.late.take() {
            let _ = self
                .store
                .put(late.kind, &late.name, late.value, late.condition);
        }
    }
}

fn lost() -> Error {
    Error::Unknown("no answer in time".into())
}

fn down() -> Error {
    Error::Unavailable("refused".into())
}

fn rejected(why: Rejected) -> Error {
    match why {
        Rejected::Conflict => Error::Conflict,
        Rejected::NotFound => Error::NotFound,
    }
}

impl ObjectStore for MemoryStore {
    fn eras(&self) -> &Eras {
        &self.eras
    }

    async fn get(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        self.not_stuck().await;
        let mut state = self.lock();
        self.eras.observe(state.store.era());
        match state.fault(kind, false) {
            Some(Fault::Down) => Err(down()),
            Some(_) => Err(lost()),
            None => state.store.get(kind, name).ok_or(Error::NotFound),
        }
    }

    async fn list(&self, kind: Kind) -> Result<Page, Error> {
        self.not_stuck().await;
        let mut state = self.lock();
        self.eras.observe(state.store.era());
        match state.fault(kind, false) {
            Some(Fault::Down) => Err(down()),
            Some(_) => Err(lost()),
            None => Ok(state.store.list(kind)),
        }
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<StoreRevision, Error> {
        self.not_stuck().await;
        if self.lock().writes_yield {
            tokio::task::yield_now().await;
        }
        let mut state = self.lock();
        self.eras.observe(state.store.era());
        state.puts.push(kind);
        let value = value.clone();
        match state.fault(kind, true) {
            None => state
                .store
                .put(kind, name, value, condition)
                .map_err(rejected),
            Some(Fault::Down) => Err(down()),
            Some(Fault::LostBefore) => Err(lost()),
            Some(Fault::LostAfter) => {
                let _ = state.store.put(kind, name, value, condition);
                Err(lost())
            }
            Some(Fault::Late(calls_left)) => {
                state.late = Some(Late {
                    calls_left,
                    kind,
                    name: name.into(),
                    value,
                    condition,
                });
                Err(lost())
            }
        }
    }

    async fn delete(&self, kind: Kind, name: &str, version: StoreRevision) -> Result<(), Error> {
        self.not_stuck().await;
        let mut state = self.lock();
        self.eras.observe(state.store.era());
        match state.fault(kind, true) {
            Some(Fault::Down) => return Err(down()),
            Some(Fault::LostAfter) => {
                let _ = state.store.delete(kind, name, version);
                return Err(lost());
            }
            Some(_) => return Err(lost()),
            None => {}
        }
        state.store.delete(kind, name, version).map_err(rejected)
    }

    /// Nothing ever changes by itself, so a watch waits its time and finds nothing.
    async fn watch(
        &self,
        kinds: &[Kind],
        since: StoreRevision,
        wait: Duration,
    ) -> Result<Page, Error> {
        self.not_stuck().await;
        let page = {
            let state = self.lock();
            self.eras.observe(state.store.era());
            match state.store.era() == since.era {
                true => state.store.changes(kinds, since.counter),
                false => None,
            }
        };
        let page = page.ok_or(Error::Gone)?;
        if page.events.is_empty() {
            tokio::time::sleep(wait).await;
        }
        Ok(page)
    }
}
