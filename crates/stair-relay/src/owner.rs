//! The agent that counts under a name for all entries: a workspace's allowance, rejections of a model.
//!
//! Entries agree on an order of agents by rendezvous hashing, and each takes the first that answers it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use stair_fleet::msg::ToAgent;
use stair_types::rendezvous;

use crate::context::State;

/// Time for which a choice is kept.
const CHOICE_TTL: Duration = Duration::from_millis(250);

/// The agents that were chosen lately.
#[derive(Default)]
pub struct Owners {
    /// Sorted by name.
    list: Vec<(Box<str>, Owner)>,
}

/// The agent that counts under a name.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Owner {
    /// Its engine.
    pub(crate) engine: SocketAddr,
    /// Whether another agent would be chosen if it answered.
    pub(crate) is_fallback: bool,
    until: Duration,
}

impl Owners {
    /// Drops all choices: a link has begun or ended.
    pub(crate) fn clear(&mut self) {
        self.list.clear();
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|(n, _)| (**n).cmp(name))
    }
}

impl State {
    /// The agent that counts under a name; `None` when no agent answers.
    pub(crate) fn owner(&mut self, name: &str, now: Duration) -> Option<Owner> {
        let found = self.owners.find(name);
        if let Ok(i) = found
            && now < self.owners.list[i].1.until
        {
            return Some(self.owners.list[i].1);
        }
        let owner = self.choose_owner(name, now)?;
        match found {
            Ok(i) => self.owners.list[i].1 = owner,
            Err(i) => self.owners.list.insert(i, (name.into(), owner)),
        }
        Some(owner)
    }

    fn choose_owner(&self, name: &str, now: Duration) -> Option<Owner> {
        let weight = |i: &usize| rendezvous::weight(name, &self.agents[*i].name);
        let all = 0..self.agents.len();
        let first = all.clone().max_by_key(weight)?;
        let answers = |i: &usize| {
            let link = &self.agents[*i];
            link.linked && link.skipped_until <= now
        };
        let chosen = all.filter(answers).max_by_key(weight)?;
        Some(Owner {
            engine: self.agents[chosen].engine,
            is_fallback: chosen != first,
            until: now + CHOICE_TTL,
        })
    }

    /// Leaves out an agent that has not answered.
    pub(crate) fn skip_agent(&mut self, engine: SocketAddr, until: Duration) {
        if let Some(i) = self.agent(engine) {
            self.agents[i].skipped_until = until;
        }
        self.owners.clear();
    }

    /// Has a rejected request counted for a model that no engine could load in time.
    pub(crate) fn count_unserved(&mut self, model: &str, now: Duration) {
        let engine = self.owner(model, now).map(|h| h.engine);
        if let Some(i) = engine.and_then(|e| self.agent(e)) {
            // Lost with a full queue, it is one of many.
            let _ = self.agents[i].tx.try_send(ToAgent::Unserved(model.into()));
        }
    }
}
