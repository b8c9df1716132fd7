//! Routing, placement and admission decisions of an entry in front of a fleet of targets.
//!
//! This crate holds state and decisions only: no input or output, no clock, no threads. Time is
//! passed in as a [`Duration`](std::time::Duration) since the start of the process.
//!
//! - [`catalogue`]: declared routes, services and models, and the choice of a route.
//! - [`workspace`]: workspaces, their keys and their quotas.
//! - [`quota`]: token buckets for the quotas of workspaces.
//! - [`rate_limit`]: limits that targets name for all entries together.
//! - [`availability`]: targets that drain, or want no requests for some time.
//! - [`backoff_queue`]: the order of the requests that wait for the end of a target's backoff.
//! - [`target`]: what a target announces and what its agent reports.
//! - [`target_state`]: what an entry knows of one target.
//! - [`view`]: what an entry knows of all targets.
//! - [`choose`]: chooses a target among those that can run a request now.
//! - [`cold_start`]: chooses the target that loads a model, and the models evicted there.
//! - [`engine_estimate`]: estimates the speed of one engine.
//! - [`overload`]: decides whether a request for a slow target is sent, waits for a load or is
//!   refused.
//! - [`prefetch`]: chooses loads before requests wait for them.
//! - [`balance`]: chooses a model that gets a further replica, and the replicas evicted for it.
//! - [`fetch`]: limits concurrent loads from the weight store.
//! - [`prefill`]: schedules the prefill of prompts on one engine.
//! - [`fair_share`]: shares the prefill slots of one engine among callers of equal rank.
//! - [`origin`]: what a stream is a continuation of.
//! - [`outlier`]: decides which targets a failure counts against.
//! - [`quarantine`]: finds requests that crash the targets that run them.
//! - [`budget`]: one entry's share of the retry budget.
//! - [`events`]: splits the bytes of a stream into whole events.
//! - [`lag`]: finds entries whose replication state lags.
//! - [`msg`]: messages between entries and agents.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod availability;
pub mod backoff_queue;
pub mod balance;
pub mod budget;
pub mod catalogue;
pub mod choose;
pub mod cold_start;
pub mod engine_estimate;
pub mod events;
pub mod fair_share;
pub mod fetch;
pub mod lag;
pub mod msg;
pub mod origin;
pub mod outlier;
pub mod overload;
pub mod prefetch;
pub mod prefill;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod target;
pub mod target_state;
pub mod view;
pub mod workspace;

pub use catalogue::Catalogue;
pub use target::Target;
pub use view::View;
