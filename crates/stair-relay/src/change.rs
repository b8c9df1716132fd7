//! Changes of the list of targets, as the store or a peer tells them.

use platform_adapter::{
    store::{
        Change,
        Object, //
    },
    target,
};
use serde::{
    Deserialize,
    Serialize, //
};
use stair_fleet::{
    Target,
    View, //
};
use stair_telemetry::event::Line;

/// How soon a change of the list has to be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// It decides whether a target gets requests.
    Major,
    /// It is about what a target holds.
    Minor,
}

/// A change of the list of targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// What a target announces.
    Put(Box<Target>),
    /// The target of this id has left the list.
    Removed(Box<str>),
}

impl TargetChange {
    /// The target's id.
    pub fn id(&self) -> &str {
        match self {
            Self::Put(target) => &target.id,
            Self::Removed(id) => id,
        }
    }

    /// How soon it has to be known: what a target holds changes many times a second, and its agent tells that.
    pub fn weight(&self, view: &View) -> Weight {
        let Self::Put(new) = self else {
            return Weight::Major;
        };
        let known = view.all().find(|(_, s)| s.target.id == new.id);
        let holds_alone = known
            .is_some_and(|(_, s)| s.missing_until.is_none() && s.target.eq_except_inventory(new));
        match holds_alone {
            true => Weight::Minor,
            false => Weight::Major,
        }
    }
}

impl From<Change> for TargetChange {
    fn from(change: Change) -> Self {
        match change {
            Change::Removed(id) => Self::Removed(id),
            Change::Put(object) => match decode(&object) {
                Some(target) => Self::Put(Box::new(target)),
                // Another writer has put itself in the target's place. Whether the target still takes
                // requests is not known until it announces itself again.
                None => Self::Removed(object.name),
            },
        }
    }
}

/// Reads what a target announces; `None`, and a line, for what cannot be read.
pub fn decode(object: &Object) -> Option<Target> {
    match target::decode(&object.name, &object.spec) {
        Ok(target) => Some(target),
        Err(e) => {
            Line::failure("target.unreadable")
                .text("target", &object.name)
                .show("error", e)
                .write();
            None
        }
    }
}
