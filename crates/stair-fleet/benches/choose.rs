//! Cost of the choice of a target, by the number of engines.
//!
//!     cargo bench -p stair-fleet --bench choose
//!
//! Each of the models is loaded at a fixed fraction of the engines; with all engines as replicas the
//! estimate is made for each of them.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use stair_fleet::{
    Target, View,
    choose::{
        Connections,
        Options,
        Placement,
        choose, //
    },
    engine_estimate::{
        BANDS,
        Estimate,
        ModelRate, //
    },
    target::{
        Inventory,
        Load,
        LoadedModel,
        State,
        Usage, //
    },
};
use stair_types::StoreRevision;

const NOW: Duration = Duration::from_secs(100);

const BATCHES: u32 = 300;

/// Models that an engine has loaded.
const LOADED: usize = 3;

fn addr(n: u32) -> SocketAddr {
    let [_, a, b, c] = n.to_be_bytes();
    SocketAddr::from(([10, a, b, c], 80))
}

fn model(n: usize) -> Box<str> {
    format!("model-{n:04}").into()
}

fn target(n: u32) -> Target {
    Target {
        id: format!("engine-{n:05}").into(),
        started: None,
        service: "engines".into(),
        version: None,
        addr: addr(n),
        data_centre: "dc".into(),
        slots: 64,
        state: State::Ready,
        cold: Duration::ZERO,
        inventory: Inventory::default(),
    }
}

/// Engines that each have [`LOADED`] of the models.
fn fleet(engines: u32, models: usize, estimated: bool) -> View {
    let mut view = View::default();
    let targets = (0..engines).map(target).collect();
    view.replace(targets, StoreRevision::new(0, 1), NOW, NOW);
    for n in 0..engines {
        let mut names: Vec<Box<str>> = (0..LOADED)
            .map(|m| model((n as usize + m) % models))
            .collect();
        names.sort();
        names.dedup();
        let mut inventory = Inventory {
            models: names
                .iter()
                .map(|name| LoadedModel {
                    name: name.clone(),
                    adapters: Vec::new(),
                })
                .collect(),
            ..Inventory::default()
        };
        inventory.sort();
        let usage = names.iter().map(|name| Usage {
            model: name.clone(),
            in_flight: 3,
            per_s: 2.0,
            prefill_fraction: 0.2,
        });
        let rates = names.iter().map(|name| ModelRate {
            model: name.clone(),
            tokens_per_ms: 20.0 + (n % 30) as f32,
        });
        let estimate = Estimate {
            tokens_per_ms: 30.0,
            rates: rates.collect(),
            speed: 1.0,
            event_ms: [30.0; BANDS],
            age: Duration::ZERO,
        };
        let load = Load {
            alive: true,
            running: n % 12,
            usage: usage.collect(),
            estimate: estimated.then_some(estimate),
            ..Load::default()
        };
        view.set_inventory_at(addr(n), inventory, NOW);
        view.set_load_at(addr(n), load, NOW);
    }
    view
}

/// Time of a choice in microseconds: that of the fastest batch, as other processes use the processor.
fn measure(view: &View, models: usize, placement: Placement) -> f64 {
    let batch = (20_000 / view.all().count()).max(1) as u32;
    let names: Vec<Box<str>> = (0..models).map(model).collect();
    let mut fastest = f64::INFINITY;
    for n in 0..BATCHES {
        let begun = Instant::now();
        for round in n * batch..(n + 1) * batch {
            let opts = Options {
                service: "engines",
                model: Some(&names[round as usize % models]),
                adapter: None,
                tokens: 9190,
                shared: Some((6300, u64::from(round % 50))),
                data_centre: "dc",
                tried: &[],
                salt: u64::from(round),
                suspects: false,
                version: None,
                connections: Connections::UNBOUNDED,
                pause: Some(Duration::from_millis(500)),
                placement,
            };
            black_box(choose(view, &opts, NOW));
        }
        fastest = fastest.min(begun.elapsed().as_secs_f64() * 1e6 / f64::from(batch));
    }
    fastest
}

fn main() {
    println!("engines  models  by constants us  by estimates us");
    for (engines, models) in [(180, 170), (180, 30), (180, LOADED), (12_000, 4_000)] {
        let view = fleet(engines, models, true);
        let fixed = measure(&view, models, Placement::Fixed);
        let shared = measure(&view, models, Placement::Share);
        println!("{engines:7}  {models:6}  {fixed:15.2}  {shared:15.2}");
    }
}
