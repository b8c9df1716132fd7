//! The versions in the state only increase, and an agent's assignment follows from the state.

#[path = "control/fleet.rs"]
mod fleet;

use fleet::{
    config,
    entry,
    entry_vm,
    model_name,
    record,
    state,
    target,
    target_vm, //
};
use rand::{
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};
use stair_entry::{
    View,
    control::{
        assignment::{
            GrantsByTarget,
            derive,
            differs, //
        },
        state::{
            State,
            version_of, //
        },
    },
};
use stair_platform::VmState;
use stair_state::GrantShard;
use stair_types::{
    GrantId,
    ShardId,
    StoreRevision, //
};
use stair_wire::control::Assignment;

const SEEDS: u64 = 50;
const VERSIONS: u64 = 12;

/// An update that may arrive at any time and more than once.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    Config(u64),
    Shard(u64),
    Record(u64),
    Vm(u64),
    VmDeleted(u64),
}

fn arrive(state: &mut State, arrival: Arrival) {
    match arrival {
        Arrival::Config(v) => {
            state.update_config(config(v, v, 1, 1));
        }
        Arrival::Shard(v) => {
            let next_id = GrantId(v);
            let grants = Vec::new();
            state.update_shard(
                ShardId(3),
                StoreRevision::new(0, v),
                Some(GrantShard { next_id, grants }),
            );
        }
        Arrival::Record(v) => {
            state.update_incarnation(target(1), StoreRevision::new(0, v), Some(record(v)));
        }
        Arrival::Vm(v) => {
            let vm = target_vm(1, VmState::Live);
            state.update_vm(
                target(1).as_str().into(),
                StoreRevision::new(0, v),
                Some(vm),
            );
        }
        Arrival::VmDeleted(v) => {
            state.update_vm(target(1).as_str().into(), StoreRevision::new(0, v), None);
        }
    }
}

// Watches, lists, own writes and peers' snapshots arrive in any order and twice. If a version went
// back, something that an operator has removed would come back.
#[test]
fn any_order() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds = [Arrival::Config, Arrival::Shard, Arrival::Record];
        let mut all: Vec<Arrival> = (1..=VERSIONS)
            .flat_map(|v| kinds.map(|kind| kind(v)))
            .collect();
        all.extend((1..=VERSIONS).map(|v| match v % 2 {
            0 => Arrival::Vm(v),
            _ => Arrival::VmDeleted(v),
        }));
        all.extend(all.clone());
        all.shuffle(&mut rng);
        let mut state = State::default();
        let mut highest = [0; 3];
        for arrival in all {
            arrive(&mut state, arrival);
            let token = state.incarnation(&target(1)).map_or(0, |r| r.token.0);
            let shard = state.shards[3].version.counter;
            let now = [version_of(&state.config).0, shard, token];
            assert!(now.iter().zip(highest).all(|(n, h)| *n >= h), "seed {seed}");
            highest = now;
        }
        assert_eq!(highest, [VERSIONS; 3]);
        assert!(
            state.is_listed(&target(1)),
            "the latest version is not a deletion"
        );
    }
}

// VMs are added and removed for months. The oldest deletions are pruned, and a late reply that is
// older must not restore a VM.
#[test]
fn pruned_deletions() {
    let mut state = State::default();
    for i in 0..10_000 {
        let name = target(i).as_str().into();
        state.update_vm(
            name,
            StoreRevision::new(0, u64::from(i) * 2 + 1),
            Some(target_vm(i, VmState::Live)),
        );
        let name = target(i).as_str().into();
        state.update_vm(name, StoreRevision::new(0, u64::from(i) * 2 + 2), None);
        state.advance_revision(StoreRevision::new(0, u64::from(i) * 2 + 2));
    }
    assert!(state.vms.len() < 5_000, "{} are kept", state.vms.len());

    let late = Some(target_vm(5, VmState::Live));
    assert!(!state.update_vm(target(5).as_str().into(), StoreRevision::new(0, 11), late));

    assert!(!state.is_listed(&target(5)));
    let new = Some(target_vm(5, VmState::Live));
    assert!(state.update_vm(
        target(5).as_str().into(),
        StoreRevision::new(0, 50_000),
        new
    ));
}

#[test]
fn one_first_entry() {
    let mut state = state(1, 1, 1);
    for i in 0..5 {
        let name = format!("entry-{i}");
        state.update_vm(
            name.as_str().into(),
            StoreRevision::new(0, 2_000),
            Some(entry_vm(i)),
        );
    }
    let ranks: Vec<Vec<usize>> = (0..5).map(|i| state.ranks(&entry(i))).collect();
    for shard in 0..ranks[0].len() {
        let mut of_shard: Vec<usize> = ranks.iter().map(|r| r[shard]).collect();
        of_shard.sort_unstable();
        assert_eq!(of_shard, [0, 1, 2, 3, 4]);
    }
}

#[test]
fn view_reused() {
    let mut state = state(3, 2, 1);
    let first = state.view(&View::default());

    state.update_config(config(1_001, 2, 2, 1));
    let second = state.view(&first);
    state.record_leaving(target(1), record(1).token);
    let third = state.view(&second);

    assert_eq!(second.config.0, 2);
    assert!(std::sync::Arc::ptr_eq(&first.targets, &second.targets));
    assert!(third.targets.iter().any(|t| t.leaving));
}

fn assignment(state: &State) -> Assignment {
    let name = target(0);
    let granted = GrantsByTarget::new(state, vec![name.clone()]);
    derive(state, &granted, &name, &[])
}

// At 13,000 changes a day an agent must only be sent those that concern it.
#[test]
fn others_change() {
    let mut state = state(2, 4, 1);
    let mut shard = GrantShard::default();
    shard.grant(&model_name(0), &target(0), 1).expect("granted");
    let id = stair_state::grants::shard_of(&model_name(0));
    state.update_shard(id, StoreRevision::new(0, 5), Some(shard.clone()));
    let before = assignment(&state);
    assert_eq!(before.models.len(), 1);

    state.update_config(config(1_001, 2, 3, 1));
    shard.next_id = GrantId(9);
    state.update_shard(id, StoreRevision::new(0, 1_002), Some(shard.clone()));
    assert!(!differs(&before, &assignment(&state)));

    state.update_config(config(1_003, 3, 3, 2));
    assert!(
        differs(&before, &assignment(&state)),
        "its model has changed"
    );
    shard.revoke(GrantId(0));
    state.update_shard(id, StoreRevision::new(0, 1_004), Some(shard));
    assert!(
        differs(&before, &assignment(&state)),
        "its grant is revoked"
    );
}
