//! The order of requests that wait for the end of a target's backoff.

mod support;

use std::time::Duration;

use stair_fleet::{
    View,
    availability::{
        Availability,
        PROBE_INTERVAL,
        Statement, //
    },
    backoff_queue::{
        Check,
        GRACE,
        MAX_PROMISES,
        MAX_WAITING,
        Place,
        Queue,
        Target,
        Times, //
    },
    rate_limit::Source,
    view::TargetKey, //
};
use support::{
    NOW,
    SERVICE,
    ms,
    target, //
};

const OBJECTIVE: Duration = Duration::from_millis(500);

/// A queue before one target.
struct Case {
    queue: Queue,
    availability: Availability,
    key: TargetKey,
}

impl Case {
    /// The target has just asked for this backoff.
    fn new(backoff: u64) -> Self {
        let mut view = View::default();
        let key = view.put(target(0, SERVICE), NOW).expect("new");
        let mut case = Self {
            queue: Queue::default(),
            availability: Availability::default(),
            key,
        };
        case.state(Some(ms(backoff)), NOW);
        case
    }

    fn state(&mut self, backoff: Option<Duration>, now: Duration) {
        let statement = Statement {
            draining: false,
            backoff,
        };
        self.availability.apply(&statement, Source::Response, now);
    }

    /// A request arrives. Returns its place, and whether it waits.
    fn arrive(&mut self, rank: u8, client_ms: u64, useful_ms: u64, now: Duration) -> (Place, bool) {
        let times = Times {
            until: now + ms(client_ms),
            send_by: now + ms(useful_ms),
            objective: OBJECTIVE,
            waited: false,
        };
        let place = self.queue.place(rank, times.until);
        let target = Target {
            key: self.key,
            availability: &self.availability,
        };
        let waits = self.queue.enter(target, place, times, now);
        (place, waits)
    }

    fn waits(&mut self, rank: u8, client_ms: u64, now: Duration) -> Place {
        let (place, waits) = self.arrive(rank, client_ms, client_ms, now);
        assert!(waits);
        place
    }

    fn check(&mut self, place: Place, now: Duration) -> Check {
        let target = Target {
            key: self.key,
            availability: &self.availability,
        };
        self.queue.check(target, place, now)
    }

    fn promise(&mut self, now: Duration) -> Duration {
        let target = Target {
            key: self.key,
            availability: &self.availability,
        };
        let wait = self.queue.promise(target, OBJECTIVE, 0.5, now);
        wait.expect("it does not drain")
    }

    /// Sends the requests whose turns have come, and returns them.
    fn send(&mut self, all: &[Place], now: Duration) -> Vec<Place> {
        let mut sent = Vec::new();
        while let Some(next) = self.queue.next(self.key) {
            if self.check(next, now) != Check::Go {
                break;
            }
            self.availability.record_send(now);
            self.queue.leave(next);
            sent.push(next);
        }
        assert!(sent.iter().all(|p| all.contains(p)));
        sent
    }
}

// A request of a lower rank, with more time or that came later goes first, or more than one goes in an interval
// before the target has responded.
#[test]
fn order() {
    let mut case = Case::new(300);
    let low = case.waits(2, 4000, NOW);
    let patient = case.waits(1, 9000, NOW);
    let first = case.waits(1, 4000, NOW);
    let second = case.waits(1, 4000, NOW);
    let urgent = case.waits(0, 9000, NOW + ms(100));
    let all = [low, patient, first, second, urgent];
    let end = NOW + ms(300);
    assert_eq!(case.send(&all, end - ms(1)), []);
    assert_eq!(case.send(&all, end), [urgent]);
    assert_eq!(case.send(&all, end + PROBE_INTERVAL - ms(1)), []);
    assert_eq!(case.send(&all, end + PROBE_INTERVAL), [first]);
    case.state(None, end + ms(260));
    assert_eq!(case.send(&all, end + ms(260)), [second, patient, low]);
    assert!(case.queue.is_empty());
}

// A request waits although its turn does not come in its time, or is refused although it does.
#[test]
fn refused_at_once() {
    let mut case = Case::new(1000);
    assert!(!case.arrive(0, 4000, 999, NOW).1);
    assert!(case.arrive(0, 4000, 1000, NOW).1);
    // Its turn is one interval later.
    assert!(!case.arrive(0, 4000, 1249, NOW).1);
    assert!(case.arrive(0, 4000, 1250, NOW).1);
    // The target is expected to respond within the objective, and all others follow.
    for _ in 0..20 {
        assert!(case.arrive(0, 4000, 1500, NOW).1);
    }
    assert!(!case.arrive(0, 4000, 1499, NOW).1);
}

// A request that is overtaken so far that its turn comes too late waits on until its time is up, or one that has
// waited is refused for a few milliseconds.
#[test]
fn overtaken() {
    let mut case = Case::new(200);
    let (low, waits) = case.arrive(2, 4000, 250, NOW);
    assert!(waits);
    for _ in 0..2 {
        case.waits(0, 4000, NOW);
        assert!(matches!(case.check(low, NOW), Check::Wait(_)));
    }
    for _ in 0..4 {
        case.waits(0, 4000, NOW);
    }
    // The target is expected to respond by 700 ms, and this is within the grace.
    assert_eq!(case.check(low, NOW), Check::Wait(ms(700)));
    case.state(Some(ms(3000)), NOW);
    assert_eq!(case.check(low, NOW), Check::TooLate(ms(3500)));
    assert!(ms(250) + GRACE < ms(3000));
}

// Requests go on waiting for a first response that is overdue.
#[test]
fn no_response() {
    let mut case = Case::new(100);
    let all: Vec<Place> = (0..8).map(|_| case.arrive(0, 4000, 700, NOW).0).collect();
    let end = NOW + ms(100);
    let mut sent = 0;
    for at in (0..=500).step_by(10) {
        sent += case.send(&all, end + ms(at)).len();
    }
    assert_eq!(sent, 3);
    // After 500 ms only one in each interval is expected to be sent: the last one's turn is a second away.
    let after = end + ms(510);
    let last = *all.last().expect("some");
    assert!(matches!(case.check(last, after), Check::TooLate(_)));
    assert!(matches!(case.check(all[3], after), Check::Wait(_)));
}

// A waiting request that leaves, or does not use its turn, blocks those behind it.
#[test]
fn turn_given_back() {
    let mut case = Case::new(100);
    let gone = case.waits(0, 4000, NOW);
    let idle = case.waits(0, 4000, NOW);
    let next = case.waits(0, 4000, NOW);
    let end = NOW + ms(100);
    assert_eq!(case.queue.leave(gone), Some(case.key));
    assert_eq!(case.check(idle, end), Check::Go);
    assert!(matches!(case.check(next, end), Check::Wait(_)));
    assert_eq!(case.check(next, end + PROBE_INTERVAL), Check::Go);
}

// A request that did not wait goes before those that wait.
#[test]
fn no_overtaking() {
    let mut case = Case::new(100);
    let waiting = case.waits(1, 4000, NOW);
    let (later, earlier) = (
        case.queue.place(1, NOW + ms(5000)),
        case.queue.place(0, NOW + ms(9000)),
    );
    let end = NOW + ms(100);
    assert_eq!(case.queue.withheld(later, |_| true, end), [case.key]);
    assert_eq!(case.queue.withheld(earlier, |_| true, end), []);
    assert_eq!(case.check(waiting, end), Check::Go);
    assert_eq!(case.queue.withheld(later, |_| true, end), [case.key]);
    // The target has responded: a granted turn is used at the same time as others.
    assert_eq!(case.queue.withheld(later, |_| false, end), []);
}

// Refused clients are told to return before the target takes their requests, all at one time, or later and later
// without a bound.
#[test]
fn promises() {
    let mut case = Case::new(2000);
    case.waits(0, 4000, NOW);
    assert_eq!(case.promise(NOW), ms(2250));
    assert_eq!(case.promise(NOW), ms(2500));
    // From here on, the target has responded within the objective; half of the spread is added.
    for _ in 0..100 {
        assert_eq!(case.promise(NOW), ms(2750));
    }
    assert_eq!(case.queue.promised(case.key, NOW), MAX_PROMISES);
    let mut case = Case::new(0);
    case.state(Some(ms(100)), NOW);
    case.availability.record_send(NOW + ms(100));
    // The first response is overdue: one in each interval.
    let now = NOW + ms(700);
    let times: Vec<Duration> = (0..100).map(|_| case.promise(now)).collect();
    assert_eq!(&times[..3], [ms(50), ms(250), ms(500)]);
    assert!(times.iter().all(|t| *t <= PROBE_INTERVAL * 17));
    assert_eq!(case.queue.promised(case.key, now + ms(60_000)), 0);
}

// The table grows with the number of requests.
#[test]
fn bounded() {
    let mut case = Case::new(100);
    let waits = (0..MAX_WAITING + 10)
        .filter(|_| case.arrive(0, 9000, 9000, NOW).1)
        .count();
    assert_eq!(waits, MAX_WAITING);
    assert_eq!(case.queue.count(None), MAX_WAITING);
}

// A request that was granted its turn and could not be sent is refused, as its useful time is over by then.
#[test]
fn keeps_its_grace() {
    let mut case = Case::new(1000);
    let times = |waited| Times {
        until: NOW + ms(4000),
        send_by: NOW + ms(1000),
        objective: OBJECTIVE,
        waited,
    };
    let place = case.queue.place(0, NOW + ms(4000));
    let now = NOW + ms(1005);
    case.availability.record_send(now);
    let target = Target {
        key: case.key,
        availability: &case.availability,
    };
    assert!(!case.queue.enter(target, place, times(false), now));
    assert!(case.queue.enter(target, place, times(true), now));
}
