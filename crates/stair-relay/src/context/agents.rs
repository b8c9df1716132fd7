//! Messages to the agents of engines.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    msg::{
        LoadRequest,
        ToAgent, //
    },
    prefill::{
        Measurement, //
        Reply,
        Request,
    },
    view::TargetKey, //
};
use tokio::sync::oneshot;

use super::{
    Context,
    PendingLoad, //
};
use crate::job::Job;

impl Context {
    /// Tells the agent at an address that its engine has said it is not this life.
    pub fn report_former(&self, engine: SocketAddr, id: Box<str>) {
        let state = self.state();
        if let Some(i) = state.agent(engine) {
            // An agent that does not read finds out by its own orders.
            let _ = state.agents[i].tx.try_send(ToAgent::StaleIncarnation(id));
        }
    }

    /// Asks the agent of an engine for a model or adapter. `None` when there is no link.
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
        link.waiting.push((seq, tx));
        Some(PendingLoad {
            cx: self.clone(),
            engine,
            seq,
            rx,
            open: true,
        })
    }

    pub(super) fn cancel(&self, engine: SocketAddr, seq: u64) {
        let mut state = self.state();
        if let Some(i) = state.agent(engine) {
            let link = &mut state.agents[i];
            link.waiting.retain(|(s, _)| *s != seq);
            // An agent that does not read forgets it when the link ends.
            let _ = link.tx.try_send(ToAgent::Cancel(seq));
        }
    }

    /// Takes in how long an engine took until the first event of a prompt, for its agent.
    pub fn was_read(&self, key: TargetKey, job: &Job, reads: Duration, took: Duration) {
        let Some((model, _)) = job.model_of_engine().filter(|_| !reads.is_zero()) else {
            return;
        };
        let mut state = self.state();
        let engine = state.view.get(key).target.addr;
        if let Some(i) = state.agent(engine) {
            state.agents[i].read.push(Measurement {
                model: model.into(),
                prefill_time: reads,
                took,
            });
        }
    }

    /// Asks the agent of an engine for a prompt's prefill slot. `None` when there is no link.
    pub fn reserve(&self, engine: SocketAddr, ask: Request) -> Option<oneshot::Receiver<Reply>> {
        let mut state = self.state();
        let seq = state.next_seq();
        let i = state.agent(engine)?;
        let link = &mut state.agents[i];
        link.tx
            .try_send(ToAgent::Prefill { seq, request: ask })
            .ok()?;
        let (tx, rx) = oneshot::channel();
        link.reservations.push((seq, tx));
        Some(rx)
    }
}
