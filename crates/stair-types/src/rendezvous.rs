//! Rendezvous hashing: everybody who knows the same names agrees on their order for a key, and a
//! name that comes or goes moves only the keys that it held.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a name for a key; the highest is the key's home.
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the indices of `names`, best first.
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
