//! What the state keeps when the platform comes back from a copy of its own.
//!
//! The objects of a copy are newer by their era and may be older. VMs and records that it lacks, or has
//! although they were removed, change the state later ([`State::defer`]). A shard of grants that differs
//! stays in force until an entry has written both together ([`State::update_shard`]).

use stair_fleet::view::{
    MISSING_GRACE,
    REMOVAL_SUPPRESSION, //
};
use stair_platform::{
    Event,
    IncarnationRecord,
    Kind,
    ObjectStore,
    Vm,
    VmState, //
};
use stair_state::GrantShard;
use stair_telemetry::{
    Part,
    info, //
};
use stair_types::{
    Era,
    ShardId,
    StoreRevision,
    TargetName, //
};
use tokio::time::Instant;

use crate::control::{
    actor::{
        Control,
        shard_id, //
    },
    feed::{
        Listed,
        decode, //
    },
    state::{
        State,
        Versioned,
        find_at, //
    },
};

/// A change that is applied later.
#[derive(Debug, Clone)]
pub(super) struct Deferred {
    due: Instant,
    event: Event,
}

/// What an object of a copy is taken for.
enum Restored {
    /// It changes the state now.
    Apply(Event),
    /// It was removed, and changes the state later, unless it is removed again.
    Defer(Event),
}

impl State {
    /// Whether the platform has come back from a copy since the state was last complete.
    pub fn has_returned(&self, revision: StoreRevision) -> bool {
        self.revision.is_known() && revision.era > self.revision.era
    }

    /// Applies an event at `due`, unless the object has been written again until then.
    ///
    /// A copy lacks what was written after it, and has what was removed after it. The writers of these
    /// objects write them again within about two seconds, from the last return of a series.
    pub fn defer(&mut self, event: Event, due: Instant) {
        let object = |e: &Event| match e {
            Event::Put(object) => (object.kind, object.name.clone()),
            Event::Deleted { kind, name, .. } => (*kind, name.clone()),
        };
        let of = object(&event);
        self.deferred.retain(|d| object(&d.event) != of);
        self.deferred.push(Deferred { due, event });
    }

    /// Takes the deferred events that are due.
    pub fn pop_due(&mut self, now: Instant) -> Vec<Event> {
        let (due, rest) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|d| d.due <= now);
        self.deferred = rest;
        let due: Vec<Deferred> = due;
        due.into_iter().map(|d| d.event).collect()
    }

    /// Replaces a shard by a newer version. Returns whether anything changed.
    ///
    /// A version that no process of its era has written comes from a copy, or from a write that was
    /// carried out late. If it differs from the known state, that stays in force until an entry has
    /// written both together.
    pub fn update_shard(
        &mut self,
        shard: ShardId,
        version: StoreRevision,
        value: Option<GrantShard>,
    ) -> bool {
        let i = usize::from(shard.0);
        let Some(current) = self.shards.get_mut(i) else {
            return false;
        };
        let restored = &mut self.restored[i];
        let known = restored.as_ref().map_or(current.version, |r| r.version);
        if version <= known.max(current.version) {
            return false;
        }
        let has_eras = version.era != Era::default();
        let is_of_era = value.as_ref().is_some_and(|v| v.is_of(version.era));
        if has_eras && !is_of_era && current.value.is_some() && value != current.value {
            *restored = Some(Versioned { version, value });
            return true;
        }
        self.unconfirmed[i] = has_eras && !is_of_era && current.value.is_none();
        *restored = None;
        current.replace_if_newer(version, value)
    }

    /// Records the shards that a complete list of a new era lacks.
    pub fn restore_unlisted_shards(&mut self, listed: &[ShardId], revision: StoreRevision) -> bool {
        let mut changed = false;
        for i in 0..self.shards.len() {
            let shard = ShardId(i as u16);
            let is_older = self.shards[i].version.era < revision.era;
            let lacks = self.shards[i].value.is_some() && !listed.contains(&shard);
            if lacks && is_older && self.restored[i].is_none() {
                let version = StoreRevision {
                    counter: 0,
                    era: revision.era,
                };
                let value = None;
                self.restored[i] = Some(Versioned { version, value });
                changed = true;
            }
        }
        changed
    }

    /// Whether the grants that a shard lacks have ended.
    pub fn is_shard_complete(&self, shard: ShardId) -> bool {
        !self.unconfirmed[usize::from(shard.0)]
    }

    /// Whether a record is of an incarnation before the known one, by a copy or a late write. A token
    /// of the present era is above all others.
    pub(super) fn is_lost_record(
        &self,
        name: &TargetName,
        version: StoreRevision,
        value: Option<&IncarnationRecord>,
    ) -> bool {
        let is_old = |r: &&IncarnationRecord| {
            version.era != Era::default() && r.token.0 <= version.era.first_number()
        };
        let known = self.incarnation(name);
        let token = value.filter(is_old).map(|r| r.token);
        token.is_some_and(|token| known.is_some_and(|k| k.token > token))
    }

    /// Records that the platform has lost an agent's record.
    pub fn record_lost(&mut self, name: TargetName) {
        if let Err(at) = self.lost_records.binary_search(&name) {
            self.lost_records.insert(at, name);
        }
    }

    /// The revision at which the platform lacked the record of a target's agent, if it does.
    pub fn lost_record(&self, name: &TargetName) -> Option<StoreRevision> {
        let lost = self.lost_records.binary_search(name).is_ok();
        lost.then_some(self.revision)
    }

    /// The known VM of this name.
    pub fn vm(&self, name: &str) -> Option<&Versioned<Vm>> {
        let at = self.vms.binary_search_by(|vm| (*vm.name).cmp(name)).ok()?;
        Some(&self.vms[at].object)
    }

    /// Whether the record of a target's agent is known to be deleted.
    pub fn is_record_deleted(&self, name: &TargetName) -> bool {
        let at = find_at(&self.incarnations, name);
        at.is_some_and(|i| self.incarnations[i].object.value.is_none())
    }

    /// Names of all VMs in the list.
    pub fn vm_names(&self) -> impl Iterator<Item = &Box<str>> {
        let listed = self.vms.iter().filter(|n| n.object.value.is_some());
        listed.map(|n| &n.name)
    }

    /// Targets whose agents have a record.
    pub fn record_names(&self) -> impl Iterator<Item = &TargetName> {
        let known = self.incarnations.iter();
        known.filter(|n| n.object.value.is_some()).map(|n| &n.name)
    }
}

impl<S> Control<S>
where
    S: ObjectStore,
{
    /// Applies a list that comes from a copy of an earlier state. What it lacks stays for a while, and
    /// what was removed does not come back at once, until both have been written again.
    pub(super) fn apply_copy(&mut self, listed: Listed, names: &[Box<str>]) -> bool {
        let Listed { kind, page } = listed;
        let revision = page.revision;
        let now = Instant::now();
        info!(
            Part::Platform,
            "The platform has come back from a copy, era {}: {} objects of kind {}.",
            revision.era,
            names.len(),
            kind.as_str()
        );
        let mut changed = false;
        for event in page.events {
            match self.restored_event(event) {
                Restored::Apply(event) => changed |= self.apply_changes(vec![event]),
                Restored::Defer(event) => self.state.defer(event, now + REMOVAL_SUPPRESSION),
            }
        }
        let is_missing = |name: &str| names.binary_search_by(|n| (**n).cmp(name)).is_err();
        let missing: Vec<Box<str>> = match kind {
            Kind::Vm => self.state.vm_names().cloned().collect(),
            Kind::Incarnation => {
                let known = self.state.record_names();
                known.map(|n| n.as_str().into()).collect()
            }
            Kind::Grants => {
                let listed: Vec<ShardId> = names.iter().filter_map(|n| shard_id(n).ok()).collect();
                changed |= self.state.restore_unlisted_shards(&listed, revision);
                Vec::new()
            }
            Kind::Manifest | Kind::Chunk | Kind::Claims => Vec::new(),
        };
        for name in missing.into_iter().filter(|n| is_missing(n)) {
            if kind == Kind::Incarnation
                && let Ok(target) = TargetName::try_from(name.clone())
            {
                self.state.record_lost(target);
                changed = true;
            }
            let event = Event::Deleted {
                kind,
                name,
                version: revision,
            };
            self.state.defer(event, now + MISSING_GRACE);
        }
        changed
    }

    /// What an object of a copy is taken for.
    fn restored_event(&self, event: Event) -> Restored {
        let Event::Put(mut object) = event else {
            return Restored::Apply(event);
        };
        let removed = match object.kind {
            Kind::Vm => self
                .state
                .vm(&object.name)
                .is_some_and(|vm| vm.value.is_none()),
            Kind::Incarnation => TargetName::try_from(object.name.clone())
                .is_ok_and(|name| self.state.is_record_deleted(&name)),
            _ => false,
        };
        if removed {
            return Restored::Defer(Event::Put(object));
        }
        let known = self.state.vm(&object.name).and_then(|vm| vm.value.as_ref());
        if object.kind == Kind::Vm
            && known.is_some_and(|vm| vm.state == VmState::Leaving)
            && let Ok(vm) = decode::<Vm>(&object)
        {
            let leaving = Vm {
                state: VmState::Leaving,
                ..vm
            };
            // The encoding cannot fail, since all keys are strings.
            object.value = serde_json::to_value(leaving).unwrap_or_default();
        }
        Restored::Apply(Event::Put(object))
    }
}
