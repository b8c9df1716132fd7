//! What one entry knows of the targets, with the age of each piece.
//!
//! The sources are the list in the store, the reports of agents and the entry's own requests. While
//! an agent is connected its report takes precedence over the list. Without an agent the list
//! decides, so that a healthy engine whose agent has failed is still used.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::StoreRevision;

use crate::{
    availability::{
        Change,
        Registry,
        Statement, //
    },
    rate_limit::Source,
    target::{
        Incarnation,
        Inventory,
        Load,
        State,
        Target, //
    }, //
    target_state::{
        STALE_ANNOUNCEMENT_TIMEOUT,
        TargetState,
        UNRESPONSIVE_TIMEOUT, //
    },
};

/// Identifies a target in one [`View`] for the lifetime of the process.
///
/// The slot of a removed target is reused, possibly for a target of another service, while a
/// request still waits with the old key. The serial keeps that request from the new target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey {
    slot: u32,
    serial: u64,
}

/// An item of the list as entries send it to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The target.
    pub target: Target,
    /// Set when the newest list lacks the target: the remaining time until it counts as removed.
    pub missing_for: Option<Duration>,
    /// Set when the target was removed before the store came back from a copy that has it: the
    /// remaining time until it gets requests if it is not removed again.
    pub suppressed_for: Option<Duration>,
}

/// All targets, in an arena. The key of a removed target stays valid; it refers to a placeholder
/// once the slot is reused.
#[derive(Debug, Clone)]
pub struct View {
    targets: Vec<TargetState>,
    /// Placeholder for keys whose slots were reused; never listed.
    removed: TargetState,
    /// What incarnations without a slot have stated.
    unlisted: Registry,
    /// The serial of the newest incarnation.
    serial: u64,
    /// Declared services, sorted; `None` until they are known.
    declared: Option<Vec<Box<str>>>,
    /// The newest removed incarnations, the oldest first.
    removals: VecDeque<Incarnation>,
    /// Revision of the store up to which the list is complete.
    pub revision: StoreRevision,
}

/// Time for which a target is still used that is missing from the list after an outage of the store
/// or its return from a copy. A running target announces itself within 2 s.
pub const MISSING_GRACE: Duration = Duration::from_millis(1900);

/// Time for which a removal is believed that the store has forgotten: until targets have announced
/// themselves again, and the store then has missed three heartbeats of those that do not run.
pub const REMOVAL_SUPPRESSION: Duration = Duration::from_millis(
    (MISSING_GRACE.as_millis() + STALE_ANNOUNCEMENT_TIMEOUT.as_millis()) as u64,
);

/// Number of removals that are remembered. A copy is some seconds old.
const MAX_REMOVALS: usize = 1024;

/// Time for which the inventory of a removed target is remembered.
const REMOVED_INVENTORY_TTL: Duration = Duration::from_secs(15);

impl Default for View {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            removed: TargetState::removed(),
            unlisted: Registry::default(),
            serial: 0,
            declared: None,
            removals: VecDeque::new(),
            revision: StoreRevision::NONE,
        }
    }
}

impl View {
    /// Replaces the whole list.
    ///
    /// A target that the new list lacks is used until `missing_until`: after an outage of the
    /// store, a live target may only be late in announcing itself again.
    ///
    /// A list of a newer era comes from a copy that may be older than what is known. It ends no drain
    /// and no removal, and a target that it lacks gets at least [`MISSING_GRACE`]. Returns the
    /// incarnations of which only this process may still know that they drain.
    pub fn replace(
        &mut self,
        targets: Vec<Target>,
        revision: StoreRevision,
        missing_until: Duration,
        now: Duration,
    ) -> Vec<Incarnation> {
        let returned = self.revision.is_known() && revision.era > self.revision.era;
        let drains = if returned {
            self.retain_drains(now)
        } else {
            Vec::new()
        };
        for state in self.targets.iter_mut().filter(|s| s.listed) {
            if targets.iter().any(|t| t.id == state.target.id) {
                continue;
            }
            if returned {
                state.missing_until = Some(missing_until.max(now + MISSING_GRACE));
            } else {
                state.missing_until.get_or_insert(missing_until);
            }
        }
        for mut target in targets {
            let keeps_version = self.retain_version(&mut target, returned);
            let incarnation = target.incarnation();
            let removed = self.removals.contains(&incarnation);
            let Some(key) = self.place(target, !returned, now) else {
                continue;
            };
            self.get_mut(key).keeps_version = keeps_version;
            if removed && returned {
                self.get_mut(key).suppressed_until = Some(now + REMOVAL_SUPPRESSION);
            } else if removed && self.get(key).suppressed_until.is_none() {
                self.removals.retain(|r| *r != incarnation);
            }
        }
        self.revision = revision;
        drains
    }

    /// Gives a listed target the software version that is known of its incarnation, if the list's one comes from a
    /// copy: the target may have restarted under its id since. Returns whether it was changed.
    fn retain_version(&self, target: &mut Target, returned: bool) -> bool {
        let known = self.targets.iter().find(|s| {
            let same = s.target.id == target.id && s.target.started == target.started;
            s.listed && same
        });
        let Some(known) = known.filter(|s| returned || s.keeps_version) else {
            return false;
        };
        if known.target.version.is_none() || known.target.version == target.version {
            return false;
        }
        target.version.clone_from(&known.target.version);
        true
    }

    /// Makes the announced drains last as long as their incarnations, and returns those that were not
    /// known from responses.
    fn retain_drains(&mut self, now: Duration) -> Vec<Incarnation> {
        let mut drains = Vec::new();
        for state in &mut self.targets {
            if state.retain_drain(now) {
                drains.push(state.target.incarnation());
            }
        }
        drains
    }

    /// Sets the declared services, in any order.
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

    /// Replaces the list by a peer's. The peer may still wait for targets that the store's list lacks, since
    /// its own calls of the store have failed; what it states of them is from before.
    ///
    /// With `store_available` the calls of this process have not failed, so that such targets have been
    /// removed. Otherwise they are used for as long as the peer waits, unless their removal is known here.
    pub fn replace_from_peer(
        &mut self,
        listed: Vec<Listed>,
        revision: StoreRevision,
        store_available: bool,
        now: Duration,
    ) -> Vec<Incarnation> {
        let returned = self.revision.is_known() && revision.era > self.revision.era;
        let (missing, current): (Vec<Listed>, Vec<Listed>) =
            listed.into_iter().partition(|l| l.missing_for.is_some());
        let targets = current.iter().map(|l| l.target.clone());
        let drains = self.replace(targets.collect(), revision, now, now);
        for one in current.iter().filter(|l| l.suppressed_for.is_some()) {
            if let Some(state) = self.listed_mut(&one.target.id) {
                state.suppressed_until = one.suppressed_for.map(|t| now + t);
            }
        }
        if store_available && !returned {
            return drains;
        }
        for Listed {
            target,
            missing_for,
            suppressed_for,
        } in missing
        {
            let until = now + missing_for.unwrap_or_default();
            if let Some(state) = self.listed_mut(&target.id) {
                // This process may have begun to wait before, or has just found that the list lacks it.
                let own = state.missing_until.filter(|t| *t > now);
                state.missing_until = Some(own.map_or(until, |t| t.min(until)));
                continue;
            }
            if self.removals.contains(&target.incarnation()) {
                continue;
            }
            if let Some(key) = self.place(target, false, now) {
                let state = self.get_mut(key);
                state.missing_until = Some(until);
                state.suppressed_until = suppressed_for.map(|t| now + t);
            }
        }
        drains
    }

    fn listed_mut(&mut self, id: &str) -> Option<&mut TargetState> {
        let mut listed = self.targets.iter_mut().filter(|s| s.listed);
        listed.find(|s| *s.target.id == *id)
    }

    /// Applies an announcement. A newer incarnation replaces the known one. Returns `None` when the
    /// announcement is of a stale incarnation and dropped; see
    /// [`STALE_ANNOUNCEMENT_TIMEOUT`](crate::target_state::STALE_ANNOUNCEMENT_TIMEOUT).
    pub fn put(&mut self, target: Target, now: Duration) -> Option<TargetKey> {
        let incarnation = target.incarnation();
        let key = self.place(target, true, now)?;
        // It was announced after the store's return, so it runs.
        self.get_mut(key).suppressed_until = None;
        self.get_mut(key).keeps_version = false;
        self.removals.retain(|r| *r != incarnation);
        Some(key)
    }

    /// Lists a target. If it is `current`, a missing one at its address has ended.
    fn place(&mut self, target: Target, current: bool, now: Duration) -> Option<TargetKey> {
        let listed = |s: &TargetState| s.listed && s.target.id == target.id;
        let known = self.targets.iter().position(listed);
        let i = match known {
            Some(i) if self.targets[i].is_same_incarnation(&target) => i,
            Some(i) if self.targets[i].is_stale(&target, now) => return None,
            stale => {
                stale.into_iter().for_each(|i| self.remove_at(i));
                if current {
                    self.remove_missing_at(target.addr);
                }
                self.slot(&target, now)
            }
        };
        let declared = self.is_declared(&target.service);
        let state = &mut self.targets[i];
        let version = target.version.or(state.target.version.take());
        state.set_target(Target { version, ..target });
        state.declared = declared;
        state.listed = true;
        state.missing_until = None;
        state.stale_since = None;
        Some(self.key(i))
    }

    /// Removes the other target at an address if its announcement is missing: a new incarnation has
    /// taken its place. If both were listed, the agent's reports would count for the dead one, and
    /// the live one would get no orders.
    fn remove_missing_at(&mut self, addr: SocketAddr) {
        self.remove_where(|s| s.target.addr == addr && s.missing_until.is_some());
    }

    fn remove_where(&mut self, ends: impl Fn(&TargetState) -> bool) {
        for i in 0..self.targets.len() {
            if self.targets[i].listed && ends(&self.targets[i]) {
                self.remove_at(i);
            }
        }
    }

    fn remove_at(&mut self, i: usize) {
        let removed = self.targets[i].target.incarnation();
        self.targets[i].mark_removed();
        self.removals.retain(|r| *r != removed);
        self.removals.push_back(removed);
        if self.removals.len() > MAX_REMOVALS {
            self.removals.pop_front();
        }
    }

    /// Finds the slot of an incarnation, or assigns one.
    ///
    /// The slot of a removed target without requests in flight is reused, so that memory does not
    /// grow with the number of replaced targets.
    fn slot(&mut self, target: &Target, now: Duration) -> usize {
        if let Some(i) = self
            .targets
            .iter()
            .position(|s| s.is_same_incarnation(target))
        {
            return i;
        }
        self.serial += 1;
        let mut new = TargetState::new(target.clone(), self.serial);
        new.availability = self.unlisted.take(&target.incarnation());
        let may_be_reused = |s: &TargetState| {
            let at = s.last_inventory.as_ref().map(|(_, at)| *at);
            at.is_none_or(|at| now.saturating_sub(at) >= REMOVED_INVENTORY_TTL)
        };
        let free = |s: &TargetState| {
            !s.listed && s.in_flight == 0 && s.report.is_none() && may_be_reused(s)
        };
        if let Some(i) = self.targets.iter().position(free) {
            let mut old = std::mem::replace(&mut self.targets[i], new);
            old.retain_drain(now);
            if !old.availability.is_empty(now) {
                self.unlisted
                    .put(&old.target.incarnation(), old.availability, now);
            }
            return i;
        }
        self.targets.push(new);
        self.targets.len() - 1
    }

    /// Applies what a target's response states, and returns what it changes.
    pub fn apply_statement(
        &mut self,
        incarnation: &Incarnation,
        statement: &Statement,
        source: Source,
        now: Duration,
    ) -> Vec<Change> {
        match self.targets.iter_mut().find(|s| s.is_of(incarnation)) {
            Some(state) => state.availability.apply(statement, source, now),
            None => self.unlisted.apply(incarnation, statement, source, now),
        }
    }

    /// Incarnations whose responses state that they drain.
    pub fn drains(&self) -> impl Iterator<Item = Incarnation> {
        let drain = |s: &&TargetState| s.availability.drain().is_some();
        let known = self.targets.iter().filter(drain);
        let known = known.map(|s| s.target.incarnation());
        known.chain(self.unlisted.drains().cloned())
    }

    fn key(&self, i: usize) -> TargetKey {
        TargetKey {
            slot: i as u32,
            serial: self.targets[i].serial,
        }
    }

    /// Removes a target from the list.
    pub fn remove(&mut self, id: &str) {
        self.remove_where(|s| *s.target.id == *id);
    }

    /// Ends the times of targets that are missing or held: removes those that have been missing for too
    /// long.
    ///
    /// A dead target that stayed on the list would still be found by its address, which its next
    /// incarnation shares. The agent there would get the stale incarnation, and the engine would
    /// refuse all orders.
    pub fn expire(&mut self, now: Duration) {
        self.remove_where(|s| s.missing_until.is_some_and(|t| now >= t));
        let held = self.targets.iter_mut();
        for state in held.filter(|s| s.suppressed_until.is_some_and(|t| now >= t)) {
            state.suppressed_until = None;
            let incarnation = state.target.incarnation();
            self.removals.retain(|r| *r != incarnation);
        }
    }

    /// The listed targets, those of undeclared services too.
    pub fn all_listed(&self) -> impl Iterator<Item = &Target> {
        let listed = self.targets.iter().filter(|s| s.listed);
        listed.map(|s| &s.target)
    }

    /// Whether a target of a service runs a software version and does not drain.
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        let mut all = self.of(service);
        all.any(|(_, s)| s.target.runs(Some(version)) && !s.is_draining())
    }

    /// Whether a target of a software version ended without draining, and may be back with it.
    pub fn version_may_return(&self, service: &str, version: &str) -> bool {
        let of_version =
            |s: &TargetState| *s.target.service == *service && s.target.runs(Some(version));
        self.targets
            .iter()
            .any(|s| of_version(s) && !s.is_draining())
    }

    /// Whether an engine with a copy of a model is unavailable, or was removed without draining
    /// less than `within` ago. An engine that crashes comes back with the copies on its disk.
    /// Only engines of `version` count, if one is required.
    pub fn may_return(
        &self,
        service: &str,
        model: &str,
        version: Option<&str>,
        within: Duration,
        now: Duration,
    ) -> bool {
        let of_service = self
            .targets
            .iter()
            .filter(|s| *s.target.service == *service && s.target.runs(version));
        let mut down = of_service.filter(|s| match &s.last_inventory {
            _ if s.listed => s.declared && s.is_down_with_copy(model, now),
            Some((inventory, at)) => {
                let is_recent = now.saturating_sub(*at) < within;
                is_recent
                    && inventory.has_copy(model)
                    && !self.has_fresh_report_at(s.target.addr, now)
            }
            None => false,
        });
        down.next().is_some()
    }

    /// Whether the target at an address has reported its inventory recently.
    fn has_fresh_report_at(&self, addr: SocketAddr, now: Duration) -> bool {
        self.at(addr)
            .is_some_and(|(_, s)| s.fresh_report(now).is_some())
    }

    /// Finds the current target at an address. Of several incarnations it is the newest that is
    /// listed and not missing; the one before stays on the list until its heartbeats have been
    /// missed. One that was removed before the store's return comes last.
    pub fn at(&self, addr: SocketAddr) -> Option<(TargetKey, &TargetState)> {
        let here = self.all().filter(|(_, s)| s.target.addr == addr);
        here.max_by_key(|(_, s)| {
            let held = s.suppressed_until.is_some();
            (!held, s.missing_until.is_none(), s.serial)
        })
    }

    /// Returns the announced state of a listed target.
    pub fn state_of(&self, id: &str) -> Option<State> {
        let found = self.all().find(|(_, s)| *s.target.id == *id);
        found.map(|(_, s)| s.target.state)
    }

    /// Applies an inventory that the agent at an address has reported.
    pub fn set_inventory_at(&mut self, addr: SocketAddr, inventory: Inventory, now: Duration) {
        if let Some((key, _)) = self.at(addr) {
            self.get_mut(key).set_inventory(inventory, now);
        }
    }

    /// Applies a load that the agent at an address has reported.
    pub fn set_load_at(&mut self, addr: SocketAddr, load: Load, now: Duration) {
        let backlog = load.backlog;
        if let Some((key, _)) = self.at(addr) {
            let state = self.get_mut(key);
            state.fresh_report_mut(now).load = load;
            state.prefill_until = now + backlog;
        }
    }

    /// Records a message of the agent at an address.
    pub fn record_message_at(&mut self, addr: SocketAddr, now: Duration) {
        if let Some((key, _)) = self.at(addr) {
            self.get_mut(key).record_message(now);
        }
    }

    /// Records that the agent at an address has ended while its VM runs.
    pub fn agent_disconnected_at(&mut self, addr: SocketAddr) {
        let here = self.targets.iter_mut().filter(|s| s.target.addr == addr);
        here.for_each(TargetState::agent_disconnected);
    }

    /// Marks the targets whose VMs have become unresponsive, and returns their ids.
    pub fn mark_unresponsive(&mut self, now: Duration) -> Vec<Box<str>> {
        let all = self.targets.iter_mut();
        let quiet = all.filter_map(|s| {
            let is_new = s.mark_unresponsive(UNRESPONSIVE_TIMEOUT, now);
            is_new.then(|| s.target.id.clone())
        });
        quiet.collect()
    }

    /// Sets the end of the prefill backlog of the engine at an address.
    pub fn set_prefill_until(&mut self, addr: SocketAddr, until: Duration) {
        if let Some((key, _)) = self.at(addr) {
            self.get_mut(key).prefill_until = until;
        }
    }

    /// Drops the report of the agent at an address, whose connection has ended.
    pub fn drop_report_at(&mut self, addr: SocketAddr) {
        for state in self.targets.iter_mut().filter(|s| s.target.addr == addr) {
            state.report = None;
        }
    }

    /// Returns a target, or a placeholder that is not listed and has no address if its slot was
    /// reused.
    pub fn get(&self, key: TargetKey) -> &TargetState {
        let state = &self.targets[key.slot as usize];
        if state.serial == key.serial {
            state
        } else {
            &self.removed
        }
    }

    /// Returns the state of a target to be changed. Changes to the placeholder of a reused slot are
    /// lost.
    pub fn get_mut(&mut self, key: TargetKey) -> &mut TargetState {
        let state = &mut self.targets[key.slot as usize];
        if state.serial == key.serial {
            state
        } else {
            self.removed = TargetState::removed();
            &mut self.removed
        }
    }

    /// Listed targets of a service.
    pub fn of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (TargetKey, &'a TargetState)> {
        self.all()
            .filter(move |(_, s)| *s.target.service == *service)
    }

    /// Listed targets of declared services.
    pub fn all(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets
            .iter()
            .enumerate()
            .map(|(i, s)| (self.key(i), s))
            .filter(|(_, s)| s.listed && s.declared)
    }

    /// Copies the list for a peer.
    ///
    /// Removed targets are left out: if one came back that way it would get requests after it
    /// announced that it drains. A target whose responses state that it drains is sent as such, though
    /// the list has it as ready. Targets of services that are not declared here are included: the
    /// peer may have newer declarations, and would count those targets as removed.
    pub fn list(&self, now: Duration) -> Vec<Listed> {
        let published = |s: &&TargetState| s.listed && s.missing_until.is_none_or(|t| now < t);
        let all = self.targets.iter().filter(published);
        all.map(|s| Listed {
            target: s.published(),
            missing_for: s.missing_until.map(|t| t.saturating_sub(now)),
            suppressed_for: s.suppressed_until.map(|t| t.saturating_sub(now)),
        })
        .collect()
    }
}
