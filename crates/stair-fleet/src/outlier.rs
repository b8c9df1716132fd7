//! Decides which targets a failure counts against.
//!
//! Load: some requests fail on every target. Counted against the targets, they would make sound ones look faulty and
//! move load away from them.

use crate::view::TargetKey;

/// How the attempts of one request ended.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// Targets that ran the request and failed it by their own word.
    pub failed: &'a [TargetKey],
    /// Whether another target then served it.
    pub served: bool,
}

/// Returns the targets that the failures are put down to: those that failed what another served, and
/// one that failed alone, as nothing speaks for it. What several failed and none served is put down
/// to the request.
pub fn outliers<'a>(opts: &Options<'a>) -> &'a [TargetKey] {
    if opts.served || opts.failed.len() == 1 {
        opts.failed
    } else {
        &[]
    }
}
