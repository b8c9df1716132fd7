//! Requests that this entry has sent to each engine, reported to the engines' agents.

use std::net::SocketAddr;

use stair_fleet::{
    engine_estimate::EventTime,
    msg::Used,
    prefill::Measurement, //
};

use super::State;

/// Use of a model, or of an adapter as `MODEL/NAME`, at one engine by this entry.
pub(super) struct EngineUsage {
    engine: SocketAddr,
    used: Used,
    reported_in_flight: u32,
}

impl State {
    /// Counts a request that is sent to an engine.
    pub(super) fn begin_use(&mut self, engine: SocketAddr, name: &str) {
        let found = self
            .usage
            .iter_mut()
            .find(|u| u.engine == engine && *u.used.model == *name);
        if let Some(u) = found {
            u.used.sent += 1;
            u.used.in_flight += 1;
            return;
        }
        self.usage.push(EngineUsage {
            engine,
            used: Used {
                model: name.into(),
                sent: 1,
                in_flight: 1,
            },
            reported_in_flight: 0,
        });
    }

    pub(super) fn end_use(&mut self, engine: SocketAddr, name: &str) {
        let found = self
            .usage
            .iter_mut()
            .find(|u| u.engine == engine && *u.used.model == *name);
        if let Some(u) = found {
            u.used.in_flight = u.used.in_flight.saturating_sub(1);
        }
    }

    /// Takes the prefill durations at an engine that have not been reported to its agent.
    pub fn take_prefill_times(&mut self, engine: SocketAddr) -> Vec<Measurement> {
        let i = self.agent(engine);
        i.map_or_else(Vec::new, |i| {
            std::mem::take(&mut self.agents[i].prefill_times)
        })
    }

    /// Takes the times of events at an engine that have not been reported to its agent.
    pub fn take_event_times(&mut self, engine: SocketAddr) -> Vec<EventTime> {
        let i = self.agent(engine);
        i.map_or_else(Vec::new, |i| {
            std::mem::take(&mut self.agents[i].event_times)
        })
    }

    /// Takes the use that has not been reported to an engine's agent; with `whole`, all of it, for a new
    /// link.
    pub fn take_used(&mut self, engine: SocketAddr, whole: bool) -> Vec<Used> {
        let mut out = Vec::new();
        for u in self.usage.iter_mut().filter(|u| u.engine == engine) {
            let is_new = u.used.sent > 0 || u.used.in_flight != u.reported_in_flight;
            if is_new || whole {
                out.push(u.used.clone());
                u.used.sent = 0;
                u.reported_in_flight = u.used.in_flight;
            }
        }
        let idle = |u: &EngineUsage| {
            u.used.in_flight == 0 && u.reported_in_flight == 0 && u.used.sent == 0
        };
        self.usage.retain(|u| u.engine != engine || !idle(u));
        out
    }
}
