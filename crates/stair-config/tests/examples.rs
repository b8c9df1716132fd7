//! The sample files under `examples/` are valid and have the sizes of their deployments.

use std::path::{
    Path,
    PathBuf, //
};

use stair_config::{
    Catalogue,
    declarations,
    fleet_settings,
    read_settings, //
};

struct Sizes {
    models: usize,
    adapters: usize,
    tiers: usize,
}

fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(path)
}

fn catalogue(name: &str) -> Catalogue {
    let path = example(name).join("declarations");
    declarations::read(&path).unwrap_or_else(|e| panic!("{e}"))
}

fn check_sizes(catalogue: &Catalogue, sizes: &Sizes) {
    let adapters: usize = catalogue.models.iter().map(|m| m.adapters.len()).sum();
    assert_eq!(catalogue.models.len(), sizes.models);
    assert_eq!(adapters, sizes.adapters);
    assert_eq!(catalogue.tiers.len(), sizes.tiers);
    assert!(!catalogue.callers.is_empty());
    assert!(!catalogue.services.is_empty());
}

fn check_settings(name: &str) {
    let entry = read_settings::entry(&example(name).join("settings/entry.yaml"));
    entry.unwrap_or_else(|e| panic!("{e}"));
    let agent = read_settings::agent(&example(name).join("settings/agent.yaml"));
    agent.unwrap_or_else(|e| panic!("{e}"));
    let relay = fleet_settings::gateway(&example(name).join("settings/relay.yaml"));
    relay.unwrap_or_else(|e| panic!("{e}"));
    let sidecar = fleet_settings::sidecar(&example(name).join("settings/sidecar.yaml"));
    sidecar.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn ordbrygga() {
    let sizes = Sizes {
        models: 30,
        adapters: 55,
        tiers: 3,
    };
    check_sizes(&catalogue("ordbrygga"), &sizes);
    check_settings("ordbrygga");
}

#[test]
fn gawahi() {
    let sizes = Sizes {
        models: 33,
        adapters: 115,
        tiers: 3,
    };
    check_sizes(&catalogue("gawahi"), &sizes);
    check_settings("gawahi");
}
