//! The state that has to be right whatever fails, as aggregates with their own rules and no I/O.
//!
//! - [`by_id`]: values by request id.
//! - [`grants`]: the permission of a target to hold a model, and its two-step moves.
//! - [`ledger`]: the accelerator memory of one engine and what is in it.
//! - [`runs`]: which requests an agent has run, so that none runs twice.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod by_id;
pub mod grants;
pub mod ledger;
pub mod runs;

pub use by_id::ById;
pub use grants::{
    Grant,
    GrantShard, //
};
pub use ledger::Ledger;
pub use runs::RunTable;
