//! Values by request id.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::RequestId;

/// Parts by the id's last bits. An agent of a busy service remembers hundreds of thousands of ids;
/// in one sorted vector each insertion would move half of them.
const BUCKETS: usize = 1024;

/// Values by request id, in sorted vectors by the id's last bits.
///
/// Ids are random, so the parts stay about equally long.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ById<T> {
    /// Each sorted by id.
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
    /// Returns the value of an id.
    pub fn get(&self, id: RequestId) -> Option<&T> {
        let bucket = &self.buckets[bucket_of(id)];
        let at = find(bucket, id).ok()?;
        Some(&bucket[at].value)
    }

    /// Returns the value of an id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut T> {
        let bucket = &mut self.buckets[bucket_of(id)];
        let at = find(bucket, id).ok()?;
        Some(&mut bucket[at].value)
    }

    /// Sets the value of an id.
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

    /// Takes out the value of an id.
    pub fn remove(&mut self, id: RequestId) -> Option<T> {
        let bucket = &mut self.buckets[bucket_of(id)];
        let at = find(bucket, id).ok()?;
        self.len -= 1;
        Some(bucket.remove(at).value)
    }

    /// Keeps the values that fulfil a condition.
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

    /// Tells whether there is no value.
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
