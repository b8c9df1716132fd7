//! The state that has to be right whatever fails, as aggregates with their own rules and no I/O.
//!
//! - [`grants`]: the permission of a target to hold a model, and its two-step moves.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod grants;

pub use grants::{
    Grant,
    GrantShard, //
};
