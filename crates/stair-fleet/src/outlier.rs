//! Decides which targets a failure counts against.
//!
//! Some requests fail on every target. Counted against the targets, they would make healthy ones
//! look faulty and move load away from them.

use crate::view::TargetKey;

/// How the attempts of one request ended.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// Targets that ran the request and reported its failure.
    pub failed: &'a [TargetKey],
    /// Whether another target then served it.
    pub served: bool,
}

/// Returns the targets that the failures count against: all of them if another target served the
/// request, or a single one that nothing contradicts. If several failed and none served the
/// request, the failures count against the request.
pub fn outliers<'a>(opts: &Options<'a>) -> &'a [TargetKey] {
    if opts.served || opts.failed.len() == 1 {
        opts.failed
    } else {
        &[]
    }
}
