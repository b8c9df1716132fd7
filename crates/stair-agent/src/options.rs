//! Options of the decisions, from what is in force.

use std::time::Duration;

use stair_config::AgentLimits;
use stair_policy::{
    keep_alive,
    queue::{
        Options,
        TierOptions, //
    },
};

use crate::assignment::InForce;

/// Requests that may wait in one agent, of all tiers: the time of one decision grows with them.
const MAX_WAITING: u32 = 4096;

pub(crate) fn keep_alive_options(in_force: &InForce) -> keep_alive::Options {
    let policy = &in_force.policy().keep;
    keep_alive::Options {
        cold_start_weight: policy.cold_start_weight,
        min_idle: Duration::from_millis(policy.min_idle_ms.into()),
        max_idle: Duration::from_millis(policy.max_idle_ms.into()),
        ..keep_alive::Options::default()
    }
}

/// Bounds the queue by the tiers in force. Before the first configuration there is one tier.
pub(crate) fn queue_options(in_force: &InForce, limits: &AgentLimits) -> Options {
    let tiers = in_force.tiers().iter().map(|t| TierOptions {
        max_waiting: t.max_waiting,
        floor_percent: t.floor_percent,
    });
    Options {
        max_requests: MAX_WAITING,
        max_bytes: limits.max_waiting_bytes,
        tiers: tiers.collect(),
        ..Options::default()
    }
}
