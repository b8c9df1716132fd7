//! Values by request id.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::RequestId;

/// Parts by the id's last bits. An agent of a busy service remembers hundreds of thousands of ids;
/// in one sorted vector each insertion would move half of them.
const PARTS: usize = 1024;

/// Values by request id, in sorted vectors by the id's last bits.
///
/// Ids are random, so the parts stay about equally long.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ById<T> {
    /// Each sorted by id.
    parts: Vec<Vec<Entry<T>>>,
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
            parts: (0..PARTS).map(|_| Vec::new()).collect(),
            len: 0,
        }
    }
}

impl<T> ById<T> {
    /// Returns the value of an id.
    pub fn get(&self, id: RequestId) -> Option<&T> {
        let part = &self.parts[part_of(id)];
        let at = find(part, id).ok()?;
        Some(&part[at].value)
    }

    /// Returns the value of an id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut T> {
        let part = &mut self.parts[part_of(id)];
        let at = find(part, id).ok()?;
        Some(&mut part[at].value)
    }

    /// Sets the value of an id.
    pub fn insert(&mut self, id: RequestId, value: T) {
        let part = &mut self.parts[part_of(id)];
        match find(part, id) {
            Ok(i) => part[i].value = value,
            Err(i) => {
                part.insert(i, Entry { id, value });
                self.len += 1;
            }
        }
    }

    /// Takes out the value of an id.
    pub fn remove(&mut self, id: RequestId) -> Option<T> {
        let part = &mut self.parts[part_of(id)];
        let at = find(part, id).ok()?;
        self.len -= 1;
        Some(part.remove(at).value)
    }

    /// Keeps the values that fulfil a condition.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&T) -> bool,
    {
        for part in &mut self.parts {
            let before = part.len();
            part.retain(|entry| keep(&entry.value));
            self.len -= before - part.len();
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

fn part_of(id: RequestId) -> usize {
    (id.0 % PARTS as u128) as usize
}

fn find<T>(part: &[Entry<T>], id: RequestId) -> Result<usize, usize> {
    part.binary_search_by_key(&id, |entry| entry.id)
}
