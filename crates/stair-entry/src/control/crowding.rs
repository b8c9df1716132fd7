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
    propose::Round,
    shards, //
};

/// A target that said that it is crowded gets no moved grants for so long: what is in use there is
/// likely in use still, and the grant would come straight back.
const AVOID: Duration = Duration::from_secs(30);

/// A model's grants move at most once in so long. When all targets are crowded there is no better
/// place, and moving on would only cost loads and writes.
const MODEL_PAUSE: Duration = Duration::from_secs(20);

/// Moves that one entry has under way at once. A move costs two writes to the platform, and a rush
/// on a whole data centre must not use up its rate.
const AT_ONCE: usize = 4;

/// A move whose release has not been written by then is no longer counted as under way.
const FORGET: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct CrowdedTarget {
    target: TargetName,
    at: Instant,
}

#[derive(Debug)]
struct Wish {
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
pub(super) struct Crowding {
    targets: Vec<CrowdedTarget>,
    wishes: Vec<Wish>,
    moves: Vec<Move>,
}

impl Crowding {
    /// Takes over what an agent said. Returns whether there is something to look at.
    pub(super) fn note(
        &mut self,
        target: TargetName,
        grants: Vec<(ShardId, GrantId)>,
        now: Instant,
    ) -> bool {
        self.targets.retain(|c| c.target != target);
        if grants.is_empty() {
            return false;
        }
        self.targets.push(CrowdedTarget { target, at: now });
        let wishes = grants.into_iter();
        self.wishes
            .extend(wishes.map(|(shard, grant)| Wish { shard, grant }));
        true
    }

    /// Returns the targets that moved grants should not go to.
    pub(super) fn avoid(&self) -> Vec<TargetName> {
        self.targets.iter().map(|c| c.target.clone()).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        self.targets.retain(|c| now - c.at < AVOID);
        self.moves.retain(|m| now - m.at < FORGET);
    }

    fn may_move(&self, model: &ModelName, now: Instant) -> bool {
        let recent = |m: &Move| m.model == *model && now - m.at < MODEL_PAUSE;
        !self.moves.iter().any(recent)
    }
}

impl<S> Control<S>
where
    S: ObjectStore,
{
    /// Revokes the grants that agents find no room for, as far as there is a better place.
    pub(super) fn move_crowded(&mut self, myself: &ActorRef<Msg>) {
        let now = Instant::now();
        self.crowding.forget_old(now);
        if self.crowding.wishes.is_empty() || !self.state.confirmed {
            return;
        }
        let mut round = Round::new(&self.state);
        for wish in std::mem::take(&mut self.crowding.wishes) {
            if let Some(model) = self.model_to_move(&mut round, &wish, now) {
                info!(
                    Part::Grants,
                    "A grant of {model} moves to a target with room."
                );
                self.crowding.moves.push(Move {
                    model,
                    grant: wish.grant,
                    at: now,
                });
                let store = self.args.store.clone();
                tokio::spawn(revoke(store, myself.clone(), wish.shard, wish.grant));
            }
        }
    }

    fn model_to_move(&self, round: &mut Round, wish: &Wish, now: Instant) -> Option<ModelName> {
        let shard = self.state.shards.get(usize::from(wish.shard.0))?;
        let shard = shard.value.as_ref()?;
        let grant = shard.grants.iter().find(|g| g.id == wish.grant)?;
        let model = self.state.config.catalogue.model(grant.model.as_str())?;
        let under_way = |m: &&Move| shard.grants.iter().any(|g| g.id == m.grant);
        let free = self.crowding.moves.iter().filter(under_way).count() < AT_ONCE;
        let allowed = !grant.revoking && free && self.crowding.may_move(&model.name, now);
        let avoid = self.crowding.avoid();
        let placed = allowed && round.has_place(shard, model, wish.grant, &avoid);
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
