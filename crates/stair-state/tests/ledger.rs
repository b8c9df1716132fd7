//! The ledger counts all memory that an engine may be using.

use proptest::prelude::*;
use stair_state::{
    Ledger,
    ledger::{
        Answer,
        Entry,
        Item,
        OrderError,
        State, //
    },
};
use stair_types::{
    AdapterName,
    ModelName, //
};

fn base(name: &str) -> Item {
    Item {
        model: ModelName::try_from(name).expect("a good name"),
        adapter: None,
    }
}

fn adapter(model: &str, name: &str) -> Item {
    Item {
        adapter: Some(AdapterName::try_from(name).expect("a good name")),
        ..base(model)
    }
}

fn loaded(ledger: &mut Ledger, item: &Item, mib: u32) {
    ledger.begin_load(item.clone(), "1", mib).expect("has room");
    ledger.end_load(item, Answer::Done);
}

// The engine unloads slowly and the agent requests the memory for another model at once. The memory
// counts as used until the unload is confirmed.
#[test]
fn unloading_counts() {
    let mut ledger = Ledger::new(100, Vec::new());
    loaded(&mut ledger, &base("a"), 80);
    ledger.begin_unload(&base("a")).expect("is loaded");

    let refused = ledger.begin_load(base("b"), "1", 30);

    assert_eq!(refused, Err(OrderError::NoCapacity { missing_mib: 10 }));
    ledger.end_unload(&base("a"), Answer::Done);
    assert_eq!(ledger.begin_load(base("b"), "1", 30), Ok(()));
}

// The reply to a load is lost. Whether the engine has loaded the model is unknown, so its memory
// stays reserved until the engine's list is reconciled.
#[test]
fn lost_load() {
    let mut ledger = Ledger::new(100, Vec::new());
    ledger.begin_load(base("a"), "1", 80).expect("has room");
    ledger.end_load(&base("a"), Answer::Lost);

    assert!(ledger.has_unconfirmed());
    let refused = ledger.begin_load(base("b"), "1", 30);
    assert_eq!(refused, Err(OrderError::NoCapacity { missing_mib: 10 }));
    ledger.reconcile(Vec::new());
    assert_eq!(ledger.begin_load(base("b"), "1", 30), Ok(()));
}

#[test]
fn adapter_needs_base() {
    let mut ledger = Ledger::new(100, Vec::new());

    let early = ledger.begin_load(adapter("a", "x"), "1", 1);
    loaded(&mut ledger, &base("a"), 50);
    loaded(&mut ledger, &adapter("a", "x"), 1);
    let unload = ledger.begin_unload(&base("a"));

    assert_eq!(early, Err(OrderError::NoBase));
    assert_eq!(unload, Err(OrderError::HasAdapters));
}

/// An action of the agent and the result of its order.
#[derive(Debug, Clone)]
enum Step {
    Load(u8, u32, Answer),
    Unload(u8, Answer),
    Reconcile,
}

fn answers() -> impl Strategy<Value = Answer> {
    prop_oneof![
        3 => Just(Answer::Done),
        1 => Just(Answer::Refused),
        1 => Just(Answer::Lost),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6u8, 1..60u32, answers()).prop_map(|(i, m, a)| Step::Load(i, m, a)),
        3 => (0..6u8, answers()).prop_map(|(i, a)| Step::Unload(i, a)),
        1 => Just(Step::Reconcile),
    ]
}

/// The actual memory of the engine. An order whose reply is lost may or may not take effect.
#[derive(Default)]
struct Engine {
    loaded: Vec<Entry>,
}

impl Engine {
    fn load(&mut self, item: Item, memory_mib: u32) {
        self.loaded.push(Entry {
            item,
            version: "1".into(),
            memory_mib,
            state: State::Loaded,
        });
    }

    fn taken(&self) -> u32 {
        self.loaded.iter().map(|e| e.memory_mib).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    // Orders fail, and replies are lost before or after the order takes effect. If the ledger freed
    // memory too early, the engine would load more than its total memory.
    #[test]
    fn never_over(steps in prop::collection::vec(steps(), 1..80), took_effect in any::<bool>()) {
        let mut ledger = Ledger::new(100, Vec::new());
        let mut engine = Engine::default();
        for step in steps {
            match step {
                Step::Load(i, mib, answer) => {
                    let item = base(&format!("m{i}"));
                    if ledger.begin_load(item.clone(), "1", mib).is_ok() {
                        let done = answer == Answer::Done;
                        if done || (answer == Answer::Lost && took_effect) {
                            engine.load(item.clone(), mib);
                        }
                        ledger.end_load(&item, answer);
                    }
                }
                Step::Unload(i, answer) => {
                    let item = base(&format!("m{i}"));
                    if ledger.begin_unload(&item).is_ok() {
                        let done = answer == Answer::Done;
                        if done || (answer == Answer::Lost && took_effect) {
                            engine.loaded.retain(|e| e.item != item);
                        }
                        ledger.end_unload(&item, answer);
                    }
                }
                Step::Reconcile => ledger.reconcile(engine.loaded.clone()),
            }
            prop_assert!(engine.taken() <= 100, "the engine uses {} MiB", engine.taken());
            prop_assert!(ledger.taken_mib() >= engine.taken());
        }
    }
}
