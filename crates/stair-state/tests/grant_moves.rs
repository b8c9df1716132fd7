//! Grants move in two steps and never exceed the number of replicas.

use proptest::prelude::*;
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest,
    prop_state_machine, //
};
use stair_state::{
    GrantShard,
    grants::GrantError, //
};
use stair_types::{
    GrantId,
    ModelName,
    TargetName, //
};

fn model(i: u8) -> ModelName {
    ModelName::try_from(&*format!("m{i}")).expect("a good name")
}

fn target(i: u8) -> TargetName {
    TargetName::try_from(&*format!("t{i}")).expect("a good name")
}

// A model is granted to the same target twice, and a slow link delivers the confirmation of the
// first grant again during the second one. If that confirmation ended the second grant, the model
// would be granted to another target while the first one loads it: one replica too many.
#[test]
fn late_confirmation() {
    let mut shard = GrantShard::default();
    let first = shard.grant(&model(0), &target(0), 1).expect("is free");
    shard.revoke(first);
    assert!(shard.confirm(first));
    let second = shard.grant(&model(0), &target(0), 1).expect("is free");
    shard.revoke(second);

    assert!(
        !shard.confirm(first),
        "a stale confirmation ended a later grant"
    );
    assert_eq!(
        shard.grant(&model(0), &target(1), 1),
        Err(GrantError::ReplicasExhausted(1))
    );
}

// A target whose grant is being revoked may be frozen with the model loaded. Its grant counts until
// it confirms.
#[test]
fn revoking_counts() {
    let mut shard = GrantShard::default();
    let id = shard.grant(&model(0), &target(0), 1).expect("is free");
    shard.revoke(id);

    let refused = shard.grant(&model(0), &target(1), 1);

    assert_eq!(refused, Err(GrantError::ReplicasExhausted(1)));
}

// A faulty agent confirms a grant that was not revoked; the grant stays.
#[test]
fn unsolicited_confirmation() {
    let mut shard = GrantShard::default();
    let id = shard.grant(&model(0), &target(0), 1).expect("is free");

    assert!(!shard.confirm(id));
    assert_eq!(shard.of_model(&model(0)).len(), 1);
}

const REPLICAS: u16 = 2;

/// A step of the test. Loads follow the grants that the target last read, which may be stale.
#[derive(Debug, Clone)]
enum Step {
    Grant(u8, u8),
    Revoke(u8),
    /// The target reads its grants.
    Update(u8),
    /// The target loads a model if the grants that it last read allow it.
    Load(u8, u8),
    /// The target unloads the models of its revoking grants and confirms them.
    Release(u8),
    /// An earlier confirmation arrives again.
    Replay(usize),
    /// The VM of the target is removed with all its loaded models.
    Vanish(u8),
}

/// Generates the steps. The invariants count the grants and loaded models of the system under test,
/// so the reference needs no state.
#[derive(Debug, Clone, Default)]
struct Steps;

const MODELS: u8 = 2;
const TARGETS: u8 = 4;

impl ReferenceStateMachine for Steps {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let m = 0..MODELS;
        let t = 0..TARGETS;
        prop_oneof![
            (m.clone(), t.clone()).prop_map(|(m, t)| Step::Grant(m, t)),
            (0..20u8).prop_map(Step::Revoke),
            t.clone().prop_map(Step::Update),
            (m, t.clone()).prop_map(|(m, t)| Step::Load(m, t)),
            t.clone().prop_map(Step::Release),
            (0..20usize).prop_map(Step::Replay),
            t.prop_map(Step::Vanish),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Step) -> Self {
        state
    }
}

#[derive(Default)]
struct Agent {
    known: Vec<stair_state::Grant>,
    loaded: Vec<u8>,
    /// Ids of the grants that were confirmed as released.
    released: Vec<GrantId>,
}

struct Deployment {
    shard: GrantShard,
    agents: Vec<Agent>,
    confirmations: Vec<GrantId>,
}

impl Deployment {
    fn loaded_replicas(&self, m: u8) -> usize {
        self.agents.iter().filter(|a| a.loaded.contains(&m)).count()
    }

    fn load(&mut self, m: u8, t: u8) {
        let agent = &mut self.agents[usize::from(t)];
        let may = agent
            .known
            .iter()
            .any(|g| g.model == model(m) && !g.revoking && !agent.released.contains(&g.id));
        if may && !agent.loaded.contains(&m) {
            agent.loaded.push(m);
        }
    }

    fn release(&mut self, t: u8) {
        let agent = &mut self.agents[usize::from(t)];
        for grant in agent.known.iter().filter(|g| g.revoking) {
            agent.loaded.retain(|m| model(*m) != grant.model);
            agent.released.push(grant.id);
            self.confirmations.push(grant.id);
            self.shard.confirm(grant.id);
        }
    }
}

struct Replicas;

impl StateMachineTest for Replicas {
    type SystemUnderTest = Deployment;
    type Reference = Steps;

    fn init_test(_: &Steps) -> Deployment {
        Deployment {
            shard: GrantShard::default(),
            agents: (0..TARGETS).map(|_| Agent::default()).collect(),
            confirmations: Vec::new(),
        }
    }

    fn apply(mut d: Deployment, _: &Steps, step: Step) -> Deployment {
        match step {
            Step::Grant(m, t) => drop(d.shard.grant(&model(m), &target(t), REPLICAS)),
            Step::Revoke(id) => drop(d.shard.revoke(GrantId(id.into()))),
            Step::Update(t) => {
                d.agents[usize::from(t)].known = d.shard.of_target(&target(t)).cloned().collect();
            }
            Step::Load(m, t) => d.load(m, t),
            Step::Release(t) => d.release(t),
            Step::Replay(i) => {
                if let Some(id) = d.confirmations.get(i) {
                    d.shard.confirm(*id);
                }
            }
            Step::Vanish(t) => {
                d.agents[usize::from(t)] = Agent::default();
                d.shard.remove_target(&target(t));
            }
        }
        d
    }

    fn check_invariants(d: &Deployment, _: &Steps) {
        for m in 0..MODELS {
            let granted = d.shard.of_model(&model(m)).len();
            assert!(granted <= usize::from(REPLICAS), "{granted} grants of m{m}");
            let loaded = d.loaded_replicas(m);
            assert!(loaded <= usize::from(REPLICAS), "{loaded} replicas of m{m}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_moves(sequential 1..60 => Replicas);
}
