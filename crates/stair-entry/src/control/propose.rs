//! Proposes changes of grants, as a pure function of the state.
//!
//! VMs are added and removed and declarations change at any time, and several entries propose at
//! once. No model may get more grants than declared or stay without a target. Each proposal is
//! derived from one state, and the conditional update discards it when the shard has changed since.

use stair_config::Model;
use stair_platform::TargetKind;
use stair_policy::placement::{
    self,
    Change,
    ExistingGrant,
    Fleet,
    ModelInfo,
    TargetInfo, //
};
use stair_state::{
    Grant,
    GrantShard, //
};
use stair_types::{
    DataCentre,
    GrantId,
    ShardId,
    TargetKey,
    TargetName,
    rendezvous, //
};

use crate::control::state::State;

/// Plans grants with a model of the fleet that is built once and serves all shards of a pass.
#[derive(Debug)]
pub struct Planner {
    fleet: Fleet,
    /// The arena that the keys point into, sorted by name.
    names: Vec<TargetName>,
}

impl Planner {
    /// Builds the fleet from the state, in O(n log n) of the targets and O(g log n) of the grants.
    pub fn new(state: &State) -> Self {
        let mut data_centres: Vec<&DataCentre> = Vec::new();
        let mut names = Vec::new();
        let mut infos = Vec::new();
        for agent in &state.incarnations {
            let Some(record) = agent.object.value.as_ref() else {
                continue;
            };
            let TargetKind::Engine { memory_mib } = record.kind else {
                continue;
            };
            let data_centre = index_of(&mut data_centres, &record.data_centre);
            infos.push(TargetInfo {
                key: TargetKey(names.len() as u32),
                name_hash: rendezvous::weight("target", agent.name.as_str()),
                data_centre,
                memory_mib,
                granted_mib: 0,
                live: state.is_live(&agent.name)
                    && !state.reports_leaving(&agent.name, record.token),
            });
            names.push(agent.name.clone());
        }
        let mut planner = Self {
            fleet: Fleet::new(infos),
            names,
        };
        planner.count_grants(state);
        planner
    }

    /// Returns the proposed contents of a shard, or none when it needs no change.
    pub fn propose(&mut self, state: &State, shard: ShardId) -> Option<GrantShard> {
        let i = usize::from(shard.0);
        let current = &state.shards[i];
        let mut next = current.value.clone().unwrap_or_default();
        let restored = state.restored[i].as_ref();
        if let Some(copy) = restored.and_then(|r| r.value.as_ref()) {
            next.merge_copy(copy);
        }
        next.begin_era(state.revision.era);
        remove_unlisted_holders(state, &mut next);
        self.revoke_undeclared(state, &mut next);
        let catalogue = state.config.catalogue.clone();
        let models = catalogue.models.iter();
        for model in models.filter(|m| stair_state::grants::shard_of(&m.name) == shard) {
            for change in self.changes(&next, model) {
                self.apply(&mut next, model, change);
            }
        }
        let same = current
            .value
            .as_ref()
            .is_some_and(|c| c.grants == next.grants);
        let unchanged = same && restored.is_none();
        let empty = current.value.is_none() && next.grants.is_empty();
        (!unchanged && !empty).then_some(next)
    }

    /// Adds the grants that a model lacks, on targets in `avoid` only when no others are left.
    pub fn refill(&mut self, next: &mut GrantShard, model: &Model, avoid: &[TargetName]) {
        let avoided: Vec<TargetKey> = avoid.iter().filter_map(|t| self.key(t)).collect();
        let holds = |next: &GrantShard, key: TargetKey| {
            let grants = next.of_model(&model.name);
            grants.iter().any(|g| self.key(&g.target) == Some(key))
        };
        // Holders are not hidden: placement proposes to revoke a grant whose holder is not live.
        let hidden: Vec<TargetKey> = avoided
            .into_iter()
            .filter(|k| self.fleet.get(*k).is_some_and(|t| t.live) && !holds(next, *k))
            .collect();
        hidden.iter().for_each(|k| self.fleet.set_live(*k, false));
        self.fill(next, model);
        hidden.iter().for_each(|k| self.fleet.set_live(*k, true));
        self.fill(next, model);
    }

    /// Returns whether a target outside `avoid` could replace the holder of `grant`.
    pub fn has_other_target(
        &mut self,
        shard: &GrantShard,
        model: &Model,
        grant: GrantId,
        avoid: &[TargetName],
    ) -> bool {
        let mut without = shard.clone();
        without.grants.retain(|g| g.id != grant);
        let remaining = without.of_model(&model.name).len();
        self.refill(&mut without, model, avoid);
        let grants = without.of_model(&model.name);
        grants.len() > remaining && grants.iter().all(|g| !avoid.contains(&g.target))
    }

    fn fill(&mut self, next: &mut GrantShard, model: &Model) {
        for change in self.changes(next, model) {
            if let Change::Grant(_) = change {
                self.apply(next, model, change);
            }
        }
    }

    fn changes(&self, shard: &GrantShard, model: &Model) -> Vec<Change> {
        let grants = shard.of_model(&model.name).iter();
        let grants: Vec<ExistingGrant> = grants.map(|g| self.existing(g)).collect();
        let info = ModelInfo {
            name_hash: rendezvous::weight("model", model.name.as_str()),
            memory_mib: model.memory_mib,
            replicas: model.replicas,
            grants: &grants,
        };
        placement::changes(&placement::Options::default(), &self.fleet, &info)
    }

    fn key(&self, target: &TargetName) -> Option<TargetKey> {
        let at = self.names.binary_search(target);
        at.ok().map(|i| TargetKey(i as u32))
    }

    fn apply(&mut self, shard: &mut GrantShard, model: &Model, change: Change) {
        match change {
            Change::Grant(key) => {
                let target = &self.names[key.0 as usize];
                if shard.grant(&model.name, target, model.replicas).is_ok() {
                    self.fleet.add_grant(key, model.memory_mib);
                }
            }
            Change::Revoke(key) => {
                let grants = shard.of_model(&model.name);
                // Targets without an agent's record share one key, so several grants may match.
                let mut granted = grants.iter().filter(|g| !g.revoking);
                let granted = granted.find(|g| self.existing(g).target == key);
                if let Some(id) = granted.map(|g| g.id) {
                    shard.revoke(id);
                }
            }
        }
    }

    fn revoke_undeclared(&self, state: &State, shard: &mut GrantShard) {
        let catalogue = &state.config.catalogue;
        let undeclared: Vec<_> = shard
            .grants
            .iter()
            .filter(|g| catalogue.model(g.model.as_str()).is_none())
            .map(|g| g.id)
            .collect();
        for id in undeclared {
            shard.revoke(id);
        }
    }

    fn count_grants(&mut self, state: &State) {
        let shards = state.shards.iter().filter_map(|s| s.value.as_ref());
        for grant in shards.flat_map(|s| &s.grants) {
            let memory = state.config.catalogue.model(grant.model.as_str());
            if let Some(model) = memory {
                let key = self.existing(grant).target;
                self.fleet.add_grant(key, model.memory_mib);
            }
        }
    }

    /// A grant of a target outside the arena gets a key that no target has: placement counts the
    /// grant and rejects its holder.
    fn existing(&self, grant: &Grant) -> ExistingGrant {
        ExistingGrant {
            target: self.key(&grant.target).unwrap_or(TargetKey(u32::MAX)),
            revoking: grant.revoking,
        }
    }
}

/// Removes the grants of targets whose VM the platform no longer lists.
///
/// A grant of an unresponsive VM stays, since the VM may be frozen with the model loaded. Its memory
/// is certainly free only when the platform has removed the VM. Grants go to listed VMs only, so a
/// holder that is not listed was listed before.
fn remove_unlisted_holders(state: &State, shard: &mut GrantShard) {
    let mut unlisted: Vec<TargetName> = shard
        .grants
        .iter()
        .filter(|g| !state.is_listed(&g.target))
        .map(|g| g.target.clone())
        .collect();
    unlisted.dedup();
    for target in unlisted {
        shard.remove_target(&target);
    }
}

/// Returns whether a shard certainly needs no change, at a cost that depends on the shard and not on
/// the fleet.
///
/// Most changes concern few shards, and building a [`Planner`] for 12,000 targets at each change
/// would take most of the CPU time budgeted for control.
pub fn is_settled(state: &State, shard: ShardId) -> bool {
    let i = usize::from(shard.0);
    if state.restored[i].is_some() {
        return false;
    }
    let current = &state.shards[i];
    let grants = current.value.as_ref().map_or(&[][..], |s| &s.grants);
    let catalogue = &state.config.catalogue;
    let is_valid = |g: &Grant| {
        let declared = catalogue.model(g.model.as_str());
        declared.is_some_and(|m| {
            state.is_listed(&g.target) && (g.revoking || may_keep(state, &g.target, m.memory_mib))
        })
    };
    let mut models = catalogue.models.iter();
    grants.iter().all(is_valid)
        && models.all(|m| {
            stair_state::grants::shard_of(&m.name) != shard
                || current
                    .value
                    .as_ref()
                    .map_or(0, |s| s.of_model(&m.name).len())
                    == usize::from(m.replicas)
        })
}

fn may_keep(state: &State, target: &TargetName, memory: u32) -> bool {
    state.incarnation(target).is_some_and(|record| {
        let fits = match record.kind {
            TargetKind::Engine { memory_mib } => memory <= memory_mib,
            TargetKind::Service { .. } => false,
        };
        fits && state.is_live(target) && !state.reports_leaving(target, record.token)
    })
}

fn index_of<'a>(all: &mut Vec<&'a DataCentre>, name: &'a DataCentre) -> u16 {
    let at = all.iter().position(|d| *d == name).unwrap_or_else(|| {
        all.push(name);
        all.len() - 1
    });
    at as u16
}
