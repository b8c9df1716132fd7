//! What the agent hears from entries, and which life of its engine it believes in.

use stair_fleet::{
    msg::{
        ToAgent,
        ToEntry, //
    },
    prefill::Reply,
};
use stair_telemetry::event::Line;

use super::{
    Agent,
    Link, //
};
use crate::{
    controller::LoadRequestId,
    links::Event,
    usage::LinkKey, //
};

impl Agent {
    pub(super) fn take(&mut self, event: Event) {
        match event {
            Event::Opened(key, tx) => {
                self.links.push(Link {
                    key,
                    tx,
                    known: None,
                    published_peers: None,
                });
                self.publish_all(key);
            }
            Event::Closed(key) => {
                self.links.retain(|l| l.key != key);
                self.controller.disconnected(key);
            }
            Event::Message(key, msg) => self.receive(key, msg),
            // Whoever asked may have gone.
            Event::Dump(tx) => drop(tx.send(self.dump())),
        }
    }

    fn receive(&mut self, key: LinkKey, msg: ToAgent) {
        let now = self.now();
        match msg {
            ToAgent::Hello(known) => {
                let lags = self.lag.observe(&known, now);
                let newer = known.catalogue > self.declared;
                if let Some(link) = self.links.iter_mut().find(|l| l.key == key) {
                    link.known = Some(known);
                }
                if lags {
                    self.publish_newer_peers(key);
                }
                if newer {
                    self.request_declaration(key);
                }
            }
            ToAgent::Declaration { version, engine } if version >= self.declared => {
                if version > self.declared {
                    Line::new("declared").num("version", version).write();
                }
                self.declared = version;
                self.declaration_requested_at = None;
                self.controller.declare(engine);
            }
            // An entry that lags sends what is no longer in force.
            ToAgent::Declaration { .. } => {}
            ToAgent::Incarnation { id, revision } => {
                self.update_incarnation(id, revision);
                // The entry begins with this life and knows nothing of what it holds: what was told
                // before it knew of this life counted for the one before, and a model on the disk
                // would be fetched from the weight store.
                self.publish_all(key);
            }
            ToAgent::StaleIncarnation(id) => self.receive_stale_incarnation(id),
            ToAgent::LoadRequest(req) => {
                let seq = req.seq;
                Line::new("want")
                    .text("model", &req.model)
                    .text("adapter", req.adapter.as_deref().unwrap_or(""))
                    .num("fetch", req.fetch.unwrap_or(0))
                    .write();
                self.controller
                    .request_load(LoadRequestId { link: key, seq }, req, now);
            }
            ToAgent::Cancel(seq) => {
                Line::new("want.taken_back").num("seq", seq).write();
                self.controller.cancel(LoadRequestId { link: key, seq });
            }
            ToAgent::Prefill { seq, request: ask } => {
                let answer = if self.controller.is_evicting(&ask.model) {
                    Reply::model_draining(&ask)
                } else {
                    self.prefills
                        .reserve(&ask, self.controller.memory_tokens(), now)
                };
                // One that asks again has been counted.
                if answer.reserved || ask.first {
                    let work = self.prefills.prefill_time(&ask, answer.cached);
                    self.controller
                        .record_prompt(&ask.model, answer.reserved, work, now);
                }
                let link = self.links.iter().find(|l| l.key == key);
                // An entry that does not read goes without its slot.
                link.map(|l| l.tx.try_send(ToEntry::Prefill { seq, reply: answer }));
            }
            ToAgent::Unserved(model) => self.controller.record_unserved(&model, now),
            ToAgent::Used(list) => self.controller.record_use(key, &list, now),
            ToAgent::PrefillTimes(list) => list.iter().for_each(|r| self.prefills.record(r)),
            // Answered by the link itself.
            ToAgent::QuotaRequest { .. } | ToAgent::QuotaRefund { .. } | ToAgent::Quarantine(_) => {
            }
        }
    }

    /// Takes in that the engine has said it is not this life, to an entry or to this agent.
    ///
    /// The refusal need not name the present life. Until that is known, entries are told that the engine takes no
    /// orders.
    pub(super) fn receive_stale_incarnation(&mut self, id: Box<str>) {
        if self.stale_incarnation.as_ref() == Some(&id) {
            return;
        }
        Line::failure("instance.former").text("id", &id).write();
        if self.incarnation.as_ref().is_some_and(|(i, _)| *i == id) {
            self.incarnation = None;
        }
        self.stale_incarnation = Some(id.clone());
        self.broadcast(&ToEntry::StaleIncarnation(id));
    }

    pub(super) fn update_incarnation(&mut self, id: Box<str>, revision: u64) {
        // An entry that lags still names the life before.
        if self.stale_incarnation.as_ref() == Some(&id) {
            return;
        }
        let newer = self
            .incarnation
            .as_ref()
            .is_none_or(|(_, r)| revision >= *r);
        let other = self.incarnation.as_ref().is_none_or(|(i, _)| *i != id);
        if newer {
            if other {
                Line::new("instance")
                    .text("id", &id)
                    .num("revision", revision)
                    .write();
                self.prefills.clear();
            }
            self.incarnation = Some((id, revision));
        }
    }
}
