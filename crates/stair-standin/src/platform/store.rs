//! The objects, their one revision counter and the history of changes.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde_json::Value;
use stair_platform::{
    Condition,
    Event,
    Kind,
    Object,
    Page,
    Vm,
    VmState, //
};
use stair_types::{
    Era,
    StoreRevision, //
};
use tokio::time::Instant;

const MAX_HISTORY: usize = 10_000;

/// Why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// The condition does not hold.
    Conflict,
    /// There is nothing to delete.
    NotFound,
}

pub(super) enum VmChange {
    Set(Vm),
    State(VmState),
    Remove,
}

struct Pending {
    due: Instant,
    name: Box<str>,
    change: VmChange,
}

/// How the store comes back from a copy of its state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Return {
    /// Watches lose their connections, and those from revisions that are lost are too old.
    #[default]
    Stated,
    /// Watches go on, and a lost revision counts as one without changes since.
    Unstated,
}

struct Copied {
    objects: Vec<Object>,
    history: VecDeque<Event>,
    forgotten: u64,
    revision: u64,
}

#[derive(Default)]
pub(crate) struct Store {
    era: Era,
    last_return: Return,
    copy: Option<Copied>,
    revision: u64,
    /// Sorted by kind and name.
    objects: Vec<Object>,
    history: VecDeque<Event>,
    /// The revision of the newest change that the history has forgotten.
    forgotten: u64,
    vm_lag: Duration,
    pending: VecDeque<Pending>,
}

impl Store {
    pub(crate) fn get(&self, kind: Kind, name: &str) -> Option<Object> {
        let at = self.find(kind, name).ok()?;
        Some(self.objects[at].clone())
    }

    pub(crate) fn list(&self, kind: Kind) -> Page {
        let of_kind = self.objects.iter().filter(|object| object.kind == kind);
        Page {
            revision: self.present(),
            events: of_kind.cloned().map(Event::Put).collect(),
            ..Page::default()
        }
    }

    pub(crate) fn put(
        &mut self,
        kind: Kind,
        name: &str,
        value: Value,
        condition: Condition,
    ) -> Result<StoreRevision, Rejected> {
        let found = self.find(kind, name);
        let holds = match (condition, found) {
            (Condition::Absent, found) => found.is_err(),
            (Condition::Version(version), Ok(at)) => {
                self.objects[at].version.counter == version.counter
            }
            (Condition::Version(_), Err(_)) => false,
        };
        if !holds {
            return Err(Rejected::Conflict);
        }
        Ok(self.write(kind, name, value))
    }

    pub(crate) fn delete(
        &mut self,
        kind: Kind,
        name: &str,
        version: StoreRevision,
    ) -> Result<(), Rejected> {
        let at = self.find(kind, name).map_err(|_| Rejected::NotFound)?;
        if self.objects[at].version.counter != version.counter {
            return Err(Rejected::Conflict);
        }
        self.remove(at);
        Ok(())
    }

    /// Returns the changes after `since`, or `None` when the history does not reach back so far.
    pub(crate) fn changes(&self, kinds: &[Kind], since: u64) -> Option<Page> {
        let is_lost = since > self.revision && self.last_return == Return::Stated;
        if since < self.forgotten || is_lost {
            return None;
        }
        let wanted = |event: &&Event| {
            let (kind, version) = position(event);
            version > since && kinds.contains(&kind)
        };
        Some(Page {
            revision: self.present(),
            events: self.history.iter().filter(wanted).cloned().collect(),
            ..Page::default()
        })
    }

    pub(crate) fn era(&self) -> Era {
        self.era
    }

    /// Whether watches that began in an earlier era lose their connections.
    pub(super) fn cuts_watches(&self) -> bool {
        self.last_return == Return::Stated
    }

    fn present(&self) -> StoreRevision {
        StoreRevision {
            counter: self.revision,
            era: self.era,
        }
    }

    pub(crate) fn take_copy(&mut self) {
        self.copy = Some(Copied {
            objects: self.objects.clone(),
            history: self.history.clone(),
            forgotten: self.forgotten,
            revision: self.revision,
        });
    }

    /// Comes back from the last copy in the next era. Without a copy nothing is lost.
    pub(crate) fn restore(&mut self, how: Return) {
        self.era = Era(self.era.0 + 1);
        self.last_return = how;
        let era = self.era;
        if self.copy.is_none() {
            self.take_copy();
        }
        let Some(copied) = &self.copy else {
            return;
        };
        let mut objects = copied.objects.clone();
        let mut history = copied.history.clone();
        let (forgotten, revision) = (copied.forgotten, copied.revision);
        objects.iter_mut().for_each(|o| o.version.era = era);
        for event in &mut history {
            match event {
                Event::Put(object) => object.version.era = era,
                Event::Deleted { version, .. } => version.era = era,
            }
        }
        self.objects = objects;
        self.history = history;
        self.forgotten = forgotten;
        self.revision = revision;
    }

    pub(super) fn forget_history(&mut self) {
        self.history.clear();
        // A revision of its own, so that even a watch that has seen everything is too old.
        self.revision += 1;
        self.forgotten = self.revision;
    }

    pub(super) fn set_vm_lag(&mut self, lag: Duration) {
        self.vm_lag = lag;
    }

    /// Queues a change of the list of VMs, and returns when it shows unless that is at once.
    pub(super) fn change_vm(&mut self, name: &str, change: VmChange) -> Option<Instant> {
        let by_lag = Instant::now() + self.vm_lag;
        // A shorter lag must not let a change overtake an earlier one.
        let due = self
            .pending
            .back()
            .map_or(by_lag, |last| by_lag.max(last.due));
        self.pending.push_back(Pending {
            due,
            name: name.into(),
            change,
        });
        self.settle();
        (!self.pending.is_empty()).then_some(due)
    }

    /// Shows the changes of the list of VMs that are due.
    pub(super) fn settle(&mut self) {
        let now = Instant::now();
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.due <= now) {
            self.apply(&pending.name, pending.change);
        }
    }

    fn apply(&mut self, name: &str, change: VmChange) {
        let found = self.find(Kind::Vm, name);
        match (change, found) {
            (VmChange::Set(vm), _) => {
                let value = serde_json::to_value(vm).unwrap_or_default();
                self.write(Kind::Vm, name, value);
            }
            (VmChange::State(state), Ok(at)) => {
                let mut value = self.objects[at].value.clone();
                value["state"] = serde_json::to_value(state).unwrap_or_default();
                self.write(Kind::Vm, name, value);
            }
            (VmChange::Remove, Ok(at)) => self.remove(at),
            (VmChange::State(_) | VmChange::Remove, Err(_)) => {}
        }
    }

    fn find(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        let key = (kind, name);
        self.objects
            .binary_search_by(|object| (object.kind, &*object.name).cmp(&key))
    }

    pub(crate) fn write(&mut self, kind: Kind, name: &str, value: Value) -> StoreRevision {
        self.revision += 1;
        let object = Object {
            kind,
            name: name.into(),
            version: self.present(),
            value,
        };
        match self.find(kind, name) {
            Ok(at) => self.objects[at] = object.clone(),
            Err(at) => self.objects.insert(at, object.clone()),
        }
        self.remember(Event::Put(object));
        self.present()
    }

    fn remove(&mut self, at: usize) {
        self.revision += 1;
        let object = self.objects.remove(at);
        self.remember(Event::Deleted {
            kind: object.kind,
            name: object.name,
            version: self.present(),
        });
    }

    fn remember(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() <= MAX_HISTORY {
            return;
        }
        if let Some(oldest) = self.history.pop_front() {
            self.forgotten = position(&oldest).1;
        }
    }
}

fn position(event: &Event) -> (Kind, u64) {
    match event {
        Event::Put(object) => (object.kind, object.version.counter),
        Event::Deleted { kind, version, .. } => (*kind, version.counter),
    }
}
