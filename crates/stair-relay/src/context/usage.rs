//! What this entry has sent to each engine, for the engines' agents.

use std::net::SocketAddr;

use stair_fleet::{
    msg::Used,
    prefill::Measurement, //
};

use super::State;

/// Use of a model, or an adapter as `MODEL/NAME`, at one engine by this entry.
pub(super) struct UseAt {
    engine: SocketAddr,
    used: Used,
    told_in_flight: u32,
}

impl State {
    /// Notes that a request goes to an engine.
    pub(super) fn use_begins(&mut self, engine: SocketAddr, name: &str) {
        let found = self
            .use_of
            .iter_mut()
            .find(|u| u.engine == engine && *u.used.model == *name);
        if let Some(u) = found {
            u.used.sent += 1;
            u.used.in_flight += 1;
            return;
        }
        self.use_of.push(UseAt {
            engine,
            used: Used {
                model: name.into(),
                sent: 1,
                in_flight: 1,
            },
            told_in_flight: 0,
        });
    }

    pub(super) fn use_ends(&mut self, engine: SocketAddr, name: &str) {
        let found = self
            .use_of
            .iter_mut()
            .find(|u| u.engine == engine && *u.used.model == *name);
        if let Some(u) = found {
            u.used.in_flight = u.used.in_flight.saturating_sub(1);
        }
    }

    /// Takes how long prompts took to be read at an engine since its agent was told.
    pub fn take_read(&mut self, engine: SocketAddr) -> Vec<Measurement> {
        let i = self.agent(engine);
        i.map_or_else(Vec::new, |i| std::mem::take(&mut self.agents[i].read))
    }

    /// Takes what an engine's agent has not been told yet; all of it for a new link.
    pub fn take_used(&mut self, engine: SocketAddr, whole: bool) -> Vec<Used> {
        let mut out = Vec::new();
        for u in self.use_of.iter_mut().filter(|u| u.engine == engine) {
            let news = u.used.sent > 0 || u.used.in_flight != u.told_in_flight;
            if news || whole {
                out.push(u.used.clone());
                u.used.sent = 0;
                u.told_in_flight = u.used.in_flight;
            }
        }
        let idle = |u: &UseAt| u.used.in_flight == 0 && u.told_in_flight == 0 && u.used.sent == 0;
        self.use_of.retain(|u| u.engine != engine || !idle(u));
        out
    }
}
