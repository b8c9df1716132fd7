//! The actor that owns the state, publishes the view and keeps the agents up to date.

use std::{
    sync::Arc,
    time::Duration, //
};

use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use serde_json::{
    Value,
    json, //
};
use stair_config::chunks::Chunk;
use stair_platform::{
    Error,
    Event,
    Kind,
    Object,
    ObjectStore,
    Page,
    Snapshot, //
};
use stair_state::GrantShard;
use stair_telemetry::{
    Part,
    info,
    warn, //
};
use stair_types::{
    EntryName,
    GrantId,
    ShardId,
    TargetName, //
};
use stair_wire::control::{
    AgentControl,
    Assignment,
    EntryAddress,
    Hello, //
};
use tokio::{
    sync::{
        oneshot,
        watch, //
    },
    time::Instant,
};

use crate::{
    control::{
        assignment,
        feed::{
            Listed,
            decode, //
        },
        propose::Round,
        shards,
        state::{
            Config,
            State,
            Versioned,
            version_of, //
        },
        turns::Desk,
    },
    view::View,
};

/// How often pending work is looked at again: proposals of a home that does not act, releases
/// whose write failed.
const TICK: Duration = Duration::from_millis(500);

/// An entry that is second for a shard acts when a needed change has been pending for this time,
/// the third after twice the time. So a dead home is replaced in seconds, although the platform's
/// list still shows it, and entries that merely hear of a change a little apart do not collide.
const STAND_IN_AFTER: Duration = Duration::from_secs(3);

/// Records of agents deleted in one tick; a data centre that is lost leaves hundreds.
const DELETED_A_TICK: usize = 8;

/// What control handles.
#[derive(Debug)]
pub enum Msg {
    /// A complete list of one kind.
    Listed(Box<Listed>),
    /// Changes, of a watch or a peer.
    Changes(Box<Page>),
    /// A configuration whose chunks are all read.
    Config(Box<Config>),
    /// Everything was listed from the platform itself.
    Confirmed,
    /// A shard as this entry has just written it.
    Written(ShardId, Result<Option<Versioned<GrantShard>>, Error>),
    /// Grants that were written as given back.
    ReleaseDone(ShardId, Vec<GrantId>),
    /// An agent opened its control stream.
    AgentUp(Box<AgentUp>),
    /// The control stream ended.
    AgentDown(StreamId),
    /// An agent said something.
    AgentSaid(StreamId, AgentControl),
    /// Many changes have come; look at them all at once.
    Flush,
    /// Time passed.
    Tick,
    /// Asks for everything that a starting peer needs.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Asks for the state dump.
    Dump(oneshot::Sender<Value>),
    /// Asks for the short status.
    Status(oneshot::Sender<Value>),
}

/// Names a control stream of an agent within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// What an agent's control stream should have been sent. Only the latest counts.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// The agent's assignment.
    pub assignment: Option<Arc<Assignment>>,
    /// The live entries.
    pub entries: Arc<Vec<EntryAddress>>,
}

/// An agent opened its control stream.
#[derive(Debug)]
pub struct AgentUp {
    /// The stream.
    pub stream: StreamId,
    /// How the agent introduced itself.
    pub hello: Hello,
    /// Where to put what it should be sent.
    pub outbox: watch::Sender<Outbox>,
}

struct AgentStream {
    stream: StreamId,
    hello: Hello,
    outbox: watch::Sender<Outbox>,
    /// Whether the last assignment sent is in force at the agent.
    in_force: bool,
}

/// What the actor is started with.
pub struct Arguments<S> {
    /// This entry.
    pub name: EntryName,
    /// The platform.
    pub store: S,
    /// Where the view is published.
    pub view: watch::Sender<Arc<View>>,
    /// The turns at the weight store.
    pub desk: Desk,
}

/// The actor's own state.
pub struct Control<S> {
    args: Arguments<S>,
    state: State,
    agents: Vec<AgentStream>,
    entries: Arc<Vec<EntryAddress>>,
    flush_sent: bool,
    /// Whether grants may have to change since the last round of proposals.
    unproposed: bool,
    /// For each shard, since when a change is needed that this entry is not first for.
    needed_since: Vec<Option<Instant>>,
    /// Shards with a write under way.
    writing: Vec<bool>,
    /// Given back by agents and not yet written.
    releases: Vec<Release>,
}

struct Release {
    shard: ShardId,
    grant: GrantId,
    writing: bool,
}

/// The actor; see the module.
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
        myself.send_interval(TICK, || Msg::Tick);
        let shards = State::default().shards.len();
        Ok(Control {
            args,
            state: State::default(),
            agents: Vec::new(),
            entries: Arc::default(),
            flush_sent: false,
            unproposed: false,
            needed_since: vec![None; shards],
            writing: vec![false; shards],
            releases: Vec::new(),
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
            Msg::Listed(listed) => self.take_list(*listed),
            Msg::Changes(page) => self.take_changes(page.events),
            Msg::Config(config) => self.state.raise_config(*config),
            Msg::Confirmed => {
                self.state.confirmed = true;
                true
            }
            Msg::Written(shard, result) => self.take_written(shard, result),
            Msg::ReleaseDone(shard, grants) => {
                self.releases
                    .retain(|r| r.shard != shard || !grants.contains(&r.grant));
                false
            }
            Msg::AgentUp(up) => self.add_agent(*up),
            Msg::AgentDown(stream) => {
                self.agents.retain(|a| a.stream != stream);
                false
            }
            Msg::AgentSaid(stream, said) => self.agent_said(stream, said),
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
        // Changes come in bursts, after a watch or an outage above all. The view and the
        // assignments are derived once for all messages that wait, not once for each.
        if changed && !self.flush_sent {
            self.flush_sent = myself.send_message(Msg::Flush).is_ok();
        }
    }

    fn take_list(&mut self, listed: Listed) -> bool {
        let revision = listed.page.revision;
        let names = listed.page.events.iter().filter_map(|e| match e {
            Event::Put(object) => Some(object.name.clone()),
            Event::Deleted { .. } => None,
        });
        let mut names: Vec<Box<str>> = names.collect();
        names.sort();
        let mut changed = self.take_changes(listed.page.events);
        changed |= match listed.kind {
            Kind::Vm => self.state.forget_unlisted_vms(&names, revision),
            Kind::Incarnation => {
                let targets = names
                    .into_iter()
                    .filter_map(|n| TargetName::try_from(n).ok());
                let targets: Vec<TargetName> = targets.collect();
                self.state.forget_unlisted_incarnations(&targets, revision)
            }
            _ => false,
        };
        changed
    }

    fn take_changes(&mut self, events: Vec<Event>) -> bool {
        let mut changed = false;
        for event in events {
            changed |= match event {
                Event::Put(object) => self.take_put(&object).unwrap_or_else(|e| {
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
                } => self.take_deleted(kind, name, version),
            };
        }
        changed
    }

    fn take_put(&mut self, object: &Object) -> Result<bool, Error> {
        let version = object.version;
        match object.kind {
            Kind::Grants => {
                let shard = shard_id(&object.name)?;
                Ok(self
                    .state
                    .raise_shard(shard, version, Some(decode(object)?)))
            }
            Kind::Incarnation => {
                let target = target_name(&object.name)?;
                let record = Some(decode(object)?);
                Ok(self.state.raise_incarnation(target, version, record))
            }
            Kind::Vm => {
                let vm = Some(decode(object)?);
                Ok(self.state.raise_vm(object.name.clone(), version, vm))
            }
            Kind::Manifest | Kind::Chunk | Kind::Claims => Ok(false),
        }
    }

    fn take_deleted(&mut self, kind: Kind, name: Box<str>, version: u64) -> bool {
        match kind {
            Kind::Vm => self.state.raise_vm(name, version, None),
            Kind::Incarnation => match TargetName::try_from(name) {
                Ok(target) => self.state.raise_incarnation(target, version, None),
                Err(_) => false,
            },
            // Nobody deletes shards of grants, and a manifest that vanished must not end what is
            // in force.
            _ => false,
        }
    }

    fn take_written(
        &mut self,
        shard: ShardId,
        result: Result<Option<Versioned<GrantShard>>, Error>,
    ) -> bool {
        self.writing[usize::from(shard.0)] = false;
        match result {
            Ok(Some(written)) => {
                self.needed_since[usize::from(shard.0)] = None;
                self.state
                    .raise_shard(shard, written.version, written.value)
            }
            Ok(None) => false,
            // Another entry was faster; the watch brings what it wrote.
            Err(Error::Conflict) => false,
            Err(e) => {
                warn!(Part::Grants, "Shard {shard} was not written: {e}.");
                self.unproposed = true;
                false
            }
        }
    }

    fn add_agent(&mut self, up: AgentUp) -> bool {
        info!(
            Part::Links,
            "Agent {} with incarnation {} is linked.", up.hello.target, up.hello.incarnation
        );
        // An agent has one control stream to an entry; an older one is silent or about to end.
        self.agents.retain(|a| a.hello.target != up.hello.target);
        self.agents.push(AgentStream {
            stream: up.stream,
            hello: up.hello,
            outbox: up.outbox,
            in_force: false,
        });
        true
    }

    fn agent_said(&mut self, stream: StreamId, said: AgentControl) -> bool {
        let Some(agent) = self.agents.iter_mut().find(|a| a.stream == stream) else {
            return false;
        };
        match said {
            AgentControl::InForce { config } => {
                let sent = agent.outbox.borrow().assignment.clone();
                agent.in_force = sent.is_some_and(|a| a.config <= config);
                false
            }
            AgentControl::Released { grants } => {
                for (shard, grant) in grants {
                    self.note_release(shard, grant);
                }
                true
            }
            AgentControl::Leaving => {
                let target = agent.hello.target.clone();
                let token = agent.hello.incarnation;
                info!(Part::Members, "Target {target} says that it is leaving.");
                self.state.note_leaving(target, token)
            }
        }
    }

    fn note_release(&mut self, shard: ShardId, grant: GrantId) {
        let known = |r: &Release| r.shard == shard && r.grant == grant;
        if !self.releases.iter().any(known) {
            self.releases.push(Release {
                shard,
                grant,
                writing: false,
            });
        }
    }

    fn flush(&mut self, myself: &ActorRef<Msg>) {
        self.flush_sent = false;
        self.unproposed = true;
        let policy = &self.state.config.catalogue.policy;
        self.args.desk.allow(stair_policy::load_order::Options {
            loads_per_second: policy.weight_store.loads_per_second,
            full_speed_loads: policy.weight_store.full_speed_loads,
            ..stair_policy::load_order::Options::default()
        });
        self.args.view.send_replace(Arc::new(self.state.view()));
        self.update_agents();
        self.write_releases(myself);
        self.propose(myself);
    }

    fn tick(&mut self, myself: &ActorRef<Msg>) {
        self.write_releases(myself);
        if self.unproposed {
            self.propose(myself);
        }
        self.delete_gone();
    }

    fn update_agents(&mut self) {
        let entries = self.state.entries();
        if entries != *self.entries {
            self.entries = Arc::new(entries);
        }
        for agent in &mut self.agents {
            let seen = seen_shards(agent);
            let next = assignment::derive(&self.state, &agent.hello.target, &seen);
            let entries = &self.entries;
            agent.outbox.send_if_modified(|out| {
                let held = out.assignment.as_ref();
                let assigned = held.is_none_or(|a| assignment::differs(a, &next));
                if assigned {
                    agent.in_force = false;
                    out.assignment = Some(Arc::new(next));
                }
                let moved = !Arc::ptr_eq(&out.entries, entries);
                if moved {
                    out.entries = entries.clone();
                }
                assigned || moved
            });
        }
    }

    fn write_releases(&mut self, myself: &ActorRef<Msg>) {
        let listed: Vec<bool> = self.releases.iter().map(|r| self.is_listed(r)).collect();
        let mut listed = listed.into_iter();
        self.releases.retain(|_| listed.next().unwrap_or(false));
        let shards: Vec<ShardId> = self.releases.iter().map(|r| r.shard).collect();
        for shard in shards {
            let waiting = self.releases.iter_mut();
            let mut waiting: Vec<_> = waiting.filter(|r| r.shard == shard && !r.writing).collect();
            if waiting.is_empty() {
                continue;
            }
            waiting.iter_mut().for_each(|r| r.writing = true);
            let grants = waiting.iter().map(|r| r.grant).collect();
            tokio::spawn(write_release(
                self.args.store.clone(),
                myself.clone(),
                shard,
                grants,
            ));
        }
    }

    /// A release of a grant that is not listed has been written already.
    fn is_listed(&self, release: &Release) -> bool {
        let shard = self.state.shards[usize::from(release.shard.0)]
            .value
            .as_ref();
        shard.is_some_and(|s| s.grants.iter().any(|g| g.id == release.grant))
    }

    /// Proposes from what the platform has confirmed only: what a peer knew when this process
    /// started may be long past.
    fn propose(&mut self, myself: &ActorRef<Msg>) {
        if !self.state.confirmed || version_of(&self.state.config).0 == 0 {
            return;
        }
        self.unproposed = false;
        let mut round = Round::new(&self.state);
        for i in 0..self.state.shards.len() {
            let shard = ShardId(i as u16);
            if self.writing[i] {
                continue;
            }
            let Some(next) = round.propose(&self.state, shard) else {
                self.needed_since[i] = None;
                continue;
            };
            let since = *self.needed_since[i].get_or_insert_with(Instant::now);
            let rank = self.state.rank(&self.args.name, &format!("grants-{i}"));
            if since.elapsed() < STAND_IN_AFTER * rank as u32 {
                self.unproposed = true;
                continue;
            }
            self.writing[i] = true;
            let from = self.state.shards[i].version;
            tokio::spawn(write_shard(
                self.args.store.clone(),
                myself.clone(),
                shard,
                from,
                next,
            ));
        }
    }

    /// Records of agents whose VM was taken away would pile up: 2,400 VMs are replaced a day. A
    /// record written after the VM was taken away belongs to a new VM of the same name and stays.
    fn delete_gone(&mut self) {
        if !self.state.confirmed {
            return;
        }
        let gone = self.state.incarnations.iter().filter(|agent| {
            let name = agent.name.as_str();
            let at = self.state.vms.binary_search_by(|vm| (*vm.name).cmp(name));
            let vm = at.ok().map(|i| &self.state.vms[i].object);
            agent.object.value.is_some()
                && vm.is_some_and(|vm| vm.value.is_none() && vm.version > agent.object.version)
                && self.state.rank(&self.args.name, name) == 0
        });
        for agent in gone.take(DELETED_A_TICK) {
            let store = self.args.store.clone();
            let name = agent.name.clone();
            let version = agent.object.version;
            tokio::spawn(async move {
                // A failure is met by the next tick.
                let _ = store
                    .delete(Kind::Incarnation, name.as_str(), version)
                    .await;
            });
        }
    }

    fn snapshot(&self) -> Snapshot {
        let state = &self.state;
        let mut objects = Vec::new();
        let manifest = &state.config.manifest;
        objects.extend(object(Kind::Manifest, "manifest", manifest));
        objects.extend(state.config.chunks.iter().map(chunk_object));
        for (i, shard) in state.shards.iter().enumerate() {
            objects.extend(object(Kind::Grants, &i.to_string(), shard));
        }
        for agent in &state.incarnations {
            objects.extend(object(
                Kind::Incarnation,
                agent.name.as_str(),
                &agent.object,
            ));
        }
        for vm in &state.vms {
            objects.extend(object(Kind::Vm, &vm.name, &vm.object));
        }
        let revision = objects.iter().map(|o| o.version).max().unwrap_or(0);
        Snapshot { revision, objects }
    }

    fn status(&self) -> Value {
        json!({
            "entry": self.args.name,
            "config": version_of(&self.state.config),
            "confirmed": self.state.confirmed,
            "agents": self.agents.len(),
            "agents_behind": self.agents.iter().filter(|a| !a.in_force).count(),
        })
    }

    fn dump(&self) -> Value {
        let agents = self.agents.iter().map(|a| {
            json!({
                "target": a.hello.target,
                "incarnation": a.hello.incarnation,
                "in_force": a.in_force,
            })
        });
        json!({
            "status": self.status(),
            "state": self.state,
            "entries": *self.entries,
            "agents": agents.collect::<Vec<_>>(),
            "releases_pending": self.releases.len(),
            "shards_needing_change": self.needed_since.iter().flatten().count(),
            "loads_waiting_for_a_turn": self.args.desk.waiting(),
        })
    }
}

async fn write_shard<S>(
    store: S,
    myself: ActorRef<Msg>,
    shard: ShardId,
    from: u64,
    next: GrantShard,
) where
    S: ObjectStore,
{
    let result = shards::replace(&store, shard, from, next).await;
    let _ = myself.send_message(Msg::Written(shard, result.map(Some)));
}

async fn write_release<S>(store: S, myself: ActorRef<Msg>, shard: ShardId, grants: Vec<GrantId>)
where
    S: ObjectStore,
{
    let result = shards::update(&store, shard, |s| {
        let mut changed = false;
        for grant in &grants {
            changed |= s.confirm(*grant);
        }
        changed
    })
    .await;
    // A release whose write failed is forgotten here; the agent says it again while the grant is
    // still assigned to it.
    let _ = myself.send_message(Msg::ReleaseDone(shard, grants));
    let _ = myself.send_message(Msg::Written(shard, result));
}

fn seen_shards(agent: &AgentStream) -> Vec<ShardId> {
    let mut seen: Vec<ShardId> = agent.hello.shards.iter().map(|(s, _)| *s).collect();
    if let Some(assignment) = agent.outbox.borrow().assignment.as_ref() {
        seen.extend(assignment.shards.iter().map(|s| s.shard));
    }
    seen
}

fn object<T>(kind: Kind, name: &str, held: &Versioned<T>) -> Option<Object>
where
    T: serde::Serialize,
{
    let value = serde_json::to_value(held.value.as_ref()?).ok()?;
    Some(Object {
        kind,
        name: name.into(),
        version: held.version,
        value,
    })
}

fn chunk_object(chunk: &Chunk) -> Object {
    Object {
        kind: Kind::Chunk,
        name: chunk.hash.clone(),
        version: 0,
        value: chunk.value.clone(),
    }
}

fn shard_id(name: &str) -> Result<ShardId, Error> {
    let number = name.parse();
    number
        .map(ShardId)
        .map_err(|_| Error::Invalid("the shard's name is no number".into()))
}

fn target_name(name: &str) -> Result<TargetName, Error> {
    TargetName::try_from(name).map_err(|e| Error::Invalid(e.to_string().into()))
}
