//! Agents with a control stream to this entry: their messages, and the updates sent to them.

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
    /// The configuration that the agent last reported as in force.
    pub(super) config: ConfigVersion,
}

impl AgentStream {
    /// Returns whether the agent has not put the last configuration that it was sent in force.
    /// Changes that do not concern an agent are not sent and don't count.
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
        // An agent has one control stream per entry; an older one is silent or about to end.
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
                info!(Part::Members, "Target {target} reports that it is leaving.");
                self.state.record_leaving(target, token)
            }
            AgentControl::Staying => {
                let target = agent.hello.target.clone();
                info!(Part::Members, "Target {target} reports that it stays.");
                self.state.record_staying(&target, agent.hello.incarnation)
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
        // Right after its start, an entry may not have received a list with itself and the other
        // entries yet. Agents would take its incomplete list as complete and drop their links to
        // the entries that it lacks, until none is left.
        let is_listed = self.entries.iter().any(|e| e.name == self.args.name);
        for agent in &mut self.agents {
            let previous = previous_shards(agent);
            let next = assignment::derive(&self.state, &granted, &agent.hello.target, &previous);
            let entries = &self.entries;
            let vm = self.state.vm_notice(&agent.hello.target);
            let lost_record = self.state.lost_record(&agent.hello.target);
            agent.outbox.send_if_modified(|out| {
                let current = out.assignment.as_ref();
                let assignment_changed = current.is_none_or(|a| {
                    assignment::differs(a, &next) || is_between(agent.config, a.config, next.config)
                });
                if assignment_changed {
                    out.assignment = Some(Arc::new(next));
                }
                let entries_changed = is_listed && !Arc::ptr_eq(&out.entries, entries);
                if entries_changed {
                    out.entries = entries.clone();
                }
                let vm_changed = out.vm != vm;
                out.vm = vm;
                let lost = lost_record.is_some() && out.lost_record != lost_record;
                out.lost_record = lost_record;
                assignment_changed || entries_changed || vm_changed || lost
            });
        }
    }
}

/// Returns whether the agent has a version between the one sent from here and the one in force here.
///
/// Such an agent must be sent the assignment even if it looks unchanged. A change may be reverted by
/// the next one, and an entry that receives both at once finds nothing to send. But another entry may
/// have sent the first change to the agent and then been disconnected from the platform, and the
/// agent would keep the reverted change.
fn is_between(at_agent: ConfigVersion, sent: ConfigVersion, now: ConfigVersion) -> bool {
    sent < at_agent && at_agent < now
}

/// Returns the shards in which the agent has held a grant: those that it reported when it connected
/// and those of the assignment last sent.
fn previous_shards(agent: &AgentStream) -> Vec<ShardId> {
    let mut previous: Vec<ShardId> = agent.hello.shards.iter().map(|(s, _)| *s).collect();
    if let Some(assignment) = agent.outbox.borrow().assignment.as_ref() {
        previous.extend(assignment.shards.iter().map(|s| s.shard));
    }
    previous
}
