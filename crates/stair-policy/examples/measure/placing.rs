//! Placement of grants over a fleet, and the moves when VMs are replaced.

use stair_policy::placement::{
    Change,
    ExistingGrant,
    Fleet,
    ModelInfo,
    Options,
    TargetInfo,
    changes, //
};
use stair_types::TargetKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::{
    head,
    percent,
    row, //
};

/// The placement rule.
#[derive(Clone, Copy)]
enum Rule {
    /// The highest hashes of model and target, over all targets.
    Rendezvous,
    /// The least granted of all targets.
    LeastGranted,
    /// The rule under test with this number of probes.
    Placement(u16),
}

#[derive(Clone, Copy)]
struct Size {
    targets: u32,
    centres: u32,
    models: u32,
    replicas: u16,
}

fn hash(n: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&n.to_le_bytes(), seed)
}

/// Models of 10, 20, 40 and 60 GiB.
fn memory(model: u32) -> u32 {
    [10_000, 20_000, 40_000, 60_000][hash(u64::from(model), 3) as usize % 4]
}

fn target(key: u32, centres: u32) -> TargetInfo {
    TargetInfo {
        key: TargetKey(key),
        name_hash: hash(u64::from(key), 1),
        data_centre: (key % centres) as u16,
        memory_mib: 80_000,
        granted_mib: 0,
        live: true,
    }
}

/// Adds the missing grants of each model; returns their number.
fn settle(rule: Rule, size: Size, fleet: &mut Fleet, grants: &mut [Vec<TargetKey>]) -> u32 {
    let mut given = 0;
    for model in 0..size.models {
        let held = &mut grants[model as usize];
        held.retain(|k| fleet.get(*k).is_some());
        let new = missing(rule, size, fleet, model, held);
        for key in new {
            fleet.add_grant(key, memory(model));
            held.push(key);
            given += 1;
        }
    }
    given
}

fn missing(
    rule: Rule,
    size: Size,
    fleet: &Fleet,
    model: u32,
    held: &[TargetKey],
) -> Vec<TargetKey> {
    let free = usize::from(size.replicas) - held.len();
    let others = || fleet.targets().iter().filter(|t| !held.contains(&t.key));
    let name_hash = hash(u64::from(model), 2);
    let mut ranked: Vec<(u64, TargetKey)> = match rule {
        Rule::Rendezvous => others()
            .map(|t| (hash(t.name_hash, name_hash), t.key))
            .collect(),
        Rule::LeastGranted => others().map(|t| (t.granted_mib, t.key)).collect(),
        Rule::Placement(probes) => return by_placement(probes, size, fleet, model, held),
    };
    ranked.sort_unstable();
    ranked.iter().take(free).map(|r| r.1).collect()
}

fn by_placement(
    probes: u16,
    size: Size,
    fleet: &Fleet,
    model: u32,
    held: &[TargetKey],
) -> Vec<TargetKey> {
    let held = held.iter().map(|k| ExistingGrant {
        target: *k,
        revoking: false,
    });
    let held: Vec<_> = held.collect();
    let info = ModelInfo {
        name_hash: hash(u64::from(model), 2),
        memory_mib: memory(model),
        replicas: size.replicas,
        grants: &held,
    };
    let opts = Options {
        probes,
        ..Options::default()
    };
    let grants = changes(&opts, fleet, &info).into_iter();
    let keys = grants.filter_map(|c| match c {
        Change::Grant(key) => Some(key),
        Change::Revoke(_) => None,
    });
    keys.collect()
}

/// Number of models whose replicas are in fewer data centres than possible.
fn badly_spread(size: Size, fleet: &Fleet, grants: &[Vec<TargetKey>]) -> u32 {
    let could = size.centres.min(u32::from(size.replicas)) as usize;
    let bad = grants.iter().filter(|held| {
        let centres = held.iter().filter_map(|k| fleet.get(*k));
        let mut centres: Vec<_> = centres.map(|t| t.data_centre).collect();
        centres.sort_unstable();
        centres.dedup();
        centres.len() < could
    });
    bad.count() as u32
}

/// Measures balance, spread and moves, against two baselines.
pub(crate) fn fleets() {
    head(
        "Placement of grants",
        "Targets of 80 GB, models of 10 to 60 GB. Fullest: granted memory of the fullest target \
         against the mean. Then a tenth of the VMs is replaced; new grants should only replace those \
         of the replaced VMs.",
        &[
            "fleet",
            "rule",
            "fullest",
            "models not spread out",
            "new grants",
            "of them needed",
        ],
    );
    let sizes = [
        Size {
            targets: 9,
            centres: 3,
            models: 30,
            replicas: 2,
        },
        Size {
            targets: 18,
            centres: 3,
            models: 33,
            replicas: 3,
        },
        Size {
            targets: 1_000,
            centres: 11,
            models: 430,
            replicas: 6,
        },
        Size {
            targets: 12_000,
            centres: 11,
            models: 430,
            replicas: 60,
        },
    ];
    let rules = [
        ("rendezvous over all (baseline)", Rule::Rendezvous),
        ("least granted of all (baseline)", Rule::LeastGranted),
        ("placement, 1 probe", Rule::Placement(1)),
        ("placement, 2 probes", Rule::Placement(2)),
        ("placement, 3 probes", Rule::Placement(3)),
        ("placement, 6 probes", Rule::Placement(6)),
    ];
    for size in sizes {
        for (name, rule) in rules {
            measure(size, name, rule);
        }
    }
}

fn measure(size: Size, name: &str, rule: Rule) {
    let mut fleet = Fleet::new((0..size.targets).map(|k| target(k, size.centres)).collect());
    let mut grants = vec![Vec::new(); size.models as usize];
    settle(rule, size, &mut fleet, &mut grants);
    let granted = fleet.targets().iter().map(|t| t.granted_mib);
    let fullest = granted.clone().max().unwrap_or(0) as f64;
    let mean = granted.sum::<u64>() as f64 / f64::from(size.targets);
    let bad = badly_spread(size, &fleet, &grants);

    let replaced = (size.targets / 10).max(1);
    let kept = fleet
        .targets()
        .iter()
        .filter(|t| t.key.0 >= replaced)
        .copied();
    let new = (size.targets..size.targets + replaced).map(|k| target(k, size.centres));
    let mut after = Fleet::new(kept.chain(new).collect());
    let all = grants.iter().flatten();
    let lost = all.filter(|k| k.0 < replaced).count() as u32;
    let given = settle(rule, size, &mut after, &mut grants);
    row(&[
        format!(
            "{} targets, {} models x {}",
            size.targets, size.models, size.replicas
        ),
        name.into(),
        format!("{:.2}", fullest / mean),
        percent(f64::from(bad), f64::from(size.models)),
        format!("{given}"),
        format!("{lost}"),
    ]);
}
