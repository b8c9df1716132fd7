//! The trait at the edge of a process.

use std::time::Duration;

use serde_json::Value;

use crate::types::{
    Condition,
    Error,
    Kind,
    Object,
    Page, //
};

/// The platform's object API. Every call counts against the platform's rate, a waiting watch as
/// one; no call waits longer than the implementation's timeout.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`], or as any call.
    fn get(&self, kind: Kind, name: &str) -> impl Future<Output = Result<Object, Error>> + Send;

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// As any call.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Writes an object if the condition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when the condition does not hold; [`Error::Unknown`] when the write may
    /// have taken effect.
    fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Deletes an object that has the given version.
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::put`].
    fn delete(
        &self,
        kind: Kind,
        name: &str,
        version: u64,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits until an object of one of the kinds changes after `since`, at most for `wait`.
    ///
    /// # Errors
    ///
    /// [`Error::Gone`] when `since` is too old, or as any call.
    fn watch(
        &self,
        kinds: &[Kind],
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;
}
