//! Rendezvous hashing: all processes that know the same names compute the same ranking of them for
//! a key, and adding or removing a name changes only the owner of the keys that this name owns.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a name for a key. The name with the highest weight owns the key.
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the indices of `names` by descending weight for a key; the first one is the owner.
pub fn ranked<'a, I>(key: &str, names: I) -> Vec<usize>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut order: Vec<(u64, usize)> = names
        .into_iter()
        .enumerate()
        .map(|(i, name)| (weight(key, name), i))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, i)| i).collect()
}
