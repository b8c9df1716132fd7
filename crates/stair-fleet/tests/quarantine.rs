//! Tests of the attribution of crashes to requests.

use std::time::Duration;

use stair_fleet::quarantine::{
    Crash,
    Ledger,
    Notice,
    QUARANTINE_DURATIONS,
    Run,
    SETTLE_DELAY,
    Standing,
    Watchlist, //
};
use stair_types::{
    Fingerprint,
    fingerprint::Contents, //
};

/// Longer than the window in which crashes may share a cause.
const BEYOND_COINCIDENCE: Duration = Duration::from_secs(1);

fn request(n: usize) -> Fingerprint {
    Contents {
        workspace: Some("w1"),
        method: "POST",
        host: b"words.example",
        path: &format!("/model/{n}"),
        body: b"prompt",
    }
    .fingerprint()
}

/// A run of the request that was interrupted right after it had begun.
fn run(n: usize) -> Run {
    Run {
        fingerprint: request(n),
        established: false,
        on_trial: false,
    }
}

/// The same for a trial.
fn trial(n: usize) -> Run {
    Run {
        on_trial: true,
        ..run(n)
    }
}

/// A ledger and its clock.
#[derive(Default)]
struct Bench {
    ledger: Ledger,
    now: Duration,
    crashes: usize,
}

impl Bench {
    /// Reports a crash of a target with these requests, without judging it. Runs of suspects are
    /// trials.
    fn report_crash(&mut self, runs: &[usize]) {
        self.crashes += 1;
        let one = |n: usize| match self.standing(n) {
            None => run(n),
            Some(_) => trial(n),
        };
        let crash = Crash {
            incarnation: format!("i-{}", self.crashes).into(),
            runs: runs.iter().copied().map(one).collect(),
        };
        self.ledger.report(&crash, self.now);
    }

    fn settle(&mut self) -> Vec<Notice> {
        self.now += SETTLE_DELAY;
        self.ledger.settle(self.now)
    }

    /// Reports and judges a crash of a target with these requests, some time after all others.
    fn crash(&mut self, runs: &[usize]) -> Vec<Notice> {
        self.now += BEYOND_COINCIDENCE;
        self.report_crash(runs);
        self.settle()
    }

    fn standing(&self, n: usize) -> Option<Standing> {
        let all = self.ledger.notices(self.now);
        let found = all.iter().find(|notice| notice.fingerprint == request(n));
        found.map(|notice| notice.standing)
    }

    fn is_quarantined(&self, n: usize) -> bool {
        matches!(self.standing(n), Some(Standing::Quarantined(_)))
    }
}

#[test]
fn single_request() {
    let mut bench = Bench::default();
    assert_eq!(bench.crash(&[1]), vec![]);
    bench.crash(&[1]);
    assert_eq!(bench.standing(1), Some(Standing::Suspect));
    let notices = bench.crash(&[1]);
    let is_quarantined = Standing::Quarantined(QUARANTINE_DURATIONS[0]);
    assert_eq!(notices[0].standing, is_quarantined);
}

/// The same request is on each target that crashes, each time with other requests.
#[test]
fn varying_companions() {
    let mut bench = Bench::default();
    for n in 0..3 {
        let others: Vec<usize> = (10 * n + 10..10 * n + 18).collect();
        bench.crash(&[&[1], &others[..]].concat());
    }
    assert!(bench.is_quarantined(1));
    let others = (10..38).filter(|n| bench.standing(*n).is_some());
    assert_eq!(others.count(), 0);
}

/// The same two requests are on each target that crashes: neither may be quarantined before they
/// have run apart.
#[test]
fn always_together() {
    let mut bench = Bench::default();
    for _ in 0..3 {
        bench.crash(&[1, 2]);
    }
    assert_eq!(bench.standing(1), Some(Standing::Suspect));
    assert_eq!(bench.standing(2), Some(Standing::Suspect));
    let now = bench.now;
    assert!(bench.ledger.begin_trial(request(1), "i-a", 1, now));
    assert!(!bench.ledger.begin_trial(request(2), "i-a", 1, now));
    assert!(!bench.ledger.begin_trial(request(1), "i-b", 2, now));
    assert!(bench.ledger.begin_trial(request(2), "i-b", 1, now));
    assert!(bench.ledger.survived(request(2)));
    bench.crash(&[1]);
    assert!(bench.is_quarantined(1));
    assert_eq!(bench.standing(2), None);
}

/// A request crashes its targets only after it has run for a while, so it takes more crashes.
#[test]
fn late_in_its_run() {
    let mut bench = Bench::default();
    for n in 0..6 {
        assert!(!bench.is_quarantined(1), "after {n} crashes");
        bench.now += BEYOND_COINCIDENCE;
        let late = Run {
            established: true,
            on_trial: bench.standing(1).is_some(),
            ..run(1)
        };
        let crash = Crash {
            incarnation: format!("l-{n}").into(),
            runs: vec![late, run(10 + n)],
        };
        bench.ledger.report(&crash, bench.now);
        bench.settle();
    }
    assert!(bench.is_quarantined(1));
}

/// Many targets crash at the same time, several times in a row, under requests that are sent again
/// at once. None of these may be quarantined.
#[test]
fn crashes_in_series() {
    let mut bench = Bench::default();
    for series in 0..4 {
        bench.now += BEYOND_COINCIDENCE;
        for n in 0..5 {
            bench.report_crash(&[n, 100 * series + n]);
        }
        bench.settle();
    }
    let is_quarantined = (0..400).filter(|n| bench.is_quarantined(*n));
    assert_eq!(is_quarantined.count(), 0);
}

/// Two requests crash their targets at the same moments.
#[test]
fn coinciding_crashes_of_two_requests() {
    let mut bench = Bench::default();
    for _ in 0..5 {
        bench.now += BEYOND_COINCIDENCE;
        bench.report_crash(&[1]);
        bench.report_crash(&[2]);
        bench.settle();
    }
    assert!(bench.is_quarantined(1) && bench.is_quarantined(2));
}

/// A request that runs often is on two crashes, and survives runs between and after them.
#[test]
fn survivor_is_cleared() {
    let mut bench = Bench::default();
    for _ in 0..10 {
        bench.crash(&[1]);
        bench.crash(&[1]);
        assert!(!bench.is_quarantined(1));
        assert!(bench.ledger.survived(request(1)));
    }
    assert!(!bench.ledger.survived(request(1)));
}

/// Entries report the same crash at different times.
#[test]
fn one_crash_many_reports() {
    let mut bench = Bench::default();
    let now = bench.now;
    for n in 0..20 {
        let crash = Crash {
            incarnation: "i-1".into(),
            runs: vec![run(1), run(2 + n)],
        };
        let at = now + SETTLE_DELAY / 10 * n as u32;
        bench.ledger.report(&crash, at);
        bench.ledger.settle(at);
    }
    bench.now = now + BEYOND_COINCIDENCE;
    bench.settle();
    assert_eq!(bench.ledger.notices(bench.now), vec![]);
}

/// After its quarantine a request may run once, and is quarantined for longer if it crashes that
/// target too.
#[test]
fn quarantine_expires() {
    let mut bench = Bench::default();
    (0..3).for_each(|_| drop(bench.crash(&[1])));
    for duration in &QUARANTINE_DURATIONS[1..] {
        assert!(!bench.ledger.begin_trial(request(1), "i-a", 1, bench.now));
        let Some(Standing::Quarantined(remaining)) = bench.standing(1) else {
            panic!("not quarantined");
        };
        bench.now += remaining;
        assert_eq!(bench.standing(1), Some(Standing::Suspect));
        assert!(bench.ledger.begin_trial(request(1), "i-a", 1, bench.now));
        bench.crash(&[1]);
        assert_eq!(bench.standing(1), Some(Standing::Quarantined(*duration)));
    }
}

/// Runs that were in progress when a request was quarantined must not prolong the quarantine.
#[test]
fn runs_in_progress_do_not_prolong_it() {
    let mut bench = Bench::default();
    (0..5).for_each(|_| drop(bench.crash(&[1])));
    let Some(Standing::Quarantined(remaining)) = bench.standing(1) else {
        panic!("not quarantined");
    };
    assert!(remaining <= QUARANTINE_DURATIONS[0]);
}

/// A ledger that has restarted gets from entries what it lost.
#[test]
fn restored_from_entries() {
    let mut old = Bench::default();
    (0..3).for_each(|_| drop(old.crash(&[1])));
    let known = old.ledger.notices(old.now);
    let mut new = Bench::default();
    let notice = new.ledger.merge(&known[0], new.now);
    assert_eq!(notice, Some(known[0]));
    assert_eq!(new.ledger.merge(&known[0], new.now), None);
    assert!(new.is_quarantined(1));
}

/// Many requests that each crash a target must take bounded memory and not evict a quarantined one.
#[test]
fn bounded_under_flood() {
    let mut bench = Bench::default();
    (0..3).for_each(|_| drop(bench.crash(&[1])));
    for n in 0..6000 {
        bench.now += Duration::from_millis(5);
        bench.report_crash(&[2 + n]);
        bench.ledger.settle(bench.now);
    }
    assert!(bench.ledger.records().len() <= 4096);
    assert!(bench.is_quarantined(1));
}

/// The trial of an entry that has disconnected must not block others.
#[test]
fn entry_disconnects() {
    let mut bench = Bench::default();
    let now = bench.now;
    assert!(bench.ledger.begin_trial(request(1), "i-a", 7, now));
    assert!(!bench.ledger.begin_trial(request(2), "i-a", 8, now));
    bench.ledger.owner_disconnected(7, now);
    assert!(
        bench
            .ledger
            .begin_trial(request(2), "i-a", 8, now + 2 * BEYOND_COINCIDENCE)
    );
}

#[test]
fn watchlist() {
    let mut list = Watchlist::default();
    let now = Duration::ZERO;
    let notice = |standing| Notice {
        fingerprint: request(1),
        standing,
    };
    let is_quarantined = Duration::from_secs(60);
    assert!(list.apply(&notice(Standing::Suspect), now));
    assert!(!list.apply(&notice(Standing::Suspect), now));
    assert!(list.apply(&notice(Standing::Quarantined(is_quarantined)), now));
    // The notice of an agent that lags.
    assert!(!list.apply(&notice(Standing::Suspect), now));
    let standing = list.standing(&request(1), now);
    assert_eq!(standing, Some(Standing::Quarantined(is_quarantined)));
    assert!(list.has_outline(request(1).outline()));
    assert!(!list.has_outline(request(2).outline()));
    assert_eq!(
        list.standing(&request(1), now + is_quarantined),
        Some(Standing::Suspect)
    );
    assert!(list.apply(&notice(Standing::Cleared), now));
    assert_eq!(list.standing(&request(1), now), None);
}
