//! All that one entry knows of the targets, with the age of each part.
//!
//! Sources: the list in the store, reports of agents, and the entry's own requests. A report goes before the list while
//! its link is up; without one the list decides, so that a sound engine with a dead agent is still used.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    target::{
        Inventory,
        Load,
        Report,
        State,
        Target, //
    }, //
    target_state::{
        TargetState, //
        UNRESPONSIVE_TIMEOUT,
    },
};

/// Names a target in one [`View`] for as long as the process runs.
///
/// The slot of one that has left is used again. A request may have waited for a slot meanwhile, and by
/// the slot alone it would go to whatever target has it now, of another service too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey {
    slot: u32,
    serial: u64,
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
    targets: Vec<TargetState>,
    /// What keys name whose slots have another target: never listed.
    removed: TargetState,
    /// That of the newest life.
    serial: u64,
    /// Services that operators declare, sorted; `None` until that is known.
    declared: Option<Vec<Box<str>>>,
    /// Revision of the store that the list is complete up to, 0 for none.
    pub revision: u64,
}

/// Time for which it is kept what a target held when it left.
const REMOVED_INVENTORY_TTL: Duration = Duration::from_secs(15);

impl Default for View {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            removed: TargetState::removed(),
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
        for state in self.targets.iter_mut().filter(|s| s.listed) {
            if !targets.iter().any(|t| t.id == state.target.id) {
                state.missing_until.get_or_insert(missing_until);
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
        for state in &mut self.targets {
            state.declared = services.binary_search(&state.target.service).is_ok();
        }
        self.declared = Some(services);
    }

    fn is_declared(&self, service: &str) -> bool {
        let declared = self.declared.as_ref();
        declared.is_none_or(|list| list.binary_search_by(|s| (**s).cmp(service)).is_ok())
    }

    /// Replaces the list by that of a peer, who may still wait for some of them itself.
    pub fn replace_from_peer(&mut self, listed: Vec<Listed>, revision: u64, now: Duration) {
        let late: Vec<(Box<str>, Duration)> = listed
            .iter()
            .filter_map(|l| Some((l.target.id.clone(), now + l.missing_for?)))
            .collect();
        let targets = listed.into_iter().map(|l| l.target).collect();
        self.replace(targets, revision, now, now);
        for (id, until) in late {
            let mut listed = self.targets.iter_mut().filter(|s| s.listed);
            if let Some(state) = listed.find(|s| s.target.id == id) {
                state.missing_until = Some(until);
            }
        }
    }

    /// Takes in what one target announces. A later life of it replaces the one before; a word of an
    /// earlier life is dropped, as by [`STALE_ANNOUNCEMENT_TIMEOUT`](crate::target_state::STALE_ANNOUNCEMENT_TIMEOUT). `None` for what
    /// is dropped.
    pub fn put(&mut self, target: Target, now: Duration) -> Option<TargetKey> {
        let listed = |s: &TargetState| s.listed && s.target.id == target.id;
        let known = self.targets.iter().position(listed);
        let i = match known {
            Some(i) if self.targets[i].is_same_incarnation(&target) => i,
            Some(i) if self.targets[i].is_stale(&target, now) => return None,
            former => {
                former
                    .into_iter()
                    .for_each(|i| self.targets[i].mark_removed());
                self.remove_missing_at(target.addr);
                self.slot(&target, now)
            }
        };
        let declared = self.is_declared(&target.service);
        let state = &mut self.targets[i];
        state.target = target;
        state.declared = declared;
        state.listed = true;
        state.missing_until = None;
        state.stale_since = None;
        Some(self.key(i))
    }

    /// Ends the other target at an address, whose announcement is missing: it has not come back. Both at
    /// one address would have the agent's reports count for the dead one, and the living one would get no
    /// orders.
    fn remove_missing_at(&mut self, addr: SocketAddr) {
        let missing = |s: &&mut TargetState| s.target.addr == addr && s.missing_until.is_some();
        self.targets
            .iter_mut()
            .filter(missing)
            .for_each(TargetState::mark_removed);
    }

    /// Finds the slot of a life, or gives it one.
    ///
    /// A slot of a target that is gone and has nothing in flight is used again, so that a process that
    /// sees many replacements does not grow.
    fn slot(&mut self, target: &Target, now: Duration) -> usize {
        if let Some(i) = self
            .targets
            .iter()
            .position(|s| s.is_same_incarnation(target))
        {
            return i;
        }
        self.serial += 1;
        let new = TargetState::new(target.clone(), self.serial);
        let left = |s: &TargetState| {
            let at = s.last_inventory.as_ref().map(|(_, at)| *at);
            at.is_none_or(|at| now.saturating_sub(at) >= REMOVED_INVENTORY_TTL)
        };
        let free = |s: &TargetState| !s.listed && s.in_flight == 0 && s.report.is_none() && left(s);
        if let Some(i) = self.targets.iter().position(free) {
            self.targets[i] = new;
            return i;
        }
        self.targets.push(new);
        self.targets.len() - 1
    }

    fn key(&self, i: usize) -> TargetKey {
        TargetKey {
            slot: i as u32,
            serial: self.targets[i].serial,
        }
    }

    /// Removes one target from the list.
    pub fn remove(&mut self, id: &str) {
        let mut listed = self.targets.iter_mut().filter(|s| s.listed);
        if let Some(state) = listed.find(|s| *s.target.id == *id) {
            state.mark_removed();
        }
    }

    /// Takes what has been missing for too long from the list.
    ///
    /// A dead target that stayed on it would still be found by its address, which its next life has
    /// as well: that engine would be told a life it no longer is, and would refuse all orders.
    pub fn expire(&mut self, now: Duration) {
        let missing = |s: &&mut TargetState| s.missing_until.is_some_and(|t| now >= t);
        self.targets
            .iter_mut()
            .filter(missing)
            .for_each(TargetState::mark_removed);
    }

    /// Whether an engine that is down, or has left without a word within a time, has a copy of a model. Engines
    /// that crash come back with what is on their disks.
    pub fn may_return(&self, service: &str, model: &str, within: Duration, now: Duration) -> bool {
        let of_service = self
            .targets
            .iter()
            .filter(|s| *s.target.service == *service);
        let mut down = of_service.filter(|s| match &s.last_inventory {
            _ if s.listed => s.declared && s.is_down_with_copy(model, now),
            Some((inventory, at)) => {
                let lately = now.saturating_sub(*at) < within;
                lately && inventory.has_copy(model) && !self.has_fresh_report_at(s.target.addr, now)
            }
            None => false,
        });
        down.next().is_some()
    }

    /// Whether a target at an address has told what it holds.
    fn has_fresh_report_at(&self, addr: SocketAddr, now: Duration) -> bool {
        self.at(addr)
            .is_some_and(|(_, s)| s.fresh_report(now).is_some())
    }

    /// Finds the target that is at an address now: of several lives the newest one that the list
    /// has, since the one before stays on it until its heartbeats have been missed.
    pub fn at(&self, addr: SocketAddr) -> Option<(TargetKey, &TargetState)> {
        let here = self.all().filter(|(_, s)| s.target.addr == addr);
        here.max_by_key(|(_, s)| (s.missing_until.is_none(), s.serial))
    }

    /// What a listed target says of itself.
    pub fn state_of(&self, id: &str) -> Option<State> {
        let found = self.all().find(|(_, s)| *s.target.id == *id);
        found.map(|(_, s)| s.target.state)
    }

    /// Takes in what the agent at an address says that its engine holds.
    pub fn set_inventory_at(&mut self, addr: SocketAddr, inventory: Inventory, now: Duration) {
        if let Some(report) = self.report_at(addr, now) {
            report.inventory = inventory;
        }
    }

    /// Takes in what the agent at an address says beside that.
    pub fn set_load_at(&mut self, addr: SocketAddr, load: Load, now: Duration) {
        let backlog = load.backlog;
        if let Some(report) = self.report_at(addr, now) {
            report.load = load;
        }
        self.set_prefill_until(addr, now + backlog);
    }

    /// Takes in that the agent at an address has said something.
    pub fn record_message_at(&mut self, addr: SocketAddr, now: Duration) {
        if let Some((key, _)) = self.at(addr) {
            self.get_mut(key).record_message(now);
        }
    }

    /// Takes in that the agent at an address has gone and its VM has not.
    pub fn agent_disconnected_at(&mut self, addr: SocketAddr) {
        let here = self.targets.iter_mut().filter(|s| s.target.addr == addr);
        here.for_each(TargetState::agent_disconnected);
    }

    /// Marks the targets whose VMs have fallen quiet, and returns their ids.
    pub fn mark_unresponsive(&mut self, now: Duration) -> Vec<Box<str>> {
        let all = self.targets.iter_mut();
        let quiet = all.filter_map(|s| {
            let falls = s.mark_unresponsive(UNRESPONSIVE_TIMEOUT, now);
            falls.then(|| s.target.id.clone())
        });
        quiet.collect()
    }

    /// Takes in until when the engine at an address has prompts to read.
    pub fn set_prefill_until(&mut self, addr: SocketAddr, until: Duration) {
        if let Some((key, _)) = self.at(addr) {
            self.get_mut(key).prefill_until = until;
        }
    }

    fn report_at(&mut self, addr: SocketAddr, now: Duration) -> Option<&mut Report> {
        let (key, _) = self.at(addr)?;
        let state = self.get_mut(key);
        let (report, at) = state.report.get_or_insert_with(|| (Report::default(), now));
        *at = now;
        Some(report)
    }

    /// Drops the report of the agent at an address: its link is gone.
    pub fn drop_report_at(&mut self, addr: SocketAddr) {
        for state in self.targets.iter_mut().filter(|s| s.target.addr == addr) {
            state.report = None;
        }
    }

    /// Returns a target; one that is not listed and has no address when its slot has another.
    pub fn get(&self, key: TargetKey) -> &TargetState {
        let state = &self.targets[key.slot as usize];
        if state.serial == key.serial {
            state
        } else {
            &self.removed
        }
    }

    /// Returns a target to change what was state of it. Nobody looks at what is changed of one whose slot
    /// has another.
    pub fn get_mut(&mut self, key: TargetKey) -> &mut TargetState {
        let state = &mut self.targets[key.slot as usize];
        if state.serial == key.serial {
            state
        } else {
            self.removed = TargetState::removed();
            &mut self.removed
        }
    }

    /// All listed targets of a service.
    pub fn of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (TargetKey, &'a TargetState)> {
        self.all()
            .filter(move |(_, s)| *s.target.service == *service)
    }

    /// All listed targets of declared services.
    pub fn all(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets
            .iter()
            .enumerate()
            .map(|(i, s)| (self.key(i), s))
            .filter(|(_, s)| s.listed && s.declared)
    }

    /// Copies the list for a peer, without what has left: a target that came back that way would
    /// get requests after its word that it leaves. With targets of services that are not declared here:
    /// the peer may have newer declarations, and would take those for gone.
    pub fn list(&self, now: Duration) -> Vec<Listed> {
        let published = |s: &&TargetState| s.listed && s.missing_until.is_none_or(|t| now < t);
        let all = self.targets.iter().filter(published);
        all.map(|s| Listed {
            target: s.target.clone(),
            missing_for: s.missing_until.map(|t| t.saturating_sub(now)),
        })
        .collect()
    }
}
