//! Proposed changes of grants.

#[path = "control/fleet.rs"]
mod fleet;

use fleet::{
    config,
    model_name,
    state,
    target,
    target_vm, //
};
use stair_entry::control::{
    propose::{
        Planner,
        is_settled, //
    },
    state::State, //
};
use stair_platform::VmState;
use stair_state::{
    Grant,
    GrantShard,
    grants::{
        SHARDS,
        shard_of, //
    }, //
};
use stair_types::{
    FencingToken,
    ShardId,
    StoreRevision,
    TargetName, //
};

const MODELS: u32 = 20;

/// Proposes for every shard up to which the state is complete and applies the proposals as written at
/// `version`. Returns their number.
fn propose_all(state: &mut State, version: u64) -> usize {
    let mut planner = Planner::new(state);
    let mut written = 0;
    let complete = (0..SHARDS).map(ShardId);
    for shard in complete
        .filter(|s| state.is_complete_for(*s))
        .collect::<Vec<_>>()
    {
        let settled = is_settled(state, shard);
        if let Some(next) = planner.propose(state, shard) {
            assert!(!settled, "a shard that needs a change counts as settled");
            state.update_shard(shard, StoreRevision::new(0, version), Some(next));
            written += 1;
        }
    }
    written
}

fn grants(state: &State) -> Vec<Grant> {
    let shards = state.shards.iter().filter_map(|s| s.value.as_ref());
    shards.flat_map(|s| s.grants.clone()).collect()
}

fn of_target(state: &State, target: &TargetName) -> Vec<Grant> {
    let mut all = grants(state);
    all.retain(|g| g.target == *target);
    all
}

fn assert_within(state: &State, replicas: usize) {
    for i in 0..MODELS {
        let name = model_name(i);
        let count = grants(state).iter().filter(|g| g.model == name).count();
        assert!(count <= replicas, "{name} has {count}");
    }
}

#[test]
fn decided_number() {
    let mut state = state(10, MODELS, 3);

    propose_all(&mut state, 10);

    assert_within(&state, 3);
    assert_eq!(grants(&state).len(), 3 * MODELS as usize);
    assert_eq!(
        propose_all(&mut state, 11),
        0,
        "a second pass proposes nothing"
    );
}

// A VM is leaving, and its agent has not confirmed yet that the models are unloaded. If the models
// were granted to other targets now, more replicas would be loaded than declared.
#[test]
fn leaving_holder() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    let name = target(4);
    let before = of_target(&state, &name).len();
    assert!(before > 0);
    let leaving = Some(target_vm(4, VmState::Leaving));
    state.update_vm(name.as_str().into(), StoreRevision::new(0, 11), leaving);

    propose_all(&mut state, 12);
    propose_all(&mut state, 13);

    let granted = of_target(&state, &name);
    assert_eq!(granted.len(), before);
    assert!(granted.iter().all(|g| g.revoking));
    assert_within(&state, 3);
}

// The agent reports that it is leaving before the lagging list shows it.
#[test]
fn agent_says_leaving() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    state.record_leaving(target(4), FencingToken(1));

    propose_all(&mut state, 12);

    assert!(of_target(&state, &target(4)).iter().all(|g| g.revoking));
}

// A VM was removed with everything loaded on it, so its models are granted to other targets.
#[test]
fn removed_holder() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    let name = target(4);
    state.update_vm(name.as_str().into(), StoreRevision::new(0, 1_001), None);
    state.advance_revision(StoreRevision::new(0, 1_001));

    propose_all(&mut state, 1_002);

    assert!(of_target(&state, &name).is_empty());
    assert_within(&state, 3);
    assert_eq!(grants(&state).len(), 3 * MODELS as usize);
}

// Another entry has granted a model to a new VM, and this entry receives the shard before the VM. If
// the holder were taken for removed, the model would be granted again while it is loaded there.
#[test]
fn newer_than_list() {
    let mut state = state(2, 1, 1);
    let mut shard = GrantShard::default();
    let newcomer = target(77);
    shard.grant(&model_name(0), &newcomer, 1).expect("granted");
    state.update_shard(
        shard_of(&model_name(0)),
        StoreRevision::new(0, 2_000),
        Some(shard),
    );

    assert_eq!(propose_all(&mut state, 2_001), 0);

    assert_eq!(of_target(&state, &newcomer).len(), 1);
    state.advance_revision(StoreRevision::new(0, 2_002));
    propose_all(&mut state, 2_003);
    assert!(of_target(&state, &newcomer).is_empty());
}

#[test]
fn undeclared_model() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    state.update_config(config(1_003, 2, MODELS - 1, 3));

    propose_all(&mut state, 1_004);

    let last = model_name(MODELS - 1);
    let mut granted = grants(&state);
    granted.retain(|g| g.model == last);
    assert_eq!(granted.len(), 3);
    assert!(granted.iter().all(|g| g.revoking));
}

#[test]
fn lowered_replicas() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    state.update_config(config(1_003, 2, MODELS, 1));

    propose_all(&mut state, 1_004);

    for i in 0..MODELS {
        let name = model_name(i);
        let mut granted = grants(&state);
        granted.retain(|g| g.model == name);
        let revoking = granted.iter().filter(|g| g.revoking).count();
        assert_eq!((granted.len(), revoking), (3, 2));
    }
}

// Two holders are listed, but the records of both agents are deleted: neither may keep its grant.
#[test]
fn holders_without_record() {
    let mut state = state(2, 1, 2);
    propose_all(&mut state, 10);
    assert_eq!(grants(&state).len(), 2);
    for i in 0..2 {
        state.update_incarnation(target(i), StoreRevision::new(0, 1_001), None);
    }

    propose_all(&mut state, 1_002);

    assert!(grants(&state).iter().all(|g| g.revoking));
}
