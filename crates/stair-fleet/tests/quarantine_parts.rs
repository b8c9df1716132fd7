//! Tests of the attribution of crashes to parts of prompts.

use std::time::Duration;

use stair_fleet::quarantine::{
    Assessment,
    CONTESTED_DELAY,
    Crash,
    Ledger,
    Parts,
    QUARANTINE_DURATIONS,
    SETTLE_DELAY,
    SUSPECT_DELAY,
    Standing,
    Survivals,
    TrialReply,
    Watchlist,
    interrupted, //
};
use stair_types::{
    Fingerprint,
    fingerprint::{
        Contents,
        Scope, //
    },
};

/// Longer than the window in which crashes may share a cause, and than a trial blocks the next one.
const PAUSE: Duration = Duration::from_millis(1500);

/// Ids of parts.
const DEADLY: u64 = 0xdead;
const TEMPLATE: u64 = 1;
const SUBJECT: u64 = 2;

/// A request of a client, no two of them alike.
#[derive(Clone)]
struct Request {
    own: Fingerprint,
    parts: Parts,
}

/// A ledger and an entry's watchlist, and their clock.
#[derive(Default)]
struct Fixture {
    ledger: Ledger,
    watchlist: Watchlist,
    now: Duration,
    requests: usize,
    crashes: usize,
}

impl Fixture {
    fn request(&mut self, workspace: Option<&str>, ids: &[u64]) -> Request {
        self.requests += 1;
        let own = Contents {
            workspace,
            method: "POST",
            host: b"words.example",
            path: &format!("/model/{}", self.requests),
            body: b"prompt",
        };
        Request {
            own: own.fingerprint(),
            parts: Parts::new(workspace, ids.iter().copied()),
        }
    }

    fn assess(&self, req: &Request) -> Assessment {
        self.watchlist.assess(Some(req.own), &req.parts, self.now)
    }

    /// Runs a request alone at a target that crashes. Returns false if it was not let through.
    fn run_and_crash(&mut self, req: &Request) -> bool {
        self.now += PAUSE;
        self.crashes += 1;
        let target = format!("i-{}", self.crashes);
        let on_trial = match self.assess(req) {
            Assessment::Quarantined { .. } => return false,
            Assessment::Ordinary => Vec::new(),
            Assessment::Suspect(causes) => causes,
        };
        if !on_trial.is_empty() {
            let reply = self.ledger.begin_trial(&on_trial, &target, 0, self.now);
            if reply != TrialReply::Granted {
                return false;
            }
            self.ledger.end_trial(on_trial[0], self.now);
        }
        let crash = Crash {
            incarnation: target.into(),
            runs: interrupted(req.own, &req.parts, false, &on_trial),
        };
        self.ledger.report(&crash, self.now);
        let reported = self.now;
        for delay in [SUSPECT_DELAY, SETTLE_DELAY, CONTESTED_DELAY] {
            self.now = reported + delay;
            self.settle();
        }
        true
    }

    fn settle(&mut self) {
        for notice in self.ledger.settle(self.now) {
            self.watchlist.apply(&notice, self.now);
        }
    }

    /// Sends a request, which runs unless it is quarantined or its suspects are on trial, and survives.
    fn run_and_survive(&mut self, req: &Request) -> bool {
        self.now += PAUSE;
        let on_trial = match self.assess(req) {
            Assessment::Quarantined { .. } => return false,
            Assessment::Ordinary => Vec::new(),
            Assessment::Suspect(causes) => causes,
        };
        if !on_trial.is_empty()
            && self.ledger.begin_trial(&on_trial, "sound", 0, self.now) != TrialReply::Granted
        {
            return false;
        }
        for cause in [&req.own].into_iter().chain(req.parts.as_slice()) {
            self.watchlist.remove(cause);
            self.ledger.survived(*cause, self.now);
        }
        self.settle();
        true
    }

    fn standing(&self, id: u64) -> Option<Standing> {
        let part = Fingerprint::of_part(Scope::All, id);
        self.watchlist.standing(&part, self.now)
    }

    fn is_quarantined(&self, id: u64) -> bool {
        matches!(self.standing(id), Some(Standing::Quarantined(_)))
    }
}

/// Requests of which no two are alike share a part that crashes targets, and its companion is sound.
#[test]
fn shared_part() {
    let mut fixture = Fixture::default();
    for n in 0..3 {
        let req = fixture.request(None, &[TEMPLATE, DEADLY]);
        assert!(fixture.run_and_crash(&req), "run {n}");
        let sound = fixture.request(None, &[TEMPLATE, SUBJECT]);
        assert!(fixture.run_and_survive(&sound), "run {n}");
    }
    assert!(fixture.is_quarantined(DEADLY));
    let req = fixture.request(None, &[SUBJECT, DEADLY]);
    assert!(matches!(
        fixture.assess(&req),
        Assessment::Quarantined { .. }
    ));
    let sound = fixture.request(None, &[TEMPLATE, SUBJECT]);
    assert_eq!(fixture.assess(&sound), Assessment::Ordinary);
}

/// Two parts are together on each crash: requests with both are not run, those with one are, which
/// tells the parts apart.
#[test]
fn always_together() {
    let mut fixture = Fixture::default();
    let mut runs = 0;
    for n in 0..10 {
        let req = fixture.request(None, &[TEMPLATE, DEADLY, 100 + n]);
        runs += usize::from(fixture.run_and_crash(&req));
    }
    assert_eq!(runs, 3);
    assert!(!fixture.is_quarantined(TEMPLATE));
    let sound = fixture.request(None, &[TEMPLATE, 200]);
    assert!(fixture.run_and_survive(&sound));
    assert!(fixture.is_quarantined(DEADLY));
    assert_eq!(fixture.standing(TEMPLATE), None);
}

/// The part of a tie that crashes a target without the other one is quarantined alone.
#[test]
fn told_apart_by_crash() {
    let mut fixture = Fixture::default();
    for n in 0..3 {
        let req = fixture.request(None, &[TEMPLATE, DEADLY, 100 + n]);
        assert!(fixture.run_and_crash(&req));
    }
    let req = fixture.request(None, &[DEADLY, 200]);
    let mut runs = 0;
    while !fixture.is_quarantined(DEADLY) {
        runs += usize::from(fixture.run_and_crash(&req));
        assert!(runs <= 2);
    }
    let sound = fixture.request(None, &[TEMPLATE, 300]);
    assert!(fixture.run_and_survive(&sound));
}

/// A caller whose requests crash targets cannot have a part quarantined for others.
#[test]
fn other_workspace() {
    let mut fixture = Fixture::default();
    for n in 0..8 {
        let req = fixture.request(Some("hostile"), &[SUBJECT, 100 + n]);
        fixture.run_and_crash(&req);
    }
    let own = fixture.request(Some("hostile"), &[SUBJECT, 200]);
    assert!(!fixture.run_and_survive(&own));
    let other = fixture.request(Some("other"), &[SUBJECT, 300]);
    assert!(fixture.run_and_survive(&other));
    let again = fixture.request(Some("hostile"), &[SUBJECT, 400]);
    assert!(!fixture.run_and_survive(&again));
    assert_eq!(fixture.assess(&other), Assessment::Ordinary);
}

/// A part that crashes targets in requests of two workspaces is quarantined for all.
#[test]
fn all_workspaces() {
    let mut fixture = Fixture::default();
    let mut runs = 0;
    for n in 0..12 {
        let workspace = format!("w{}", n % 4);
        let req = fixture.request(Some(&workspace), &[DEADLY, 100 + n]);
        runs += usize::from(fixture.run_and_crash(&req));
    }
    assert!(runs <= 5, "{runs}");
    assert!(fixture.is_quarantined(DEADLY));
}

/// A sound part was on several crashes, and has survived since at an entry that had not been asked.
#[test]
fn survived_before() {
    let mut fixture = Fixture::default();
    let mut survivals = Survivals::default();
    let template = Parts::new(None, [TEMPLATE]);
    let cause = template.as_slice()[0];
    for n in 0..2 {
        let req = fixture.request(None, &[TEMPLATE, 100 + n]);
        assert!(fixture.run_and_crash(&req));
    }
    assert_eq!(fixture.standing(TEMPLATE), Some(Standing::Suspect));
    assert_eq!(survivals.age(&cause, fixture.now), None);
    survivals.activate(fixture.now);
    survivals.record(template.as_slice(), fixture.now);
    fixture.now += PAUSE;
    let age = survivals.age(&cause, fixture.now).expect("recorded");
    assert_eq!(age, PAUSE);
    assert!(fixture.ledger.survived_before(cause, age, fixture.now));
    assert!(fixture.ledger.records().iter().all(|r| r.cause() != cause));
}

/// A survival before the crashes proves nothing: the targets' software may have changed.
#[test]
fn survived_too_early() {
    let mut fixture = Fixture::default();
    let cause = Fingerprint::of_part(Scope::All, DEADLY);
    for n in 0..2 {
        let req = fixture.request(None, &[DEADLY, 100 + n]);
        assert!(fixture.run_and_crash(&req));
    }
    let age = Duration::from_secs(60).min(fixture.now);
    assert!(!fixture.ledger.survived_before(cause, age, fixture.now));
    assert_eq!(fixture.standing(DEADLY), Some(Standing::Suspect));
}

/// A part that had survived before begins to crash targets, as after a change of their software: it
/// takes more trials, and its companions are not quarantined in its place.
#[test]
fn turned_deadly() {
    let mut fixture = Fixture::default();
    let template = Fingerprint::of_part(Scope::All, TEMPLATE);
    let deadly = Fingerprint::of_part(Scope::All, DEADLY);
    let mut runs = 0;
    for n in 0..12 {
        let req = fixture.request(None, &[TEMPLATE, DEADLY, 100 + n]);
        runs += usize::from(fixture.run_and_crash(&req));
        for cause in [template, deadly] {
            let age = fixture.now;
            fixture.ledger.survived_before(cause, age, fixture.now);
        }
        if n % 2 == 0 {
            let sound = fixture.request(None, &[TEMPLATE, 200 + n]);
            fixture.run_and_survive(&sound);
        }
    }
    assert!(fixture.is_quarantined(DEADLY));
    assert_eq!(fixture.standing(TEMPLATE), None);
    assert!(runs <= 5, "{runs}");
}

/// After the quarantine one run tells whether the part still crashes targets.
#[test]
fn after_quarantine() {
    let mut fixture = Fixture::default();
    for n in 0..3 {
        let req = fixture.request(None, &[DEADLY, 100 + n]);
        assert!(fixture.run_and_crash(&req));
    }
    assert!(fixture.is_quarantined(DEADLY));
    fixture.now += QUARANTINE_DURATIONS[0];
    assert!(!fixture.is_quarantined(DEADLY));
    let req = fixture.request(None, &[DEADLY, 200]);
    assert!(fixture.run_and_crash(&req));
    assert!(fixture.is_quarantined(DEADLY));
    fixture.now += QUARANTINE_DURATIONS[1];
    let req = fixture.request(None, &[DEADLY, 201]);
    assert!(fixture.run_and_survive(&req));
    assert_eq!(fixture.standing(DEADLY), None);
}

/// Lists with the same part many times, or with thousands of parts, cost no more than short ones.
#[test]
fn long_lists() {
    let same = Parts::new(None, std::iter::repeat_n(7, 5000));
    assert_eq!(same.as_slice().len(), 1);
    let many = Parts::new(Some("w"), 0..100_000);
    assert!(many.as_slice().len() <= 64);
}

/// Thousands of new parts a second: the memory of survivals stays the same.
#[test]
fn new_parts() {
    let mut survivals = Survivals::default();
    survivals.activate(Duration::ZERO);
    for n in 0..200_000_u64 {
        let parts = Parts::new(None, [n]);
        survivals.record(parts.as_slice(), Duration::from_millis(n));
    }
    let last = Parts::new(None, [199_999]);
    let now = Duration::from_millis(200_000);
    let age = survivals.age(&last.as_slice()[0], now);
    assert_eq!(age, Some(Duration::from_millis(1)));
}
