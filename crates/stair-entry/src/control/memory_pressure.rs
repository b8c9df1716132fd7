//! Moves grants away from targets whose memory is full of models in use.
//!
//! The load it is made for: several models whose grants share a target wake at the same time,
//! while other targets idle. The harm it prevents: a clerk's check waits until the drafts beside
//! it are done, or is refused, although an idle engine could load its model at once. The agent says
//! which of its grants find no room; an entry that hears it revokes the grant if another target
//! has place, and the agent's release and the new grant are one write.

use ractor::ActorRef;
use stair_platform::ObjectStore;
use stair_telemetry::{
    Part,
    info, //
};
use stair_types::{
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

/// A target that said that it is crowded gets no moved grants for so long: what is in use there is
/// likely in use still, and the grant would come straight back.
const AVOID_DURATION: Duration = Duration::from_secs(30);

/// A model's grants move at most once in so long. When all targets are crowded there is no better
/// place, and moving on would only cost loads and writes.
const MODEL_MOVE_INTERVAL: Duration = Duration::from_secs(20);

/// Moves that one entry has under way at once. A move costs two writes to the platform, and a rush
/// on a whole data centre must not use up its rate.
const MAX_MOVES_IN_PROGRESS: usize = 4;

/// A move whose release has not been written by then is no longer counted as under way.
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

/// What agents said about room, and the moves that follow from it. Soft state.
#[derive(Debug, Default)]
pub(super) struct MemoryPressure {
    targets: Vec<TargetUnderPressure>,
    requested: Vec<RequestedMove>,
    moves: Vec<Move>,
}

impl MemoryPressure {
    /// Takes over what an agent said. Returns whether there is something to look at.
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

    /// Returns the targets that moved grants should not go to.
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
    /// Revokes the grants that agents find no room for, as far as there is a better place.
    pub(super) fn move_grants(&mut self, myself: &ActorRef<Msg>) {
        let now = Instant::now();
        self.memory_pressure.expire(now);
        if self.memory_pressure.requested.is_empty() || !self.state.confirmed {
            return;
        }
        let mut planner = Planner::new(&self.state);
        for requested_move in std::mem::take(&mut self.memory_pressure.requested) {
            if let Some(model) = self.model_to_move(&mut planner, &requested_move, now) {
                info!(
                    Part::Grants,
                    "A grant of {model} moves to a target with room."
                );
                self.memory_pressure.moves.push(Move {
                    model,
                    grant: requested_move.grant,
                    at: now,
                });
                let store = self.args.store.clone();
                tokio::spawn(revoke(
                    store,
                    myself.clone(),
                    requested_move.shard,
                    requested_move.grant,
                ));
            }
        }
    }

    fn model_to_move(
        &self,
        planner: &mut Planner,
        requested_move: &RequestedMove,
        now: Instant,
    ) -> Option<ModelName> {
        let shard = self.state.shards.get(usize::from(requested_move.shard.0))?;
        let shard = shard.value.as_ref()?;
        let grant = shard.grants.iter().find(|g| g.id == requested_move.grant)?;
        let model = self.state.config.catalogue.model(grant.model.as_str())?;
        let in_progress = |m: &&Move| shard.grants.iter().any(|g| g.id == m.grant);
        let free = self
            .memory_pressure
            .moves
            .iter()
            .filter(in_progress)
            .count()
            < MAX_MOVES_IN_PROGRESS;
        let allowed = !grant.revoking && free && self.memory_pressure.may_move(&model.name, now);
        let avoid = self.memory_pressure.targets_to_avoid();
        let placed =
            allowed && planner.has_other_target(shard, model, requested_move.grant, &avoid);
        placed.then(|| model.name.clone())
    }
}

async fn revoke<S>(store: S, myself: ActorRef<Msg>, shard: ShardId, grant: GrantId)
where
    S: ObjectStore,
{
    let result = shards::update(&store, shard, |s| s.revoke(grant)).await;
    let _ = myself.send_message(Msg::Written(shard, result));
}
