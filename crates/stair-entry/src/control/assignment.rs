//! What one agent may hold, derived from the state.

use stair_platform::TargetKind;
use stair_state::{
    Grant,
    grants::SHARDS, //
};
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

/// Derives the assignment of a target.
///
/// Shards named in `seen` are included even when the target has no grant in them: the agent held
/// one there before, and has to learn that it is gone.
pub fn derive(state: &State, target: &TargetName, seen: &[ShardId]) -> Assignment {
    let shards: Vec<ShardAssignment> = (0..SHARDS)
        .map(ShardId)
        .filter_map(|shard| shard_assignment(state, target, shard, seen))
        .collect();
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

fn shard_assignment(
    state: &State,
    target: &TargetName,
    shard: ShardId,
    seen: &[ShardId],
) -> Option<ShardAssignment> {
    let held = &state.shards[usize::from(shard.0)];
    let of_target = held.value.iter().flat_map(|s| s.of_target(target));
    let grants: Vec<AssignedGrant> = of_target.map(assigned).collect();
    if grants.is_empty() && !seen.contains(&shard) {
        return None;
    }
    Some(ShardAssignment {
        shard,
        version: held.version,
        grants,
    })
}

fn assigned(grant: &Grant) -> AssignedGrant {
    AssignedGrant {
        id: grant.id,
        model: grant.model.clone(),
        revoking: grant.revoking,
    }
}

/// Tells whether two assignments differ in anything that an agent acts on.
///
/// A change of the configuration that concerns other targets only changes the version. At 13,000
/// changes a day, telling each of 12,000 agents of each would cost more than the control budget.
pub fn differs(a: &Assignment, b: &Assignment) -> bool {
    let same = a.tiers == b.tiers
        && a.policy == b.policy
        && a.service == b.service
        && a.models == b.models
        && same_grants(&a.shards, &b.shards);
    !same
}

/// The version of a shard's object rises with grants of other targets, too.
fn same_grants(a: &[ShardAssignment], b: &[ShardAssignment]) -> bool {
    a.len() == b.len()
        && a.iter()
            .zip(b)
            .all(|(a, b)| a.shard == b.shard && a.grants == b.grants)
}
