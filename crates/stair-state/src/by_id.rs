//! A map from request id to value that stays cheap to update with many entries.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::RequestId;

/// Number of buckets. An agent of a busy service stores hundreds of thousands of ids; in a single
/// sorted vector, each insertion would move half of them on average.
const BUCKETS: usize = 1024;

/// A map from request id to value, made of sorted vectors selected by the low bits of the id.
///
/// Ids are random, so the buckets stay about equally long.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ById<T> {
    /// Each bucket is sorted by id.
    #[serde(rename = "parts")]
    buckets: Vec<Vec<Entry<T>>>,
    len: usize,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Entry<T> {
    id: RequestId,
    value: T,
}

impl<T> Default for ById<T> {
    fn default() -> Self {
        Self {
            buckets: (0..BUCKETS).map(|_| Vec::new()).collect(),
            len: 0,
        }
    }
}

impl<T> ById<T> {
    /// Returns a reference to the value of an id.
    pub fn get(&self, id: RequestId) -> Option<&T> {
        let bucket = &self.buckets[bucket_of(id)];
        let at = find(bucket, id).ok()?;
        Some(&bucket[at].value)
    }

    /// Returns a mutable reference to the value of an id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut T> {
        let bucket = &mut self.buckets[bucket_of(id)];
        let at = find(bucket, id).ok()?;
        Some(&mut bucket[at].value)
    }

    /// Inserts the value of an id, or replaces the one that is stored.
    pub fn insert(&mut self, id: RequestId, value: T) {
        let bucket = &mut self.buckets[bucket_of(id)];
        match find(bucket, id) {
            Ok(i) => bucket[i].value = value,
            Err(i) => {
                bucket.insert(i, Entry { id, value });
                self.len += 1;
            }
        }
    }

    /// Removes an id and returns its value.
    pub fn remove(&mut self, id: RequestId) -> Option<T> {
        let bucket = &mut self.buckets[bucket_of(id)];
        let at = find(bucket, id).ok()?;
        self.len -= 1;
        Some(bucket.remove(at).value)
    }

    /// Removes all values for which `keep` returns false, in O(n).
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&T) -> bool,
    {
        for bucket in &mut self.buckets {
            let before = bucket.len();
            bucket.retain(|entry| keep(&entry.value));
            self.len -= before - bucket.len();
        }
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

fn bucket_of(id: RequestId) -> usize {
    (id.0 % BUCKETS as u128) as usize
}

fn find<T>(bucket: &[Entry<T>], id: RequestId) -> Result<usize, usize> {
    bucket.binary_search_by_key(&id, |entry| entry.id)
}
