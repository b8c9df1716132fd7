//! The checks of declarations: of each item, then across items.

use stair_types::{
    CallerName,
    TierName,
    TierRank, //
};

use crate::{
    fields::{
        Fields,
        Item, //
    },
    problem::{
        Place,
        Problems, //
    },
    types::{
        Adapter,
        Caller,
        Catalogue,
        KeepPolicy,
        Model,
        Policy,
        Service,
        ServiceRoute,
        Tier,
        WeightStore, //
    }, //
};

pub(crate) const TOP_FIELDS: [&str; 5] = ["models", "tiers", "callers", "services", "policy"];

const MODEL_FIELDS: [&str; 6] = [
    "name",
    "version",
    "memory_mib",
    "replicas",
    "repeatable",
    "adapters",
];
const ADAPTER_FIELDS: [&str; 3] = ["name", "version", "memory_mib"];
const TIER_FIELDS: [&str; 5] = ["name", "rank", "floor_percent", "timeout_ms", "max_waiting"];
const CALLER_FIELDS: [&str; 3] = ["name", "key_sha256", "tier"];
const SERVICE_FIELDS: [&str; 3] = ["name", "concurrency", "routes"];
const ROUTE_FIELDS: [&str; 3] = ["method", "prefix", "repeatable"];
const POLICY_FIELDS: [&str; 3] = ["keep", "weight_store", "engine_concurrency"];
const KEEP_FIELDS: [&str; 3] = ["cold_start_weight", "min_idle_ms", "max_idle_ms"];
const STORE_FIELDS: [&str; 2] = ["loads_per_second", "full_speed_loads"];

/// 4 TiB: more than any accelerator has, and low enough that the sum over a target's models does
/// not overflow.
const MAX_MEMORY_MIB: u32 = 4 << 20;

/// A model and its adapters are always in one chunk, and a chunk must stay below the platform's
/// limit of a megabyte: 2,000 adapters with names and versions of 128 bytes take about 650 KB.
const MAX_ADAPTERS: usize = 2_000;

const MAX_REPLICAS: u16 = 20_000;
const MAX_TIMEOUT_MS: u32 = 3_600_000;
const MAX_WAITING: u32 = 100_000;
const MAX_CONCURRENCY: u16 = 4_096;
const MAX_IDLE_MS: u32 = 7 * 24 * 3_600_000;
const MAX_COLD_START_WEIGHT: f64 = 1_000_000.0;
const MIN_LOADS_PER_SECOND: f64 = 0.001;
const MAX_LOADS_PER_SECOND: f64 = 10_000.0;
const MAX_FLOORS_PERCENT: u32 = 100;
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// An item and the place of its declaration.
pub(crate) struct Located<T> {
    pub(crate) place: Place,
    pub(crate) item: T,
}

/// Items of all files that passed their own checks, before the checks across items.
#[derive(Default)]
pub(crate) struct Declared {
    pub(crate) models: Vec<Located<Model>>,
    pub(crate) tiers: Vec<Located<Tier>>,
    pub(crate) callers: Vec<Located<Caller>>,
    pub(crate) services: Vec<Located<Service>>,
    pub(crate) policy: Policy,
}

/// Checks each item of a list. `id` is the field to which checks across items assign their
/// problems.
fn check_items<'a, T, F>(
    problems: &mut Problems,
    parent: &Fields<'a>,
    list: &str,
    known: &[&str],
    id: &str,
    check: F,
) -> Vec<Located<T>>
where
    F: Fn(&mut Problems, &Fields<'a>) -> Option<T>,
{
    let mut all = Vec::new();
    let items: Vec<Item<'a>> = parent.list(problems, list);
    for item in items {
        let Some(fields) = parent.item(problems, list, item, known) else {
            continue;
        };
        if let Some(item) = check(problems, &fields) {
            let place = fields.place(id);
            all.push(Located { place, item });
        }
    }
    all
}

pub(crate) fn models(problems: &mut Problems, top: &Fields<'_>) -> Vec<Located<Model>> {
    check_items(problems, top, "models", &MODEL_FIELDS, "name", model)
}

fn model(problems: &mut Problems, fields: &Fields<'_>) -> Option<Model> {
    let name = fields.name(problems, "name");
    let version = fields.text(problems, "version");
    let memory_mib = fields.integer(problems, "memory_mib", 1..=MAX_MEMORY_MIB, None);
    let replicas = fields.integer(problems, "replicas", 1..=MAX_REPLICAS, None);
    let repeatable = fields.boolean(problems, "repeatable", Some(false));
    let adapters = check_items(
        problems,
        fields,
        "adapters",
        &ADAPTER_FIELDS,
        "name",
        adapter,
    );
    if adapters.len() > MAX_ADAPTERS {
        let found = format!("{} adapters", adapters.len());
        let allowed = format!("at most {MAX_ADAPTERS}");
        problems.add(fields.place("adapters"), found, allowed);
    }
    Some(Model {
        name: name?,
        version: version?,
        memory_mib: memory_mib?,
        replicas: replicas?,
        repeatable: repeatable?,
        adapters: sort_unique(problems, adapters, "adapter", |a| a.name.clone()),
    })
}

fn adapter(problems: &mut Problems, fields: &Fields<'_>) -> Option<Adapter> {
    let name = fields.name(problems, "name");
    let version = fields.text(problems, "version");
    let memory_mib = fields.integer(problems, "memory_mib", 1..=MAX_MEMORY_MIB, None);
    Some(Adapter {
        name: name?,
        version: version?,
        memory_mib: memory_mib?,
    })
}

pub(crate) fn tiers(problems: &mut Problems, top: &Fields<'_>) -> Vec<Located<Tier>> {
    check_items(problems, top, "tiers", &TIER_FIELDS, "rank", tier)
}

fn tier(problems: &mut Problems, fields: &Fields<'_>) -> Option<Tier> {
    let name = fields.name(problems, "name");
    let rank = fields.integer(problems, "rank", 0..=u8::MAX, None);
    let floor_percent = fields.integer(problems, "floor_percent", 0..=100, Some(0));
    let timeout_ms = fields.integer(problems, "timeout_ms", 1..=MAX_TIMEOUT_MS, None);
    let max_waiting = fields.integer(problems, "max_waiting", 1..=MAX_WAITING, None);
    Some(Tier {
        name: name?,
        rank: TierRank(rank?),
        floor_percent: floor_percent?,
        timeout_ms: timeout_ms?,
        max_waiting: max_waiting?,
    })
}

pub(crate) fn callers(problems: &mut Problems, top: &Fields<'_>) -> Vec<Located<Caller>> {
    check_items(problems, top, "callers", &CALLER_FIELDS, "tier", caller)
}

fn caller(problems: &mut Problems, fields: &Fields<'_>) -> Option<Caller> {
    let name: Option<CallerName> = fields.name(problems, "name");
    let key_sha256 = fields.sha256(problems, "key_sha256");
    let tier: Option<TierName> = fields.name(problems, "tier");
    Some(Caller {
        name: name?,
        key_sha256: key_sha256?,
        tier: tier?,
    })
}

pub(crate) fn services(problems: &mut Problems, top: &Fields<'_>) -> Vec<Located<Service>> {
    check_items(problems, top, "services", &SERVICE_FIELDS, "name", service)
}

fn service(problems: &mut Problems, fields: &Fields<'_>) -> Option<Service> {
    let name = fields.name(problems, "name");
    let concurrency = fields.integer(problems, "concurrency", 1..=MAX_CONCURRENCY, None);
    let routes = check_items(problems, fields, "routes", &ROUTE_FIELDS, "prefix", route);
    let key = |r: &ServiceRoute| format!("{} {}", r.method, r.prefix);
    Some(Service {
        name: name?,
        concurrency: concurrency?,
        routes: sort_unique(problems, routes, "route", key),
    })
}

fn route(problems: &mut Problems, fields: &Fields<'_>) -> Option<ServiceRoute> {
    let allowed = format!("one of {}", METHODS.join(", "));
    let method = fields.text_as(problems, "method", &allowed, |text| {
        if METHODS.contains(&text) {
            return Ok(text.into());
        }
        Err(format!("{text:?}"))
    });
    let prefix = fields.text_as(problems, "prefix", "a path that starts with /", |text| {
        if text.starts_with('/') {
            return Ok(text.into());
        }
        Err(format!("{text:?}"))
    });
    let repeatable = fields.boolean(problems, "repeatable", None);
    Some(ServiceRoute {
        method: method?,
        prefix: prefix?,
        repeatable: repeatable?,
    })
}

pub(crate) fn policy(problems: &mut Problems, top: &Fields<'_>) -> Option<Policy> {
    let fields = top.map(problems, "policy", &POLICY_FIELDS)?;
    let default = Policy::default();
    let keep = keep(problems, &fields);
    let weight_store = weight_store(problems, &fields);
    let engine_concurrency = fields.integer(
        problems,
        "engine_concurrency",
        1..=MAX_CONCURRENCY,
        Some(default.engine_concurrency),
    );
    Some(Policy {
        keep: keep?,
        weight_store: weight_store?,
        engine_concurrency: engine_concurrency?,
    })
}

fn keep(problems: &mut Problems, policy: &Fields<'_>) -> Option<KeepPolicy> {
    let fields = policy.map(problems, "keep", &KEEP_FIELDS)?;
    let default = KeepPolicy::default();
    let cold_start_weight = fields.number(
        problems,
        "cold_start_weight",
        0.0..=MAX_COLD_START_WEIGHT,
        default.cold_start_weight,
    );
    let idle = 0..=MAX_IDLE_MS;
    let min = fields.integer(
        problems,
        "min_idle_ms",
        idle.clone(),
        Some(default.min_idle_ms),
    );
    let max = fields.integer(problems, "max_idle_ms", idle, Some(default.max_idle_ms));
    if let (Some(min), Some(max)) = (min, max)
        && min > max
    {
        let allowed = format!("at least min_idle_ms, {min}");
        problems.add(fields.place("max_idle_ms"), max, allowed);
    }
    Some(KeepPolicy {
        cold_start_weight: cold_start_weight?,
        min_idle_ms: min?,
        max_idle_ms: max?,
    })
}

fn weight_store(problems: &mut Problems, policy: &Fields<'_>) -> Option<WeightStore> {
    let fields = policy.map(problems, "weight_store", &STORE_FIELDS)?;
    let default = WeightStore::default();
    let loads_per_second = fields.number(
        problems,
        "loads_per_second",
        MIN_LOADS_PER_SECOND..=MAX_LOADS_PER_SECOND,
        default.loads_per_second,
    );
    let full_speed_loads = fields.integer(
        problems,
        "full_speed_loads",
        1..=MAX_CONCURRENCY,
        Some(default.full_speed_loads),
    );
    Some(WeightStore {
        loads_per_second: loads_per_second?,
        full_speed_loads: full_speed_loads?,
    })
}

/// Checks the rules across items and returns the sorted catalogue.
pub(crate) fn build_catalogue(problems: &mut Problems, all: Declared) -> Catalogue {
    check_caller_tiers(problems, &all);
    let tiers = sort_tiers(problems, all.tiers);
    check_caller_names(problems, &all.callers);
    Catalogue {
        models: sort_unique(problems, all.models, "model", |m| m.name.clone()),
        tiers,
        callers: sort_unique(problems, all.callers, "key", |c| c.key_sha256.clone()),
        services: sort_unique(problems, all.services, "service", |s| s.name.clone()),
        policy: all.policy,
    }
}

/// Sorts items by their key and adds a problem for each duplicate.
fn sort_unique<T, K, F>(
    problems: &mut Problems,
    mut all: Vec<Located<T>>,
    what: &str,
    key: F,
) -> Vec<T>
where
    F: Fn(&T) -> K,
    K: Ord,
{
    // The sort is stable, so the problem is reported for the later of two duplicates.
    all.sort_by_key(|at| key(&at.item));
    for pair in all.windows(2) {
        if key(&pair[0].item) == key(&pair[1].item) {
            let Place { file, line, .. } = &pair[0].place;
            let found = format!("the same {what} as at {file}:{line}");
            problems.add(pair[1].place.clone(), found, format!("each {what} once"));
        }
    }
    all.into_iter().map(|at| at.item).collect()
}

fn check_caller_names(problems: &mut Problems, callers: &[Located<Caller>]) {
    let mut names: Vec<&Located<Caller>> = callers.iter().collect();
    names.sort_by_key(|at| &at.item.name);
    for pair in names.windows(2) {
        if pair[0].item.name == pair[1].item.name {
            let Place { file, line, .. } = &pair[0].place;
            let found = format!("{:?} as at {file}:{line}", pair[1].item.name.as_str());
            problems.add(pair[1].place.clone(), found, "each caller's name once");
        }
    }
}

fn check_caller_tiers(problems: &mut Problems, all: &Declared) {
    let names: Vec<&str> = all.tiers.iter().map(|t| t.item.name.as_str()).collect();
    for Located { place, item } in &all.callers {
        if !names.contains(&item.tier.as_str()) {
            let allowed = format!("a declared tier: {}", names.join(", "));
            let found = format!("{:?}", item.tier.as_str());
            problems.add(place.clone(), found, allowed);
        }
    }
}

/// Sorts tiers by rank and checks their ranks, names and the sum of their floors.
fn sort_tiers(problems: &mut Problems, mut tiers: Vec<Located<Tier>>) -> Vec<Tier> {
    tiers.sort_by_key(|at| at.item.rank);
    let mut floors = 0;
    for (rank, at) in tiers.iter().enumerate() {
        if usize::from(at.item.rank.0) != rank {
            let allowed = format!("{rank}: ranks are 0, 1, 2 and so on, each once");
            problems.add(at.place.clone(), at.item.rank, allowed);
        }
        let same = |other: &&Located<Tier>| other.item.name == at.item.name;
        if let Some(first) = tiers[..rank].iter().find(same) {
            let found = format!(
                "{:?} as at line {}",
                first.item.name.as_str(),
                first.place.line
            );
            problems.add(at.place.clone(), found, "each tier's name once");
        }
        floors += u32::from(at.item.floor_percent);
        if floors > MAX_FLOORS_PERCENT {
            let found = format!("floor_percent of {floors} in sum up to this tier");
            let allowed = format!("at most {MAX_FLOORS_PERCENT} over all tiers");
            problems.add(at.place.clone(), found, allowed);
        }
    }
    tiers.into_iter().map(|at| at.item).collect()
}
