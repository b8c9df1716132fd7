//! Limits on the requests per second that targets get from all entries and agents together.
//!
//! A target in need names a limit in its responses. It holds until a later response names another
//! one or none.

mod rate;

pub use rate::{
    ParseError,
    Rate, //
};
