//! Measures the calls to the platform: their number by kind and result, and their latency.

use std::time::Duration;

use serde_json::Value;
use stair_platform::{
    Condition,
    Eras,
    Error,
    Kind,
    Object,
    ObjectStore,
    Page, //
};
use stair_telemetry::{
    Metrics,
    metrics::{
        Latency,
        PlatformCall, //
    },
};
use stair_types::StoreRevision;
use tokio::time::Instant;

/// A platform client that measures its calls.
#[derive(Clone)]
pub(crate) struct Metered<S> {
    store: S,
    metrics: Metrics,
}

impl<S> Metered<S> {
    pub(crate) fn new(store: S, metrics: Metrics) -> Self {
        Self { store, metrics }
    }

    async fn measure<T, F>(&self, call: PlatformCall, call_future: F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let began = Instant::now();
        let result = call_future.await;
        // The time of a watch is mostly its wait, which says nothing about the platform's latency.
        if call != PlatformCall::Watch {
            self.metrics.latency(Latency::Platform, began.elapsed());
        }
        let succeeded = !result.as_ref().is_err_and(Error::is_failure);
        self.metrics.platform_call(call, succeeded);
        result
    }
}

impl<S> ObjectStore for Metered<S>
where
    S: ObjectStore,
{
    fn eras(&self) -> &Eras {
        self.store.eras()
    }

    async fn get(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        let call_future = self.store.get(kind, name);
        self.measure(PlatformCall::Get, call_future).await
    }

    async fn list(&self, kind: Kind) -> Result<Page, Error> {
        let call_future = self.store.list(kind);
        self.measure(PlatformCall::List, call_future).await
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<StoreRevision, Error> {
        let call_future = self.store.put(kind, name, value, condition);
        self.measure(PlatformCall::Put, call_future).await
    }

    async fn delete(&self, kind: Kind, name: &str, version: StoreRevision) -> Result<(), Error> {
        let call_future = self.store.delete(kind, name, version);
        self.measure(PlatformCall::Delete, call_future).await
    }

    async fn watch(
        &self,
        kinds: &[Kind],
        since: StoreRevision,
        wait: Duration,
    ) -> Result<Page, Error> {
        let call_future = self.store.watch(kinds, since, wait);
        self.measure(PlatformCall::Watch, call_future).await
    }
}
