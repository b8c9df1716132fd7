//! Orders never exceed the engine's capacity, whatever the events.

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
        Inventory,
        LoadedModel, //
    },
};
use stair_sidecar::{
    controller::{
        Controller,
        LoadRequestId,
        Options,
        PlannedOrder, //
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
    /// The agent reads the engine; whether its order has finished by then.
    Read(bool),
    /// The reply to the next order is lost; whether the engine carries the order out.
    LoseReply(bool),
    Crash,
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..MODELS.len(), proptest::option::of(0..3usize)).prop_map(|(m, a)| Event::LoadRequest(m, a)),
        5 => any::<bool>().prop_map(Event::Read),
        1 => any::<bool>().prop_map(Event::LoseReply),
        1 => Just(Event::Crash),
        3 => (1..2000u64).prop_map(Event::Advance),
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

/// An engine that carries out all orders, including those that exceed its capacity.
#[derive(Default)]
struct Engine {
    holds: Inventory,
    sequence: u64,
    in_progress: Option<PlannedOrder>,
}

impl Engine {
    fn order(&mut self, planned: &PlannedOrder) -> Reply {
        if self.in_progress.is_some() || planned.planned_on != self.sequence {
            return Reply::Conflict;
        }
        self.sequence += 1;
        match &planned.adapter {
            None => self.in_progress = Some(planned.clone()),
            Some(_) => self.finish(planned),
        }
        Reply::Accepted
    }

    fn finish(&mut self, planned: &PlannedOrder) {
        let held = |h: &LoadedModel| h.name == planned.model;
        match (&planned.adapter, planned.load) {
            (None, true) => {
                self.holds.models.push(LoadedModel {
                    name: planned.model.clone(),
                    adapters: Vec::new(),
                });
                self.holds.on_disk.push(planned.model.clone());
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
        if done && let Some(planned) = self.in_progress.take() {
            self.finish(&planned);
            self.sequence += 1;
        }
        Reading {
            holds: self.holds.clone(),
            sequence: self.sequence,
            busy: self.in_progress.is_some(),
            ..Reading::default()
        }
    }

    fn crash(&mut self) {
        self.holds.models.clear();
        self.sequence = 0;
        self.in_progress = None;
    }

    /// Memory in MB and adapter slots in use, including a load in progress.
    fn used(&self) -> (f64, usize) {
        let size = |name: &str| MODELS.iter().find(|m| m.0 == name).expect("known").1;
        let loading = self.in_progress.iter().filter(|s| s.load);
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

    /// An order beyond the engine's memory or adapter slots crashes it with all its requests. No sequence
    /// of load requests and lost replies leads to one, and no two loads from the weight store begin
    /// within the window.
    #[test]
    fn orders_fit_the_engine(events in vec(event(), 1..120)) {
        let mut controller = Controller::new(Options { fetch_window: WINDOW });
        let mut engine = Engine::default();
        controller.declare(decl());
        let mut now = Duration::from_secs(1);
        let mut lost = None;
        let mut fetched: Option<Duration> = None;
        for (seq, event) in events.into_iter().enumerate() {
            match event {
                Event::LoadRequest(m, a) => {
                    let id = LoadRequestId { link: LinkKey(1), seq: seq as u64 };
                    let req = LoadRequest {
                        seq: seq as u64,
                        model: MODELS[m].0.into(),
                        adapter: a.map(|a| format!("a{a}").into()),
                        victims: Vec::new(),
                        fetch: Some(1),
                        prefetch: false,
                        timeout: Duration::from_secs(14),
                    };
                    controller.request_load(id, req, now);
                }
                Event::Read(done) => {
                    controller.read(Some(engine.reading(done)), now);
                }
                Event::LoseReply(done) => lost = Some(done),
                Event::Crash => engine.crash(),
                Event::Advance(ms) => now += Duration::from_millis(ms),
            }
            controller.resolve(true, now);
            let Some(planned) = controller.next(&mut Vec::new(), now) else { continue };
            let fetches = planned.load
                && planned.adapter.is_none()
                && !engine.holds.on_disk.contains(&planned.model);
            let reply = match lost.take() {
                None => Some(engine.order(&planned)),
                Some(true) => {
                    engine.order(&planned);
                    None
                }
                Some(false) => None,
            };
            controller.replied(&planned, reply, now);
            let (mb, adapters) = engine.used();
            prop_assert!(mb <= WEIGHTS_MB, "{mb} MB after {planned:?}");
            prop_assert!(adapters <= ADAPTER_SLOTS as usize, "{adapters} after {planned:?}");
            if fetches && reply == Some(Reply::Accepted) {
                let apart = fetched.map(|t| now - t);
                prop_assert!(apart.is_none_or(|t| t >= WINDOW), "{apart:?} apart");
                fetched = Some(now);
            }
        }
    }
}
