//! The entry: relays requests of clients to targets that announce themselves in the store.
//!
//! The path of a request: [`serve`] accepts the connection and [`relay`] handles the request. [`admit`] finds
//! its route, [`authorize`] its workspace, and [`quota`] charges the workspace. The request is a [`job`] from
//! there on. [`assign`] selects a target where it may run now: [`select`] compares the targets, [`load`] has
//! the model loaded, [`outage`] waits for an engine that is down, and [`prefill`] reserves a prefill slot.
//! A request that continues a stream is bound to the version that began it (`origin`; `version_record` keeps in the
//! store which versions there were).
//! [`attempt`] sends the request to the target, `buffers` bounds the data that waits; [`stream`] forwards events and
//! resumes broken streams.
//! [`limit`] keeps the limits that targets name, and `availability` what they state about the requests that they
//! take. [`failures`] counts the failures of targets, `crash` determines which requests ran on a target that ended,
//! `quarantine` withholds requests that end targets, and [`refuse`] builds the responses that the entry makes
//! itself.
//!
//! Replicated state: [`replicate`] watches the store, `list` reads all pages of a list, and `unreadable` remembers which
//! objects did not decode. [`follow`] follows the entry that watches for the data centre, [`change`] defines the changes
//! that they exchange, and [`peers`] fetches newer state from other entries.
//!
//! Agents: [`links`] keeps the connections, [`owner`] chooses the agent that counts for all entries, and
//! [`prefetch`] has models loaded before requests need them.
//!
//! [`context`] holds the state that all modules share, [`dump`] serialises it for operators, and [`process`] starts
//! and stops the entry.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admit;
pub mod assign;
pub mod attempt;
pub mod authorize;
mod availability;
mod buffers;
pub mod change;
pub mod context;
mod crash;
pub mod dump;
pub mod failures;
pub mod follow;
pub mod job;
pub mod limit;
pub mod links;
mod list;
pub mod load;
mod origin;
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
mod unreadable;
mod version_record;
