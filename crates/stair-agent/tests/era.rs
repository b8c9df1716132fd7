//! Assignments after the platform has come back from a copy.

use stair_agent::assignment::InForce;
use stair_types::{
    GrantId,
    ModelName,
    ShardId,
    StoreRevision, //
};
use stair_wire::control::{
    AssignedGrant,
    Assignment,
    ShardAssignment, //
};

fn assignment(version: StoreRevision, complete: bool, grants: &[u64]) -> Assignment {
    let grant = |id: &u64| AssignedGrant {
        id: GrantId(*id),
        model: ModelName::try_from(format!("model-{id}").as_str()).expect("a good name"),
        revoking: false,
    };
    Assignment {
        config: Default::default(),
        tiers: Vec::new(),
        policy: Default::default(),
        service: None,
        shards: vec![ShardAssignment {
            shard: ShardId(0),
            version,
            complete,
            grants: grants.iter().map(grant).collect(),
        }],
        models: Vec::new(),
    }
}

fn ids(in_force: &InForce) -> Vec<u64> {
    let shards = in_force.shards().iter();
    shards.flat_map(|s| &s.grants).map(|g| g.id.0).collect()
}

/// An entry that knows only the copy does not end a grant; one that has merged it does.
#[test]
fn copy_ends_nothing() {
    let mut in_force = InForce::default();
    in_force.apply(assignment(StoreRevision::new(1, 90), true, &[4, 7]));
    in_force.apply(assignment(StoreRevision::new(2, 50), false, &[4]));
    assert_eq!(ids(&in_force), [4, 7]);
    in_force.apply(assignment(StoreRevision::new(2, 50), false, &[4, 7, 8]));
    assert_eq!(ids(&in_force), [4, 7, 8]);
    in_force.apply(assignment(StoreRevision::new(2, 60), true, &[8]));
    assert_eq!(ids(&in_force), [8]);
    in_force.apply(assignment(StoreRevision::new(1, 999), true, &[4, 7]));
    assert_eq!(ids(&in_force), [8]);
}
