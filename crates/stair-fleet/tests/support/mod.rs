//! A small fleet to decide about.
#![allow(dead_code)]

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

/// Six models of 60 GB, engines with room for two.
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
        cold: Duration::ZERO,
        inventory: Inventory::default(),
    }
}

pub(crate) fn inventory(models: &[&str], on_disk: &[&str]) -> Inventory {
    let held = |m: &&str| LoadedModel {
        name: (**m).into(),
        adapters: Vec::new(),
    };
    let mut inventory = Inventory {
        models: models.iter().map(held).collect(),
        in_memory: Vec::new(),
        on_disk: on_disk.iter().map(|m| (**m).into()).collect(),
    };
    inventory.sort();
    inventory
}

/// A report of an idle engine that holds these models and has those on its disk.
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

/// A report of an engine that has nothing but a load from the weight store under way, which has
/// taken so many times its declared time.
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

/// Part of an engine's time that a prompt of usual length takes a second.
pub(crate) const PROMPT_WORK: f32 = 0.22;

pub(crate) fn used(mut report: Report, model: &str, per_s: f32, in_flight: u32) -> Report {
    report.load.usage.push(Usage {
        model: model.into(),
        in_flight,
        per_s,
        prefill_fraction: per_s * PROMPT_WORK,
    });
    report.load.usage.sort_by(|a, b| a.model.cmp(&b.model));
    report
}

/// Engines in the order of their reports, with the keys.
pub(crate) fn fleet(reports: Vec<Report>) -> (View, Vec<TargetKey>) {
    let mut view = View::default();
    let targets = (0..reports.len()).map(|n| target(n, SERVICE)).collect();
    view.replace(targets, 1, NOW, NOW);
    for (n, report) in reports.into_iter().enumerate() {
        tell(&mut view, n, report);
    }
    let keys = (0..view.all().count())
        .map(|n| view.all().find(|(_, s)| s.target.addr == addr(n)))
        .map(|found| found.expect("listed").0)
        .collect();
    (view, keys)
}

/// Tells the view what the agent of an engine reports.
pub(crate) fn tell(view: &mut View, n: usize, report: Report) {
    view.set_inventory_at(addr(n), report.inventory, NOW);
    view.set_load_at(addr(n), report.load, NOW);
}

pub(crate) fn ask<'a>(model: &'a str) -> choose::Options<'a> {
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
    }
}
