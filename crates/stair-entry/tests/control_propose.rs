//! What control proposes for the grants.

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
    TargetName, //
};

const MODELS: u32 = 20;

/// Proposes for every shard that may be judged and takes what is proposed as written at `version`.
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
            assert!(!settled, "a shard that needs a change was taken for right");
            state.update_shard(shard, version, Some(next));
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
        "a second round has nothing to do"
    );
}

// VMs leave, and their holders have not confirmed yet that they unloaded. Were the models granted
// elsewhere now, more would be loaded than were decided.
#[test]
fn leaving_holder() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    let name = target(4);
    let before = of_target(&state, &name).len();
    assert!(before > 0);
    let leaving = Some(target_vm(4, VmState::Leaving));
    state.update_vm(name.as_str().into(), 11, leaving);

    propose_all(&mut state, 12);
    propose_all(&mut state, 13);

    let held = of_target(&state, &name);
    assert_eq!(held.len(), before);
    assert!(held.iter().all(|g| g.revoking));
    assert_within(&state, 3);
}

// The agent hears of its stop before the lagging list does.
#[test]
fn agent_says_leaving() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    state.record_leaving(target(4), FencingToken(1));

    propose_all(&mut state, 12);

    assert!(of_target(&state, &target(4)).iter().all(|g| g.revoking));
}

// A VM was taken away with all that it held, so its grants come free.
#[test]
fn removed_holder() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    let name = target(4);
    state.update_vm(name.as_str().into(), 1_001, None);
    state.advance_revision(1_001);

    propose_all(&mut state, 1_002);

    assert!(of_target(&state, &name).is_empty());
    assert_within(&state, 3);
    assert_eq!(grants(&state).len(), 3 * MODELS as usize);
}

// Another entry has granted a model to a VM that is new, and this entry has read the shard before
// its watch told of the VM. Were the holder taken for gone, the model would be granted again while
// it is loaded there.
#[test]
fn newer_than_list() {
    let mut state = state(2, 1, 1);
    let mut shard = GrantShard::default();
    let newcomer = target(77);
    shard.grant(&model_name(0), &newcomer, 1).expect("granted");
    state.update_shard(shard_of(&model_name(0)), 2_000, Some(shard));

    assert_eq!(propose_all(&mut state, 2_001), 0);

    assert_eq!(of_target(&state, &newcomer).len(), 1);
    state.advance_revision(2_002);
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
    let mut held = grants(&state);
    held.retain(|g| g.model == last);
    assert_eq!(held.len(), 3);
    assert!(held.iter().all(|g| g.revoking));
}

#[test]
fn lowered_replicas() {
    let mut state = state(10, MODELS, 3);
    propose_all(&mut state, 10);
    state.update_config(config(1_003, 2, MODELS, 1));

    propose_all(&mut state, 1_004);

    for i in 0..MODELS {
        let name = model_name(i);
        let mut held = grants(&state);
        held.retain(|g| g.model == name);
        let revoking = held.iter().filter(|g| g.revoking).count();
        assert_eq!((held.len(), revoking), (3, 2));
    }
}

// Two holders are listed, and both records of their agents are gone: neither may keep its grant.
#[test]
fn holders_without_record() {
    let mut state = state(2, 1, 2);
    propose_all(&mut state, 10);
    assert_eq!(grants(&state).len(), 2);
    for i in 0..2 {
        state.update_incarnation(target(i), 1_001, None);
    }

    propose_all(&mut state, 1_002);

    assert!(grants(&state).iter().all(|g| g.revoking));
}
