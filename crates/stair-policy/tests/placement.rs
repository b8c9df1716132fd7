//! The placement of grants.

use proptest::prelude::*;
use stair_policy::placement::{
    Change,
    ExistingGrant,
    Fleet,
    ModelInfo,
    Options,
    TargetInfo,
    changes, //
};
use stair_types::TargetKey;

fn hash(n: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes())
}

fn target(key: u32, data_centre: u16) -> TargetInfo {
    TargetInfo {
        key: TargetKey(key),
        name_hash: hash(u64::from(key)),
        data_centre,
        memory_mib: 80_000,
        granted_mib: 0,
        live: true,
    }
}

fn fleet(targets: u32, data_centres: u32) -> Fleet {
    let all = 0..targets;
    Fleet::new(all.map(|k| target(k, (k % data_centres) as u16)).collect())
}

fn model(n: u64, replicas: u16, grants: &[ExistingGrant]) -> ModelInfo<'_> {
    ModelInfo {
        name_hash: hash(n + 1_000_000),
        memory_mib: 20_000,
        replicas,
        grants,
    }
}

fn held(keys: &[u32]) -> Vec<ExistingGrant> {
    let held = |k: &u32| ExistingGrant {
        target: TargetKey(*k),
        revoking: false,
    };
    keys.iter().map(held).collect()
}

fn plan(fleet: &Fleet, model: &ModelInfo<'_>) -> Vec<Change> {
    changes(&Options::default(), fleet, model)
}

fn granted(changes: &[Change]) -> Vec<TargetKey> {
    let grants = changes.iter().filter_map(|c| match c {
        Change::Grant(key) => Some(*key),
        Change::Revoke(_) => None,
    });
    grants.collect()
}

#[test]
fn spread_out() {
    let fleet = fleet(18, 3);
    for n in 0..33 {
        let keys = granted(&plan(&fleet, &model(n, 3, &[])));
        let mut centres: Vec<_> = keys.iter().map(|k| k.0 % 3).collect();
        centres.sort_unstable();
        assert_eq!(centres, [0, 1, 2]);
    }
}

#[test]
fn holders_unchanged() {
    let fleet = fleet(18, 3);
    let grants = held(&[4, 5, 6]);
    assert_eq!(plan(&fleet, &model(1, 3, &grants)), []);
}

// A VM drains. Its grant is revoked, and the replacement waits until the unload is confirmed: the model
// may still be loaded there, and a replacement would exceed the number of replicas.
#[test]
fn draining_replaced() {
    let mut fleet = fleet(18, 3);
    fleet.set_live(TargetKey(4), false);
    let mut grants = held(&[4, 5, 6]);
    let first = plan(&fleet, &model(1, 3, &grants));
    assert_eq!(first, [Change::Revoke(TargetKey(4))]);
    grants[0].revoking = true;
    assert_eq!(plan(&fleet, &model(1, 3, &grants)), []);
    grants.remove(0);
    let last = granted(&plan(&fleet, &model(1, 3, &grants)));
    assert_eq!(last.len(), 1);
    assert_eq!(last[0].0 % 3, 1);
}

#[test]
fn unknown_revoked() {
    let fleet = fleet(6, 3);
    let changes = plan(&fleet, &model(1, 1, &held(&[99])));
    assert_eq!(changes, [Change::Revoke(TargetKey(99))]);
}

#[test]
fn fewer_replicas() {
    let fleet = fleet(18, 3);
    let changes = plan(&fleet, &model(1, 2, &held(&[0, 3, 1])));
    assert_eq!(changes.len(), 1);
    let from_fullest_centre = [Change::Revoke(TargetKey(0)), Change::Revoke(TargetKey(3))];
    assert!(from_fullest_centre.contains(&changes[0]), "{changes:?}");
}

#[test]
fn memory_balanced() {
    let mut fleet = fleet(30, 3);
    for n in 0..300 {
        for key in granted(&plan(&fleet, &model(n, 3, &[]))) {
            fleet.add_grant(key, 20_000);
        }
    }
    let most = fleet.targets().iter().map(|t| t.granted_mib).max().unwrap();
    let mean = 300 * 3 * 20_000 / 30;
    assert!(most * 10 <= mean * 13, "{most} against a mean of {mean}");
}

// The model needs more memory than most VMs have. A VM too small for it would refuse every request.
#[test]
fn too_small_skipped() {
    let mut all: Vec<_> = (0..200).map(|k| target(k, 0)).collect();
    for t in &mut all[1..] {
        t.memory_mib = 10_000;
    }
    let fleet = Fleet::new(all);
    let keys = granted(&plan(&fleet, &model(1, 2, &[])));
    assert_eq!(keys, [TargetKey(0)]);
}

// A tenth of the VMs is replaced. Only their grants move.
#[test]
fn only_lost_grants_move() {
    let before = fleet(100, 4);
    let grants: Vec<_> = (0..50)
        .map(|n| granted(&plan(&before, &model(n, 3, &[]))))
        .collect();
    let after = Fleet::new((10..110).map(|k| target(k, (k % 4) as u16)).collect());
    for (n, keys) in (0..).zip(grants) {
        let old: Vec<_> = keys.iter().map(|k| k.0).collect();
        let gone = old.iter().filter(|k| **k < 10).count();
        let changes = plan(&after, &model(n, 3, &held(&old)));
        assert_eq!(changes.len(), gone);
    }
}

proptest! {
    // Targets drain, and the number of replicas changes. If a replacement were granted before the unload
    // of a revoked grant is confirmed, more replicas than declared could be loaded.
    #[test]
    fn replicas_bounded(
        replicas in 0..6_u16,
        present in prop::collection::btree_set(0..20_u32, 0..6),
        revoking in prop::collection::vec(any::<bool>(), 6),
        gone in prop::collection::vec(0..20_u32, 0..10),
    ) {
        let mut fleet = fleet(16, 3);
        for key in gone {
            fleet.set_live(TargetKey(key), false);
        }
        let keys: Vec<_> = present.into_iter().collect();
        let mut grants = held(&keys);
        for (grant, revoking) in grants.iter_mut().zip(revoking) {
            grant.revoking = revoking;
        }
        let changes = plan(&fleet, &model(7, replicas, &grants));
        let new = granted(&changes);
        if !new.is_empty() {
            prop_assert!(grants.len() + new.len() <= usize::from(replicas));
        }
        for key in new {
            prop_assert!(grants.iter().all(|h| h.target != key));
            prop_assert!(fleet.get(key).is_some_and(|t| t.live));
        }
        let revokes = changes.len() - granted(&changes).len();
        let active = grants.iter().filter(|h| !h.revoking).count();
        prop_assert!(active - revokes <= usize::from(replicas));
    }
}
