//! The decisions under load: what is admitted, who goes first, where it goes, what is refused.
//!
//! Pure logic: no input or output, no clock, no threads. Time is passed in as a
//! [`Duration`](std::time::Duration) since the start of the process, randomness as a generator or
//! a hash. The entry and the agent call these modules as they are, so what is measured is what
//! runs.
//!
//! - [`queue`]: admits, orders and expires the requests that wait in front of one engine.
//! - [`choose`]: orders the targets that may serve a request.
//! - [`placement`]: decides which targets are granted a model.
//! - [`load_slots`]: shares out the weight store's rate.
//! - [`keep_alive`]: decides how long an idle model stays loaded.
//! - [`traffic_weights`]: takes share from slow or failing targets and gives it back.
//! - [`retry`]: bounds retries to a share of the requests.
//! - [`backoff`]: tells the refused when to come back.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod backoff;
pub mod choose;
mod hash;
pub mod keep_alive;
pub mod load_slots;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod traffic_weights;
