//! The platform, as the operator's verbs reach it.

use std::{
    convert::Infallible,
    net::SocketAddr,
    time::Duration, //
};

use anyhow::{
    Context,
    bail, //
};
use clap::ArgMatches;
use serde_json::Value;
use stair_platform::{
    Condition,
    Error,
    Kind,
    Object,
    ObjectStore,
    Page, //
};

/// Returns the store at `--platform`.
pub(crate) fn store(matches: &ArgMatches) -> anyhow::Result<Store> {
    let addr: &SocketAddr = matches
        .get_one("platform")
        .context("--platform is missing")?;
    // To be hooked up: `HttpStore::new(*addr, Options::default())` replaces `Store` below.
    bail!("the client of the platform at {addr} is not built yet")
}

/// Takes the place of the HTTP client until that is there; no value of it exists.
#[derive(Debug, Clone)]
pub(crate) struct Store(Infallible);

impl ObjectStore for Store {
    async fn get(&self, _: Kind, _: &str) -> Result<Object, Error> {
        match self.0 {}
    }

    async fn list(&self, _: Kind) -> Result<Page, Error> {
        match self.0 {}
    }

    async fn put(&self, _: Kind, _: &str, _: &Value, _: Condition) -> Result<u64, Error> {
        match self.0 {}
    }

    async fn delete(&self, _: Kind, _: &str, _: u64) -> Result<(), Error> {
        match self.0 {}
    }

    async fn watch(&self, _: &[Kind], _: u64, _: Duration) -> Result<Page, Error> {
        match self.0 {}
    }
}
