//! Writes to the platform: proposed grants, released grants, deletions of agents' records.

use std::time::Duration;

use ractor::ActorRef;
use stair_config::Model;
use stair_platform::{
    Kind,
    ObjectStore, //
};
use stair_state::GrantShard;
use stair_types::{
    Era,
    GrantId,
    ShardId,
    StoreRevision,
    TargetName, //
};
use tokio::time::Instant;

use crate::control::{
    actor::Control,
    msg::Msg,
    propose::{
        Planner,
        is_settled, //
    },
    shards,
    state::version_of, //
};

/// Time that a needed change is pending before the entry of rank 1 writes it in place of the owner;
/// rank 2 waits twice as long. So a dead owner is replaced in seconds although the platform's list
/// still shows it, and entries that receive a change at slightly different times do not collide.
const FALLBACK_DELAY: Duration = Duration::from_secs(3);

/// Entries that may act in place of a shard's owner. They can all be dead and still be listed only
/// for the few seconds that the list lags. Entries of higher rank skip the shard, which saves most of
/// the work.
const MAX_FALLBACKS: usize = 3;

/// Records of agents deleted in one tick. The loss of a data centre leaves hundreds to delete.
const MAX_DELETIONS_PER_TICK: usize = 8;

/// A grant that an agent has released and whose release is not written yet.
pub(super) struct Release {
    pub(super) shard: ShardId,
    pub(super) grant: GrantId,
    pub(super) writing: bool,
}

impl<S> Control<S>
where
    S: ObjectStore,
{
    /// Writes the pending releases, one write for each shard.
    pub(super) fn write_releases(&mut self, myself: &ActorRef<Msg>) {
        let listed: Vec<bool> = self.releases.iter().map(|r| self.is_listed(r)).collect();
        let mut listed = listed.into_iter();
        self.releases.retain(|_| listed.next().unwrap_or(false));
        let shards: Vec<ShardId> = self.releases.iter().map(|r| r.shard).collect();
        for shard in shards {
            if self.state.restored[usize::from(shard.0)].is_some() {
                continue;
            }
            let unwritten = self.releases.iter_mut();
            let mut unwritten: Vec<_> = unwritten
                .filter(|r| r.shard == shard && !r.writing)
                .collect();
            if unwritten.is_empty() {
                continue;
            }
            unwritten.iter_mut().for_each(|r| r.writing = true);
            let grants: Vec<GrantId> = unwritten.iter().map(|r| r.grant).collect();
            let job = ReleaseJob {
                shard,
                models: self.models_of(shard, &grants),
                grants,
                planner: Planner::new(&self.state),
                avoid: self.memory_pressure.targets_to_avoid(),
                era: self.state.revision.era,
            };
            tokio::spawn(write_release(self.args.store.clone(), myself.clone(), job));
        }
    }

    fn models_of(&self, shard: ShardId, grants: &[GrantId]) -> Vec<Model> {
        let shard = self.state.shards[usize::from(shard.0)].value.as_ref();
        let released = shard.into_iter().flat_map(|s| &s.grants);
        let released = released.filter(|g| grants.contains(&g.id));
        let catalogue = &self.state.config.catalogue;
        let mut models: Vec<Model> = released
            .filter_map(|g| catalogue.model(g.model.as_str()).cloned())
            .collect();
        models.dedup();
        models
    }

    /// Returns whether the grant of a release still exists; if not, the release has been written.
    pub(super) fn is_listed(&self, release: &Release) -> bool {
        let shard = self.state.shards[usize::from(release.shard.0)]
            .value
            .as_ref();
        shard.is_some_and(|s| s.grants.iter().any(|g| g.id == release.grant))
    }

    /// Proposes changes of the shards that this entry is responsible for and writes them.
    ///
    /// Nothing is proposed before the platform has confirmed the state: a peer's snapshot, taken
    /// when this process started, may be stale.
    pub(super) fn propose(&mut self, myself: &ActorRef<Msg>) {
        if !self.state.confirmed || version_of(&self.state.config).0 == 0 {
            return;
        }
        self.proposals_due = false;
        let mut planner = None;
        for i in 0..self.state.shards.len() {
            let shard = ShardId(i as u16);
            let rank = self.ranks.get(i).copied().unwrap_or(0);
            if self.writing[i] {
                continue;
            }
            if rank > MAX_FALLBACKS || is_settled(&self.state, shard) {
                self.needed_since[i] = None;
                continue;
            }
            // A grant of a VM that is not listed yet would be taken for one of a removed VM: it
            // would be removed and the model loaded twice. Either the watch lags for a moment, or
            // its connection is silent and another entry acts.
            if !self.state.is_complete_for(shard) {
                self.proposals_due = true;
                continue;
            }
            let planner = planner.get_or_insert_with(|| Planner::new(&self.state));
            let Some(next) = planner.propose(&self.state, shard) else {
                self.needed_since[i] = None;
                continue;
            };
            let since = *self.needed_since[i].get_or_insert_with(Instant::now);
            if since.elapsed() < FALLBACK_DELAY * rank as u32 {
                self.proposals_due = true;
                continue;
            }
            self.writing[i] = true;
            let restored = self.state.restored[i].as_ref();
            let from = restored.map_or(self.state.shards[i].version, |r| r.version);
            tokio::spawn(write_shard(
                self.args.store.clone(),
                myself.clone(),
                shard,
                from,
                next,
            ));
        }
    }

    /// Deletes the records of agents whose VM was removed. They would accumulate, since 2,400 VMs are
    /// replaced a day. A record written after the removal belongs to a new VM of the same name and
    /// stays.
    pub(super) fn delete_stale_records(&mut self) {
        let fleet_version = self.state.fleet_version();
        if !self.state.confirmed || self.swept_fleet_version == Some(fleet_version) {
            return;
        }
        self.swept_fleet_version = Some(fleet_version);
        let stale = self.state.incarnations.iter().filter(|agent| {
            let name = agent.name.as_str();
            let at = self.state.vms.binary_search_by(|vm| (*vm.name).cmp(name));
            let vm = at.ok().map(|i| &self.state.vms[i].object);
            agent.object.value.is_some()
                && vm.is_some_and(|vm| vm.value.is_none() && vm.version > agent.object.version)
                && self.state.rank(&self.args.name, name) == 0
        });
        for agent in stale.take(MAX_DELETIONS_PER_TICK) {
            self.swept_fleet_version = None;
            let store = self.args.store.clone();
            let name = agent.name.clone();
            let version = agent.object.version;
            tokio::spawn(async move {
                // After a failure the next tick tries again.
                let _ = store
                    .delete(Kind::Incarnation, name.as_str(), version)
                    .await;
            });
        }
    }
}

async fn write_shard<S>(
    store: S,
    myself: ActorRef<Msg>,
    shard: ShardId,
    from: StoreRevision,
    next: GrantShard,
) where
    S: ObjectStore,
{
    let result = shards::replace(&store, shard, from, next).await;
    let _ = myself.send_message(Msg::Written(shard, result.map(Some)));
}

/// Released grants, and the inputs to grant their models again in the same write.
struct ReleaseJob {
    shard: ShardId,
    grants: Vec<GrantId>,
    models: Vec<Model>,
    planner: Planner,
    avoid: Vec<TargetName>,
    era: Era,
}

impl ReleaseJob {
    /// Confirms the releases and grants the models to other targets in one write. Between two writes
    /// a model could have no target, and its callers would be refused.
    fn apply(&mut self, shard: &mut GrantShard) -> bool {
        let before = shard.clone();
        for grant in &self.grants {
            shard.confirm(*grant);
        }
        for model in &self.models {
            self.planner.refill(shard, model, &self.avoid);
        }
        *shard != before
    }
}

async fn write_release<S>(store: S, myself: ActorRef<Msg>, mut job: ReleaseJob)
where
    S: ObjectStore,
{
    let shard = job.shard;
    let result = shards::update(&store, shard, job.era, |s| job.apply(s)).await;
    let grants = job.grants;
    // The release is dropped even if the write failed; the agent reports it again while the grant
    // is still assigned to it.
    let _ = myself.send_message(Msg::ReleaseDone(shard, grants));
    let _ = myself.send_message(Msg::Written(shard, result));
}
