//! All that one entry knows of the targets, with the age of each part.
//!
//! Three sources, each with its own age: the list in the store, the reports of agents, and what
//! the entry saw of its own requests. A report goes before the list while its link is up, since
//! the list is seconds old; when the agent is silent the list is what is left, and a sound engine
//! whose agent died is still used.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::target::{
    Holds,
    Load,
    Report,
    State,
    Target, //
};

/// Age up to which a report goes before the list. Agents report every second at least, so three
/// missed ones mean that the link is dead or the agent stands still.
pub const REPORT_FRESH: Duration = Duration::from_secs(3);

/// Time for which a target that failed a connection or fell silent is left out. Twice the time
/// that a crashed process takes to come back; a target that is sound again loses little by it.
pub const SUSPECT_TIME: Duration = Duration::from_millis(1500);

/// Time for which words of an earlier life are dropped while none of the later one comes.
///
/// An old word can be written to the list late, by the target itself or by the store; the target writes
/// over it at its next heartbeat, 1.2 s later. One whose clock was set back between two lives would
/// look old for ever, and would get no requests; after three heartbeats without a word of the other
/// life its word is taken.
pub const OLD_WORDS_TIME: Duration = Duration::from_millis(3600);

/// Weight of the newest sample in the averages; a change shows after about five requests.
const SMOOTH: f64 = 0.2;

/// Names a target in one [`View`] for as long as the process runs.
///
/// The slot of one that has left is used again. A request may have waited for a turn meanwhile, and by
/// the slot alone it would go to whatever target has it now, of another service too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey {
    slot: u32,
    serial: u64,
}

/// One target as an entry knows it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// What it announced.
    pub target: Target,
    /// Whether the list still has it; otherwise it has left and gets nothing new.
    pub listed: bool,
    /// Set when the newest list lacks it: it has left from then on.
    pub missing_until: Option<Duration>,
    /// Its agent's last report, and when it came.
    pub report: Option<(Report, Duration)>,
    /// Left out until then.
    pub suspect_until: Duration,
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Prompt tokens of this entry's requests there that have had no event yet.
    pub unread_tokens: u64,
    /// Until when the engine has prompts to read, by its agent's last word.
    pub reads_until: Duration,
    /// Share of attempts that failed lately, 0 to 1.
    pub failing: f64,
    /// Time to the answer's head or first event lately beyond what was expected, in milliseconds.
    pub delay_ms: f64,
    /// Whether its service is declared. An announcement of another one was written by a stranger, and
    /// its address can be that of a sound target.
    declared: bool,
    /// Since when only words of an earlier life have come.
    old_words_since: Option<Duration>,
    /// Rises with each life that was seen for the first time.
    serial: u64,
}

impl Seen {
    fn new(target: Target, serial: u64) -> Self {
        Self {
            target,
            serial,
            listed: true,
            declared: true,
            old_words_since: None,
            missing_until: None,
            report: None,
            suspect_until: Duration::ZERO,
            in_flight: 0,
            unread_tokens: 0,
            reads_until: Duration::ZERO,
            failing: 0.0,
            delay_ms: 0.0,
        }
    }

    /// One that is not listed.
    fn gone() -> Self {
        let target = Target {
            id: "".into(),
            service: "".into(),
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            data_centre: "".into(),
            started: None,
            slots: 0,
            state: State::Draining(None),
            cold: Duration::ZERO,
            holds: Holds::default(),
        };
        Self {
            listed: false,
            ..Self::new(target, 0)
        }
    }

    /// Whether the target takes new requests as far as is known.
    pub fn open(&self, now: Duration) -> bool {
        let missing = self.missing_until.is_some_and(|t| now >= t);
        let dead = self.fresh(now).is_some_and(|r| !r.load.alive);
        let ready = self.listed && self.target.state == State::Ready;
        ready && !missing && now >= self.suspect_until && !dead
    }

    /// Whether the target takes new requests, by its own word alone where suspicion is left aside.
    pub fn takes(&self, suspects: bool, now: Duration) -> bool {
        self.open(now) || (suspects && self.listed_ready())
    }

    fn listed_ready(&self) -> bool {
        self.listed && self.missing_until.is_none() && self.target.state == State::Ready
    }

    /// Returns the agent's report if it is fresh.
    pub fn fresh(&self, now: Duration) -> Option<&Report> {
        let (report, at) = self.report.as_ref()?;
        (now.saturating_sub(*at) < REPORT_FRESH).then_some(report)
    }

    /// Returns what the target holds, by the report if it is fresh, else by the list.
    pub fn holds(&self, now: Duration) -> &Holds {
        match self.fresh(now) {
            Some(report) if report.load.alive => &report.holds,
            _ => &self.target.holds,
        }
    }

    /// Whether the model can run there now, and is not about to be dropped.
    pub fn has(&self, model: &str, now: Duration) -> bool {
        let report = self.fresh(now);
        let leaving = report.is_some_and(|r| r.load.leaving.iter().any(|m| **m == *model));
        !leaving && self.holds(now).model(model).is_some()
    }

    /// Whether the model is being loaded there.
    pub fn coming(&self, model: &str, now: Duration) -> bool {
        let loading = self.fresh(now).and_then(|r| r.load.loading.as_ref());
        loading.is_some_and(|l| *l.model == *model)
    }

    /// Notes that the target has said it does not hold a model, ahead of the report that says so.
    pub fn lacks(&mut self, model: &str) {
        let lists = [
            Some(&mut self.target.holds),
            self.report.as_mut().map(|(r, _)| &mut r.holds),
        ];
        for holds in lists.into_iter().flatten() {
            holds.models.retain(|h| *h.name != *model);
        }
    }

    /// Whether a word about the target is one of the life that is known.
    fn is_life(&self, word: &Target) -> bool {
        self.target.id == word.id && self.target.started == word.started
    }

    /// Whether a word is one of an earlier life, which changes nothing.
    fn is_older(&mut self, word: &Target, now: Duration) -> bool {
        let older = match (word.started, self.target.started) {
            (Some(word), Some(known)) => word < known,
            // Who says when its life started always does: another writer has written this.
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if !older {
            return false;
        }
        let since = *self.old_words_since.get_or_insert(now);
        now.saturating_sub(since) < OLD_WORDS_TIME
    }

    /// Notes that the target is gone.
    pub fn leave(&mut self) {
        self.listed = false;
        self.report = None;
    }

    /// Takes the outcome of an attempt into the averages.
    pub fn learn(&mut self, ok: bool) {
        let sample = if ok { 0.0 } else { 1.0 };
        self.failing += SMOOTH * (sample - self.failing);
    }

    /// Takes a delay beyond the expected into the averages.
    pub fn learn_delay(&mut self, ms: f64) {
        self.delay_ms += SMOOTH * (ms - self.delay_ms);
    }
}

/// A line of the list as one entry tells it another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The target.
    pub target: Target,
    /// Set when the newest list lacks it: how much longer it is waited for.
    pub missing_for: Option<Duration>,
}

/// The targets, in an arena: a key stays valid although its target leaves, and names none once its slot
/// has another.
#[derive(Debug, Clone)]
pub struct View {
    seen: Vec<Seen>,
    /// What keys name whose slots have another target: never listed.
    gone: Seen,
    /// That of the newest life.
    serial: u64,
    /// Services that operators declare, sorted; `None` until that is known.
    declared: Option<Vec<Box<str>>>,
    /// Revision of the store that the list is complete up to, 0 for none.
    pub revision: u64,
}

impl Default for View {
    fn default() -> Self {
        Self {
            seen: Vec::new(),
            gone: Seen::gone(),
            serial: 0,
            declared: None,
            revision: 0,
        }
    }
}

impl View {
    /// Replaces the list by a whole one.
    ///
    /// One that is missing from it is used until `missing_until`: after the store was away, a
    /// target that lives may only be late in announcing itself again.
    pub fn replace(
        &mut self,
        targets: Vec<Target>,
        revision: u64,
        missing_until: Duration,
        now: Duration,
    ) {
        for seen in self.seen.iter_mut().filter(|s| s.listed) {
            if !targets.iter().any(|t| t.id == seen.target.id) {
                seen.missing_until.get_or_insert(missing_until);
            }
        }
        for target in targets {
            self.put(target, now);
        }
        self.revision = revision;
    }

    /// Takes in which services are declared, in any order.
    pub fn declare<'a, I>(&mut self, services: I)
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut services: Vec<Box<str>> = services.into_iter().map(Into::into).collect();
        services.sort();
        for seen in &mut self.seen {
            seen.declared = services.binary_search(&seen.target.service).is_ok();
        }
        self.declared = Some(services);
    }

    fn is_declared(&self, service: &str) -> bool {
        let declared = self.declared.as_ref();
        declared.is_none_or(|list| list.binary_search_by(|s| (**s).cmp(service)).is_ok())
    }

    /// Replaces the list by that of a peer, who may still wait for some of them itself.
    pub fn replace_by_peers(&mut self, listed: Vec<Listed>, revision: u64, now: Duration) {
        let late: Vec<(Box<str>, Duration)> = listed
            .iter()
            .filter_map(|l| Some((l.target.id.clone(), now + l.missing_for?)))
            .collect();
        let targets = listed.into_iter().map(|l| l.target).collect();
        self.replace(targets, revision, now, now);
        for (id, until) in late {
            let mut listed = self.seen.iter_mut().filter(|s| s.listed);
            if let Some(seen) = listed.find(|s| s.target.id == id) {
                seen.missing_until = Some(until);
            }
        }
    }

    /// Takes in what one target announces. A later life of it replaces the one before; a word of an
    /// earlier life is dropped, as by [`OLD_WORDS_TIME`]. `None` for what is dropped.
    pub fn put(&mut self, target: Target, now: Duration) -> Option<TargetKey> {
        let known = self
            .seen
            .iter()
            .position(|s| s.listed && s.target.id == target.id);
        match known {
            Some(i) if self.seen[i].is_life(&target) => {
                let declared = self.is_declared(&target.service);
                let seen = &mut self.seen[i];
                seen.declared = declared;
                seen.target = target;
                seen.missing_until = None;
                seen.old_words_since = None;
                return Some(self.key(i));
            }
            Some(i) if self.seen[i].is_older(&target, now) => return None,
            Some(i) => self.seen[i].leave(),
            None => {}
        }
        Some(self.add(target))
    }

    /// Adds a life that was not listed.
    fn add(&mut self, target: Target) -> TargetKey {
        // The other target at this address, whose announcement is missing, has not come back. Both at
        // one address would have the agent's reports count for the dead one, and the living one would
        // get no orders.
        for other in &mut self.seen {
            if other.target.addr == target.addr && other.missing_until.is_some() {
                other.leave();
            }
        }
        let again = self.seen.iter().position(|s| s.is_life(&target));
        if let Some(i) = again {
            let declared = self.is_declared(&target.service);
            let seen = &mut self.seen[i];
            seen.declared = declared;
            seen.target = target;
            seen.listed = true;
            seen.missing_until = None;
            return self.key(i);
        }
        self.serial += 1;
        let declared = self.is_declared(&target.service);
        let new = Seen {
            declared,
            ..Seen::new(target, self.serial)
        };
        // A slot of a target that is gone and has nothing in flight is used again, so that a
        // process that sees many replacements does not grow.
        let free = self
            .seen
            .iter()
            .position(|s| !s.listed && s.in_flight == 0 && s.report.is_none());
        let i = match free {
            Some(i) => {
                self.seen[i] = new;
                i
            }
            None => {
                self.seen.push(new);
                self.seen.len() - 1
            }
        };
        self.key(i)
    }

    fn key(&self, i: usize) -> TargetKey {
        TargetKey {
            slot: i as u32,
            serial: self.seen[i].serial,
        }
    }

    /// Removes one target from the list.
    pub fn remove(&mut self, id: &str) {
        let mut listed = self.seen.iter_mut().filter(|s| s.listed);
        if let Some(seen) = listed.find(|s| *s.target.id == *id) {
            seen.leave();
        }
    }

    /// Takes what has been missing for too long from the list.
    ///
    /// A dead target that stayed on it would still be found by its address, which its next life has
    /// as well: that engine would be told a life it no longer is, and would refuse all orders.
    pub fn expire(&mut self, now: Duration) {
        let missing = |s: &&mut Seen| s.missing_until.is_some_and(|t| now >= t);
        self.seen.iter_mut().filter(missing).for_each(Seen::leave);
    }

    /// Finds the target that is at an address now: of several lives the newest one that the list
    /// has, since the one before stays on it until its heartbeats have been missed.
    pub fn at(&self, addr: SocketAddr) -> Option<(TargetKey, &Seen)> {
        let here = self.all().filter(|(_, s)| s.target.addr == addr);
        here.max_by_key(|(_, s)| (s.missing_until.is_none(), s.serial))
    }

    /// What a listed target says of itself.
    pub fn state_of(&self, id: &str) -> Option<State> {
        let found = self.all().find(|(_, s)| *s.target.id == *id);
        found.map(|(_, s)| s.target.state)
    }

    /// Takes in what the agent at an address says that its engine holds.
    pub fn holds_at(&mut self, addr: SocketAddr, holds: Holds, now: Duration) {
        if let Some(report) = self.report_at(addr, now) {
            report.holds = holds;
        }
    }

    /// Takes in what the agent at an address says beside that.
    pub fn load_at(&mut self, addr: SocketAddr, load: Load, now: Duration) {
        let backlog = load.backlog;
        if let Some(report) = self.report_at(addr, now) {
            report.load = load;
        }
        self.reads_at(addr, now + backlog);
    }

    /// Takes in until when the engine at an address has prompts to read.
    pub fn reads_at(&mut self, addr: SocketAddr, until: Duration) {
        if let Some((key, _)) = self.at(addr) {
            self.get_mut(key).reads_until = until;
        }
    }

    fn report_at(&mut self, addr: SocketAddr, now: Duration) -> Option<&mut Report> {
        let (key, _) = self.at(addr)?;
        let seen = self.get_mut(key);
        let (report, at) = seen.report.get_or_insert_with(|| (Report::default(), now));
        *at = now;
        Some(report)
    }

    /// Drops the report of the agent at an address: its link is gone.
    pub fn unreport(&mut self, addr: SocketAddr) {
        for seen in self.seen.iter_mut().filter(|s| s.target.addr == addr) {
            seen.report = None;
        }
    }

    /// Returns a target; one that is not listed and has no address when its slot has another.
    pub fn get(&self, key: TargetKey) -> &Seen {
        let seen = &self.seen[key.slot as usize];
        if seen.serial == key.serial {
            seen
        } else {
            &self.gone
        }
    }

    /// Returns a target to change what was seen of it. Nobody looks at what is changed of one whose slot
    /// has another.
    pub fn get_mut(&mut self, key: TargetKey) -> &mut Seen {
        let seen = &mut self.seen[key.slot as usize];
        if seen.serial == key.serial {
            seen
        } else {
            self.gone = Seen::gone();
            &mut self.gone
        }
    }

    /// All listed targets of a service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (TargetKey, &'a Seen)> {
        self.all()
            .filter(move |(_, s)| *s.target.service == *service)
    }

    /// All listed targets of declared services.
    pub fn all(&self) -> impl Iterator<Item = (TargetKey, &Seen)> {
        self.seen
            .iter()
            .enumerate()
            .map(|(i, s)| (self.key(i), s))
            .filter(|(_, s)| s.listed && s.declared)
    }

    /// Copies the list for a peer, without what has left: a target that came back that way would
    /// get requests after its word that it leaves.
    pub fn list(&self, now: Duration) -> Vec<Listed> {
        self.all()
            .filter(|(_, s)| s.missing_until.is_none_or(|t| now < t))
            .map(|(_, s)| Listed {
                target: s.target.clone(),
                missing_for: s.missing_until.map(|t| t.saturating_sub(now)),
            })
            .collect()
    }
}
