//! Changes of the list of targets, received from the store or a peer.

use platform_adapter::{
    store::{
        Change,
        Object,
        Unreadable, //
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

/// The versions of the software of the targets in a message, in the order of the targets. They follow the
/// message as its extension, since entries of earlier releases decode targets without them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Versions(Vec<Option<Box<str>>>);

impl Versions {
    /// The versions of these targets.
    pub fn of<'a, I>(targets: I) -> Self
    where
        I: IntoIterator<Item = &'a Target>,
    {
        Self(targets.into_iter().map(|t| t.version.clone()).collect())
    }

    /// Sets the versions of the targets of the same message. Returns whether all of them are stated.
    pub fn apply<'a, I>(self, targets: I) -> bool
    where
        I: IntoIterator<Item = &'a mut Target>,
    {
        let mut versions = self.0.into_iter();
        let mut all = true;
        for target in targets {
            target.version = versions.next().flatten();
            all &= target.version.is_some();
        }
        all
    }
}

/// How soon followers have to receive a change of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// The change decides whether a target gets requests.
    Immediate,
    /// The change is only about the inventory of a target.
    Deferred,
}

/// A change of the list of targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The announcement of a target that is new or has changed.
    Put(Box<Target>),
    /// The target of this id was removed from the list.
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

    /// The target of an announcement.
    pub fn put(&self) -> Option<&Target> {
        match self {
            Self::Put(target) => Some(target),
            Self::Removed(_) => None,
        }
    }

    /// As [`TargetChange::put`], for changing it.
    pub fn put_mut(&mut self) -> Option<&mut Target> {
        match self {
            Self::Put(target) => Some(target),
            Self::Removed(_) => None,
        }
    }

    /// How soon followers have to receive the change. Inventories change many times a second, and agents
    /// report them directly.
    pub fn urgency(&self, view: &View) -> Urgency {
        let Self::Put(new) = self else {
            return Urgency::Immediate;
        };
        let known = view.all().find(|(_, s)| s.target.id == new.id);
        let only_inventory = known
            .is_some_and(|(_, s)| s.missing_until.is_none() && s.target.eq_except_inventory(new));
        match only_inventory {
            true => Urgency::Deferred,
            false => Urgency::Immediate,
        }
    }
}

/// Decodes a change of the list of targets, and returns beside it why the announcement does not decode.
///
/// The target of such an announcement counts as removed: another writer has overwritten it, and it is unknown whether
/// the target takes requests until it announces itself again.
pub fn decode_change(change: Change) -> (TargetChange, Option<Unreadable>) {
    let unreadable = match change {
        Change::Removed(id) => return (TargetChange::Removed(id), None),
        Change::Put(object) => match decode(&object) {
            Ok(target) => return (TargetChange::Put(Box::new(target)), None),
            Err(e) => e,
        },
        Change::Unreadable(e) => e,
    };
    (
        TargetChange::Removed(unreadable.name.clone()),
        Some(unreadable),
    )
}

/// Decodes the announcement of a target.
///
/// # Errors
///
/// When it is malformed.
pub fn decode(object: &Object) -> Result<Target, Unreadable> {
    target::decode(&object.name, &object.spec).map_err(|e| Unreadable {
        name: object.name.clone(),
        revision: object.revision.counter,
        error: e.to_string().into(),
    })
}
