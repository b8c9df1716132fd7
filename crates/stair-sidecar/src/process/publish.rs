//! Sends reports to entries: the engine's inventory, its load, and the other entries' state.

use std::time::Duration;

use stair_fleet::{
    engine_estimate::EventTime,
    msg::{
        EntrySet,
        Peers,
        ReplicationState,
        ToEntry, //
    },
    target::{
        Inventory,
        Load, //
    },
};
use stair_telemetry::event::Line;
use tokio::time::Instant;

use super::Agent;
use crate::usage::LinkKey;

/// Pause between reports without a change. After three missed ones, entries regard the agent as dead.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);

/// Time for an entry to send the declaration; after that it may be requested from another entry.
const DECLARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Least pause between reports when only the amount of work has changed.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Least pause between reports when only the amount of work has changed, divided by the number of links.
/// With thirty entries a change is reported every 600 ms, so that reports do not take more of the VM's
/// processor time than orders.
const LOAD_INTERVAL_PER_LINK: Duration = Duration::from_millis(20);

impl Agent {
    /// Reports the other entries to each entry when the least name, the number of entries or the entry
    /// that watches the store for them has changed.
    pub(super) fn publish_peers(&mut self) {
        let fleet = EntrySet::of(&self.replication_states());
        for link in &mut self.links {
            let Some(own) = &link.known else { continue };
            let peers = fleet.peers(own);
            if link.published_peers.as_ref() != Some(&peers) {
                let sent = link.tx.try_send(ToEntry::Peers(Box::new(peers.clone())));
                // The queue of an entry that reads slowly is full. The report is repeated: an entry
                // that does not know the watcher would watch the store itself for as long as it runs.
                if sent.is_ok() {
                    link.published_peers = Some(peers);
                }
            }
        }
    }

    /// Sends a lagging entry the entries with a newer state.
    pub(super) fn publish_newer_peers(&self, key: LinkKey) {
        let link = self.links.iter().find(|l| l.key == key);
        let Some((link, own)) = link.and_then(|l| Some((l, l.known.as_ref()?))) else {
            return;
        };
        let peers = Peers::of(own, &self.replication_states());
        // The queue of an entry that reads slowly is full; its next message repeats this.
        let _ = link.tx.try_send(ToEntry::Peers(Box::new(peers)));
    }

    /// Requests a newer declaration from an entry that has one, unless a request to another entry is
    /// still open.
    pub(super) fn request_declaration(&mut self, key: LinkKey) {
        let due = |at: Instant| at.elapsed() >= DECLARE_TIMEOUT;
        if !self.declaration_requested_at.is_none_or(due) {
            return;
        }
        let link = self.links.iter().find(|l| l.key == key);
        // The queue of an entry that does not read is full; the next entry with a newer declaration
        // receives the request.
        if link.is_some_and(|l| l.tx.try_send(ToEntry::DeclarationRequest).is_ok()) {
            self.declaration_requested_at = Some(Instant::now());
        }
    }

    fn replication_states(&self) -> Vec<ReplicationState> {
        self.links.iter().filter_map(|l| l.known.clone()).collect()
    }

    /// Sends the inventory and the load to all entries if they have changed, and the load as a
    /// heartbeat.
    pub(super) fn publish(&mut self) {
        let inventory = self.controller.inventory();
        if self.published_inventory.as_ref() != Some(&inventory) {
            log_inventory(&inventory);
            let before = self.published_inventory.iter().flat_map(|h| &h.models);
            for unloaded_model in before.filter(|h| inventory.model(&h.name).is_none()) {
                self.prefills.unloaded(&unloaded_model.name);
            }
            self.broadcast(&ToEntry::Inventory(Box::new(inventory.clone())));
            self.published_inventory = Some(inventory);
        }
        let load = self.load();
        if self.load_is_due(&load) {
            let before = self.published_load.as_ref().map(|(l, _)| &l.draining);
            if before.is_some_and(|b| *b != load.draining) {
                Line::new("leaving")
                    .text("models", &load.draining.join(" "))
                    .write();
            }
            self.broadcast(&ToEntry::Load(Box::new(load.clone())));
            self.published_load = Some((load, Instant::now()));
        }
    }

    pub(super) fn load(&self) -> Load {
        let now = self.now();
        let load = self.controller.load(now);
        let loaded = load.usage.iter().map(|u| &*u.model);
        Load {
            backlog: self.prefills.backlog(now),
            estimate: self.prefills.estimate(loaded, now),
            ..load
        }
    }

    /// Updates the engine's speed by measured times of events.
    pub(super) fn record_events(&mut self, times: &[EventTime], now: Duration) {
        let streams = self.controller.running();
        let before = speed_step(self.prefills.estimator().speed(now));
        self.prefills.record_events(times, streams, now);
        let speed = self.prefills.estimator().speed(now);
        let event_ms = self.prefills.estimator().event_ms(streams, now);
        self.page
            .gauge("engine_speed_percent", &[], (speed * 100.0) as i64);
        self.page
            .gauge("engine_event_us", &[], (event_ms * 1000.0) as i64);
        if speed_step(speed) != before {
            Line::new("engine.speed")
                .num("percent", (speed * 100.0) as i64)
                .num("event_us", (event_ms * 1000.0) as i64)
                .num("streams", streams)
                .num("samples", times.len() as i64)
                .write();
        }
    }

    fn load_is_due(&self, load: &Load) -> bool {
        let Some((last, at)) = &self.published_load else {
            return true;
        };
        let orders = |l: &Load| {
            let loading = l.loading.as_ref().map(|l| l.model.clone());
            (l.alive, loading, l.draining.clone(), l.queued_load_time)
        };
        let work = |l: &Load| {
            (
                l.queued,
                l.backlog.as_millis() / 100,
                l.running / 3,
                l.free_adapters == 0,
                l.estimate.as_ref().map(|e| speed_step(e.speed.into())),
            )
        };
        let links = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        let pause = LOAD_INTERVAL.max(LOAD_INTERVAL_PER_LINK * links);
        orders(last) != orders(load)
            || at.elapsed() >= REPORT_INTERVAL
            || (at.elapsed() >= pause && work(last) != work(load))
    }

    /// Sends one entry the whole state.
    pub(super) fn publish_all(&self, key: LinkKey) {
        let Some(link) = self.links.iter().find(|l| l.key == key) else {
            return;
        };
        let inventory = ToEntry::Inventory(Box::new(self.controller.inventory()));
        let load = ToEntry::Load(Box::new(self.load()));
        let stale = self
            .stale_incarnation
            .clone()
            .map(ToEntry::StaleIncarnation);
        for msg in [inventory, load].into_iter().chain(stale) {
            if link.tx.try_send(msg).is_err() {
                self.page.count("untold_total", &[], 1);
            }
        }
    }

    pub(super) fn broadcast(&self, msg: &ToEntry) {
        for link in &self.links {
            if link.tx.try_send(msg.clone()).is_err() {
                // The entry does not read. Its link times out, and the next one begins with the
                // whole state.
                self.page.count("untold_total", &[], 1);
            }
        }
    }
}

/// The step that a speed is in. A step of a seventh is more than the noise of the estimate.
fn speed_step(speed: f64) -> i32 {
    (speed.log2() * 5.0).round() as i32
}

/// Logs the new inventory of the engine.
fn log_inventory(inventory: &Inventory) {
    let models = inventory.models.iter().map(|h| match h.adapters.len() {
        0 => h.name.to_string(),
        _ => format!("{}+{}", h.name, h.adapters.join("+")),
    });
    Line::failure("holds")
        .text("models", &models.collect::<Vec<_>>().join(" "))
        .text("in_memory", &inventory.in_memory.join(" "))
        .text("on_disk", &inventory.on_disk.join(" "))
        .write();
}
