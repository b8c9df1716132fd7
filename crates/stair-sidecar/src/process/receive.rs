//! Handles the messages of entries, and tracks the engine's present incarnation.

use std::time::Duration;

use platform_adapter::store::Store;
use stair_config::fleet_settings::SidecarSettings;
use stair_fleet::{
    fair_share::{
        Ask,
        Caller,
        Decision,
        Turn, //
    },
    msg::{
        ToAgent,
        ToEntry, //
    },
    prefill::{
        Reply,
        Request, //
    },
};
use stair_telemetry::event::Line;
use stair_types::Era;
use tokio::time::Instant;

use super::{
    Agent,
    ENGINE_STATEMENT_TTL,
    IncarnationSource,
    Link, //
};
use crate::{
    controller::LoadRequestId,
    links::Event,
    usage::LinkKey, //
};

impl Agent {
    pub(super) fn handle(&mut self, event: Event) {
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
                self.shares.link_closed(key.0);
            }
            Event::Message(key, msg) => self.receive(key, msg),
            // Fails when the operator's connection has ended.
            Event::Dump(tx) => drop(tx.send(self.dump())),
        }
    }

    fn receive(&mut self, key: LinkKey, msg: ToAgent) {
        let now = self.now();
        match msg {
            ToAgent::Hello(known) => {
                self.observe_era(known.targets.era);
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
            // A lagging entry sends a declaration that is no longer in force.
            ToAgent::Declaration { .. } => {}
            ToAgent::Incarnation { id, revision } => {
                self.update_incarnation(id, IncarnationSource::Store(revision));
                // The entry has just learnt of this incarnation and has no inventory for it: earlier
                // reports counted for the previous one. Without the report, a model on the engine's
                // disk would be loaded from the weight store.
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
            ToAgent::Prefill { seq, request } => {
                let (reply, _) = self.reserve(key, &request, None, now);
                let link = self.links.iter().find(|l| l.key == key);
                // An entry that does not read gets no slot.
                link.map(|l| l.tx.try_send(ToEntry::Prefill { seq, reply }));
            }
            ToAgent::CallerPrefill { seq, request, from } => {
                let (reply, turn) = self.reserve(key, &request, Some(&from), now);
                let link = self.links.iter().find(|l| l.key == key);
                // An entry that does not read gets no slot.
                link.map(|l| l.tx.try_send(ToEntry::CallerPrefill { seq, reply, turn }));
            }
            ToAgent::Unserved(model) => self.controller.record_unserved(&model, now),
            ToAgent::Used(list) => self.controller.record_use(key, &list, now),
            ToAgent::PrefillTimes(list) => list.iter().for_each(|r| self.prefills.record(r)),
            ToAgent::EventTimes(list) => self.record_events(&list, now),
            // Handled by the link.
            ToAgent::QuotaRequest { .. }
            | ToAgent::QuotaRefund { .. }
            | ToAgent::OrderedQuota { .. }
            | ToAgent::PassedOver(_)
            | ToAgent::Quarantine(_)
            | ToAgent::Limit(_)
            | ToAgent::Availability(_)
            | ToAgent::Origin(_) => {}
        }
    }

    /// Reserves the prefill slot of a prompt, or has it wait.
    fn reserve(
        &mut self,
        key: LinkKey,
        request: &Request,
        caller: Option<&Caller>,
        now: Duration,
    ) -> (Reply, Option<Turn>) {
        let (reply, turn, is_unmet) = if self.controller.is_draining(&request.model) {
            (Reply::model_draining(request), None, request.first)
        } else if !self.settings.fair_shares {
            let memory = self.controller.memory_tokens();
            let reply = self.prefills.reserve(request, memory, now);
            (reply, None, request.first)
        } else {
            let ask = Ask {
                link: key.0,
                caller,
                request,
            };
            let memory = self.controller.memory_tokens();
            let decision = self.shares.reserve(&mut self.prefills, &ask, memory, now);
            if decision.is_short {
                self.count_share(&ask, &decision);
            }
            (decision.reply, decision.turn, decision.is_unmet)
        };
        // A repeated request has been counted already.
        if reply.reserved || is_unmet {
            let work = self.prefills.prefill_time(request, reply.cached);
            self.controller
                .record_prompt(&request.model, reply.reserved, work, now);
        }
        (reply, turn)
    }

    /// Counts a decision made while slots are short.
    fn count_share(&mut self, ask: &Ask<'_>, decision: &Decision) {
        let caller = self.share_labels.of(ask);
        let outcome = match (decision.reply.reserved, decision.turn) {
            (true, _) => "granted",
            (false, Some(_)) => "waits",
            (false, None) => "refused",
        };
        let labels = [("caller", caller), ("outcome", outcome)];
        self.page.count("shared_slots_total", &labels, 1);
    }

    /// Records that the engine has rejected `id` as stale, to an entry or to this agent.
    ///
    /// The rejection need not state the present incarnation. Until that is known, load requests end
    /// with [`NoControl`](stair_fleet::msg::Outcome::NoControl).
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

    /// Replaces the engine's present incarnation, unless `id` is stale or what states it is older.
    ///
    /// While the engine responds, only it states its incarnation: an entry that knows no more than a
    /// copy of the store's state names the one before.
    pub(super) fn update_incarnation(&mut self, id: Box<str>, source: IncarnationSource) {
        // A lagging entry still states the previous incarnation.
        if self.stale_incarnation.as_ref() == Some(&id) {
            return;
        }
        let is_outdated = match (&self.incarnation, source) {
            (_, IncarnationSource::Engine) => {
                self.incarnation_stated_at = Some(Instant::now());
                false
            }
            (None, IncarnationSource::Store(_)) => false,
            (Some((_, IncarnationSource::Engine)), IncarnationSource::Store(_)) => {
                let stated_at = self.incarnation_stated_at;
                stated_at.is_some_and(|t| t.elapsed() < ENGINE_STATEMENT_TTL)
            }
            (Some((_, IncarnationSource::Store(known))), IncarnationSource::Store(revision)) => {
                revision < *known
            }
        };
        if is_outdated {
            return;
        }
        if self.incarnation.as_ref().is_none_or(|(i, _)| *i != id) {
            let line = Line::new("instance").text("id", &id);
            match source {
                IncarnationSource::Engine => line.text("source", "engine").write(),
                IncarnationSource::Store(revision) => line
                    .num("revision", revision.counter)
                    .num("era", revision.era.0)
                    .write(),
            }
            self.prefills.clear();
        }
        self.incarnation = Some((id, source));
    }

    /// Applies changed settings. The others take effect at the next start.
    pub(super) fn reload(&mut self, new: &SidecarSettings) {
        self.store = Store::new(new.store, self.eras.clone());
        self.ledgers.quotas.set_slack(new.quota_slack);
        Line::new("settings")
            .show("store", new.store)
            .num("quota_slack", new.quota_slack as i64)
            .write();
    }

    /// Records an era that an entry states.
    fn observe_era(&mut self, era: Era) {
        if self.eras.observe(era) {
            Line::failure("store.era_observed")
                .num("era", era.0)
                .write();
            let gauge = i64::try_from(era.0).unwrap_or(i64::MAX);
            self.page.gauge("store_era", &[], gauge);
        }
    }
}
