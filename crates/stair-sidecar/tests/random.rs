//! Orders under any series of events keep to what the engine can hold.

use std::time::Duration;

use platform_adapter::engine::{
    Reading,
    Reply, //
};
use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::{
    catalogue::{
        Engine as Decl,
        Model, //
    },
    msg::LoadRequest,
    target::{
        Inventory, //
        LoadedModel,
    },
};
use stair_sidecar::{
    controller::{
        Asker,
        Controller,
        Options,
        Step, //
    },
    usage::LinkKey,
};

const MODELS: [(&str, f64); 4] = [
    ("a", 72_700.0),
    ("b", 72_700.0),
    ("c", 42_700.0),
    ("d", 65_100.0),
];
const WEIGHTS_MB: f64 = 140_000.0;
const ADAPTER_MB: f64 = 66.0;
const ADAPTER_SLOTS: u32 = 2;
const WINDOW: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
enum Event {
    LoadRequest(usize, Option<usize>),
    /// The agent reads the engine, which has finished its order or not.
    Read(bool),
    /// The answer to the next order is lost; whether the engine carries it out all the same.
    Lose(bool),
    Crash,
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..MODELS.len(), proptest::option::of(0..3usize)).prop_map(|(m, a)| Event::LoadRequest(m, a)),
        5 => any::<bool>().prop_map(Event::Read),
        1 => any::<bool>().prop_map(Event::Lose),
        1 => Just(Event::Crash),
        3 => (1..2000u64).prop_map(Event::Pass),
    ]
}

fn decl() -> Decl {
    let model = |(name, mb): &(&str, f64)| Model {
        name: (*name).into(),
        weights_mb: *mb,
        from_store: Duration::from_secs(2),
        from_disk: Duration::from_millis(800),
        from_memory: Duration::from_millis(500),
        adapter_mb: ADAPTER_MB,
    };
    Decl {
        slots: 64,
        weights_mb: WEIGHTS_MB,
        adapter_slots: ADAPTER_SLOTS,
        loads_per_s: 2.0,
        models: MODELS.iter().map(model).collect(),
    }
}

/// An engine that does what it is ordered to, also when that is its end.
#[derive(Default)]
struct Engine {
    holds: Inventory,
    sequence: u64,
    doing: Option<Step>,
}

impl Engine {
    fn order(&mut self, step: &Step) -> Reply {
        if self.doing.is_some() || step.planned_on != self.sequence {
            return Reply::Conflict;
        }
        self.sequence += 1;
        match &step.adapter {
            None => self.doing = Some(step.clone()),
            Some(_) => self.finish(step),
        }
        Reply::Accepted
    }

    fn finish(&mut self, step: &Step) {
        let held = |h: &LoadedModel| h.name == step.model;
        match (&step.adapter, step.load) {
            (None, true) => {
                self.holds.models.push(LoadedModel {
                    name: step.model.clone(),
                    adapters: Vec::new(),
                });
                self.holds.on_disk.push(step.model.clone());
                self.holds.on_disk.dedup();
            }
            (None, false) => self.holds.models.retain(|h| !held(h)),
            (Some(adapter), load) => {
                for h in self.holds.models.iter_mut().filter(|h| held(h)) {
                    h.adapters.retain(|a| a != adapter);
                    if load {
                        h.adapters.push(adapter.clone());
                    }
                }
            }
        }
        self.holds.sort();
        self.holds.on_disk.dedup();
    }

    fn reading(&mut self, done: bool) -> Reading {
        if done && let Some(step) = self.doing.take() {
            self.finish(&step);
            self.sequence += 1;
        }
        Reading {
            holds: self.holds.clone(),
            sequence: self.sequence,
            busy: self.doing.is_some(),
            ..Reading::default()
        }
    }

    fn crash(&mut self) {
        self.holds.models.clear();
        self.sequence = 0;
        self.doing = None;
    }

    /// Memory and places for adapters in use, what is being loaded among it.
    fn used(&self) -> (f64, usize) {
        let size = |name: &str| MODELS.iter().find(|m| m.0 == name).expect("known").1;
        let loading = self.doing.iter().filter(|s| s.load);
        let models: f64 = self.holds.models.iter().map(|h| size(&h.name)).sum();
        let adapters = self.holds.models.iter().map(|h| h.adapters.len()).sum();
        let mb = models + loading.map(|s| size(&s.model)).sum::<f64>();
        (mb + ADAPTER_MB * adapters as f64, adapters)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An engine that is ordered beyond its memory or its places for adapters crashes with all that it
    /// runs. Whatever is asked for, and whichever answers are lost, it never is; and no two of its
    /// loads from the weight store begin within the window.
    #[test]
    fn never_beyond_the_engine(events in vec(event(), 1..120)) {
        let mut controller = Controller::new(Options { fetch_window: WINDOW });
        let mut engine = Engine::default();
        controller.declare(decl());
        let mut now = Duration::from_secs(1);
        let mut lost = None;
        let mut fetched: Option<Duration> = None;
        for (seq, event) in events.into_iter().enumerate() {
            match event {
                Event::LoadRequest(m, a) => {
                    let asker = Asker { link: LinkKey(1), seq: seq as u64 };
                    let req = LoadRequest {
                        seq: seq as u64,
                        model: MODELS[m].0.into(),
                        adapter: a.map(|a| format!("a{a}").into()),
                        victims: Vec::new(),
                        fetch: Some(1),
                        prefetch: false,
                        timeout: Duration::from_secs(14),
                    };
                    controller.request_load(asker, req, now);
                }
                Event::Read(done) => {
                    controller.read(Some(engine.reading(done)), now);
                }
                Event::Lose(done) => lost = Some(done),
                Event::Crash => engine.crash(),
                Event::Pass(ms) => now += Duration::from_millis(ms),
            }
            controller.settle(true, now);
            let Some(step) = controller.next(&mut Vec::new(), now) else { continue };
            let fetches = step.load
                && step.adapter.is_none()
                && !engine.holds.on_disk.contains(&step.model);
            let reply = match lost.take() {
                None => Some(engine.order(&step)),
                Some(true) => {
                    engine.order(&step);
                    None
                }
                Some(false) => None,
            };
            controller.replied(&step, reply, now);
            let (mb, adapters) = engine.used();
            prop_assert!(mb <= WEIGHTS_MB, "{mb} MB after {step:?}");
            prop_assert!(adapters <= ADAPTER_SLOTS as usize, "{adapters} after {step:?}");
            if fetches && reply == Some(Reply::Accepted) {
                let apart = fetched.map(|t| now - t);
                prop_assert!(apart.is_none_or(|t| t >= WINDOW), "{apart:?} apart");
                fetched = Some(now);
            }
        }
    }
}
