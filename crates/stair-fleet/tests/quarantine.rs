//! Tests of the attribution of crashes to requests.

use std::time::Duration;

use stair_fleet::quarantine::{
    CONTESTED_DELAY,
    Crash,
    Ledger,
    Notice,
    QUARANTINE_DURATIONS,
    Run,
    SETTLE_DELAY,
    Standing,
    TrialReply,
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

/// A trial of the request that was interrupted right after it had begun.
fn trial(n: usize) -> Run {
    Run {
        on_trial: true,
        ..run(n)
    }
}

/// A ledger and its clock.
#[derive(Default)]
struct Fixture {
    ledger: Ledger,
    now: Duration,
    crashes: usize,
}

impl Fixture {
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

    /// Judges contested trials again.
    fn settle_contested(&mut self) -> Vec<Notice> {
        self.now += CONTESTED_DELAY - SETTLE_DELAY;
        self.ledger.settle(self.now)
    }

    fn begin_trial(
        &mut self,
        causes: &[Fingerprint],
        target: &str,
        owner: u64,
        now: Duration,
    ) -> bool {
        self.ledger.begin_trial(causes, target, owner, now) == TrialReply::Granted
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
    let mut fixture = Fixture::default();
    assert_eq!(fixture.crash(&[1]), vec![]);
    fixture.crash(&[1]);
    assert_eq!(fixture.standing(1), Some(Standing::Suspect));
    let notices = fixture.crash(&[1]);
    let quarantined = Standing::Quarantined(QUARANTINE_DURATIONS[0]);
    assert_eq!(notices[0].standing, quarantined);
}

/// The same request is on each target that crashes, each time with other requests.
#[test]
fn varying_companions() {
    let mut fixture = Fixture::default();
    for n in 0..3 {
        let others: Vec<usize> = (10 * n + 10..10 * n + 18).collect();
        fixture.crash(&[&[1], &others[..]].concat());
    }
    fixture.settle_contested();
    assert!(fixture.is_quarantined(1));
    let others = (10..38).filter(|n| fixture.standing(*n).is_some());
    assert_eq!(others.count(), 0);
}

/// The same two requests are on each target that crashes: neither may be quarantined before they
/// have run apart.
#[test]
fn always_together() {
    let mut fixture = Fixture::default();
    for _ in 0..3 {
        fixture.crash(&[1, 2]);
    }
    assert_eq!(fixture.standing(1), Some(Standing::Suspect));
    assert_eq!(fixture.standing(2), Some(Standing::Suspect));
    let now = fixture.now;
    assert!(fixture.begin_trial(&[request(1)], "i-a", 1, now));
    assert!(!fixture.begin_trial(&[request(2)], "i-a", 1, now));
    assert!(!fixture.begin_trial(&[request(1)], "i-b", 2, now));
    assert!(fixture.begin_trial(&[request(2)], "i-b", 1, now));
    assert!(fixture.ledger.survived(request(2), fixture.now));
    fixture.crash(&[1]);
    assert!(fixture.is_quarantined(1));
    assert_eq!(fixture.standing(2), None);
}

/// The third crash of an ordinary request is its trial's, beside a deadly request that has no blame
/// yet: the next crashes of that one must explain it before the trial is judged.
#[test]
fn trial_beside_unknown_cause() {
    let mut fixture = Fixture::default();
    fixture.crash(&[1, 2]);
    fixture.crash(&[1, 3]);
    assert_eq!(fixture.standing(1), Some(Standing::Suspect));
    fixture.crash(&[1, 4, 5]);
    assert!(!fixture.is_quarantined(1));
    fixture.now += SETTLE_DELAY;
    fixture.report_crash(&[4, 6]);
    fixture.settle();
    fixture.settle_contested();
    assert!(!fixture.is_quarantined(1));
    assert!(!fixture.is_quarantined(4));
}

/// While targets crash together for other reasons, one crash during a trial proves nothing.
#[test]
fn trial_in_unrest() {
    let mut fixture = Fixture::default();
    for series in 0..3 {
        fixture.now += BEYOND_COINCIDENCE;
        for n in 0..3 {
            fixture.report_crash(&[n, 100 * series + n + 10]);
        }
        fixture.settle();
    }
    fixture.crash(&[1]);
    fixture.settle_contested();
    assert!(!fixture.is_quarantined(1));
    fixture.crash(&[1]);
    assert!(fixture.is_quarantined(1));
}

/// A request crashes its targets only after it has run for a while, so it takes more crashes. Those
/// of its trials count in full.
#[test]
fn late_in_its_run() {
    let mut fixture = Fixture::default();
    for n in 0..5 {
        assert!(!fixture.is_quarantined(1), "after {n} crashes");
        fixture.now += BEYOND_COINCIDENCE;
        let late = Run {
            established: true,
            on_trial: fixture.standing(1).is_some(),
            ..run(1)
        };
        let crash = Crash {
            incarnation: format!("l-{n}").into(),
            runs: vec![late, run(10 + n)],
        };
        fixture.ledger.report(&crash, fixture.now);
        fixture.settle();
    }
    assert!(fixture.is_quarantined(1));
}

/// Many targets crash at the same time, several times in a row, under requests that are sent again
/// at once. None of these may be quarantined.
#[test]
fn crashes_in_series() {
    let mut fixture = Fixture::default();
    for series in 0..4 {
        fixture.now += BEYOND_COINCIDENCE;
        for n in 0..5 {
            fixture.report_crash(&[n, 100 * series + n]);
        }
        fixture.settle();
    }
    let quarantined = (0..400).filter(|n| fixture.is_quarantined(*n));
    assert_eq!(quarantined.count(), 0);
}

/// Two requests crash their targets at the same moments.
#[test]
fn coinciding_crashes_of_two_requests() {
    let mut fixture = Fixture::default();
    for _ in 0..5 {
        fixture.now += BEYOND_COINCIDENCE;
        fixture.report_crash(&[1]);
        fixture.report_crash(&[2]);
        fixture.settle();
    }
    assert!(fixture.is_quarantined(1) && fixture.is_quarantined(2));
}

/// A request that runs often is on two crashes, and survives runs between and after them.
#[test]
fn survivor_is_cleared() {
    let mut fixture = Fixture::default();
    for _ in 0..10 {
        fixture.crash(&[1]);
        fixture.crash(&[1]);
        assert!(!fixture.is_quarantined(1));
        assert!(fixture.ledger.survived(request(1), fixture.now));
    }
    assert!(!fixture.ledger.survived(request(1), fixture.now));
}

/// Entries report the same crash at different times.
#[test]
fn one_crash_many_reports() {
    let mut fixture = Fixture::default();
    let now = fixture.now;
    for n in 0..20 {
        let crash = Crash {
            incarnation: "i-1".into(),
            runs: vec![run(1), run(2 + n)],
        };
        let at = now + SETTLE_DELAY / 10 * n as u32;
        fixture.ledger.report(&crash, at);
        fixture.ledger.settle(at);
    }
    fixture.now = now + BEYOND_COINCIDENCE;
    fixture.settle();
    assert_eq!(fixture.ledger.notices(fixture.now), vec![]);
}

/// After its quarantine a request may run once, and is quarantined for longer if it crashes that
/// target too.
#[test]
fn quarantine_expires() {
    let mut fixture = Fixture::default();
    (0..3).for_each(|_| drop(fixture.crash(&[1])));
    for duration in &QUARANTINE_DURATIONS[1..] {
        assert!(!fixture.begin_trial(&[request(1)], "i-a", 1, fixture.now));
        let Some(Standing::Quarantined(remaining)) = fixture.standing(1) else {
            panic!("not quarantined");
        };
        fixture.now += remaining;
        assert_eq!(fixture.standing(1), Some(Standing::Suspect));
        assert!(fixture.begin_trial(&[request(1)], "i-a", 1, fixture.now));
        fixture.crash(&[1]);
        assert_eq!(fixture.standing(1), Some(Standing::Quarantined(*duration)));
    }
}

/// Runs that were in progress when a request was quarantined must not prolong the quarantine.
#[test]
fn runs_in_progress_do_not_prolong_it() {
    let mut fixture = Fixture::default();
    (0..5).for_each(|_| drop(fixture.crash(&[1])));
    let Some(Standing::Quarantined(remaining)) = fixture.standing(1) else {
        panic!("not quarantined");
    };
    assert!(remaining <= QUARANTINE_DURATIONS[0]);
}

/// A ledger that has restarted gets from entries what it lost.
#[test]
fn restored_from_entries() {
    let mut old = Fixture::default();
    (0..3).for_each(|_| drop(old.crash(&[1])));
    let known = old.ledger.notices(old.now);
    let mut new = Fixture::default();
    let notice = new.ledger.merge(&known[0], new.now);
    assert_eq!(notice, Some(known[0]));
    assert_eq!(new.ledger.merge(&known[0], new.now), None);
    assert!(new.is_quarantined(1));
}

/// Many requests that each crash a target must take bounded memory and not evict a quarantined one.
#[test]
fn bounded_under_flood() {
    let mut fixture = Fixture::default();
    (0..3).for_each(|_| drop(fixture.crash(&[1])));
    for n in 0..6000 {
        fixture.now += Duration::from_millis(5);
        fixture.report_crash(&[2 + n]);
        fixture.ledger.settle(fixture.now);
    }
    assert!(fixture.ledger.records().len() <= 4096);
    assert!(fixture.is_quarantined(1));
}

/// The trial of an entry that has disconnected must not block others.
#[test]
fn entry_disconnects() {
    let mut fixture = Fixture::default();
    let now = fixture.now;
    assert!(fixture.begin_trial(&[request(1)], "i-a", 7, now));
    assert!(!fixture.begin_trial(&[request(2)], "i-a", 8, now));
    fixture.ledger.owner_disconnected(7, now);
    assert!(fixture.begin_trial(&[request(2)], "i-a", 8, now + 2 * BEYOND_COINCIDENCE));
}

#[test]
fn watchlist() {
    let mut list = Watchlist::default();
    let now = Duration::ZERO;
    let notice = |standing| Notice {
        fingerprint: request(1),
        standing,
    };
    let remaining = Duration::from_secs(60);
    assert!(list.apply(&notice(Standing::Suspect), now));
    assert!(!list.apply(&notice(Standing::Suspect), now));
    assert!(list.apply(&notice(Standing::Quarantined(remaining)), now));
    // The notice of an agent that lags.
    assert!(!list.apply(&notice(Standing::Suspect), now));
    let standing = list.standing(&request(1), now);
    assert_eq!(standing, Some(Standing::Quarantined(remaining)));
    assert!(list.has_outline(request(1).outline()));
    assert!(!list.has_outline(request(2).outline()));
    assert_eq!(
        list.standing(&request(1), now + remaining),
        Some(Standing::Suspect)
    );
    assert!(list.apply(&notice(Standing::Cleared), now));
    assert_eq!(list.standing(&request(1), now), None);
}
