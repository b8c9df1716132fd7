//! The hash for decisions that have to be the same in all processes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Combines two hashes; the order of the arguments matters.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}
