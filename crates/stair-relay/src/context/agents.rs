//! Messages to the agents of engines.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    choose::Placement,
    engine_estimate::EventTime,
    fair_share::{
        Caller,
        Turn, //
    },
    msg::{
        LoadRequest,
        ToAgent, //
    },
    prefill::{
        Measurement,
        Reply,
        Request, //
    },
    view::TargetKey, //
};
use tokio::sync::oneshot;

use super::{
    Context,
    PendingLoad, //
};
use crate::job::Job;

/// Times of events that wait to be reported to one agent. With more, the oldest are dropped.
const MAX_EVENT_TIMES: usize = 32;

/// An agent's reply to a request for a prefill slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotReply {
    /// The slot.
    pub reply: Reply,
    /// The prompt's turn if it has to wait, from agents that share slots among callers.
    pub turn: Option<Turn>,
}

impl Context {
    /// Reports to the agent of an engine that the engine has disowned the incarnation `id`.
    pub fn report_stale_incarnation(&self, engine: SocketAddr, id: Box<str>) {
        let state = self.state();
        if let Some(i) = state.agent(engine) {
            // A full queue may drop the message: the agent finds out by its own orders.
            let _ = state.agents[i].tx.try_send(ToAgent::StaleIncarnation(id));
        }
    }

    /// Requests a model or adapter from the agent of an engine. Returns `None` when there is no link.
    pub fn request_load(
        self: &Arc<Self>,
        engine: SocketAddr,
        mut req: LoadRequest,
    ) -> Option<PendingLoad> {
        let mut state = self.state();
        req.seq = state.next_seq();
        let i = state.agent(engine)?;
        let link = &mut state.agents[i];
        let seq = req.seq;
        link.tx.try_send(ToAgent::LoadRequest(req)).ok()?;
        let (tx, rx) = oneshot::channel();
        link.pending_loads.push((seq, tx));
        Some(PendingLoad {
            cx: self.clone(),
            engine,
            seq,
            rx,
            cancel_on_drop: true,
        })
    }

    pub(super) fn cancel(&self, engine: SocketAddr, seq: u64) {
        let mut state = self.state();
        if let Some(i) = state.agent(engine) {
            let link = &mut state.agents[i];
            link.pending_loads.retain(|(s, _)| *s != seq);
            // A full queue may drop the message: the agent drops the request when the link ends.
            let _ = link.tx.try_send(ToAgent::Cancel(seq));
        }
    }

    /// Records the time from sending a prompt to its first event, to be reported to the engine's agent.
    /// `prefill_time` is the agent's estimate, and 0 if it gave none.
    pub fn record_prefill(
        &self,
        key: TargetKey,
        job: &Job,
        prefill_time: Duration,
        took: Duration,
    ) {
        let Some((model, _)) = job.model_of_engine().filter(|_| !prefill_time.is_zero()) else {
            return;
        };
        let mut state = self.state();
        let engine = state.view.get(key).target.addr;
        if let Some(i) = state.agent(engine) {
            state.agents[i].prefill_times.push(Measurement {
                model: model.into(),
                prefill_time,
                took,
            });
        }
    }

    /// Records the time of an event of a stream, for this entry's own estimate and to be reported to the
    /// engine's agent. Nothing is recorded for agents that do not estimate from it.
    pub fn record_event_time(&self, key: TargetKey, job: &Job, event_ms: f32) {
        let Some((model, _)) = job.model_of_engine() else {
            return;
        };
        let time = EventTime {
            model: model.into(),
            event_ms,
        };
        let now = self.now();
        let mut state = self.state();
        let engine = state.view.get(key).target.addr;
        let estimates = |i: &usize| state.agents[*i].features.event_times;
        let Some(i) = state.agent(engine).filter(estimates) else {
            return;
        };
        let target_state = state.view.get_mut(key);
        let reported = target_state.fresh_report(now).map(|r| r.load.running);
        let streams = reported.unwrap_or(target_state.in_flight);
        target_state.own_estimator.record(&time, streams, now);
        let list = &mut state.agents[i].event_times;
        if list.len() >= MAX_EVENT_TIMES {
            list.remove(0);
        }
        list.push(time);
    }

    /// How targets are chosen: by the engines' own speeds if agents estimate these.
    pub(crate) fn placement(&self) -> Placement {
        let state = self.state();
        match state.agents.iter().any(|a| a.features.event_times) {
            true => Placement::CURRENT,
            false => Placement::Fixed,
        }
    }

    /// Requests a prefill slot from the agent of an engine. Returns `None` when there is no link. Agents of
    /// earlier releases do not learn the caller.
    pub fn reserve(
        &self,
        engine: SocketAddr,
        request: Request,
        from: Caller,
    ) -> Option<oneshot::Receiver<SlotReply>> {
        let mut state = self.state();
        let seq = state.next_seq();
        let i = state.agent(engine)?;
        let link = &mut state.agents[i];
        let msg = match link.features.callers {
            true => ToAgent::CallerPrefill { seq, request, from },
            false => ToAgent::Prefill { seq, request },
        };
        link.tx.try_send(msg).ok()?;
        let (tx, rx) = oneshot::channel();
        link.pending_slots.push((seq, tx));
        Some(rx)
    }

    /// Handles an agent's reply to a request for a prefill slot.
    pub(crate) fn receive_slot(&self, engine: SocketAddr, seq: u64, slot: SlotReply) {
        let now = self.now();
        let mut state = self.state();
        let Some(i) = state.agent(engine) else { return };
        let list = &mut state.agents[i].pending_slots;
        let found = list.iter().position(|(s, _)| *s == seq);
        let waiter = found.map(|i| list.swap_remove(i).1);
        state
            .view
            .set_prefill_until(engine, now + slot.reply.backlog);
        drop(state);
        // The request that waited may have been dropped.
        waiter.map(|tx| tx.send(slot));
    }
}
