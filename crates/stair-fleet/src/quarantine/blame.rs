//! How much of one crash each request is blamed for.

/// Blame of a request that was alone, or the only one blamed before.
pub(super) const FULL: u32 = 2;

/// Blame of one that shares it with others.
pub(super) const SHARED: u32 = 1;

/// What is known of a request that was on a target when it ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Options {
    /// Requests that were there.
    pub(super) runs: usize,
    /// Those among them that were blamed before.
    pub(super) blamed: usize,
    /// Whether this one is among those.
    pub(super) was_blamed: bool,
    /// Whether targets ended at the same time without it: they had a cause in common.
    pub(super) coincides: bool,
}

/// Returns the blame.
///
/// A request that was never blamed beside one that was is innocent here: the other explains the crash.
pub(super) fn blame(opts: &Options) -> u32 {
    let full = match (opts.was_blamed, opts.blamed) {
        (true, 1) => FULL,
        (true, _) => SHARED,
        (false, 0) if opts.runs == 1 => FULL,
        (false, 0) => SHARED,
        (false, _) => 0,
    };
    match opts.coincides {
        true => full.min(SHARED),
        false => full,
    }
}
