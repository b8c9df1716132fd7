//! The entry in front of targets that announce themselves in the store.
//!
//! A request's way: [`serve`] takes it, [`admit`] finds its route, [`authorize`] its workspace, whose
//! [`allowance`] it takes from; as a [`job`], [`relay`]
//! brings it to a target: [`pick`] chooses one, [`load`] has its model loaded, [`prefill`] waits until its
//! prompt may be sent, [`attempt`] sends it there once, [`failures`] keeps what targets failed until it is
//! known what that is put down to, [`stream`] passes the events of a stream on and resumes it elsewhere,
//! [`refuse`] makes the entry's own answers.
//!
//! What the entry knows: [`replicate`] watches the store, [`follow`] hears it from the one entry of the data
//! centre that watches for all, [`change`] is what they hear, [`links`] hears the agents, [`peers`] asks other
//! entries when the store does not answer, [`prefetch`] has models loaded before they are asked for.
//! [`context`] holds it all, [`dump`] shows it to the operator, [`process`] starts and stops.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admit;
pub mod allowance;
pub mod attempt;
pub mod authorize;
pub mod change;
pub mod context;
pub mod dump;
pub mod failures;
pub mod follow;
pub mod job;
pub mod links;
pub mod load;
pub mod peers;
pub mod pick;
pub mod prefetch;
pub mod prefill;
pub mod process;
pub mod refuse;
pub mod relay;
pub mod replicate;
pub mod serve;
pub mod stream;
