//! The JSON of objects, changes and pages in replies, in which versions have no era.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;
use stair_types::{
    Era,
    StoreRevision, //
};

use crate::types::{
    self,
    Kind, //
};

/// An object.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Object {
    kind: Kind,
    name: Box<str>,
    version: u64,
    value: Value,
}

/// One change of an object.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The object was written.
    Put(Object),
    /// The object was deleted.
    Deleted {
        /// The kind of the object.
        kind: Kind,
        /// The name, unique within the kind.
        name: Box<str>,
        /// The revision of the store at which the object was deleted.
        version: u64,
    },
}

/// The reply to a list or a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    revision: u64,
    events: Vec<Event>,
}

fn revision(era: Era, counter: u64) -> StoreRevision {
    StoreRevision { counter, era }
}

impl Object {
    /// The object as a reply of this era states it.
    pub fn stated_in(self, era: Era) -> types::Object {
        types::Object {
            kind: self.kind,
            name: self.name,
            version: revision(era, self.version),
            value: self.value,
        }
    }
}

impl From<types::Object> for Object {
    fn from(object: types::Object) -> Self {
        Self {
            kind: object.kind,
            name: object.name,
            version: object.version.counter,
            value: object.value,
        }
    }
}

impl Event {
    fn stated_in(self, era: Era) -> types::Event {
        match self {
            Self::Put(object) => types::Event::Put(object.stated_in(era)),
            Self::Deleted {
                kind,
                name,
                version,
            } => types::Event::Deleted {
                kind,
                name,
                version: revision(era, version),
            },
        }
    }
}

impl From<types::Event> for Event {
    fn from(event: types::Event) -> Self {
        match event {
            types::Event::Put(object) => Self::Put(object.into()),
            types::Event::Deleted {
                kind,
                name,
                version,
            } => Self::Deleted {
                kind,
                name,
                version: version.counter,
            },
        }
    }
}

impl Page {
    /// The page as a reply of this era states it.
    pub fn stated_in(self, era: Era) -> types::Page {
        let events = self.events.into_iter().map(|e| e.stated_in(era));
        types::Page {
            revision: revision(era, self.revision),
            events: events.collect(),
        }
    }
}

impl From<types::Page> for Page {
    fn from(page: types::Page) -> Self {
        Self {
            revision: page.revision.counter,
            events: page.events.into_iter().map(Event::from).collect(),
        }
    }
}
