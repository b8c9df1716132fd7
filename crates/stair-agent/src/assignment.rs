//! The grants, models and settings in force at the agent.
//!
//! Several entries send assignments, and any of them may lag. Each shard is applied only with a
//! higher version than the one in force, and everything else only with a higher configuration
//! version.

use stair_config::{
    Model,
    Policy,
    Service,
    Tier, //
};
use stair_state::grants::shard_of;
use stair_types::{
    ConfigVersion,
    GrantId,
    ModelName,
    ShardId,
    StoreRevision, //
};
use stair_wire::control::{
    AssignedGrant,
    Assignment,
    ShardAssignment, //
};

/// The grants and the configuration in force at one agent.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    config: ConfigVersion,
    tiers: Vec<Tier>,
    policy: Policy,
    service: Option<Service>,
    /// Sorted by name.
    models: Vec<Model>,
    /// Sorted by shard.
    shards: Vec<ShardAssignment>,
    /// Released grants, which are never served again. Sorted.
    released: Vec<(ShardId, GrantId)>,
}

impl InForce {
    /// Creates the state from the grants read from the platform.
    ///
    /// Their shard versions are lower bounds. Without them an entry that lags could assign to a
    /// restarted agent a grant that the agent's stale incarnation released.
    pub fn new(mut shards: Vec<ShardAssignment>) -> Self {
        shards.sort_by_key(|s| s.shard);
        Self {
            shards,
            ..Self::default()
        }
    }

    /// Applies the newer parts of an assignment and returns whether there were any.
    pub fn apply(&mut self, new: Assignment) -> bool {
        let mut changed = self.apply_config(&new);
        for shard in new.shards {
            changed |= self.apply_shard(shard);
        }
        self.drop_ungranted_models();
        changed
    }

    fn apply_config(&mut self, new: &Assignment) -> bool {
        if new.config < self.config {
            return false;
        }
        if new.config > self.config {
            self.config = new.config;
            self.tiers = new.tiers.clone();
            self.policy = new.policy.clone();
            self.service = new.service.clone();
            self.merge_models(&new.models);
            return true;
        }
        // Entries with different shard versions send different models of one configuration.
        let mut changed = false;
        for model in &new.models {
            if let Err(at) = self.models.binary_search_by(|m| m.name.cmp(&model.name)) {
                self.models.insert(at, model.clone());
                changed = true;
            }
        }
        changed
    }

    /// Applies the declarations of a newer configuration, and keeps the models that it lacks.
    ///
    /// The sending entry may not have received a grant that another entry's assignment carried, and
    /// it sends no further assignment when only other targets' models have changed since.
    fn merge_models(&mut self, new: &[Model]) {
        for model in new {
            match self.models.binary_search_by(|m| m.name.cmp(&model.name)) {
                Ok(i) => self.models[i] = model.clone(),
                Err(at) => self.models.insert(at, model.clone()),
            }
        }
    }

    /// Drops the declarations of models without a grant.
    fn drop_ungranted_models(&mut self) {
        let shards = &self.shards;
        self.models.retain(|m| {
            let mut grants = shards.iter().flat_map(|s| &s.grants);
            grants.any(|g| g.model == m.name)
        });
    }

    fn apply_shard(&mut self, new: ShardAssignment) -> bool {
        match self.shards.binary_search_by_key(&new.shard, |s| s.shard) {
            Ok(i) if self.shards[i].version >= new.version => return false,
            Ok(i) if is_partial(&self.shards[i], &new) => return false,
            Ok(i) => self.shards[i] = new,
            Err(at) => self.shards.insert(at, new),
        }
        let shards = &self.shards;
        self.released.retain(|r| {
            let shard = shards.iter().find(|s| s.shard == r.0);
            shard.is_some_and(|s| s.grants.iter().any(|g| g.id == r.1))
        });
        true
    }

    /// Returns the configuration version.
    pub fn config(&self) -> ConfigVersion {
        self.config
    }

    /// Returns the settings of the scheduling decisions.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the tiers.
    pub fn tiers(&self) -> &[Tier] {
        &self.tiers
    }

    /// Returns the plain service of the target; none for an engine or before the first assignment.
    pub fn service(&self) -> Option<&Service> {
        self.service.as_ref()
    }

    /// Returns the shards, sorted.
    pub fn shards(&self) -> &[ShardAssignment] {
        &self.shards
    }

    /// Returns the version of a shard.
    pub fn version(&self, shard: ShardId) -> StoreRevision {
        self.shard(shard).map_or(StoreRevision::NONE, |s| s.version)
    }

    /// Returns the versions of the shards, as [`stair_wire::control::Hello`] lists them.
    pub fn versions(&self) -> Vec<(ShardId, StoreRevision)> {
        self.shards.iter().map(|s| (s.shard, s.version)).collect()
    }

    /// Finds a model that may be loaded: declared, and under a grant that is not being revoked.
    pub fn servable_model(&self, name: &ModelName) -> Option<&Model> {
        self.model(name).filter(|_| self.is_granted(name))
    }

    /// Returns whether a grant of the model is in force, whether or not the model is declared.
    pub fn is_granted(&self, name: &ModelName) -> bool {
        self.grant_of(name).is_some()
    }

    /// Returns the grant of the model that is neither being revoked nor released.
    pub fn grant_of(&self, name: &ModelName) -> Option<(ShardId, GrantId)> {
        let shard = self.shard(shard_of(name))?;
        let mut granted = shard.grants.iter().filter(|g| g.model == *name);
        let grant = granted.find(|g| !g.revoking && !self.is_released(shard.shard, g.id))?;
        Some((shard.shard, grant.id))
    }

    /// Finds a declared model.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        let at = self.models.binary_search_by(|m| m.name.cmp(name));
        at.ok().map(|i| &self.models[i])
    }

    /// Returns the grants that are being revoked.
    pub fn revoking(&self) -> impl Iterator<Item = (ShardId, &AssignedGrant)> {
        self.shards.iter().flat_map(|s| {
            let revoking = s.grants.iter().filter(|g| g.revoking);
            revoking.map(|g| (s.shard, g))
        })
    }

    /// Records that a grant was released. Returns whether it was not recorded before.
    pub fn release(&mut self, shard: ShardId, grant: GrantId) -> bool {
        match self.released.binary_search(&(shard, grant)) {
            Ok(_) => false,
            Err(at) => {
                self.released.insert(at, (shard, grant));
                true
            }
        }
    }

    /// Returns the released grants that the shards still list.
    pub fn released(&self) -> &[(ShardId, GrantId)] {
        &self.released
    }

    fn is_released(&self, shard: ShardId, grant: GrantId) -> bool {
        self.released.binary_search(&(shard, grant)).is_ok()
    }

    fn shard(&self, id: ShardId) -> Option<&ShardAssignment> {
        let at = self.shards.binary_search_by_key(&id, |s| s.shard);
        at.ok().map(|i| &self.shards[i])
    }
}

/// Whether a shard that its entry knows only from a copy lacks grants that are in force.
fn is_partial(known: &ShardAssignment, new: &ShardAssignment) -> bool {
    let lacks = |g: &AssignedGrant| !new.grants.iter().any(|n| n.id == g.id);
    !new.complete && new.version.era > known.version.era && known.grants.iter().any(lacks)
}
