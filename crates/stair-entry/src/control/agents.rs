//! The agents that have a control stream to this entry, and what they are sent.

use std::sync::Arc;

use stair_platform::ObjectStore;
use stair_telemetry::{
    Part,
    info, //
};
use stair_types::{
    ConfigVersion,
    GrantId,
    ShardId, //
};
use stair_wire::control::{
    AgentControl,
    Hello, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use crate::control::{
    actor::Control,
    assignment::{
        self,
        GrantsByTarget, //
    },
    msg::{
        AgentConnected,
        Outbox,
        StreamId, //
    },
    writes::Release,
};

/// One agent's control stream.
pub(super) struct AgentStream {
    pub(super) stream: StreamId,
    pub(super) hello: Hello,
    pub(super) outbox: watch::Sender<Outbox>,
    /// The configuration that the agent last said is in force at it.
    pub(super) config: ConfigVersion,
}

impl AgentStream {
    /// Tells whether the agent lacks a configuration that it was sent. A change that does not
    /// concern the agent is not sent, and it is not behind for that.
    pub(super) fn is_lagging(&self) -> bool {
        let sent = &self.outbox.borrow().assignment;
        sent.as_ref().is_none_or(|a| a.config > self.config)
    }
}

impl<S> Control<S>
where
    S: ObjectStore,
{
    pub(super) fn add_agent(&mut self, connected: AgentConnected) -> bool {
        info!(
            Part::Links,
            "Agent {} with incarnation {} is linked.",
            connected.hello.target,
            connected.hello.incarnation
        );
        // An agent has one control stream to an entry; an older one is silent or about to end.
        self.agents
            .retain(|a| a.hello.target != connected.hello.target);
        self.agents.push(AgentStream {
            stream: connected.stream,
            hello: connected.hello,
            outbox: connected.outbox,
            config: ConfigVersion(0),
        });
        true
    }

    pub(super) fn handle_agent_message(&mut self, stream: StreamId, msg: AgentControl) -> bool {
        let Some(agent) = self.agents.iter_mut().find(|a| a.stream == stream) else {
            return false;
        };
        match msg {
            AgentControl::InForce { config } => {
                agent.config = config;
                let sent = agent.outbox.borrow().assignment.clone();
                sent.is_some_and(|a| a.config < config)
            }
            AgentControl::Released { grants } => {
                for (shard, grant) in grants {
                    self.add_release(shard, grant);
                }
                true
            }
            AgentControl::MemoryPressure { grants } => {
                let target = agent.hello.target.clone();
                self.memory_pressure.record(target, grants, Instant::now())
            }
            AgentControl::Leaving => {
                let target = agent.hello.target.clone();
                let token = agent.hello.incarnation;
                info!(Part::Members, "Target {target} says that it is leaving.");
                self.state.record_leaving(target, token)
            }
        }
    }

    pub(super) fn add_release(&mut self, shard: ShardId, grant: GrantId) {
        let known = |r: &Release| r.shard == shard && r.grant == grant;
        if !self.releases.iter().any(known) {
            self.releases.push(Release {
                shard,
                grant,
                writing: false,
            });
        }
    }

    fn refresh_entries(&mut self) {
        let changed = *self.state.entries() != **self.entries;
        if changed {
            self.entries = Arc::new(self.state.entries().to_vec());
        }
        if changed || self.ranks.is_empty() {
            self.ranks = self.state.ranks(&self.args.name);
        }
    }

    pub(super) fn update_agents(&mut self) {
        self.refresh_entries();
        let targets = self.agents.iter().map(|a| a.hello.target.clone());
        let granted = GrantsByTarget::new(&self.state, targets.collect());
        // An entry that has just started may not have seen itself in the platform's list yet, nor
        // the others. Agents would take its short list for the whole, drop their links to entries
        // that it lacks, and have none left.
        let is_listed = self.entries.iter().any(|e| e.name == self.args.name);
        for agent in &mut self.agents {
            let previous = previous_shards(agent);
            let next = assignment::derive(&self.state, &granted, &agent.hello.target, &previous);
            let entries = &self.entries;
            let vm = self.state.vm_notice(&agent.hello.target);
            agent.outbox.send_if_modified(|out| {
                let held = out.assignment.as_ref();
                let assigned = held.is_none_or(|a| {
                    assignment::differs(a, &next) || is_between(agent.config, a.config, next.config)
                });
                if assigned {
                    out.assignment = Some(Arc::new(next));
                }
                let moved = is_listed && !Arc::ptr_eq(&out.entries, entries);
                if moved {
                    out.entries = entries.clone();
                }
                let noticed = out.vm != vm;
                out.vm = vm;
                assigned || moved || noticed
            });
        }
    }
}

/// A change may be taken back by the next one. An entry that sees both at once finds nothing to
/// send. Another entry may have sent the first to the agent and been cut off from the platform
/// since: the agent would keep what was taken back. It shows by what the agent says: a version
/// later than was sent from here and earlier than the one in force here.
fn is_between(at_agent: ConfigVersion, sent: ConfigVersion, now: ConfigVersion) -> bool {
    sent < at_agent && at_agent < now
}

fn previous_shards(agent: &AgentStream) -> Vec<ShardId> {
    let mut previous: Vec<ShardId> = agent.hello.shards.iter().map(|(s, _)| *s).collect();
    if let Some(assignment) = agent.outbox.borrow().assignment.as_ref() {
        previous.extend(assignment.shards.iter().map(|s| s.shard));
    }
    previous
}
