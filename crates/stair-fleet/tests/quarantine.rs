//! Which request is blamed for the ends of targets.

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

/// Longer than targets end together for one cause.
const LATER: Duration = Duration::from_secs(1);

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

/// The same as it was cut, right after it had begun.
fn run(n: usize) -> Run {
    Run {
        fingerprint: request(n),
        established: false,
        on_trial: false,
    }
}

/// The same where it ran as a suspect.
fn trial(n: usize) -> Run {
    Run {
        on_trial: true,
        ..run(n)
    }
}

/// A ledger and the time.
#[derive(Default)]
struct Rig {
    ledger: Ledger,
    now: Duration,
    ended: usize,
}

impl Rig {
    /// A target ends with these requests on it, without the ledger judging it yet. Suspects run apart.
    fn ends(&mut self, runs: &[usize]) {
        self.ended += 1;
        let one = |n: usize| match self.standing(n) {
            None => run(n),
            Some(_) => trial(n),
        };
        let crash = Crash {
            incarnation: format!("i-{}", self.ended).into(),
            runs: runs.iter().copied().map(one).collect(),
        };
        self.ledger.report(&crash, self.now);
    }

    fn settle(&mut self) -> Vec<Notice> {
        self.now += SETTLE_DELAY;
        self.ledger.settle(self.now)
    }

    /// A target ends with these requests on it, some time after all others.
    fn crash(&mut self, runs: &[usize]) -> Vec<Notice> {
        self.now += LATER;
        self.ends(runs);
        self.settle()
    }

    fn standing(&self, n: usize) -> Option<Standing> {
        let all = self.ledger.notices(self.now);
        let found = all.iter().find(|notice| notice.fingerprint == request(n));
        found.map(|notice| notice.standing)
    }

    fn held(&self, n: usize) -> bool {
        matches!(self.standing(n), Some(Standing::Quarantined(_)))
    }
}

#[test]
fn alone() {
    let mut rig = Rig::default();
    assert_eq!(rig.crash(&[1]), vec![]);
    rig.crash(&[1]);
    assert_eq!(rig.standing(1), Some(Standing::Suspect));
    let notices = rig.crash(&[1]);
    let held = Standing::Quarantined(QUARANTINE_DURATIONS[0]);
    assert_eq!(notices[0].standing, held);
}

/// Each time other requests are on the target that the same one ends.
#[test]
fn among_others() {
    let mut rig = Rig::default();
    for n in 0..3 {
        let others: Vec<usize> = (10 * n + 10..10 * n + 18).collect();
        rig.crash(&[&[1], &others[..]].concat());
    }
    assert!(rig.held(1));
    let others = (10..38).filter(|n| rig.standing(*n).is_some());
    assert_eq!(others.count(), 0);
}

/// The same requests meet at the next target each time: neither is quarantined before they have run apart.
#[test]
fn always_together() {
    let mut rig = Rig::default();
    for _ in 0..3 {
        rig.crash(&[1, 2]);
    }
    assert_eq!(rig.standing(1), Some(Standing::Suspect));
    assert_eq!(rig.standing(2), Some(Standing::Suspect));
    let now = rig.now;
    assert!(rig.ledger.begin_trial(request(1), "i-a", 1, now));
    assert!(!rig.ledger.begin_trial(request(2), "i-a", 1, now));
    assert!(!rig.ledger.begin_trial(request(1), "i-b", 2, now));
    assert!(rig.ledger.begin_trial(request(2), "i-b", 1, now));
    assert!(rig.ledger.survived(request(2)));
    rig.crash(&[1]);
    assert!(rig.held(1));
    assert_eq!(rig.standing(2), None);
}

/// A request ends its targets only after it has run for a while: it takes more crashes.
#[test]
fn late_in_its_run() {
    let mut rig = Rig::default();
    for n in 0..6 {
        assert!(!rig.held(1), "after {n} crashes");
        rig.now += LATER;
        let late = Run {
            established: true,
            on_trial: rig.standing(1).is_some(),
            ..run(1)
        };
        let crash = Crash {
            incarnation: format!("l-{n}").into(),
            runs: vec![late, run(10 + n)],
        };
        rig.ledger.report(&crash, rig.now);
        rig.settle();
    }
    assert!(rig.held(1));
}

/// Many targets end at the same time, several times in a row, under requests that are repeated at once.
#[test]
fn crashes_in_series() {
    let mut rig = Rig::default();
    for series in 0..4 {
        rig.now += LATER;
        for n in 0..5 {
            rig.ends(&[n, 100 * series + n]);
        }
        rig.settle();
    }
    let held = (0..400).filter(|n| rig.held(*n));
    assert_eq!(held.count(), 0);
}

/// Two deadly requests end their targets at the same moments.
#[test]
fn in_step() {
    let mut rig = Rig::default();
    for _ in 0..5 {
        rig.now += LATER;
        rig.ends(&[1]);
        rig.ends(&[2]);
        rig.settle();
    }
    assert!(rig.held(1) && rig.held(2));
}

/// A request that runs often is on two crashes, and survives between and after them.
#[test]
fn survives() {
    let mut rig = Rig::default();
    for _ in 0..10 {
        rig.crash(&[1]);
        rig.crash(&[1]);
        assert!(!rig.held(1));
        assert!(rig.ledger.survived(request(1)));
    }
    assert!(!rig.ledger.survived(request(1)));
}

/// Entries report one crash each, at different times.
#[test]
fn one_crash_many_reports() {
    let mut rig = Rig::default();
    let now = rig.now;
    for n in 0..20 {
        let crash = Crash {
            incarnation: "i-1".into(),
            runs: vec![run(1), run(2 + n)],
        };
        let at = now + SETTLE_DELAY / 10 * n as u32;
        rig.ledger.report(&crash, at);
        rig.ledger.settle(at);
    }
    rig.now = now + LATER;
    rig.settle();
    assert_eq!(rig.ledger.notices(rig.now), vec![]);
}

/// After its time a quarantined request may run once, and is quarantined for longer if it ends that target too.
#[test]
fn comes_back() {
    let mut rig = Rig::default();
    (0..3).for_each(|_| drop(rig.crash(&[1])));
    for hold in &QUARANTINE_DURATIONS[1..] {
        assert!(!rig.ledger.begin_trial(request(1), "i-a", 1, rig.now));
        let Some(Standing::Quarantined(left)) = rig.standing(1) else {
            panic!("not quarantined");
        };
        rig.now += left;
        assert_eq!(rig.standing(1), Some(Standing::Suspect));
        assert!(rig.ledger.begin_trial(request(1), "i-a", 1, rig.now));
        rig.crash(&[1]);
        assert_eq!(rig.standing(1), Some(Standing::Quarantined(*hold)));
    }
}

/// What was under way when a request was quarantined does not prolong that.
#[test]
fn stragglers() {
    let mut rig = Rig::default();
    (0..5).for_each(|_| drop(rig.crash(&[1])));
    let Some(Standing::Quarantined(left)) = rig.standing(1) else {
        panic!("not quarantined");
    };
    assert!(left <= QUARANTINE_DURATIONS[0]);
}

/// A ledger that has started anew learns from entries what it lost.
#[test]
fn learns_from_entries() {
    let mut old = Rig::default();
    (0..3).for_each(|_| drop(old.crash(&[1])));
    let known = old.ledger.notices(old.now);
    let mut new = Rig::default();
    let notice = new.ledger.merge(&known[0], new.now);
    assert_eq!(notice, Some(known[0]));
    assert_eq!(new.ledger.merge(&known[0], new.now), None);
    assert!(new.held(1));
}

/// A flood of requests that each end a target takes bounded memory, and does not push out what is quarantined.
#[test]
fn flood() {
    let mut rig = Rig::default();
    (0..3).for_each(|_| drop(rig.crash(&[1])));
    for n in 0..6000 {
        rig.now += Duration::from_millis(5);
        rig.ends(&[2 + n]);
        rig.ledger.settle(rig.now);
    }
    assert!(rig.ledger.records().len() <= 4096);
    assert!(rig.held(1));
}

/// The run of a suspect whose entry has gone does not keep others waiting.
#[test]
fn entry_gone() {
    let mut rig = Rig::default();
    let now = rig.now;
    assert!(rig.ledger.begin_trial(request(1), "i-a", 7, now));
    assert!(!rig.ledger.begin_trial(request(2), "i-a", 8, now));
    rig.ledger.owner_disconnected(7, now);
    assert!(
        rig.ledger
            .begin_trial(request(2), "i-a", 8, now + 2 * LATER)
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
    let held = Duration::from_secs(60);
    assert!(list.apply(&notice(Standing::Suspect), now));
    assert!(!list.apply(&notice(Standing::Suspect), now));
    assert!(list.apply(&notice(Standing::Quarantined(held)), now));
    // Another agent may be behind.
    assert!(!list.apply(&notice(Standing::Suspect), now));
    let standing = list.standing(&request(1), now);
    assert_eq!(standing, Some(Standing::Quarantined(held)));
    assert!(list.has_outline(request(1).outline()));
    assert!(!list.has_outline(request(2).outline()));
    assert_eq!(
        list.standing(&request(1), now + held),
        Some(Standing::Suspect)
    );
    assert!(list.apply(&notice(Standing::Cleared), now));
    assert_eq!(list.standing(&request(1), now), None);
}
