//! An object store in memory.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use serde::Serialize;
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

#[derive(Clone, Default)]
pub(crate) struct FakeStore {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(Kind, Box<str>), Object>,
    lose_puts: u32,
    refuse: u32,
}

impl FakeStore {
    /// Writes an object without condition.
    pub(crate) fn set<T>(&self, kind: Kind, name: &str, value: &T)
    where
        T: Serialize,
    {
        let value = serde_json::to_value(value).expect("JSON");
        self.state.lock().expect("lock").write(kind, name, value);
    }

    pub(crate) fn version(&self, kind: Kind, name: &str) -> u64 {
        let state = self.state.lock().expect("lock");
        state.objects[&(kind, name.into())].version
    }

    pub(crate) fn value(&self, kind: Kind, name: &str) -> Value {
        let state = self.state.lock().expect("lock");
        state.objects[&(kind, name.into())].value.clone()
    }

    /// The next so many puts take effect and their answers are lost.
    pub(crate) fn lose_puts(&self, n: u32) {
        self.state.lock().expect("lock").lose_puts = n;
    }

    /// The next so many calls are refused.
    pub(crate) fn refuse(&self, n: u32) {
        self.state.lock().expect("lock").refuse = n;
    }
}

impl State {
    fn write(&mut self, kind: Kind, name: &str, value: Value) -> u64 {
        self.revision += 1;
        let version = self.revision;
        let object = Object {
            kind,
            name: name.into(),
            version,
            value,
        };
        self.objects.insert((kind, name.into()), object);
        version
    }

    fn admit(&mut self) -> Result<(), Error> {
        if self.refuse == 0 {
            return Ok(());
        }
        self.refuse -= 1;
        Err(Error::Unavailable("as told".into()))
    }
}

impl ObjectStore for FakeStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        let mut state = self.state.lock().expect("lock");
        state.admit()?;
        let found = state.objects.get(&(kind, name.into())).cloned();
        found.ok_or(Error::NotFound)
    }

    async fn list(&self, kind: Kind) -> Result<Page, Error> {
        let mut state = self.state.lock().expect("lock");
        state.admit()?;
        let objects = state.objects.values().filter(|o| o.kind == kind);
        Ok(Page {
            revision: state.revision,
            events: objects.cloned().map(Event::Put).collect(),
        })
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<u64, Error> {
        let mut state = self.state.lock().expect("lock");
        state.admit()?;
        let present = state.objects.get(&(kind, name.into())).map(|o| o.version);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Version(v) => present == Some(v),
        };
        if !holds {
            return Err(Error::Conflict);
        }
        let version = state.write(kind, name, value.clone());
        if state.lose_puts > 0 {
            state.lose_puts -= 1;
            return Err(Error::Unknown("as told".into()));
        }
        Ok(version)
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<(), Error> {
        let mut state = self.state.lock().expect("lock");
        let key = (kind, name.into());
        match state.objects.get(&key).map(|o| o.version) {
            Some(v) if v == version => drop(state.objects.remove(&key)),
            Some(_) => return Err(Error::Conflict),
            None => return Err(Error::NotFound),
        }
        Ok(())
    }

    async fn watch(&self, _kinds: &[Kind], _since: u64, wait: Duration) -> Result<Page, Error> {
        tokio::time::sleep(wait).await;
        Ok(Page::default())
    }
}
