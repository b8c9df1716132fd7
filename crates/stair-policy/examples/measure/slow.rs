//! One slow target, all targets slow, stale reports, and prefix affinity.

use crate::{
    dispatch::{
        Report,
        Rule,
        Scenario,
        Slow,
        run, //
    },
    paper::Mean,
    table::{
        head,
        percent,
        row, //
    },
};

const RULES: [(&str, Rule); 8] = [
    ("round robin (baseline)", Rule::RoundRobin),
    ("least reported wait (baseline)", Rule::LeastReported),
    ("least in flight", Rule::LeastInFlight),
    ("choose, no weights", Rule::Choose),
    ("choose, target 0 excluded while slow (bound)", Rule::Oracle),
    (
        "choose + traffic weights (outlier rule)",
        Rule::TrafficWeights,
    ),
    (
        "choose + paper, mean on the fly",
        Rule::Paper(Mean::OnTheFly),
    ),
    (
        "choose + paper, mean pre-computed",
        Rule::Paper(Mean::PreComputed),
    ),
];

const SCENARIO: Scenario = Scenario {
    entries: 3,
    targets: 9,
    slots: 8,
    load: 0.6,
    report_interval: 0.1,
    slow: Slow::Nobody,
    prefixes: 0,
    span: 300.0,
    seed: 31,
};

/// One of nine targets slow by several factors, and all of them.
pub(crate) fn slow_target() {
    head(
        "One slow target, and all slow together",
        "3 entries, 9 targets of 8 slots, runs of 0.2 s in the mean, 60% load, reports every 0.1 s, \
         5 minutes, of which the second third is slow. Latency while slow leaves out the first 10 s. \
         The lowest healthy weight is that of a target that is not slow on its own. With all slow \
         1.5 times the load is 90%.",
        &[
            "who is slow",
            "rule",
            "latency",
            "latency while slow",
            "sent to the slow one",
            "lowest healthy weight",
        ],
    );
    let slows = [
        ("nobody", Slow::Nobody),
        ("one, 3 times", Slow::One(3.0)),
        ("one, 10 times", Slow::One(10.0)),
        ("all, 1.5 times", Slow::All(1.5)),
    ];
    for (who, slow) in slows {
        for (name, rule) in RULES {
            let report = run(Scenario { slow, ..SCENARIO }, rule);
            print(who, name, &report);
        }
    }
}

/// The outlier rule of `traffic_weights` and the paper's rule, over ten seeds.
pub(crate) fn detection() {
    head(
        "The outlier rule and the paper's rule",
        "The same, over ten seeds: the mean of p99 while slow, its least and greatest, the mean share \
         sent to the slow target (11.1% is its fair share) and to it from 30 s after its recovery, and the lowest weight of a healthy \
         target.",
        &[
            "who is slow",
            "rule",
            "p99 while slow",
            "sent to the slow one",
            "sent to it 30 s after",
            "lowest healthy weight",
        ],
    );
    let slows = [
        ("nobody", Slow::Nobody),
        ("one, 3 times", Slow::One(3.0)),
        ("one, 10 times", Slow::One(10.0)),
        ("all, 1.5 times", Slow::All(1.5)),
        (
            "all 1.3 times, one of them 5 times more",
            Slow::AllAndOne(1.3, 5.0),
        ),
    ];
    for (who, slow) in slows {
        for (name, rule) in &RULES[3..] {
            let scenarios = (100..110).map(|seed| Scenario {
                slow,
                seed,
                ..SCENARIO
            });
            let reports: Vec<_> = scenarios.map(|s| run(s, *rule)).collect();
            print_detection(who, name, &reports);
        }
    }
}

fn print_detection(who: &str, name: &str, reports: &[Report]) {
    let p99 = reports.iter().map(|r| r.latency_slow.at(0.99));
    let mean = p99.clone().sum::<f64>() / reports.len() as f64;
    let least = p99.clone().fold(f64::INFINITY, f64::min);
    let greatest = p99.fold(0.0, f64::max);
    let sent: u64 = reports.iter().map(|r| r.to_slow).sum();
    let all: u64 = reports.iter().map(|r| r.all_then).sum();
    let back: u64 = reports.iter().map(|r| r.to_recovered).sum();
    let after: u64 = reports.iter().map(|r| r.all_recovered).sum();
    let lowest = reports.iter().map(|r| r.lowest_healthy).fold(1.0, f32::min);
    row(&[
        who.into(),
        name.into(),
        format!("{mean:.3} ({least:.2} to {greatest:.2})"),
        percent(sent as f64, all as f64),
        percent(back as f64, after as f64),
        format!("{lowest:.2}"),
    ]);
}

fn print(who: &str, name: &str, report: &Report) {
    row(&[
        who.into(),
        name.into(),
        report.latency.cell(),
        report.latency_slow.cell(),
        percent(report.to_slow as f64, report.all_then as f64),
        format!("{:.2}", report.lowest_healthy),
    ]);
}

/// More entries, with load reports that are up to two seconds old.
pub(crate) fn stale_reports() {
    head(
        "Reports that lag",
        "The same with 40 and 400 entries, 85% load and nobody slow.",
        &["entries", "report every", "rule", "latency"],
    );
    for (entries, report_interval) in [(40, 0.1), (40, 0.5), (40, 2.0), (400, 0.5), (400, 2.0)] {
        for (name, rule) in &RULES[..4] {
            let scenario = Scenario {
                entries,
                load: 0.85,
                report_interval,
                span: 120.0,
                ..SCENARIO
            };
            let report = run(scenario, *rule);
            row(&[
                format!("{entries}"),
                format!("{report_interval} s"),
                (*name).into(),
                report.latency.cell(),
            ]);
        }
    }
}

/// Prompts with shared long prefixes.
pub(crate) fn prefixes() {
    head(
        "Prefix affinity",
        "3 entries, 9 targets of 8 slots that cache 4 prefixes each; 30 prefixes, the first requested \
         twice as often as the second and so on. A prefix that is not cached costs 0.3 s in addition to \
         the run of 0.2 s in the mean. The load does not include the prefixes.",
        &[
            "load",
            "rule",
            "latency",
            "prefix cached",
            "busiest target's share",
        ],
    );
    let rules = [
        ("least in flight (baseline)", Rule::LeastInFlight),
        ("always the affinity target", Rule::AffinityTarget),
        ("choose, no affinity", Rule::Choose),
        ("choose, affinity", Rule::Affinity),
    ];
    for load in [0.2, 0.35, 0.5] {
        for (name, rule) in rules {
            let scenario = Scenario {
                prefixes: 30,
                load,
                ..SCENARIO
            };
            let report = run(scenario, rule);
            let all = report.latency.len() as f64;
            row(&[
                format!("{load}"),
                name.into(),
                report.latency.cell(),
                percent(report.hits as f64, all),
                percent(report.busiest as f64, all),
            ]);
        }
    }
}
