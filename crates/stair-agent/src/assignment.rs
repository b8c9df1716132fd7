//! Which grants, models and weights are in force at the agent.
//!
//! Several entries send assignments, and any of them may lag. Each shard is taken over only with a
//! higher version than the one held, and everything else only with a higher configuration version.

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
    ShardId, //
};
use stair_wire::control::{
    AssignedGrant,
    Assignment,
    ShardAssignment, //
};

/// What is in force at one agent.
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
    /// Grants that were given back; they never serve again. Sorted.
    released: Vec<(ShardId, GrantId)>,
}

impl InForce {
    /// Starts from the grants that the platform holds. They are the floors: without them an entry
    /// that lags could give a restarted agent a grant that its predecessor gave back.
    pub fn new(mut shards: Vec<ShardAssignment>) -> Self {
        shards.sort_by_key(|s| s.shard);
        Self {
            shards,
            ..Self::default()
        }
    }

    /// Takes over what is newer and returns whether anything was.
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
        // Entries that know different shards name different models of one configuration.
        let mut changed = false;
        for model in &new.models {
            if let Err(at) = self.models.binary_search_by(|m| m.name.cmp(&model.name)) {
                self.models.insert(at, model.clone());
                changed = true;
            }
        }
        changed
    }

    /// Takes over the specifications of a later configuration.
    ///
    /// The entry that sends it may not know yet of a model that another entry's assignment
    /// granted, and will not send it again when only others' models have changed since. So what
    /// it does not name stays.
    fn merge_models(&mut self, new: &[Model]) {
        for model in new {
            match self.models.binary_search_by(|m| m.name.cmp(&model.name)) {
                Ok(i) => self.models[i] = model.clone(),
                Err(at) => self.models.insert(at, model.clone()),
            }
        }
    }

    /// Forgets the specifications of models that no grant names.
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

    /// Returns the weights of the decisions.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the tiers.
    pub fn tiers(&self) -> &[Tier] {
        &self.tiers
    }

    /// Returns the plain service that the target is.
    pub fn service(&self) -> Option<&Service> {
        self.service.as_ref()
    }

    /// Returns the shards, sorted.
    pub fn shards(&self) -> &[ShardAssignment] {
        &self.shards
    }

    /// Returns the version of a shard, 0 when none is known.
    pub fn version(&self, shard: ShardId) -> u64 {
        self.shard(shard).map_or(0, |s| s.version)
    }

    /// Returns the versions of the shards, for a greeting.
    pub fn versions(&self) -> Vec<(ShardId, u64)> {
        self.shards.iter().map(|s| (s.shard, s.version)).collect()
    }

    /// Finds a model that may be held: declared, and under a grant that is not being revoked.
    pub fn servable_model(&self, name: &ModelName) -> Option<&Model> {
        self.model(name).filter(|_| self.is_granted(name))
    }

    /// Tells whether a grant of a model is in force, whether or not the model is declared.
    pub fn is_granted(&self, name: &ModelName) -> bool {
        self.grant_of(name).is_some()
    }

    /// Returns the grant of a model that is in force.
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

    /// Notes that a grant was given back. Returns whether that is new.
    pub fn release(&mut self, shard: ShardId, grant: GrantId) -> bool {
        match self.released.binary_search(&(shard, grant)) {
            Ok(_) => false,
            Err(at) => {
                self.released.insert(at, (shard, grant));
                true
            }
        }
    }

    /// Returns the grants that were given back and are still listed.
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
