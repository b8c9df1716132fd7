//! The entry in front of targets that announce themselves in the store.
//!
//! The path of a request: [`serve`] accepts it, [`admit`] finds its route, [`authorize`] its workspace, [`quota`]
//! charges it. As a [`job`] it goes through [`relay`]: [`assign`] finds a target where it may run, [`select`] chooses that,
//! [`load`] has the model loaded there, [`outage`] waits for an engine that is down, [`prefill`] reserves a prefill
//! slot, [`attempt`] sends it, [`stream`] passes events and resumes. [`failures`] counts failures of targets, `crash`
//! finds out which requests were on a target that ended, `quarantine` keeps those from targets that end them, [`refuse`]
//! makes the entry's own answers.
//!
//! Replicated state: [`replicate`] watches the store, [`follow`] the entry that watches for the data centre, [`change`]
//! is what they exchange, [`peers`] asks other entries when the store does not answer.
//!
//! Agents: [`links`] holds the connections, [`owner`] chooses the agent that counts for all entries, [`prefetch`] has
//! models loaded before they are requested.
//! [`context`] holds the state of all, [`dump`] shows it, [`process`] starts and stops.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admit;
pub mod assign;
pub mod attempt;
pub mod authorize;
pub mod change;
pub mod context;
mod crash;
pub mod dump;
pub mod failures;
pub mod follow;
pub mod job;
pub mod links;
pub mod load;
pub mod outage;
pub mod owner;
pub mod peers;
pub mod prefetch;
pub mod prefill;
pub mod process;
mod quarantine;
pub mod quota;
pub mod refuse;
pub mod relay;
pub mod replicate;
pub mod select;
pub mod serve;
pub mod stream;
