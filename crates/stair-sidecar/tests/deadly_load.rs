//! Loads that end the engine.

use std::time::Duration;

use platform_adapter::engine::{
    Reading,
    Reply, //
};
use stair_fleet::{
    catalogue::{
        Engine,
        Model, //
    },
    msg::LoadRequest,
    target::Inventory,
};
use stair_sidecar::{
    controller::{
        Controller,
        LoadRequestId, //
    },
    usage::LinkKey,
};

/// Time for the agent to know, from the third crash on.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Loads that may begin later than that.
const MAX_RETRIES: usize = 3;

/// Time until the engine is back.
const DOWN: Duration = Duration::from_millis(300);

fn declaration() -> Engine {
    Engine {
        slots: 64,
        weights_mb: 140_000.0,
        adapter_slots: 2,
        loads_per_s: 2.0,
        models: vec![Model {
            name: "a".into(),
            weights_mb: 60_000.0,
            from_store: Duration::from_millis(6000),
            from_disk: Duration::from_millis(800),
            from_memory: Duration::from_millis(500),
            adapter_mb: 60.0,
        }],
    }
}

/// An empty engine with the model on its disk.
fn reading(started: u64, sequence: u64) -> Reading {
    Reading {
        holds: Inventory {
            on_disk: vec!["a".into()],
            ..Inventory::default()
        },
        started: Some(started),
        sequence,
        ..Reading::default()
    }
}

fn request() -> LoadRequest {
    LoadRequest {
        seq: 1,
        model: "a".into(),
        adapter: None,
        victims: Vec::new(),
        fetch: None,
        prefetch: false,
        timeout: Duration::from_secs(14),
    }
}

/// The load ends the engine each time, and is requested again and again.
#[test]
fn deadly_load_at_sidecars() {
    let mut ctl = Controller::default();
    ctl.declare(declaration());
    let mut loads = Vec::new();
    let mut back = Some(Duration::ZERO);
    for step in 1..3000 {
        let now = Duration::from_millis(10 * step);
        if step % 50 == 0 {
            let link = LinkKey(1);
            ctl.request_load(LoadRequestId { link, seq: step }, request(), now);
        }
        ctl.resolve(true, now);
        match back {
            Some(at) if now < at => drop(ctl.read(None, now)),
            Some(_) => {
                back = None;
                ctl.read(Some(reading(step, loads.len() as u64 + 1)), now);
            }
            None => {}
        }
        if let Some(order) = ctl.next(&mut Vec::new(), now) {
            ctl.replied(&order, Some(Reply::Accepted), now);
            loads.push(now);
            back = Some(now + DOWN);
        }
    }
    let known = loads[2] + CONTACT_TIME;
    let late = loads.iter().filter(|t| **t > known).count();
    assert!(late <= MAX_RETRIES, "{late} of {}", loads.len());
}
