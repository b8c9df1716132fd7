//! Exit codes, as `--help` documents them.

/// A command failed; its last line says why.
pub(crate) const FAILED: u8 = 1;

/// The command line or a file is wrong. Clap uses the same code.
pub(crate) const USAGE: u8 = 2;

/// Another operator's apply came first.
pub(crate) const CONFLICT: u8 = 3;

/// Not finished in time, or it is unknown whether an apply took effect.
pub(crate) const NOT_IN_TIME: u8 = 4;
