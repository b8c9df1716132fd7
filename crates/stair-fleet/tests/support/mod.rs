//! A small fleet of engines for tests.
#![allow(dead_code)]

pub(crate) mod order_desk;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use stair_fleet::{
    Target,
    View,
    catalogue::{
        Engine,
        Model, //
    },
    choose,
    cold_start,
    target::{
        CopyLocation,
        Inventory,
        Load,
        LoadedModel,
        Loading,
        Report,
        State,
        Usage, //
    },
    view::TargetKey, //
};
use stair_types::StoreRevision;

pub(crate) const NOW: Duration = Duration::from_secs(100);
pub(crate) const SERVICE: &str = "engines";

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 80))
}

pub(crate) fn model(name: &str, mb: f64) -> Model {
    Model {
        name: name.into(),
        weights_mb: mb,
        from_store: ms(6000),
        from_disk: ms(800),
        from_memory: ms(500),
        adapter_mb: 60.0,
    }
}

/// Six models of 60 GB; an engine has memory for two.
pub(crate) fn engine() -> Engine {
    Engine {
        slots: 64,
        weights_mb: 140_000.0,
        adapter_slots: 8,
        loads_per_s: 2.0,
        models: ["a", "b", "c", "d", "e", "f"]
            .map(|m| model(m, 60_000.0))
            .to_vec(),
    }
}

pub(crate) fn target(n: usize, service: &str) -> Target {
    Target {
        id: format!("t{n}").into(),
        started: None,
        service: service.into(),
        addr: addr(n),
        data_centre: "dc".into(),
        slots: 64,
        state: State::Ready,
        version: Some("v1".into()),
        cold: Duration::ZERO,
        inventory: Inventory::default(),
    }
}

pub(crate) fn inventory(models: &[&str], on_disk: &[&str]) -> Inventory {
    let loaded = |m: &&str| LoadedModel {
        name: (**m).into(),
        adapters: Vec::new(),
    };
    let mut inventory = Inventory {
        models: models.iter().map(loaded).collect(),
        in_memory: Vec::new(),
        on_disk: on_disk.iter().map(|m| (**m).into()).collect(),
    };
    inventory.sort();
    inventory
}

/// A report of an idle engine with these models loaded and those on its disk.
pub(crate) fn report(models: &[&str], on_disk: &[&str]) -> Report {
    Report {
        inventory: inventory(models, on_disk),
        load: Load {
            alive: true,
            total_tokens: 250_000,
            free_adapters: 8,
            ..Load::default()
        },
    }
}

/// A report of an engine without models that loads one from the weight store. The load has taken
/// `slowdown` times its declared time.
pub(crate) fn fetching(model: &str, remaining: Duration, slowdown: f32) -> Report {
    let mut report = report(&[], &[]);
    report.load.loading = Some(Loading {
        model: model.into(),
        from: CopyLocation::Store,
        remaining,
        slowdown,
    });
    report
}

/// Fraction of an engine's time that one prompt of usual length per second takes.
pub(crate) const PROMPT_PREFILL_FRACTION: f32 = 0.22;

/// Adds use of a model to a report.
pub(crate) fn used(mut report: Report, model: &str, per_s: f32, in_flight: u32) -> Report {
    report.load.usage.push(Usage {
        model: model.into(),
        in_flight,
        per_s,
        prefill_fraction: per_s * PROMPT_PREFILL_FRACTION,
    });
    report.load.usage.sort_by(|a, b| a.model.cmp(&b.model));
    report
}

/// Engines with these reports, and their keys in the same order.
pub(crate) fn fleet(reports: Vec<Report>) -> (View, Vec<TargetKey>) {
    let mut view = View::default();
    let targets = (0..reports.len()).map(|n| target(n, SERVICE)).collect();
    view.replace(targets, StoreRevision::new(0, 1), NOW, NOW);
    for (n, report) in reports.into_iter().enumerate() {
        apply_report(&mut view, n, report);
    }
    let keys = (0..view.all().count())
        .map(|n| view.all().find(|(_, s)| s.target.addr == addr(n)))
        .map(|found| found.expect("listed").0)
        .collect();
    (view, keys)
}

/// Applies a report of an engine's agent.
pub(crate) fn apply_report(view: &mut View, n: usize, report: Report) {
    view.set_inventory_at(addr(n), report.inventory, NOW);
    view.set_load_at(addr(n), report.load, NOW);
}

pub(crate) fn options<'a>(model: &'a str) -> choose::Options<'a> {
    choose::Options {
        service: SERVICE,
        model: Some(model),
        adapter: None,
        tokens: 9000,
        shared: None,
        data_centre: "dc",
        tried: &[],
        salt: 7,
        suspects: false,
        version: None,
        connections: choose::Connections::UNBOUNDED,
        pause: None,
        placement: choose::Placement::CURRENT,
    }
}

/// A load of a model, at an engine of any software version.
pub(crate) fn load_of<'a>(
    engine: &'a Engine,
    model: &'a str,
    tried: &'a [TargetKey],
) -> cold_start::Options<'a> {
    cold_start::Options {
        service: SERVICE,
        engine,
        model,
        tried,
        version: None,
    }
}
