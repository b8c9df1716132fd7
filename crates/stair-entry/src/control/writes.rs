//! What this entry writes to the platform: proposals, grants given back, records deleted.

use std::time::Duration;

use ractor::ActorRef;
use stair_config::Model;
use stair_platform::{
    Kind,
    ObjectStore, //
};
use stair_state::GrantShard;
use stair_types::{
    GrantId,
    ShardId,
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

/// An entry that is second for a shard acts when a needed change has been pending for this time,
/// the third after twice the time. So a dead home is replaced in seconds, although the platform's
/// list still shows it, and entries that merely hear of a change a little apart do not collide.
const FALLBACK_DELAY: Duration = Duration::from_secs(3);

/// Entries that may act in place of a shard's home. All three are dead and yet listed only for the
/// few seconds that the list lags; the others don't look at the shard, which is most of the work.
const MAX_FALLBACKS: usize = 3;

/// Records of agents deleted in one tick; a data centre that is lost leaves hundreds.
const MAX_DELETIONS_PER_TICK: usize = 8;

/// A grant that an agent gave back and that is not yet written as such.
pub(super) struct Release {
    pub(super) shard: ShardId,
    pub(super) grant: GrantId,
    pub(super) writing: bool,
}

impl<S> Control<S>
where
    S: ObjectStore,
{
    pub(super) fn write_releases(&mut self, myself: &ActorRef<Msg>) {
        let listed: Vec<bool> = self.releases.iter().map(|r| self.is_listed(r)).collect();
        let mut listed = listed.into_iter();
        self.releases.retain(|_| listed.next().unwrap_or(false));
        let shards: Vec<ShardId> = self.releases.iter().map(|r| r.shard).collect();
        for shard in shards {
            let waiting = self.releases.iter_mut();
            let mut waiting: Vec<_> = waiting.filter(|r| r.shard == shard && !r.writing).collect();
            if waiting.is_empty() {
                continue;
            }
            waiting.iter_mut().for_each(|r| r.writing = true);
            let grants: Vec<GrantId> = waiting.iter().map(|r| r.grant).collect();
            let job = ReleaseJob {
                shard,
                models: self.models_of(shard, &grants),
                grants,
                planner: Planner::new(&self.state),
                avoid: self.memory_pressure.targets_to_avoid(),
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

    /// A release of a grant that is not listed has been written already.
    pub(super) fn is_listed(&self, release: &Release) -> bool {
        let shard = self.state.shards[usize::from(release.shard.0)]
            .value
            .as_ref();
        shard.is_some_and(|s| s.grants.iter().any(|g| g.id == release.grant))
    }

    /// Proposes from what the platform has confirmed only: what a peer knew when this process
    /// started may be long past.
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
            // The grant of a VM that is not listed yet would look like one of a VM that is gone:
            // it would be removed, and the model be loaded twice. The watch is a moment behind, or
            // its connection is silent, and another entry acts.
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
            let from = self.state.shards[i].version;
            tokio::spawn(write_shard(
                self.args.store.clone(),
                myself.clone(),
                shard,
                from,
                next,
            ));
        }
    }

    /// Records of agents whose VM was taken away would pile up: 2,400 VMs are replaced a day. A
    /// record written after the VM was taken away belongs to a new VM of the same name and stays.
    pub(super) fn delete_stale_records(&mut self) {
        let fleet_version = self.state.fleet_version();
        if !self.state.confirmed || self.swept_fleet == Some(fleet_version) {
            return;
        }
        self.swept_fleet = Some(fleet_version);
        let stale = self.state.incarnations.iter().filter(|agent| {
            let name = agent.name.as_str();
            let at = self.state.vms.binary_search_by(|vm| (*vm.name).cmp(name));
            let vm = at.ok().map(|i| &self.state.vms[i].object);
            agent.object.value.is_some()
                && vm.is_some_and(|vm| vm.value.is_none() && vm.version > agent.object.version)
                && self.state.rank(&self.args.name, name) == 0
        });
        for agent in stale.take(MAX_DELETIONS_PER_TICK) {
            self.swept_fleet = None;
            let store = self.args.store.clone();
            let name = agent.name.clone();
            let version = agent.object.version;
            tokio::spawn(async move {
                // A failure is met by the next tick.
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
    from: u64,
    next: GrantShard,
) where
    S: ObjectStore,
{
    let result = shards::replace(&store, shard, from, next).await;
    let _ = myself.send_message(Msg::Written(shard, result.map(Some)));
}

/// Grants given back, and what is needed to grant their models again in the same write.
struct ReleaseJob {
    shard: ShardId,
    grants: Vec<GrantId>,
    models: Vec<Model>,
    planner: Planner,
    avoid: Vec<TargetName>,
}

impl ReleaseJob {
    /// Confirms the grants and grants their models elsewhere. In two writes the model would have
    /// no target in between, and its callers would be refused.
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
    let result = shards::update(&store, shard, |s| job.apply(s)).await;
    let grants = job.grants;
    // A release whose write failed is forgotten here; the agent says it again while the grant is
    // still assigned to it.
    let _ = myself.send_message(Msg::ReleaseDone(shard, grants));
    let _ = myself.send_message(Msg::Written(shard, result));
}
