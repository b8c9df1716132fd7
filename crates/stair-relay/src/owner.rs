//! The owner of a name: the agent that keeps a count for all entries, such as the quota of a workspace or the
//! rejections of a model.
//!
//! Rendezvous hashing gives all entries the same order of agents; each entry uses the first agent in it that
//! replies.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use stair_fleet::{
    msg::ToAgent,
    quota::PassedOver, //
};
use stair_types::rendezvous;

use crate::context::State;

/// Time for which a chosen owner is cached.
const CHOICE_TTL: Duration = Duration::from_millis(250);

/// The owners that were chosen recently.
#[derive(Default)]
pub struct Owners {
    /// Sorted by name.
    list: Vec<(Box<str>, Owner)>,
}

/// The agent that owns a name.
#[derive(Debug, Clone)]
pub(crate) struct Owner {
    /// The engine beside the agent.
    pub(crate) engine: SocketAddr,
    /// Whether an agent that comes before it in the order was passed over because it does not reply.
    pub(crate) stand_in: bool,
    /// The engines of the agents that come before it.
    pub(crate) passed_over: Vec<SocketAddr>,
    until: Duration,
}

impl Owners {
    /// Drops the cached owners, since a link has begun or ended.
    pub(crate) fn clear(&mut self) {
        self.list.clear();
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|(n, _)| (**n).cmp(name))
    }
}

impl State {
    /// The agent that owns a name; `None` when no agent replies.
    pub(crate) fn owner(&mut self, name: &str, now: Duration) -> Option<Owner> {
        let found = self.owners.find(name);
        if let Ok(i) = found
            && now < self.owners.list[i].1.until
        {
            return Some(self.owners.list[i].1.clone());
        }
        let owner = self.choose_owner(name, now)?;
        match found {
            Ok(i) => self.owners.list[i].1 = owner.clone(),
            Err(i) => self.owners.list.insert(i, (name.into(), owner.clone())),
        }
        Some(owner)
    }

    fn choose_owner(&self, name: &str, now: Duration) -> Option<Owner> {
        let weight = |i: &usize| rendezvous::weight(name, &self.agents[*i].name);
        let all = 0..self.agents.len();
        let is_available = |i: &usize| self.is_available(*i, now);
        let chosen = all.clone().filter(is_available).max_by_key(weight)?;
        let chosen_weight = weight(&chosen);
        // Of equal weights the last one is chosen.
        let is_before = |i: &usize| (weight(i), *i) > (chosen_weight, chosen);
        let passed_over: Vec<SocketAddr> = all
            .filter(is_before)
            .map(|i| self.agents[i].engine)
            .collect();
        Some(Owner {
            engine: self.agents[chosen].engine,
            stand_in: !passed_over.is_empty(),
            passed_over,
            until: now + CHOICE_TTL,
        })
    }

    fn is_available(&self, agent: usize, now: Duration) -> bool {
        let link = &self.agents[agent];
        link.linked && link.skipped_until <= now
    }

    /// The agents that are not used, for the agent of an engine; `None` if it need not know them.
    pub(crate) fn passed_over(&self, receiver: SocketAddr, now: Duration) -> Option<PassedOver> {
        let own = self.agent(receiver)?;
        if !self.agents[own].features.quota_order {
            return None;
        }
        let unused = (0..self.agents.len()).filter(|i| !self.is_available(*i, now));
        let engines = unused.filter(|i| *i != own);
        Some(PassedOver {
            receiver: !self.is_available(own, now),
            engines: engines.map(|i| self.agents[i].engine).collect(),
        })
    }

    /// Passes over an agent that has not replied, until `until`.
    pub(crate) fn skip_agent(&mut self, engine: SocketAddr, until: Duration) {
        if let Some(i) = self.agent(engine) {
            self.agents[i].skipped_until = until;
        }
        self.owners.clear();
    }

    /// Reports to the owner of a model that a request was rejected because no engine could load the model in
    /// time.
    pub(crate) fn count_unserved(&mut self, model: &str, now: Duration) {
        let engine = self.owner(model, now).map(|h| h.engine);
        if let Some(i) = engine.and_then(|e| self.agent(e)) {
            // A full queue drops the report, which is one of many.
            let _ = self.agents[i].tx.try_send(ToAgent::Unserved(model.into()));
        }
    }
}
