//! Keeps in the store which software versions services have had, for entries that start after the loss of all
//! processes.
//!
//! The entry with the least name writes the record when a version comes, and takes a version out when no stream that
//! it began can be left. Nothing is written for a stream. Like fencing tokens, a record belongs to one era: a copy
//! may lack the last version.
//!
//! Invariant: a service is recorded only by an entry that has known its versions for its longest stream timeout, or
//! has read them in the record.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use platform_adapter::store::Store;
use serde_json::json;
use stair_fleet::Catalogue;
use stair_platform::Error;
use stair_telemetry::event::Line;
use stair_types::{
    Era,
    StoreRevision, //
};
use tokio::time::sleep;

use crate::{
    context::Context,
    prefetch, //
};

/// The kind of the record, one object for each era.
const KIND: &str = "stair-versions";

/// Interval of the checks for a version that has come or left. A target that comes and leaves is listed for longer.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed call, doubled after each further one: rejected calls are charged too.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Longest pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// The versions of each recorded service, sorted.
pub(crate) type Versions = BTreeMap<Box<str>, Vec<Box<str>>>;

/// What the store has.
struct Written {
    era: Era,
    /// The revision of the object; `None` if there is none.
    revision: Option<StoreRevision>,
    versions: Versions,
}

fn name(era: Era) -> String {
    match era {
        Era(0) => "main".to_owned(),
        era => format!("main.{era}"),
    }
}

/// Reads the record of the present era.
///
/// # Errors
///
/// [`Error::NotFound`] if there is none, otherwise as any store call.
pub(crate) async fn read(store: &Store) -> Result<Versions, Error> {
    Ok(read_object(store).await?.versions)
}

async fn read_object(store: &Store) -> Result<Written, Error> {
    let era = store.era();
    let object = store.get(KIND, &name(era)).await?;
    let versions = serde_json::from_value(object.spec["services"].clone());
    Ok(Written {
        era,
        revision: Some(object.revision),
        versions: versions.map_err(|e| Error::Invalid(e.to_string().into()))?,
    })
}

/// Writes the record until the process ends.
pub(crate) async fn keep(cx: Arc<Context>) {
    let mut written: Option<Written> = None;
    let mut pause = CHECK_INTERVAL;
    loop {
        sleep(pause).await;
        if !prefetch::is_leader(&cx) {
            written = None;
            continue;
        }
        match update(&cx, &mut written).await {
            Ok(()) => pause = CHECK_INTERVAL,
            Err(e) => {
                // Another entry has written it, or the store is away: it is read again.
                written = None;
                pause = (pause * 2).clamp(RETRY_PAUSE, MAX_RETRY_PAUSE);
                Line::failure("versions.unwritten").show("error", e).write();
            }
        }
    }
}

async fn update(cx: &Context, written: &mut Option<Written>) -> Result<(), Error> {
    let store = cx.store();
    let era = store.era();
    if written.as_ref().is_none_or(|w| w.era != era) {
        *written = Some(match read_object(&store).await {
            Ok(found) => found,
            Err(Error::NotFound) => Written {
                era,
                revision: None,
                versions: Versions::new(),
            },
            Err(e) => return Err(e),
        });
    }
    let Some(known) = written else { return Ok(()) };
    let Some(next) = next_versions(cx, &known.versions) else {
        return Ok(());
    };
    let spec = json!({ "services": next });
    let object = match known.revision {
        Some(revision) => store.replace(KIND, &name(era), revision, &spec).await?,
        None => store.create(KIND, &name(era), &spec).await?,
    };
    Line::failure("versions.recorded")
        .show("services", &spec["services"])
        .write();
    known.revision = Some(object.revision);
    known.versions = next;
    Ok(())
}

/// The record that should be in the store, if it is another one than `known`.
fn next_versions(cx: &Context, known: &Versions) -> Option<Versions> {
    let now = cx.now();
    let state = cx.state();
    let catalogue = state.catalogue.as_ref()?;
    let mut next = known.clone();
    for service in &catalogue.services {
        let Some(within) = longest_stream(catalogue, &service.name) else {
            continue;
        };
        let history = state.origins.history();
        let mut versions: Vec<Box<str>> = history
            .recent(&service.name, within, now)
            .map(Into::into)
            .collect();
        if !history.covers(within, now) {
            // Versions from before this entry's start are only known from the record.
            let Some(recorded) = known.get(&service.name) else {
                continue;
            };
            versions.extend(recorded.iter().cloned());
        }
        versions.sort();
        versions.dedup();
        next.insert(service.name.clone(), versions);
    }
    (next != *known).then_some(next)
}

/// The longest timeout of a service's stream routes.
fn longest_stream(catalogue: &Catalogue, service: &str) -> Option<Duration> {
    let routes = catalogue.routes.iter().filter(|r| r.stream);
    let of_service = routes.filter(|r| r.to.iter().any(|s| *s.service == *service));
    of_service.map(|r| r.timeout).max()
}
