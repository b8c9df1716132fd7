//! Derives an agent's assignment from the state: its grants and the declarations that it needs.

use stair_platform::TargetKind;
use stair_state::Grant;
use stair_types::{
    ShardId,
    TargetName, //
};
use stair_wire::control::{
    AssignedGrant,
    Assignment,
    ShardAssignment, //
};

use crate::control::state::{
    State,
    version_of, //
};

/// The grants of some targets, collected in one pass over all grants of the deployment.
#[derive(Debug)]
pub struct GrantsByTarget<'s> {
    /// Sorted.
    targets: Vec<TargetName>,
    /// For each of the targets, by shard and then by model.
    grants: Vec<Vec<Found<'s>>>,
}

#[derive(Debug, Clone, Copy)]
struct Found<'s> {
    shard: ShardId,
    grant: &'s Grant,
}

impl<'s> GrantsByTarget<'s> {
    /// Collects the grants of `targets`.
    pub fn new(state: &'s State, mut targets: Vec<TargetName>) -> Self {
        targets.sort_unstable();
        targets.dedup();
        let mut grants = vec![Vec::new(); targets.len()];
        for (i, shard) in state.shards.iter().enumerate() {
            let shard_id = ShardId(i as u16);
            for grant in shard.value.iter().flat_map(|s| &s.grants) {
                if let Ok(at) = targets.binary_search(&grant.target) {
                    let shard = shard_id;
                    grants[at].push(Found { shard, grant });
                }
            }
        }
        Self { targets, grants }
    }

    fn of(&self, target: &TargetName) -> &[Found<'s>] {
        let at = self.targets.binary_search(target);
        at.map_or(&[], |i| &self.grants[i])
    }
}

/// Derives the assignment of a target.
///
/// The shards in `previous`, in which the agent has held grants, are included even when the target
/// has no grant in them now: the agent must learn that its grant was removed.
pub fn derive(
    state: &State,
    granted: &GrantsByTarget<'_>,
    target: &TargetName,
    previous: &[ShardId],
) -> Assignment {
    let found = granted.of(target);
    let mut ids: Vec<ShardId> = found.iter().map(|f| f.shard).collect();
    ids.extend(previous);
    ids.sort_unstable();
    ids.dedup();
    let shards = ids.into_iter().filter_map(|s| shard(state, s, found));
    let shards: Vec<ShardAssignment> = shards.collect();
    let granted = shards.iter().flat_map(|s| &s.grants);
    let catalogue = &state.config.catalogue;
    let mut models: Vec<_> = granted
        .filter_map(|g| catalogue.model(g.model.as_str()))
        .cloned()
        .collect();
    models.sort_by(|a, b| a.name.cmp(&b.name));
    models.dedup();
    let service = match state.incarnation(target).map(|r| &r.kind) {
        Some(TargetKind::Service { service }) => catalogue.service(service.as_str()).cloned(),
        _ => None,
    };
    Assignment {
        config: version_of(&state.config),
        tiers: catalogue.tiers.clone(),
        policy: catalogue.policy.clone(),
        service,
        shards,
        models,
    }
}

fn shard(state: &State, shard: ShardId, found: &[Found<'_>]) -> Option<ShardAssignment> {
    let current = state.shards.get(usize::from(shard.0))?;
    let of_shard = found.iter().filter(|f| f.shard == shard);
    Some(ShardAssignment {
        shard,
        version: current.version,
        complete: state.is_shard_complete(shard),
        grants: of_shard.map(|f| assigned(f.grant)).collect(),
    })
}

fn assigned(grant: &Grant) -> AssignedGrant {
    AssignedGrant {
        id: grant.id,
        model: grant.model.clone(),
        revoking: grant.revoking,
    }
}

/// Returns whether two assignments differ in anything that an agent acts on.
///
/// A change of the configuration that concerns other targets only changes the version. At 13,000
/// changes a day, sending each one to each of 12,000 agents would exceed the CPU time budgeted for
/// control.
pub fn differs(a: &Assignment, b: &Assignment) -> bool {
    let same = a.tiers == b.tiers
        && a.policy == b.policy
        && a.service == b.service
        && a.models == b.models
        && same_grants(&a.shards, &b.shards);
    !same
}

/// Ignores the versions of the shards, which also rise when grants of other targets change.
fn same_grants(a: &[ShardAssignment], b: &[ShardAssignment]) -> bool {
    a.len() == b.len()
        && a.iter()
            .zip(b)
            .all(|(a, b)| a.shard == b.shard && a.grants == b.grants)
}
