//! State that has to stay correct under any failure, as data types that enforce their invariants
//! and do no I/O.
//!
//! - [`by_id`]: a map from request id to value.
//! - [`grants`]: permissions of targets to load models, moved in two steps.
//! - [`ledger`]: the accelerator memory of one engine and the items that use it.
//! - [`runs`]: the requests that an agent has run, so that none runs twice.
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
