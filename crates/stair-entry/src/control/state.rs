//! An entry's copy of the platform's objects.
//!
//! Each object carries the platform's revision of its last write and is replaced only by a newer
//! one. So the state never goes back to an older version, in whatever order watches, lists, own
//! writes and peers' snapshots arrive.
//!
//! When the platform comes back from a copy of its state, all its versions are newer, and its objects may
//! be older. What they lack or undo is not believed at once: see [`restored`](super::restored).

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};
use stair_config::{
    Catalogue,
    chunks::Chunk, //
};
use stair_platform::{
    IncarnationRecord,
    Manifest,
    Vm,
    VmRole,
    VmState, //
};
use stair_state::{
    GrantShard,
    grants::{
        SHARDS,
        shard_of, //
    },
};
use stair_types::{
    ConfigVersion,
    EntryName,
    FencingToken,
    ModelName,
    ShardId,
    StoreRevision,
    TargetName,
    rendezvous, //
};
use stair_wire::control::{
    EntryAddress,
    VmNotice, //
};

use crate::control::restored::Deferred;

/// A value with the platform's revision of its last write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision.
    pub version: StoreRevision,
    /// The value; none after a deletion.
    pub value: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Self {
            version: StoreRevision::NONE,
            value: None,
        }
    }
}

impl<T> Versioned<T> {
    /// Replaces the value if `version` is newer. Returns whether it was replaced.
    pub fn replace_if_newer(&mut self, version: StoreRevision, value: Option<T>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.value = value;
        true
    }
}

/// A named object, in a vector sorted by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Named<N, T> {
    /// The name.
    pub name: N,
    /// The object.
    pub object: Versioned<T>,
}

/// A configuration with the objects that it was read from, which peers receive in a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Config {
    /// The manifest as the platform has it.
    pub manifest: Versioned<Manifest>,
    /// The chunks that the manifest names.
    #[serde(skip)]
    pub chunks: Arc<Vec<Chunk>>,
    /// The declarations in force.
    pub catalogue: Arc<Catalogue>,
}

/// All state of control that comes from the platform and the agents.
#[derive(Debug, Clone, Serialize)]
pub struct State {
    /// The configuration in force.
    pub config: Config,
    /// Grants by shard number.
    pub shards: Vec<Versioned<GrantShard>>,
    /// By shard number, the state that the platform has come back with, while it differs from the one in
    /// force and has not been written again.
    pub restored: Vec<Option<Versioned<GrantShard>>>,
    /// By shard number, whether the state in force is known only from such a copy.
    pub unconfirmed: Vec<bool>,
    /// Changes that a copy implies, until the objects have been written again.
    #[serde(skip)]
    pub(super) deferred: Vec<Deferred>,
    /// Agents whose records the platform has lost, sorted.
    pub lost_records: Vec<TargetName>,
    /// Agents, sorted by target.
    pub incarnations: Vec<Named<TargetName, IncarnationRecord>>,
    /// The platform's list of VMs, sorted by name.
    pub vms: Vec<Named<Box<str>, Vm>>,
    /// Agents that have reported that they are leaving, sorted by target.
    pub leaving: Vec<LeavingAgent>,
    /// Whether the platform itself has confirmed the state since this process started.
    pub confirmed: bool,
    /// The platform's revision up to which the state is complete. Single objects may be newer: a
    /// shard that this entry read or wrote by itself, or an object of a kind that was listed at a
    /// later revision than the others.
    #[serde(rename = "seen")]
    pub revision: StoreRevision,
    /// The revision of the newest deletion that was pruned. An object that is not in the state and
    /// not newer than this is taken for deleted.
    #[serde(rename = "forgotten")]
    pruned_revision: StoreRevision,
    /// Incremented with each change that concerns targets.
    #[serde(rename = "fleet")]
    fleet_version: u64,
    /// The live entries, sorted by name.
    entries: Vec<EntryAddress>,
}

/// Deletions of VMs and agents' records that are kept before pruning. Each takes about a hundred
/// bytes, and 2,400 VMs are replaced a day.
const MAX_KEPT_DELETIONS: usize = 4_096;

/// An agent that has reported that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeavingAgent {
    /// The agent's target.
    pub target: TargetName,
    /// The incarnation that is leaving; a newer one is not.
    pub token: FencingToken,
}

impl Default for State {
    fn default() -> Self {
        Self {
            config: Config::default(),
            shards: vec![Versioned::default(); usize::from(SHARDS)],
            restored: vec![None; usize::from(SHARDS)],
            unconfirmed: vec![false; usize::from(SHARDS)],
            deferred: Vec::new(),
            lost_records: Vec::new(),
            incarnations: Vec::new(),
            vms: Vec::new(),
            leaving: Vec::new(),
            confirmed: false,
            revision: StoreRevision::NONE,
            pruned_revision: StoreRevision::NONE,
            fleet_version: 0,
            entries: Vec::new(),
        }
    }
}

impl State {
    /// Records that the state is complete up to a revision. Returns whether the revision advanced.
    pub fn advance_revision(&mut self, revision: StoreRevision) -> bool {
        let is_newer = revision > self.revision;
        self.revision = revision.max(self.revision);
        if is_newer {
            self.prune_deletions();
        }
        is_newer
    }

    /// Returns whether the state is complete up to the version of a shard, so that the shard may be
    /// compared with VMs and declarations.
    ///
    /// A shard that is newer than the list of VMs may name a holder whose VM is not in that list
    /// yet. One that is newer than the declarations may follow declarations that this entry has not
    /// received.
    pub fn is_complete_for(&self, shard: ShardId) -> bool {
        let i = usize::from(shard.0);
        let restored = self.restored[i].as_ref();
        let version = restored.map_or(self.shards[i].version, |r| r.version);
        version <= self.revision
    }

    /// Replaces the configuration by a newer one. Returns whether it was newer.
    ///
    /// Its own version decides, which rises also when the platform comes back from a copy with an older
    /// configuration.
    pub fn update_config(&mut self, config: Config) -> bool {
        let is_newer = version_of(&config) > version_of(&self.config);
        if is_newer {
            self.config = config;
        }
        is_newer
    }

    /// Replaces an agent's record by a newer version, or by a deletion if there is no value. Returns
    /// whether it was newer.
    pub fn update_incarnation(
        &mut self,
        name: TargetName,
        version: StoreRevision,
        value: Option<IncarnationRecord>,
    ) -> bool {
        if self.is_lost_record(&name, version, value.as_ref()) {
            self.record_lost(name);
            return true;
        }
        if let Ok(i) = self.lost_records.binary_search(&name) {
            self.lost_records.remove(i);
        }
        if self.is_pruned(version) && find_at(&self.incarnations, &name).is_none() {
            return false;
        }
        let changed = update_named(&mut self.incarnations, name, version, value);
        self.fleet_version += u64::from(changed);
        self.prune_leaving();
        changed
    }

    /// Replaces a VM's record by a newer version, or by a deletion if there is no value. Returns whether
    /// it was newer.
    pub fn update_vm(&mut self, name: Box<str>, version: StoreRevision, value: Option<Vm>) -> bool {
        let current = find_at(&self.vms, &name);
        if self.is_pruned(version) && current.is_none() {
            return false;
        }
        let current = current.and_then(|i| self.vms[i].object.value.as_ref());
        let of_entry = [current, value.as_ref()]
            .into_iter()
            .flatten()
            .any(is_entry);
        let changed = update_named(&mut self.vms, name, version, value);
        self.record_vm_change(changed, of_entry);
        changed
    }

    /// Removes old deletions when there are too many.
    ///
    /// Deletions are kept so that a late reply does not restore a deleted object, and to distinguish
    /// a removed VM from one that the lagging list does not show yet. Without a bound they would
    /// exhaust the memory of a process that runs for months.
    fn prune_deletions(&mut self) {
        let deleted = self.vms.iter().filter(|n| n.object.value.is_none()).count()
            + self
                .incarnations
                .iter()
                .filter(|n| n.object.value.is_none())
                .count();
        if deleted <= MAX_KEPT_DELETIONS {
            return;
        }
        let mut pruned_revision = self.pruned_revision;
        let complete_to = self.revision;
        let mut stays = |version: StoreRevision, exists: bool| {
            let stays = exists || version > complete_to;
            if !stays {
                pruned_revision = pruned_revision.max(version);
            }
            stays
        };
        self.incarnations
            .retain(|n| stays(n.object.version, n.object.value.is_some()));
        let agents = &self.incarnations;
        self.vms.retain(|n| {
            let at = agents.binary_search_by(|a| a.name.as_str().cmp(&n.name));
            stays(n.object.version, n.object.value.is_some() || at.is_ok())
        });
        self.leaving
            .retain(|l| agents.binary_search_by(|a| a.name.cmp(&l.target)).is_ok());
        self.pruned_revision = pruned_revision;
    }

    fn is_pruned(&self, version: StoreRevision) -> bool {
        version <= self.pruned_revision
    }

    fn record_vm_change(&mut self, changed: bool, of_entries: bool) {
        self.fleet_version += u64::from(changed);
        if changed && of_entries {
            self.entries = list_entries(&self.vms);
        }
    }

    /// Records that an incarnation of an agent is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, target: TargetName, token: FencingToken) -> bool {
        let at = self.leaving.binary_search_by(|l| l.target.cmp(&target));
        if at.is_err() || at.is_ok_and(|i| self.leaving[i].token < token) {
            self.fleet_version += 1;
        }
        match at {
            Ok(i) if self.leaving[i].token >= token => false,
            Ok(i) => {
                self.leaving[i].token = token;
                true
            }
            Err(at) => {
                self.leaving.insert(at, LeavingAgent { target, token });
                true
            }
        }
    }

    /// Records that an incarnation of an agent is no longer leaving. Returns whether that is new.
    pub fn record_staying(&mut self, target: &TargetName, token: FencingToken) -> bool {
        let at = self.leaving.binary_search_by(|l| l.target.cmp(target));
        let Some(at) = at.ok().filter(|at| self.leaving[*at].token == token) else {
            return false;
        };
        self.leaving.remove(at);
        self.fleet_version += 1;
        true
    }

    /// Returns the record of a target's agent.
    pub fn incarnation(&self, target: &TargetName) -> Option<&IncarnationRecord> {
        find(&self.incarnations, target)
    }

    /// Returns whether a target's VM is in the platform's list and not leaving.
    pub fn is_live(&self, target: &TargetName) -> bool {
        self.target_vm(target)
            .is_some_and(|vm| vm.state == VmState::Live)
    }

    /// Returns whether a target's VM is in the platform's list, leaving or not.
    pub fn is_listed(&self, target: &TargetName) -> bool {
        self.target_vm(target).is_some()
    }

    /// Returns the notice about a target's VM for its agent, from the platform's list.
    pub fn vm_notice(&self, target: &TargetName) -> VmNotice {
        let at = self
            .vms
            .binary_search_by(|vm| (*vm.name).cmp(target.as_str()));
        VmNotice {
            version: at.map_or(StoreRevision::NONE, |i| self.vms[i].object.version),
            is_leaving: self.is_marked_leaving(target),
        }
    }

    /// Returns whether incarnation `token` of a target's agent has reported that it is leaving.
    pub fn reports_leaving(&self, target: &TargetName, token: FencingToken) -> bool {
        let at = self.leaving.binary_search_by(|l| l.target.cmp(target));
        at.is_ok_and(|i| self.leaving[i].token >= token)
    }

    /// Returns the grants of a model's shard.
    pub fn shard(&self, model: &ModelName) -> Option<&GrantShard> {
        let shard = shard_of(model);
        self.shards[usize::from(shard.0)].value.as_ref()
    }

    /// Returns the entries that the platform lists as live, sorted by name.
    pub fn entries(&self) -> &[EntryAddress] {
        &self.entries
    }

    /// Returns how many live entries precede this one for a key by rendezvous hashing. Rank 0 is the
    /// owner, which normally does the work of the key.
    ///
    /// Two entries may both rank first while their lists of VMs differ. Conditional updates make that
    /// harmless; the hash only avoids that all entries do all work.
    pub fn rank(&self, me: &EntryName, key: &str) -> usize {
        let mine = rendezvous::weight(key, me.as_str());
        let others = self.entries.iter().filter(|e| e.name != *me);
        others
            .filter(|e| rendezvous::weight(key, e.name.as_str()) > mine)
            .count()
    }

    /// Returns this entry's rank for each shard of the grants.
    pub fn ranks(&self, me: &EntryName) -> Vec<usize> {
        let keys = (0..SHARDS).map(|i| format!("grants-{i}"));
        keys.map(|key| self.rank(me, &key)).collect()
    }

    /// Returns a counter of the changes that concern targets.
    pub fn fleet_version(&self) -> u64 {
        self.fleet_version
    }

    /// Marks all VMs as deleted that a complete list lacks. `listed` is sorted. Returns whether there
    /// were any.
    pub fn remove_unlisted_vms(&mut self, listed: &[Box<str>], revision: StoreRevision) -> bool {
        let changed = remove_unlisted(&mut self.vms, listed, revision);
        self.record_vm_change(changed, true);
        changed
    }

    /// Marks all agents' records as deleted that a complete list lacks. `listed` is sorted. Returns
    /// whether there were any.
    pub fn remove_unlisted_incarnations(
        &mut self,
        listed: &[TargetName],
        revision: StoreRevision,
    ) -> bool {
        let changed = remove_unlisted(&mut self.incarnations, listed, revision);
        self.fleet_version += u64::from(changed);
        self.prune_leaving();
        changed
    }

    /// Removes leaving reports of agents whose records are deleted. The tokens of a new VM of the same
    /// name start again from one. With the old report the new VM would count as leaving and never get
    /// a grant or a request.
    fn prune_leaving(&mut self) {
        let records = &self.incarnations;
        self.leaving.retain(|l| {
            let at = records.binary_search_by(|r| r.name.cmp(&l.target));
            at.is_ok_and(|i| records[i].object.value.is_some()) || at.is_err()
        });
    }

    /// Returns whether the platform's list marks a target's VM as leaving. A VM that is not listed is
    /// not leaving: its agent may have started before the lagging list shows the VM.
    pub(super) fn is_marked_leaving(&self, target: &TargetName) -> bool {
        self.target_vm(target)
            .is_some_and(|vm| vm.state == VmState::Leaving)
    }

    /// Finds a target's VM, which has the target's name in the platform's list.
    fn target_vm(&self, target: &TargetName) -> Option<&Vm> {
        let at = self
            .vms
            .binary_search_by(|vm| (*vm.name).cmp(target.as_str()));
        let vm = at.ok().and_then(|i| self.vms[i].object.value.as_ref())?;
        matches!(vm.role, VmRole::Target { .. }).then_some(vm)
    }
}

/// Returns the version of a configuration, 0 when there is none.
pub fn version_of(config: &Config) -> ConfigVersion {
    let manifest = config.manifest.value.as_ref();
    manifest.map_or(ConfigVersion(0), |m| m.version)
}

fn is_entry(vm: &Vm) -> bool {
    matches!(vm.role, VmRole::Entry { .. })
}

fn list_entries(vms: &[Named<Box<str>, Vm>]) -> Vec<EntryAddress> {
    let listed = vms.iter().filter_map(|vm| vm.object.value.as_ref());
    let live = listed.filter(|vm| vm.state == VmState::Live);
    let mut entries: Vec<EntryAddress> = live.filter_map(entry_address).collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    entries
}

fn entry_address(vm: &Vm) -> Option<EntryAddress> {
    match &vm.role {
        VmRole::Entry { name, link } => Some(EntryAddress {
            name: name.clone(),
            data_centre: vm.data_centre.clone(),
            link: *link,
        }),
        VmRole::Target { .. } => None,
    }
}

fn find<'a, N, T>(all: &'a [Named<N, T>], name: &N) -> Option<&'a T>
where
    N: Ord,
{
    find_at(all, name).and_then(|i| all[i].object.value.as_ref())
}

pub(super) fn find_at<N, T>(all: &[Named<N, T>], name: &N) -> Option<usize>
where
    N: Ord,
{
    all.binary_search_by(|n| n.name.cmp(name)).ok()
}

fn update_named<N, T>(
    all: &mut Vec<Named<N, T>>,
    name: N,
    version: StoreRevision,
    value: Option<T>,
) -> bool
where
    N: Ord,
{
    match all.binary_search_by(|n| n.name.cmp(&name)) {
        Ok(i) => all[i].object.replace_if_newer(version, value),
        Err(at) => {
            let object = Versioned { version, value };
            all.insert(at, Named { name, object });
            true
        }
    }
}

fn remove_unlisted<N, T>(all: &mut [Named<N, T>], listed: &[N], revision: StoreRevision) -> bool
where
    N: Ord,
{
    let mut changed = false;
    for current in all.iter_mut().filter(|n| n.object.value.is_some()) {
        if listed.binary_search(&current.name).is_err() {
            changed |= current.object.replace_if_newer(revision, None);
        }
    }
    changed
}
