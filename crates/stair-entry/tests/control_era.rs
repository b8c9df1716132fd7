//! What an entry keeps when the platform comes back from a copy of an earlier state.

#[path = "control/fleet.rs"]
mod fleet;

use fleet::{
    model_name,
    record,
    state,
    target, //
};
use stair_entry::control::{
    propose::{
        Planner,
        is_settled, //
    },
    state::State, //
};
use stair_platform::{
    Event,
    Kind, //
};
use stair_state::{
    GrantShard,
    grants::shard_of, //
};
use stair_types::{
    Era,
    ShardId,
    StoreRevision, //
};
use tokio::time::{
    Duration,
    Instant, //
};

const ERA: Era = Era(3);

fn revision(counter: u64) -> StoreRevision {
    StoreRevision { counter, era: ERA }
}

fn shard() -> ShardId {
    shard_of(&model_name(0))
}

/// A shard with one grant of the model for each of the targets.
fn granted(targets: &[u32]) -> GrantShard {
    let mut shard = GrantShard::default();
    for i in targets {
        shard
            .grant(&model_name(0), &target(*i), 9)
            .expect("granted");
    }
    shard
}

fn known(targets: &[u32]) -> State {
    let mut state = state(3, 1, 1);
    let version = StoreRevision::new(0, 900);
    state.update_shard(shard(), version, Some(granted(targets)));
    state
}

fn holders(shard: &GrantShard) -> Vec<(String, bool)> {
    let grants = shard.grants.iter();
    grants
        .map(|g| (g.target.as_str().to_owned(), g.revoking))
        .collect()
}

fn in_force(state: &State) -> &GrantShard {
    let shard = &state.shards[usize::from(shard().0)];
    shard.value.as_ref().expect("known")
}

/// The grant that the copy lacks stays in force, and is written together with the one that had ended.
#[test]
fn grants_are_merged() {
    let mut state = known(&[1]);
    assert!(state.update_shard(shard(), revision(50), Some(granted(&[0]))));
    assert_eq!(in_force(&state), &granted(&[1]));
    assert!(!is_settled(&state, shard()));
    assert!(!state.is_complete_for(shard()));
    state.advance_revision(revision(60));
    let next = Planner::new(&state)
        .propose(&state, shard())
        .expect("merged");
    let expected = [
        ("target-0".to_owned(), true),
        ("target-1".to_owned(), false),
    ];
    assert_eq!(holders(&next), expected);
    assert!(next.is_of(ERA));
    assert!(state.update_shard(shard(), revision(61), Some(next)));
    assert!(state.restored[usize::from(shard().0)].is_none());
}

/// A write from before the return is carried out after another entry has written the shard again.
#[test]
fn late_write() {
    let mut state = known(&[1]);
    let mut written = granted(&[1]);
    written.begin_era(ERA);
    written
        .grant(&model_name(0), &target(2), 9)
        .expect("granted");
    assert!(state.update_shard(shard(), revision(50), Some(written.clone())));
    assert!(state.update_shard(shard(), revision(51), Some(granted(&[0, 1]))));
    assert_eq!(in_force(&state), &written);
    state.advance_revision(revision(52));
    let next = Planner::new(&state)
        .propose(&state, shard())
        .expect("merged");
    assert!(holders(&next).contains(&("target-0".to_owned(), true)));
    assert!(next.next_id >= written.next_id);
}

/// A shard that was written for the first time after the copy.
#[test]
fn shard_is_missing() {
    let mut state = known(&[1]);
    assert!(state.restore_unlisted_shards(&[], revision(50)));
    state.advance_revision(revision(50));
    let next = Planner::new(&state)
        .propose(&state, shard())
        .expect("written again");
    assert_eq!(holders(&next), [("target-1".to_owned(), false)]);
}

/// A copy that has what is known, and one that a new process knows nothing better than.
#[test]
fn equal_or_unknown() {
    let mut same = known(&[1]);
    assert!(same.update_shard(shard(), revision(50), Some(granted(&[1]))));
    assert!(same.is_shard_complete(shard()));
    assert!(is_settled(&same, shard()));
    let mut new = state(3, 1, 1);
    assert!(new.update_shard(shard(), revision(50), Some(granted(&[1]))));
    assert!(!new.is_shard_complete(shard()));
}

/// Ids that were given out in the lost part of an era are not given out again.
#[test]
fn ids_differ() {
    let mut lost = granted(&[0, 1, 2]);
    let mut copy = granted(&[0]);
    copy.begin_era(ERA);
    let id = copy.grant(&model_name(0), &target(1), 9).expect("granted");
    assert!(lost.grants.iter().all(|g| g.id < id));
    lost.merge_copy(&copy);
    assert_eq!(lost.grants.len(), 3);
    assert!(lost.next_id > id);
}

/// The record of an earlier incarnation does not replace the present one, which has to be written again.
#[test]
fn record_of_former() {
    let mut state = state(1, 0, 0);
    state.update_incarnation(target(0), StoreRevision::new(0, 20), Some(record(5)));
    state.update_incarnation(target(0), revision(10), Some(record(4)));
    let known = state.incarnation(&target(0)).expect("known");
    assert_eq!(known.token.0, 5);
    assert!(state.lost_record(&target(0)).is_some());
    state.update_incarnation(target(0), revision(11), Some(record(5)));
    assert!(state.lost_record(&target(0)).is_none());
    let next = ERA.first_number() + 1;
    state.update_incarnation(target(0), revision(12), Some(record(next)));
    let known = state.incarnation(&target(0)).expect("known");
    assert_eq!(known.token.0, next);
}

/// Each return of a series gives what it lacks its whole time.
#[test]
fn series_gives_time() {
    let mut state = state(1, 0, 0);
    let (now, grace) = (Instant::now(), Duration::from_millis(1900));
    let later = now + Duration::from_millis(1500);
    for (era, at) in [(1, now), (2, later)] {
        let lost = Event::Deleted {
            kind: Kind::Vm,
            name: target(0).as_str().into(),
            version: StoreRevision::new(era, 50),
        };
        state.defer(lost, at + grace);
    }
    assert!(state.pop_due(now + grace).is_empty());
    assert_eq!(state.pop_due(later + grace).len(), 1);
}
