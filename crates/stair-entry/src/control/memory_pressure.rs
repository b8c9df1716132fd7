//! Moves grants away from targets under memory pressure, whose memory is full of models in use.
//!
//! When several models with grants on one target are loaded on demand at the same time, some of
//! them wait or are refused while other targets are idle. The agent reports the grants that it has
//! no capacity for. An entry that receives the report revokes such a grant if another target can
//! take it; the agent's release and the new grant are one write.

use ractor::ActorRef;
use stair_platform::ObjectStore;
use stair_telemetry::{
    Part,
    info, //
};
use stair_types::{
    Era,
    GrantId,
    ModelName,
    ShardId,
    TargetName, //
};
use tokio::time::{
    Duration,
    Instant, //
};

use crate::control::{
    actor::Control,
    msg::Msg,
    propose::Planner,
    shards, //
};

/// Time after a report of memory pressure during which the target gets no moved grants. The models
/// in use there are likely still in use, and the grant would be moved back at once.
const AVOID_DURATION: Duration = Duration::from_secs(30);

/// Least time between two moves of a model's grants. When all targets are under memory pressure,
/// further moves only cost loads and writes.
const MODEL_MOVE_INTERVAL: Duration = Duration::from_secs(20);

/// Moves that one entry has in progress at once. A move costs two writes to the platform, and a
/// burst of load on a whole data centre must not use up the platform's rate.
const MAX_MOVES_IN_PROGRESS: usize = 4;

/// A move whose release has not been written after this time no longer counts as in progress.
const MOVE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct TargetUnderPressure {
    target: TargetName,
    at: Instant,
}

#[derive(Debug)]
struct RequestedMove {
    shard: ShardId,
    grant: GrantId,
}

#[derive(Debug)]
struct Move {
    model: ModelName,
    grant: GrantId,
    at: Instant,
}

/// Memory pressure that agents have reported, and the moves that result. Soft state.
#[derive(Debug, Default)]
pub(super) struct MemoryPressure {
    targets: Vec<TargetUnderPressure>,
    requested: Vec<RequestedMove>,
    moves: Vec<Move>,
}

impl MemoryPressure {
    /// Replaces the report of a target by its latest one: the grants that it has no capacity for.
    /// Returns whether there are any.
    pub(super) fn record(
        &mut self,
        target: TargetName,
        grants: Vec<(ShardId, GrantId)>,
        now: Instant,
    ) -> bool {
        self.targets.retain(|c| c.target != target);
        if grants.is_empty() {
            return false;
        }
        self.targets.push(TargetUnderPressure { target, at: now });
        let requested = grants.into_iter();
        self.requested
            .extend(requested.map(|(shard, grant)| RequestedMove { shard, grant }));
        true
    }

    /// Returns the targets that get no moved grants.
    pub(super) fn targets_to_avoid(&self) -> Vec<TargetName> {
        self.targets.iter().map(|c| c.target.clone()).collect()
    }

    fn expire(&mut self, now: Instant) {
        self.targets.retain(|c| now - c.at < AVOID_DURATION);
        self.moves.retain(|m| now - m.at < MOVE_TIMEOUT);
    }

    fn may_move(&self, model: &ModelName, now: Instant) -> bool {
        let recent = |m: &Move| m.model == *model && now - m.at < MODEL_MOVE_INTERVAL;
        !self.moves.iter().any(recent)
    }
}

impl<S> Control<S>
where
    S: ObjectStore,
{
    /// Revokes the reported grants that another target can take.
    pub(super) fn move_grants(&mut self, myself: &ActorRef<Msg>) {
        let now = Instant::now();
        self.memory_pressure.expire(now);
        if self.memory_pressure.requested.is_empty() || !self.state.confirmed {
            return;
        }
        let mut planner = Planner::new(&self.state);
        for req in std::mem::take(&mut self.memory_pressure.requested) {
            if let Some(model) = self.model_to_move(&mut planner, &req, now) {
                info!(
                    Part::Grants,
                    "A grant of {model} moves to a target with free memory."
                );
                self.memory_pressure.moves.push(Move {
                    model,
                    grant: req.grant,
                    at: now,
                });
                let store = self.args.store.clone();
                let era = self.state.revision.era;
                tokio::spawn(revoke(store, myself.clone(), req.shard, era, req.grant));
            }
        }
    }

    fn model_to_move(
        &self,
        planner: &mut Planner,
        req: &RequestedMove,
        now: Instant,
    ) -> Option<ModelName> {
        if self.state.restored.get(usize::from(req.shard.0))?.is_some() {
            return None;
        }
        let shard = self.state.shards.get(usize::from(req.shard.0))?;
        let shard = shard.value.as_ref()?;
        let grant = shard.grants.iter().find(|g| g.id == req.grant)?;
        let model = self.state.config.catalogue.model(grant.model.as_str())?;
        let in_progress = |m: &&Move| shard.grants.iter().any(|g| g.id == m.grant);
        let below_limit = self
            .memory_pressure
            .moves
            .iter()
            .filter(in_progress)
            .count()
            < MAX_MOVES_IN_PROGRESS;
        let allowed =
            !grant.revoking && below_limit && self.memory_pressure.may_move(&model.name, now);
        let avoid = self.memory_pressure.targets_to_avoid();
        let can_move = allowed && planner.has_other_target(shard, model, req.grant, &avoid);
        can_move.then(|| model.name.clone())
    }
}

async fn revoke<S>(store: S, myself: ActorRef<Msg>, shard: ShardId, era: Era, grant: GrantId)
where
    S: ObjectStore,
{
    let result = shards::update(&store, shard, era, |s| s.revoke(grant)).await;
    let _ = myself.send_message(Msg::Written(shard, result));
}
