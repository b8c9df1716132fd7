//! One run a key, over the pure state: entries, the platform and agents as a model, with messages
//! that are lost, late, doubled and out of order.

#[path = "../src/traffic/shard.rs"]
mod shard;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use shard::{
    Change,
    Outcome, //
};
use stair_platform::{
    Claim,
    ClaimShard, //
};
use stair_state::{
    RunTable,
    runs::Phase, //
};
use stair_types::{
    FencingToken,
    RequestId,
    TargetName, //
};

const NOW: Duration = Duration::ZERO;
const REQUESTS: usize = 3;
const TARGETS: usize = 2;

/// What one entry does next for one request, or what the network does.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Offers the request to a target.
    Offer(usize, usize),
    /// Reads the shard of claims.
    Read(usize),
    /// Reads, and writes at once.
    ReadAndClaim(usize),
    /// Writes the claim; the platform's answer may be lost, and the write be late.
    Claim(usize, Write),
    /// Asks the agent that the other request's claim names.
    Ask(usize),
    /// Sends the start.
    Start(usize),
    /// Takes the request up again, which withdraws it if it has not started.
    Resume(usize),
    /// Gives the claim back and tells the caller that nothing ran.
    GiveUp(usize, Write),
    /// A message arrives, and may come again.
    Deliver(usize, bool),
}

#[derive(Debug, Clone, Copy)]
enum Write {
    Answered,
    LostAfterEffect,
    LostAndLate,
}

/// Which place a request has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Free,
    Offered(usize),
    /// The platform has confirmed the claim for this target.
    Claimed(usize),
    /// The start was sent to this target.
    Sent(usize),
    GivenUp,
}

#[derive(Clone)]
struct Request {
    place: Place,
    known: Option<(u64, ClaimShard)>,
    in_the_way: Option<Claim>,
    replaces: Option<Claim>,
    doubtful: bool,
}

enum Message {
    Start { request: usize, target: usize },
    Put { seen: u64, value: ClaimShard },
}

struct World {
    version: u64,
    claims: ClaimShard,
    agents: Vec<RunTable>,
    requests: Vec<Request>,
    messages: Vec<Message>,
    runs: Vec<usize>,
    claims_checked: bool,
}

fn target(i: usize) -> TargetName {
    TargetName::try_from(&*format!("t{i}")).expect("a good name")
}

fn id(i: usize) -> RequestId {
    RequestId(i as u128)
}

fn index(name: &TargetName) -> usize {
    name.as_str()[1..].parse().expect("named above")
}

impl World {
    fn new(claims_checked: bool) -> Self {
        let request = Request {
            place: Place::Free,
            known: None,
            in_the_way: None,
            replaces: None,
            doubtful: false,
        };
        Self {
            version: 0,
            claims: ClaimShard::default(),
            agents: (0..TARGETS).map(|_| RunTable::default()).collect(),
            requests: vec![request; REQUESTS],
            messages: Vec::new(),
            runs: vec![0; REQUESTS],
            claims_checked,
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Offer(r, t) => {
                let is_free = self.requests[r].place == Place::Free;
                if is_free && self.agents[t].offer(NOW, id(r)) {
                    self.requests[r].place = Place::Offered(t);
                }
            }
            Step::Read(r) => self.requests[r].known = Some((self.version, self.claims.clone())),
            Step::ReadAndClaim(r) => {
                self.take(Step::Read(r));
                self.claim(r, Write::Answered);
            }
            Step::Claim(r, write) => self.claim(r, write),
            Step::Ask(r) => {
                let Some(other) = self.requests[r].in_the_way.take() else {
                    return;
                };
                let agent = &mut self.agents[index(&other.target)];
                if agent.withdraw(NOW, other.request) == Phase::Withdrawn {
                    self.requests[r].replaces = Some(other);
                }
            }
            Step::Start(r) => {
                let may_start = match self.requests[r].place {
                    Place::Claimed(t) => Some(t),
                    Place::Offered(t) if !self.claims_checked => Some(t),
                    _ => None,
                };
                if let Some(target) = may_start {
                    self.requests[r].place = Place::Sent(target);
                    self.messages.push(Message::Start { request: r, target });
                }
            }
            Step::Resume(r) => {
                let Place::Sent(t) = self.requests[r].place else {
                    return;
                };
                if self.agents[t].withdraw(NOW, id(r)) == Phase::Withdrawn {
                    self.requests[r].place = Place::Free;
                }
            }
            Step::GiveUp(r, write) => self.give_up(r, write),
            Step::Deliver(n, again) => self.deliver(n, again),
        }
    }

    fn claim(&mut self, r: usize, write: Write) {
        let Place::Offered(t) = self.requests[r].place else {
            return;
        };
        let claim = Claim {
            key: "k".into(),
            request: id(r),
            target: target(t),
            incarnation: FencingToken(1),
            expires_s: 10,
        };
        let replaces = self.requests[r].replaces.clone();
        let change = Change::Claim { claim, replaces };
        match self.write(r, &change, write) {
            Some(Outcome::Done) => self.requests[r].place = Place::Claimed(t),
            Some(Outcome::Taken(other)) => self.requests[r].in_the_way = Some(other),
            Some(Outcome::Full) | None => {}
        }
    }

    fn give_up(&mut self, r: usize, write: Write) {
        let has_sent = matches!(self.requests[r].place, Place::Sent(_) | Place::GivenUp);
        if has_sent {
            return;
        }
        let release = Change::Release {
            key: "k".into(),
            request: id(r),
        };
        if let Place::Offered(t) | Place::Claimed(t) = self.requests[r].place {
            self.agents[t].withdraw(NOW, id(r));
        }
        self.requests[r].place = Place::GivenUp;
        self.write(r, &release, write);
    }

    /// Changes the shard as `claim.rs` does; `None` when it has to read first, or does not know.
    fn write(&mut self, r: usize, change: &Change, write: Write) -> Option<Outcome> {
        let (seen, mut value) = self.requests[r].known.take()?;
        let (outcomes, changed) = shard::apply(&mut value, std::slice::from_ref(change), 0);
        let outcome = outcomes.into_iter().next()?;
        if outcome != Outcome::Done {
            // Only what was just read counts.
            return (seen == self.version).then_some(outcome);
        }
        if !changed && !self.requests[r].doubtful {
            return Some(outcome);
        }
        match write {
            Write::LostAndLate => {
                self.requests[r].doubtful = true;
                self.messages.push(Message::Put { seen, value });
                None
            }
            Write::LostAfterEffect => {
                self.requests[r].doubtful = true;
                self.put(seen, value);
                None
            }
            Write::Answered if self.put(seen, value) => {
                self.requests[r].doubtful = false;
                Some(outcome)
            }
            Write::Answered => None,
        }
    }

    fn put(&mut self, seen: u64, value: ClaimShard) -> bool {
        if seen != self.version {
            return false;
        }
        self.version += 1;
        self.claims = value;
        true
    }

    fn deliver(&mut self, n: usize, again: bool) {
        if self.messages.is_empty() {
            return;
        }
        let n = n % self.messages.len();
        match self.messages.swap_remove(n) {
            Message::Start { request, target } => {
                self.runs[request] += usize::from(self.agents[target].start(id(request)));
                if again {
                    self.messages.push(Message::Start { request, target });
                }
            }
            Message::Put { seen, value } => drop(self.put(seen, value)),
        }
    }

    fn all_runs(&self) -> usize {
        self.runs.iter().sum()
    }
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        6 => Just(Write::Answered),
        1 => Just(Write::LostAfterEffect),
        1 => Just(Write::LostAndLate),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let r = 0..REQUESTS;
    prop_oneof![
        3 => (r.clone(), 0..TARGETS).prop_map(|(r, t)| Step::Offer(r, t)),
        2 => r.clone().prop_map(Step::Read),
        5 => r.clone().prop_map(Step::ReadAndClaim),
        4 => (r.clone(), write()).prop_map(|(r, w)| Step::Claim(r, w)),
        3 => r.clone().prop_map(Step::Ask),
        3 => r.clone().prop_map(Step::Start),
        2 => r.clone().prop_map(Step::Resume),
        1 => (r, write()).prop_map(|(r, w)| Step::GiveUp(r, w)),
        4 => (0..8_usize, any::<bool>()).prop_map(|(n, again)| Step::Deliver(n, again)),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    // Three requests with one key go through two entries and more to two targets, while claims
    // are lost and late, and each may take over from another that was left behind.
    #[test]
    fn one_run(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new(true);
        for step in steps {
            world.take(step);
            prop_assert!(world.all_runs() <= 1, "{step:?}: the key ran twice");
            for (request, runs) in world.requests.iter().zip(&world.runs) {
                let told_not_run = request.place == Place::GivenUp;
                prop_assert!(!told_not_run || *runs == 0, "not run, but it ran");
            }
        }
    }
}

// The model itself has to be able to fail: without claims two requests with one key both run.
#[test]
fn claims_needed() {
    let mut world = World::new(false);

    for r in 0..2 {
        world.take(Step::Offer(r, r));
        world.take(Step::Start(r));
    }
    for _ in 0..2 {
        world.take(Step::Deliver(0, false));
    }

    assert_eq!(world.all_runs(), 2);
}

// An entry dies after its claim. The repeat takes over, and the dead entry's start, which the
// network had held back, comes in the end.
#[test]
fn left_claim_taken_over() {
    let mut world = World::new(true);
    world.take(Step::Offer(0, 0));
    world.take(Step::ReadAndClaim(0));
    world.take(Step::Start(0));

    world.take(Step::Offer(1, 1));
    world.take(Step::ReadAndClaim(1));
    world.take(Step::Ask(1));
    world.take(Step::ReadAndClaim(1));
    world.take(Step::Start(1));
    world.take(Step::Deliver(0, true));
    world.take(Step::Deliver(0, false));
    world.take(Step::Deliver(0, false));

    assert_eq!(world.runs, [0, 1, 0]);
}

// The agent has withdrawn the first request for the second one. Before the second takes the claim
// over, the first goes to another target and writes its claim again for a start there.
#[test]
fn moved_claim_kept() {
    let mut world = World::new(true);
    world.take(Step::Offer(0, 0));
    world.take(Step::ReadAndClaim(0));
    world.take(Step::Start(0));
    world.take(Step::Offer(1, 1));
    world.take(Step::ReadAndClaim(1));
    world.take(Step::Ask(1));

    world.take(Step::Resume(0));
    world.take(Step::Offer(0, 1));
    world.take(Step::ReadAndClaim(0));
    world.take(Step::Start(0));
    world.take(Step::ReadAndClaim(1));
    world.take(Step::Start(1));
    for _ in 0..3 {
        world.take(Step::Deliver(0, false));
    }

    assert_eq!(world.runs, [1, 0, 0]);
}
