//! A small object store in memory that fails on command.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use serde_json::Value;
use stair_platform::{
    Condition,
    Error,
    Event,
    Kind,
    Object,
    ObjectStore,
    Page, //
};

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
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
    kind: Kind,
    fault: Fault,
    writes_only: bool,
}

struct Pending {
    calls_left: usize,
    object: Object,
    condition: Condition,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    planned: VecDeque<Planned>,
    pending: Option<Pending>,
    down: bool,
    puts: Vec<Kind>,
}

/// The store. Cloning shares it.
#[derive(Clone, Default)]
pub(crate) struct Fake {
    state: Arc<Mutex<State>>,
}

impl Fake {
    /// Lets the next write of a kind fail.
    pub(crate) fn fail_write(&self, kind: Kind, fault: Fault) {
        self.plan(kind, fault, true);
    }

    /// Lets the next call of any sort on a kind fail.
    pub(crate) fn fail_call(&self, kind: Kind, fault: Fault) {
        self.plan(kind, fault, false);
    }

    fn plan(&self, kind: Kind, fault: Fault, writes_only: bool) {
        let planned = Planned {
            kind,
            fault,
            writes_only,
        };
        self.lock().planned.push_back(planned);
    }

    /// Refuses every call from now on, or none.
    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Counts the writes of a kind that were tried.
    pub(crate) fn puts(&self, kind: Kind) -> usize {
        self.lock().puts.iter().filter(|k| **k == kind).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    fn fault(&mut self, kind: Kind, write: bool) -> Option<Fault> {
        self.land_pending();
        if self.down {
            return Some(Fault::Down);
        }
        // Faults of a kind come in the order in which they were planned.
        let at = self.planned.iter().position(|p| p.kind == kind)?;
        if self.planned[at].writes_only && !write {
            return None;
        }
        self.planned.remove(at).map(|p| p.fault)
    }

    fn land_pending(&mut self) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.calls_left > 0 {
            pending.calls_left -= 1;
            return;
        }
        if let Some(Pending {
            object, condition, ..
        }) = self.pending.take()
        {
            let _ = self.write(object, condition);
        }
    }

    fn find(&self, kind: Kind, name: &str) -> Option<usize> {
        let wanted = |o: &Object| o.kind == kind && *o.name == *name;
        self.objects.iter().position(wanted)
    }

    fn write(&mut self, mut object: Object, condition: Condition) -> Result<u64, Error> {
        let at = self.find(object.kind, &object.name);
        let holds = match (condition, at) {
            (Condition::Absent, None) => true,
            (Condition::Version(v), Some(i)) => self.objects[i].version == v,
            _ => false,
        };
        if !holds {
            return Err(Error::Conflict);
        }
        self.revision += 1;
        object.version = self.revision;
        match at {
            Some(i) => self.objects[i] = object,
            None => self.objects.push(object),
        }
        Ok(self.revision)
    }
}

fn lost() -> Error {
    Error::Unknown("no answer in time".into())
}

fn down() -> Error {
    Error::Unavailable("refused".into())
}

impl ObjectStore for Fake {
    async fn get(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        let mut state = self.lock();
        match state.fault(kind, false) {
            Some(Fault::Down) => return Err(down()),
            Some(_) => return Err(lost()),
            None => {}
        }
        let at = state.find(kind, name).ok_or(Error::NotFound)?;
        Ok(state.objects[at].clone())
    }

    async fn list(&self, kind: Kind) -> Result<Page, Error> {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|o| o.kind == kind);
        Ok(Page {
            revision: state.revision,
            events: of_kind.cloned().map(Event::Put).collect(),
        })
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<u64, Error> {
        let mut state = self.lock();
        state.puts.push(kind);
        let object = Object {
            kind,
            name: name.into(),
            version: 0,
            value: value.clone(),
        };
        match state.fault(kind, true) {
            None => state.write(object, condition),
            Some(Fault::Down) => Err(down()),
            Some(Fault::LostBefore) => Err(lost()),
            Some(Fault::LostAfter) => {
                let _ = state.write(object, condition);
                Err(lost())
            }
            Some(Fault::Late(calls_left)) => {
                state.pending = Some(Pending {
                    calls_left,
                    object,
                    condition,
                });
                Err(lost())
            }
        }
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<(), Error> {
        let mut state = self.lock();
        let at = state.find(kind, name).ok_or(Error::NotFound)?;
        if state.objects[at].version != version {
            return Err(Error::Conflict);
        }
        state.revision += 1;
        state.objects.remove(at);
        Ok(())
    }

    async fn watch(&self, _: &[Kind], since: u64, _: Duration) -> Result<Page, Error> {
        Ok(Page {
            revision: since,
            events: Vec::new(),
        })
    }
}
