//! Idle accelerator hours against cold starts, with skewed demand over 48 simulated hours.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_policy::keep_alive::{
    Cost,
    KeepAlive,
    Options, //
};
use stair_types::ModelKey;

use crate::{
    plot::{
        Plot,
        Point, //
    },
    table::{
        Samples,
        exponential,
        head,
        row,
        secs, //
    },
};

const SPAN: f64 = 48.0 * 3_600.0;
const MAX_IDLE: f64 = 1_800.0;

/// A catalogue of base models and adapters.
struct Catalogue {
    name: &'static str,
    models: usize,
    adapters: usize,
    /// Whether each model has a regular request interval.
    regular: bool,
}

/// A model or an adapter with its requests. Times are in seconds.
struct Demand {
    cold_start: f64,
    /// Fraction of an accelerator that it occupies.
    size: f64,
    arrivals: Vec<f64>,
}

impl Demand {
    fn cost(&self) -> Cost {
        Cost {
            cold_start: secs(self.cold_start),
            memory_fraction: self.size,
        }
    }
}

/// The rule by which an idle model is unloaded.
#[derive(Clone, Copy)]
enum Rule {
    Fixed(f64),
    /// The break-even time, for a cost of a second of cold start.
    SkiRental(f64),
    /// The rule under test, for the same cost.
    Histogram(f64),
}

impl Rule {
    fn series(self) -> usize {
        match self {
            Self::Fixed(_) => 0,
            Self::SkiRental(_) => 1,
            Self::Histogram(_) => 2,
        }
    }
}

struct Report {
    idle_hours: f64,
    loads: u64,
    cold: Samples,
    cold_seconds: f64,
}

/// Generates sessions of requests at an interval of each model's own, with long idle times between them.
/// The first few models have most of the demand.
fn demand(catalogue: &Catalogue) -> Vec<Demand> {
    let mut rng = StdRng::seed_from_u64(41);
    let count = catalogue.models + catalogue.adapters;
    let one = |n: usize| {
        let adapter = n >= catalogue.models;
        let place = if adapter { n - catalogue.models } else { n };
        let mean_idle = 600.0 * (place + 1) as f64;
        let gap = rng.random_range(10.0..180.0);
        Demand {
            cold_start: if adapter {
                rng.random_range(1.0..4.0)
            } else {
                rng.random_range(5.0..40.0)
            },
            size: if adapter { 0.05 } else { 1.0 },
            arrivals: sessions(&mut rng, mean_idle, gap, catalogue.regular),
        }
    };
    (0..count).map(one).collect()
}

fn sessions(rng: &mut StdRng, mean_idle: f64, gap: f64, regular: bool) -> Vec<f64> {
    let mut arrivals = Vec::new();
    let mut now = exponential(rng, mean_idle);
    while now < SPAN {
        let requests = rng.random_range(5..60);
        for _ in 0..requests {
            arrivals.push(now);
            now += match regular {
                true => gap * rng.random_range(0.3..1.7),
                false => exponential(rng, gap),
            };
        }
        now += exponential(rng, mean_idle);
    }
    arrivals
}

fn run(demand: &[Demand], rule: Rule) -> Report {
    let mut report = Report {
        idle_hours: 0.0,
        loads: 0,
        cold: Samples::new(),
        cold_seconds: 0.0,
    };
    let mut keep_alive = KeepAlive::new(Options {
        cold_start_weight: match rule {
            Rule::Histogram(weight) => weight,
            _ => 1.0,
        },
        max_idle: secs(MAX_IDLE),
        ..Options::default()
    });
    for (n, d) in demand.iter().enumerate() {
        let model = ModelKey(n as u32);
        let mut kept_until = 0.0;
        let mut last = 0.0;
        for arrival in d.arrivals.iter().copied() {
            keep_alive.used(model, secs(arrival));
            let cold = arrival > kept_until;
            report.cold.add(if cold { d.cold_start } else { 0.0 });
            if cold {
                report.loads += 1;
                report.cold_seconds += d.cold_start;
            }
            report.idle_hours += (arrival.min(kept_until) - last).max(0.0) * d.size / 3_600.0;
            last = arrival;
            kept_until = match rule {
                Rule::Fixed(t) => arrival + t,
                Rule::SkiRental(weight) => {
                    arrival + (weight * d.cold_start / d.size).clamp(5.0, MAX_IDLE)
                }
                Rule::Histogram(_) => keep_alive
                    .idle_until(model, secs(arrival), &d.cost())
                    .as_secs_f64(),
            };
        }
        report.idle_hours += (kept_until.min(SPAN) - last).max(0.0) * d.size / 3_600.0;
    }
    report
}

/// The curves of idle accelerator hours against cold starts, one per catalogue.
pub(crate) fn curve() -> Vec<Plot> {
    let mut plots = Vec::new();
    head(
        "Idle accelerator hours against cold starts",
        "Two days; each model has sessions of 5 to 60 requests at an interval of its own (10 to 180 s), \
         and idle times of 10 minutes to 19 hours in the mean. Cold start 5 to 40 s, of an adapter 1 to 4 s; \
         an adapter holds a twentieth of an accelerator. Without a regular interval the times between requests are \
         exponential. The weight is the idle accelerator seconds \
         that a second of cold start is worth. Cold start over all requests, warm ones count as 0.",
        &[
            "catalogue",
            "rule",
            "idle accelerator hours",
            "loads",
            "requests cold",
            "cold seconds a request",
            "cold start p95 / p99",
        ],
    );
    let catalogues = [
        Catalogue {
            name: "Ordbrygga, 30 + 55",
            models: 30,
            adapters: 55,
            regular: true,
        },
        Catalogue {
            name: "Gawahi, 33 + 115",
            models: 33,
            adapters: 115,
            regular: true,
        },
        Catalogue {
            name: "30 + 55, no regular interval",
            models: 30,
            adapters: 55,
            regular: false,
        },
    ];
    for catalogue in &catalogues {
        let demand = demand(catalogue);
        let mut points = Vec::new();
        for (name, rule) in rules() {
            let report = run(&demand, rule);
            print(catalogue.name, &name, &report);
            points.push(Point {
                series: rule.series(),
                hours: report.idle_hours,
                cold_seconds: report.cold_seconds / report.cold.len() as f64,
            });
        }
        plots.push(Plot {
            title: catalogue.name,
            points,
        });
    }
    plots
}

fn rules() -> Vec<(String, Rule)> {
    let fixed = [10.0, 30.0, 60.0, 120.0, 300.0, 600.0].map(|t| {
        let baseline = if t == 60.0 { " (baseline)" } else { "" };
        (format!("fixed {t} s{baseline}"), Rule::Fixed(t))
    });
    let ski = [1.0, 4.0, 16.0].map(|w| (format!("ski rental, weight {w}"), Rule::SkiRental(w)));
    let weights = [0.5, 1.0, 2.0, 4.0, 6.0, 8.0, 12.0, 16.0];
    let histogram = weights.map(|w| (format!("histogram, weight {w}"), Rule::Histogram(w)));
    fixed.into_iter().chain(ski).chain(histogram).collect()
}

fn print(catalogue: &str, name: &str, report: &Report) {
    let requests = report.cold.len() as f64;
    row(&[
        catalogue.into(),
        name.into(),
        format!("{:.0}", report.idle_hours),
        format!("{}", report.loads),
        format!("{:.2}%", report.loads as f64 / requests * 100.0),
        format!("{:.2}", report.cold_seconds / requests),
        format!("{:.1} / {:.1}", report.cold.at(0.95), report.cold.at(0.99)),
    ]);
}
