//! Serving in front of a fleet of targets that announce themselves.
//!
//! Pure state and decisions: no input or output, no clock, no threads. Time is passed in as a
//! [`Duration`](std::time::Duration) since the start of the process.
//!
//! - [`quota`]: what is left of a workspace's allowance.
//! - [`catalogue`]: routes, services and models that operators declare, and the choice of a route.
//! - [`workspace`]: who a request is for, and what its workspace may ask for.
//! - [`target`]: what a target announces, and what its agent reports of it.
//! - [`view`]: all that one entry knows of the targets, with the age of each part.
//! - [`target_state`]: one target as an entry knows it.
//! - [`choose`]: the target for a request among those that can run it now.
//! - [`cold_start`]: the target that loads a model, and what makes room for it there.
//! - [`overload`]: what to do with a request whose best target is slow.
//! - [`prefetch`]: the next load to make before a request asks for it.
//! - [`balance`]: which model gets a further replica, and whose replicas make way for it.
//! - [`fetch`]: how many loads from the weight store are of use at once.
//! - [`prefill`]: when a prompt may be sent to an engine.
//! - [`outlier`]: which targets a failure is put down to.
//! - [`quarantine`]: which request ends the targets that run it.
//! - [`budget`]: one entry's share of the retries that all entries may make together.
//! - [`events`]: whole events out of a stream's bytes.
//! - [`lag`]: which entries lag behind what the others know.
//! - [`msg`]: what entries and agents tell each other about engines.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod balance;
pub mod budget;
pub mod catalogue;
pub mod choose;
pub mod cold_start;
pub mod events;
pub mod fetch;
pub mod lag;
pub mod msg;
pub mod outlier;
pub mod overload;
pub mod prefetch;
pub mod prefill;
pub mod quarantine;
pub mod quota;
pub mod target;
pub mod target_state;
pub mod view;
pub mod workspace;

pub use catalogue::Catalogue;
pub use target::Target;
pub use view::View;
