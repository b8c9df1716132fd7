//! The trait of the platform's object API.

use std::time::Duration;

use serde_json::Value;
use stair_types::StoreRevision;

use crate::{
    eras::Eras,
    types::{
        Condition,
        Error,
        Kind,
        Object,
        Page, //
    }, //
};

/// The platform's object API.
///
/// Every call counts against the rate limit of the platform; a waiting watch counts as one call.
/// The implementation bounds the duration of each call by a timeout.
///
/// A reply of an earlier era than the newest one known is outdated: a read has failed, and the outcome
/// of a write is unknown.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// The newest era that is known. After a call it is at least that of the reply.
    fn eras(&self) -> &Eras;

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if the object does not exist, [`Error::Unavailable`],
    /// [`Error::Rejected`] or [`Error::Invalid`].
    fn get(&self, kind: Kind, name: &str) -> impl Future<Output = Result<Object, Error>> + Send;

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`], [`Error::Rejected`] or [`Error::Invalid`].
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Writes an object if the condition is met, and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the condition is not met; [`Error::Unknown`] if the write may have
    /// taken effect, or did so in another era than that of the condition, in which the version is
    /// another state; [`Error::Unavailable`], [`Error::Rejected`] or [`Error::Invalid`].
    fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> impl Future<Output = Result<StoreRevision, Error>> + Send;

    /// Deletes an object that has the given version.
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::put`], and [`Error::NotFound`] if the object does not exist.
    fn delete(
        &self,
        kind: Kind,
        name: &str,
        version: StoreRevision,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits at most `wait` for changes of objects of the given kinds after the revision `since`.
    /// The page is empty if there were none.
    ///
    /// # Errors
    ///
    /// [`Error::Gone`] if `since` is too old or of another era than the newest, [`Error::Unavailable`] or [`Error::Invalid`].
    fn watch(
        &self,
        kinds: &[Kind],
        since: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;
}
