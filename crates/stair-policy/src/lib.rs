//! Admission, ordering, routing, placement and refusal under load.
//!
//! Pure logic: no I/O, no clock, no threads. Time is passed in as a
//! [`Duration`](std::time::Duration) since the start of the process, randomness as a generator or
//! a hash. The entry and the agent call these modules directly, so the measurements in
//! `examples/measure` run the same code.
//!
//! - [`queue`]: admits, orders and expires the requests that wait for one engine.
//! - [`choose`]: orders the targets that may serve a request.
//! - [`placement`]: decides which targets are granted a model.
//! - [`load_slots`]: schedules loads from the weight store.
//! - [`keep_alive`]: decides how long an idle model stays loaded.
//! - [`traffic_weights`]: reduces and restores the traffic share of slow or failing targets.
//! - [`retry`]: limits retries to a fraction of the requests.
//! - [`backoff`]: computes the retry delay for refused requests.
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
