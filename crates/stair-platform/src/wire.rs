//! The JSON of objects, changes and pages in replies, in which versions have no era.
//!
//! Other writers decide on names and values of objects. Each object is decoded on its own, and its value apart from it,
//! so that it hides no others.

use serde::{
    Deserialize,
    Deserializer,
    Serialize, //
};
use serde_json::{
    Value,
    value::RawValue, //
};
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
    /// Null if it does not parse: nothing that the system writes decodes from it.
    #[serde(deserialize_with = "value_or_null")]
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
#[derive(Debug, Clone, Serialize)]
pub struct Page {
    revision: u64,
    events: Vec<Event>,
}

/// A [`Page`] whose events are not decoded yet.
#[derive(Deserialize)]
pub(crate) struct RawPage {
    revision: u64,
    events: Vec<Box<RawValue>>,
}

fn value_or_null<'de, D>(deserializer: D) -> Result<Value, D::Error>
where
    D: Deserializer<'de>,
{
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or_default())
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

impl RawPage {
    /// The page as a reply of this era states it.
    pub(crate) fn stated_in(self, era: Era) -> types::Page {
        let mut page = types::Page {
            revision: revision(era, self.revision),
            ..types::Page::default()
        };
        for raw in self.events {
            match serde_json::from_str::<Event>(raw.get()) {
                Ok(event) => page.events.push(event.stated_in(era)),
                Err(e) => page.unreadable.push(e.to_string().into()),
            }
        }
        page
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
