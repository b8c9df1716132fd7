//! Retries during a loss of capacity, and the return of refused requests.

use std::time::Duration;

use stair_policy::{
    backoff::retry_after,
    retry::{
        Budget,
        Options, //
    },
};

use crate::table::{
    head,
    percent,
    row, //
};

const CAPACITY: f64 = 1_000.0;
const OFFERED: u32 = 900;
const ATTEMPTS: usize = 4;

struct Storm {
    served: f64,
    retries: u32,
    requests: u32,
    recovered_after: Option<u32>,
}

/// Simulates in steps of a second. Work beyond the capacity times out after it has used some of it, so
/// fewer responses are in time as the load grows.
fn run(budget: Option<Options>) -> Storm {
    const LOST_FROM: u32 = 30;
    const LOST_UNTIL: u32 = 60;
    let mut budget = budget.map(Budget::new);
    let mut pending = [0_u32; ATTEMPTS];
    let mut out = Storm {
        served: 0.0,
        retries: 0,
        requests: 0,
        recovered_after: None,
    };
    for now in 0..180 {
        let lost = (LOST_FROM..LOST_UNTIL).contains(&now);
        let capacity = if lost { CAPACITY / 2.0 } else { CAPACITY };
        pending[0] = OFFERED;
        out.requests += OFFERED;
        let load: u32 = pending.iter().sum();
        let served = (capacity / f64::from(load)).min(1.0).powi(2);
        out.served += f64::from(load) * served;
        let mut next = [0; ATTEMPTS];
        for attempt in 1..ATTEMPTS {
            let failed = (f64::from(pending[attempt - 1]) * (1.0 - served)).round() as u32;
            next[attempt] = failed;
        }
        if let Some(b) = &mut budget {
            allow(b, &mut next);
        }
        out.retries += next.iter().sum::<u32>();
        pending = next;
        let well = now >= LOST_UNTIL && served > 0.999;
        if well && out.recovered_after.is_none() {
            out.recovered_after = Some(now - LOST_UNTIL);
        }
    }
    out
}

/// Spends the budget on requests and failures that are evenly mixed over the second.
fn allow(budget: &mut Budget, wanted: &mut [u32; ATTEMPTS]) {
    let failed = wanted.iter().sum::<u32>();
    let mut attempted = 0;
    let mut allowed = 0;
    for n in 1..=OFFERED {
        budget.request();
        while attempted * OFFERED < failed * n {
            attempted += 1;
            allowed += u32::from(budget.try_retry());
        }
    }
    for w in wanted {
        *w = (*w).min(allowed);
        allowed -= *w;
    }
}

/// Half of the capacity is lost for half a minute.
pub(crate) fn storm() {
    head(
        "Retries while half of the capacity is lost",
        "900 requests a second on a capacity of 1,000, half of which is lost for 30 s of 180 s; up \
         to three retries each. Work beyond the capacity times out after using some of it.",
        &[
            "rule",
            "served in time",
            "retries",
            "retries per request",
            "back to normal after",
        ],
    );
    for (name, budget) in [
        ("no budget (baseline)", None),
        ("budget", Some(Options::default())),
    ] {
        let storm = run(budget);
        let recovered = storm.recovered_after;
        row(&[
            name.into(),
            percent(storm.served, f64::from(storm.requests)),
            format!("{}", storm.retries),
            percent(f64::from(storm.retries), f64::from(storm.requests)),
            recovered.map_or("not within 120 s".into(), |s| format!("{s} s")),
        ]);
    }
}

/// A thousand requests are refused at once with a retry delay.
pub(crate) fn returns() {
    head(
        "The return of refused requests",
        "1,000 requests are refused at the same time, with an expected drain time of 10 s. The number \
         that returns within the busiest second.",
        &["rule", "busiest second"],
    );
    let drain = Duration::from_secs(10);
    let mut seconds = [0_u32; 60];
    for id in 0..1_000 {
        seconds[retry_after(drain, id).as_secs() as usize] += 1;
    }
    row(&["same delay for all (baseline)".into(), "1000".into()]);
    let busiest = seconds.iter().max().copied().unwrap_or(0);
    row(&["spread by hash".into(), format!("{busiest}")]);
}
