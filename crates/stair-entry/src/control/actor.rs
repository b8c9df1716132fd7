//! The actor that owns the state, publishes the view and updates the agents' assignments.

use std::{
    sync::Arc,
    time::Duration, //
};

use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use stair_platform::{
    Error,
    Event,
    Kind,
    Object,
    ObjectStore, //
};
use stair_state::{
    GrantShard,
    grants::shard_named, //
};
use stair_telemetry::{
    Part,
    warn, //
};
use stair_types::{
    EntryName,
    ShardId,
    StoreRevision,
    TargetName, //
};
use stair_wire::control::EntryAddress;
use tokio::{
    sync::watch,
    time::Instant, //
};

use crate::{
    control::{
        agents::AgentStream,
        feed::{
            Listed,
            decode, //
        },
        load_slots::LoadSlotScheduler,
        memory_pressure::MemoryPressure,
        migration::Migrations,
        msg::Msg,
        state::{
            State,
            Versioned, //
        },
        writes::Release,
    },
    view::View,
};

/// Interval at which pending work is checked again: proposals in place of an owner that does not act,
/// and releases that are not written.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// The arguments of the actor.
pub struct Arguments<S> {
    /// This entry.
    pub name: EntryName,
    /// The platform.
    pub store: S,
    /// Where the view is published.
    pub view: watch::Sender<Arc<View>>,
    /// The scheduler of load slots, which gets the limits of the configuration in force.
    pub scheduler: LoadSlotScheduler,
}

/// The actor's own state.
pub struct Control<S> {
    pub(super) args: Arguments<S>,
    pub(super) state: State,
    pub(super) agents: Vec<AgentStream>,
    pub(super) entries: Arc<Vec<EntryAddress>>,
    pub(super) flush_sent: bool,
    /// Whether grants may need a change that has not been proposed yet.
    pub(super) proposals_due: bool,
    /// This entry's rank for each shard; empty until computed.
    pub(super) ranks: Vec<usize>,
    /// For each shard, the time since which a change has been needed and not written.
    pub(super) needed_since: Vec<Option<Instant>>,
    /// For each shard, whether a write is in progress.
    pub(super) writing: Vec<bool>,
    /// Grants that migrate to another target.
    pub(super) migrations: Migrations,
    /// Memory pressure reported by agents.
    pub(super) memory_pressure: MemoryPressure,
    /// Grants released by agents and not yet written.
    pub(super) releases: Vec<Release>,
    /// The version of the fleet at which no agent's record was left to delete.
    pub(super) swept_fleet_version: Option<u64>,
}

/// The control actor of an entry, which handles [`Msg`].
pub struct ControlActor<S> {
    _store: std::marker::PhantomData<S>,
}

impl<S> Default for ControlActor<S> {
    fn default() -> Self {
        Self {
            _store: std::marker::PhantomData,
        }
    }
}

impl<S> Actor for ControlActor<S>
where
    S: ObjectStore,
{
    type Msg = Msg;
    type State = Control<S>;
    type Arguments = Arguments<S>;

    async fn pre_start(
        &self,
        myself: ActorRef<Msg>,
        args: Arguments<S>,
    ) -> Result<Control<S>, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || Msg::Tick);
        let shards = State::default().shards.len();
        Ok(Control {
            args,
            state: State::default(),
            agents: Vec::new(),
            entries: Arc::default(),
            flush_sent: false,
            proposals_due: false,
            ranks: Vec::new(),
            needed_since: vec![None; shards],
            writing: vec![false; shards],
            migrations: Migrations::default(),
            memory_pressure: MemoryPressure::default(),
            releases: Vec::new(),
            swept_fleet_version: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Msg>,
        msg: Msg,
        control: &mut Control<S>,
    ) -> Result<(), ActorProcessingErr> {
        control.handle(&myself, msg);
        Ok(())
    }
}

impl<S> Control<S>
where
    S: ObjectStore,
{
    fn handle(&mut self, myself: &ActorRef<Msg>, msg: Msg) {
        let changed = match msg {
            Msg::Listed(listed) => self.apply_list(*listed),
            Msg::Changes(events) => self.apply_changes(events),
            // This entry's own write comes back by the watch and changes nothing, but proposals
            // that waited for the revision can be made now.
            Msg::CompleteTo(revision) => {
                self.state.advance_revision(revision) && self.proposals_due
            }
            Msg::Config(config) => self.state.update_config(*config),
            Msg::Confirmed => {
                self.state.confirmed = true;
                true
            }
            Msg::Written(shard, result) => self.finish_write(shard, result),
            Msg::ReleaseDone(shard, grants) => {
                self.releases
                    .retain(|r| r.shard != shard || !grants.contains(&r.grant));
                false
            }
            Msg::AgentConnected(connected) => self.add_agent(*connected),
            Msg::AgentDisconnected(stream) => {
                self.agents.retain(|a| a.stream != stream);
                false
            }
            Msg::AgentMessage(stream, msg) => self.handle_agent_message(stream, msg),
            Msg::Flush => {
                self.flush(myself);
                false
            }
            Msg::Tick => {
                self.tick(myself);
                false
            }
            Msg::Snapshot(tx) => {
                let _ = tx.send(self.snapshot());
                false
            }
            Msg::Dump(tx) => {
                let _ = tx.send(self.dump());
                false
            }
            Msg::Status(tx) => {
                let _ = tx.send(self.status());
                false
            }
        };
        // Changes come in bursts, mainly after a watch or an outage. The view and the assignments
        // are derived once for all queued messages, not once for each.
        if changed && !self.flush_sent {
            self.flush_sent = myself.send_message(Msg::Flush).is_ok();
        }
    }

    fn apply_list(&mut self, listed: Listed) -> bool {
        let revision = listed.page.revision;
        let names = listed.page.events.iter().filter_map(|e| match e {
            Event::Put(object) => Some(object.name.clone()),
            Event::Deleted { .. } => None,
        });
        let mut names: Vec<Box<str>> = names.collect();
        names.sort();
        if self.state.has_returned(revision) {
            return self.apply_copy(listed, &names);
        }
        let mut changed = self.apply_changes(listed.page.events);
        changed |= match listed.kind {
            Kind::Vm => self.state.remove_unlisted_vms(&names, revision),
            Kind::Incarnation => {
                let targets = names
                    .into_iter()
                    .filter_map(|n| TargetName::try_from(n).ok());
                let targets: Vec<TargetName> = targets.collect();
                self.state.remove_unlisted_incarnations(&targets, revision)
            }
            _ => false,
        };
        changed
    }

    pub(super) fn apply_changes(&mut self, events: Vec<Event>) -> bool {
        let mut changed = false;
        for event in events {
            changed |= match event {
                Event::Put(object) => self.apply_put(&object).unwrap_or_else(|e| {
                    let kind = object.kind.as_str();
                    warn!(
                        Part::Platform,
                        "Object {kind}/{} is unusable: {e}.", object.name
                    );
                    false
                }),
                Event::Deleted {
                    kind,
                    name,
                    version,
                } => self.apply_deletion(kind, name, version),
            };
        }
        changed
    }

    fn apply_put(&mut self, object: &Object) -> Result<bool, Error> {
        let version = object.version;
        match object.kind {
            Kind::Grants => {
                let shard = shard_id(&object.name)?;
                Ok(self
                    .state
                    .update_shard(shard, version, Some(decode(object)?)))
            }
            Kind::Incarnation => {
                let target = target_name(&object.name)?;
                let record = Some(decode(object)?);
                Ok(self.state.update_incarnation(target, version, record))
            }
            Kind::Vm => {
                let vm = Some(decode(object)?);
                Ok(self.state.update_vm(object.name.clone(), version, vm))
            }
            Kind::Manifest | Kind::Chunk | Kind::Claims => Ok(false),
        }
    }

    fn apply_deletion(&mut self, kind: Kind, name: Box<str>, version: StoreRevision) -> bool {
        match kind {
            Kind::Vm => self.state.update_vm(name, version, None),
            Kind::Incarnation => match TargetName::try_from(name) {
                Ok(target) => self.state.update_incarnation(target, version, None),
                Err(_) => false,
            },
            // Shards of grants are never deleted, and the configuration stays in force without its
            // manifest.
            _ => false,
        }
    }

    fn finish_write(
        &mut self,
        shard: ShardId,
        result: Result<Option<Versioned<GrantShard>>, Error>,
    ) -> bool {
        self.writing[usize::from(shard.0)] = false;
        match result {
            Ok(Some(written)) => {
                self.needed_since[usize::from(shard.0)] = None;
                self.state
                    .update_shard(shard, written.version, written.value)
            }
            Ok(None) => false,
            // Another entry wrote first; its version arrives by the watch.
            Err(Error::Conflict) => false,
            Err(e) => {
                warn!(Part::Grants, "Shard {shard} was not written: {e}.");
                self.proposals_due = true;
                false
            }
        }
    }

    fn flush(&mut self, myself: &ActorRef<Msg>) {
        self.flush_sent = false;
        self.proposals_due = true;
        let policy = &self.state.config.catalogue.policy;
        self.args
            .scheduler
            .set_options(stair_policy::load_slots::Options {
                loads_per_second: policy.weight_store.loads_per_second,
                full_speed_loads: policy.weight_store.full_speed_loads,
                ..stair_policy::load_slots::Options::default()
            });
        self.publish();
        self.update_agents();
        self.write_releases(myself);
        self.move_grants(myself);
        self.propose(myself);
    }

    fn publish(&mut self) {
        let now = Instant::now();
        self.migrations.update(&self.state, now);
        let view = View {
            migrating: self.migrations.migrating_models(&self.state, now),
            ..self.state.view(&self.args.view.borrow())
        };
        self.args.view.send_replace(Arc::new(view));
    }

    /// Publishes again when a grant no longer counts as migrating.
    fn publish_migrations(&mut self) {
        let migrating = self
            .migrations
            .migrating_models(&self.state, Instant::now());
        let changed = self.args.view.borrow().migrating != migrating;
        if changed {
            self.publish();
        }
    }

    fn tick(&mut self, myself: &ActorRef<Msg>) {
        let due = self.state.pop_due(Instant::now());
        if self.apply_changes(due) && !self.flush_sent {
            self.flush_sent = myself.send_message(Msg::Flush).is_ok();
        }
        self.write_releases(myself);
        if self.proposals_due {
            self.propose(myself);
        }
        self.delete_stale_records();
        self.publish_migrations();
    }
}

pub(super) fn shard_id(name: &str) -> Result<ShardId, Error> {
    shard_named(name).ok_or_else(|| Error::Invalid("no shard has this name".into()))
}

fn target_name(name: &str) -> Result<TargetName, Error> {
    TargetName::try_from(name).map_err(|e| Error::Invalid(e.to_string().into()))
}
