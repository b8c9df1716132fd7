//! Exit codes, as `--help` documents them.

/// The command failed; its last line states the reason.
pub(crate) const FAILED: u8 = 1;

/// The command line or a file is invalid. Clap uses the same code.
pub(crate) const USAGE: u8 = 2;

/// Another apply took effect first.
pub(crate) const CONFLICT: u8 = 3;

/// The command did not finish in time, or it is unknown whether an apply took effect.
pub(crate) const NOT_IN_TIME: u8 = 4;
