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
    Withdraw(usize),
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
    Confirmed,
    LostAfterEffect,
    LostAndLate,
}

/// Which place a request has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
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
    stage: Stage,
    known: Option<(u64, ClaimShard)>,
    blocking: Option<Claim>,
    replaces: Option<Claim>,
    unconfirmed: bool,
}

enum Message {
    Start {
        request: usize,
        target: usize,
    },
    Put {
        read_version: u64,
        value: ClaimShard,
    },
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
            stage: Stage::Free,
            known: None,
            blocking: None,
            replaces: None,
            unconfirmed: false,
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

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer(r, t) => {
                let is_free = self.requests[r].stage == Stage::Free;
                if is_free && self.agents[t].offer(NOW, id(r)) {
                    self.requests[r].stage = Stage::Offered(t);
                }
            }
            Step::Read(r) => self.requests[r].known = Some((self.version, self.claims.clone())),
            Step::ReadAndClaim(r) => {
                self.apply(Step::Read(r));
                self.claim(r, Write::Confirmed);
            }
            Step::Claim(r, write) => self.claim(r, write),
            Step::Withdraw(r) => {
                let Some(other) = self.requests[r].blocking.take() else {
                    return;
                };
                let agent = &mut self.agents[index(&other.target)];
                if agent.withdraw(NOW, other.request) == Phase::Withdrawn {
                    self.requests[r].replaces = Some(other);
                }
            }
            Step::Start(r) => {
                let may_start = match self.requests[r].stage {
                    Stage::Claimed(t) => Some(t),
                    Stage::Offered(t) if !self.claims_checked => Some(t),
                    _ => None,
                };
                if let Some(target) = may_start {
                    self.requests[r].stage = Stage::Sent(target);
                    self.messages.push(Message::Start { request: r, target });
                }
            }
            Step::Resume(r) => {
                let Stage::Sent(t) = self.requests[r].stage else {
                    return;
                };
                if self.agents[t].withdraw(NOW, id(r)) == Phase::Withdrawn {
                    self.requests[r].stage = Stage::Free;
                }
            }
            Step::GiveUp(r, write) => self.give_up(r, write),
            Step::Deliver(n, repeat) => self.deliver(n, repeat),
        }
    }

    fn claim(&mut self, r: usize, write: Write) {
        let Stage::Offered(t) = self.requests[r].stage else {
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
            Some(Outcome::Done) => self.requests[r].stage = Stage::Claimed(t),
            Some(Outcome::Taken(other)) => self.requests[r].blocking = Some(other),
            Some(Outcome::Full) | None => {}
        }
    }

    fn give_up(&mut self, r: usize, write: Write) {
        let has_sent = matches!(self.requests[r].stage, Stage::Sent(_) | Stage::GivenUp);
        if has_sent {
            return;
        }
        let release = Change::Release {
            key: "k".into(),
            request: id(r),
        };
        if let Stage::Offered(t) | Stage::Claimed(t) = self.requests[r].stage {
            self.agents[t].withdraw(NOW, id(r));
        }
        self.requests[r].stage = Stage::GivenUp;
        self.write(r, &release, write);
    }

    /// Changes the shard as `claim.rs` does; `None` when it has to read first, or does not know.
    fn write(&mut self, r: usize, change: &Change, write: Write) -> Option<Outcome> {
        let (read_version, mut value) = self.requests[r].known.take()?;
        let (outcomes, changed) = shard::apply(&mut value, std::slice::from_ref(change), 0);
        let outcome = outcomes.into_iter().next()?;
        if outcome != Outcome::Done {
            // Only what was just read counts.
            return (read_version == self.version).then_some(outcome);
        }
        if !changed && !self.requests[r].unconfirmed {
            return Some(outcome);
        }
        match write {
            Write::LostAndLate => {
                self.requests[r].unconfirmed = true;
                self.messages.push(Message::Put {
                    read_version,
                    value,
                });
                None
            }
            Write::LostAfterEffect => {
                self.requests[r].unconfirmed = true;
                self.put(read_version, value);
                None
            }
            Write::Confirmed if self.put(read_version, value) => {
                self.requests[r].unconfirmed = false;
                Some(outcome)
            }
            Write::Confirmed => None,
        }
    }

    fn put(&mut self, read_version: u64, value: ClaimShard) -> bool {
        if read_version != self.version {
            return false;
        }
        self.version += 1;
        self.claims = value;
        true
    }

    fn deliver(&mut self, n: usize, repeat: bool) {
        if self.messages.is_empty() {
            return;
        }
        let n = n % self.messages.len();
        match self.messages.swap_remove(n) {
            Message::Start { request, target } => {
                self.runs[request] += usize::from(self.agents[target].start(id(request)));
                if repeat {
                    self.messages.push(Message::Start { request, target });
                }
            }
            Message::Put {
                read_version,
                value,
            } => drop(self.put(read_version, value)),
        }
    }

    fn all_runs(&self) -> usize {
        self.runs.iter().sum()
    }
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        6 => Just(Write::Confirmed),
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
        3 => r.clone().prop_map(Step::Withdraw),
        3 => r.clone().prop_map(Step::Start),
        2 => r.clone().prop_map(Step::Resume),
        1 => (r, write()).prop_map(|(r, w)| Step::GiveUp(r, w)),
        4 => (0..8_usize, any::<bool>()).prop_map(|(n, repeat)| Step::Deliver(n, repeat)),
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
            world.apply(step);
            prop_assert!(world.all_runs() <= 1, "{step:?}: the key ran twice");
            for (request, runs) in world.requests.iter().zip(&world.runs) {
                let reported_not_run = request.stage == Stage::GivenUp;
                prop_assert!(!reported_not_run || *runs == 0, "not run, but it ran");
            }
        }
    }
}

// The model itself has to be able to fail: without claims two requests with one key both run.
#[test]
fn claims_needed() {
    let mut world = World::new(false);

    for r in 0..2 {
        world.apply(Step::Offer(r, r));
        world.apply(Step::Start(r));
    }
    for _ in 0..2 {
        world.apply(Step::Deliver(0, false));
    }

    assert_eq!(world.all_runs(), 2);
}

// An entry dies after its claim. The repeat takes over, and the dead entry's start, which the
// network had held back, comes in the end.
#[test]
fn abandoned_claim_replaced() {
    let mut world = World::new(true);
    world.apply(Step::Offer(0, 0));
    world.apply(Step::ReadAndClaim(0));
    world.apply(Step::Start(0));

    world.apply(Step::Offer(1, 1));
    world.apply(Step::ReadAndClaim(1));
    world.apply(Step::Withdraw(1));
    world.apply(Step::ReadAndClaim(1));
    world.apply(Step::Start(1));
    world.apply(Step::Deliver(0, true));
    world.apply(Step::Deliver(0, false));
    world.apply(Step::Deliver(0, false));

    assert_eq!(world.runs, [0, 1, 0]);
}

// The agent has withdrawn the first request for the second one. Before the second takes the claim
// over, the first goes to another target and writes its claim again for a start there.
#[test]
fn moved_claim_kept() {
    let mut world = World::new(true);
    world.apply(Step::Offer(0, 0));
    world.apply(Step::ReadAndClaim(0));
    world.apply(Step::Start(0));
    world.apply(Step::Offer(1, 1));
    world.apply(Step::ReadAndClaim(1));
    world.apply(Step::Withdraw(1));

    world.apply(Step::Resume(0));
    world.apply(Step::Offer(0, 1));
    world.apply(Step::ReadAndClaim(0));
    world.apply(Step::Start(0));
    world.apply(Step::ReadAndClaim(1));
    world.apply(Step::Start(1));
    for _ in 0..3 {
        world.apply(Step::Deliver(0, false));
    }

    assert_eq!(world.runs, [1, 0, 0]);
}
