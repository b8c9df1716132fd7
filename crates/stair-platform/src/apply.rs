//! Puts a catalogue in force atomically.
//!
//! The chunks are written first, and a conditional update of the manifest commits the apply. No
//! process reads the new chunks before the commit, so an interrupted apply changes nothing. The
//! update requires the version that the apply was made from: of two concurrent applies, one gets a
//! conflict.

use std::time::Duration;

use stair_config::{
    Catalogue,
    chunks::{
        self,
        Chunk, //
    }, //
};
use stair_types::{
    ApplyId,
    ConfigVersion,
    Era, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    load::{
        self,
        Head,
        MANIFEST, //
    },
    store::ObjectStore,
    types::{
        self,
        ChunkRef,
        Condition,
        Kind,
        Manifest, //
    }, //
};

/// The version of the configuration before the first apply.
pub const INITIAL_VERSION: ConfigVersion = ConfigVersion(0);

/// Maximum number of earlier applies that the manifest lists. At 13,000 applies a day there is one
/// every 7 s, so the outcome of a commit can be determined for more than two minutes, longer than
/// any operator waits for it. The list is short because every entry reads it at each change.
const MAX_EARLIER_APPLIES: usize = 24;

/// Interval between two attempts of a call. It limits the rate of calls during an outage.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum timeout for determining the outcome of a commit whose reply was lost. It applies even if
/// an earlier outage has used up most of [`Options::patience`], so that the operator still gets the
/// outcome.
const RECONCILE_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of an apply.
#[derive(Debug, Clone)]
pub struct Options {
    /// Unique to this apply. If the reply to the commit is lost, this id in the manifest shows that
    /// the commit took effect.
    pub apply_id: ApplyId,
    /// The version that the declarations were made from; `None` takes the version in force.
    pub from: Option<ConfigVersion>,
    /// How long calls are retried while the platform is unavailable.
    pub patience: Duration,
}

/// The outcome of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The catalogue is in force with this version.
    Applied(ConfigVersion),
    /// The catalogue was in force already with this version.
    Unchanged(ConfigVersion),
    /// Another apply was committed first; nothing of this one is in force.
    Conflict {
        /// The version that this apply was made from.
        from: ConfigVersion,
        /// The version in force.
        found: ConfigVersion,
    },
    /// The reply to the commit was lost, and whether it took effect could not be determined in
    /// time. It may still take effect unless another apply is committed first.
    Undetermined(ConfigVersion),
}

/// Why an apply failed. Nothing of it is in force or ever will be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The manifest could not be read.
    #[error("cannot read the configuration in force: {0}")]
    Read(#[from] load::Error),
    /// The catalogue cannot be split into chunks.
    #[error("cannot store the catalogue: {0}")]
    Chunks(#[from] chunks::Error),
    /// A chunk or the manifest could not be written.
    #[error("cannot write: {0}")]
    Write(#[from] types::Error),
}

/// Puts a catalogue in force.
///
/// # Errors
///
/// See [`Error`]; a commit whose effect is unknown is no error but [`Outcome::Undetermined`].
pub async fn apply<S>(store: &S, catalogue: &Catalogue, opts: &Options) -> Result<Outcome, Error>
where
    S: ObjectStore,
{
    let deadline = Instant::now() + opts.patience;
    let head = read_head(store, deadline).await?;
    let found = version_of(head.as_ref());
    let from = opts.from.unwrap_or(found);
    if from != found {
        return Ok(Outcome::Conflict { from, found });
    }
    let chunks = chunks::split(catalogue)?;
    let refs: Vec<ChunkRef> = chunks.iter().map(chunk_ref).collect();
    let present = head.as_ref().map_or(&[][..], |h| &h.manifest.chunks);
    let era = store.eras().newest();
    // Entries may have a newer configuration that the store has lost, so an older one is applied again.
    let is_of_era = era == Era::default() || found.0 > era.first_number();
    if head.is_some() && is_of_era && *present == *refs {
        return Ok(Outcome::Unchanged(found));
    }
    for chunk in &chunks {
        if !present.contains(&chunk_ref(chunk)) {
            write_chunk(store, chunk, deadline).await?;
        }
    }
    let manifest = next_manifest(head.as_ref(), era, opts.apply_id.clone(), refs);
    commit(store, head.as_ref(), &manifest, deadline).await
}

fn version_of(head: Option<&Head>) -> ConfigVersion {
    head.map_or(INITIAL_VERSION, |h| h.manifest.version)
}

fn chunk_ref(chunk: &Chunk) -> ChunkRef {
    ChunkRef {
        hash: chunk.hash.clone(),
    }
}

/// The manifest after `head`. A version of this era is above all that the store may have lost.
fn next_manifest(
    head: Option<&Head>,
    era: Era,
    apply_id: ApplyId,
    chunks: Vec<ChunkRef>,
) -> Manifest {
    let mut earlier = Vec::new();
    if let Some(Head { manifest, .. }) = head {
        earlier.push(manifest.apply_id.clone());
        earlier.extend(manifest.earlier.iter().cloned());
        earlier.truncate(MAX_EARLIER_APPLIES);
    }
    Manifest {
        version: ConfigVersion(version_of(head).0.max(era.first_number()) + 1),
        apply_id,
        earlier,
        chunks,
    }
}

fn is_transient(e: &types::Error) -> bool {
    matches!(e, types::Error::Unavailable(_) | types::Error::Unknown(_))
}

async fn read_head<S>(store: &S, deadline: Instant) -> Result<Option<Head>, load::Error>
where
    S: ObjectStore,
{
    loop {
        match load::head(store).await {
            Err(load::Error::Platform(e)) if is_transient(&e) && Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

async fn write_chunk<S>(store: &S, chunk: &Chunk, deadline: Instant) -> Result<(), types::Error>
where
    S: ObjectStore,
{
    loop {
        let put = store.put(Kind::Chunk, &chunk.hash, &chunk.value, Condition::Absent);
        match put.await {
            // The name is the content hash, so a present chunk has this content. It was written by
            // another apply, or by an earlier attempt whose reply was lost.
            Ok(_) | Err(types::Error::Conflict) => return Ok(()),
            Err(e) if is_transient(&e) && Instant::now() < deadline => sleep(RETRY_INTERVAL).await,
            Err(e) => return Err(e),
        }
    }
}

async fn commit<S>(
    store: &S,
    head: Option<&Head>,
    manifest: &Manifest,
    deadline: Instant,
) -> Result<Outcome, Error>
where
    S: ObjectStore,
{
    let condition = head.map_or(Condition::Absent, |h| Condition::Version(h.revision));
    // The encoding cannot fail, since all keys are strings.
    let value = serde_json::to_value(manifest).unwrap_or_default();
    loop {
        let put = store.put(Kind::Manifest, MANIFEST, &value, condition);
        match put.await {
            Ok(_) => return Ok(Outcome::Applied(manifest.version)),
            // A reply that does not decode leaves the outcome as unknown as a lost one. After a rejection,
            // the manifest shows that it has not taken effect.
            Err(
                types::Error::Conflict
                | types::Error::Unknown(_)
                | types::Error::Rejected(_)
                | types::Error::Invalid(_),
            ) => {
                return Ok(reconcile_commit(store, head, manifest, deadline).await);
            }
            // Nothing was written, so another attempt cannot apply twice.
            Err(types::Error::Unavailable(_)) if Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await
            }
            Err(e) => return Err(e.into()),
        }
    }
}

// Reads the manifest until it shows the outcome of a commit whose reply was lost or was a conflict.
//
// The reply can be lost after the commit has taken effect. Without this check, the operator would
// see a failed apply that is in force, and another attempt would conflict with the first one.
async fn reconcile_commit<S>(
    store: &S,
    head: Option<&Head>,
    manifest: &Manifest,
    deadline: Instant,
) -> Outcome
where
    S: ObjectStore,
{
    let undetermined = Outcome::Undetermined(manifest.version);
    let deadline = deadline.max(Instant::now() + RECONCILE_TIMEOUT);
    loop {
        let Ok(now) = read_head(store, deadline).await else {
            return undetermined;
        };
        if let Some(now) = now
            .as_ref()
            .filter(|now| records_apply(&now.manifest, manifest))
        {
            // Committed in a later era, it may have replaced a newer configuration of that era.
            let overtaken = manifest.version.0 <= now.revision.era.first_number();
            return match overtaken && now.revision.era != Era::default() {
                true => undetermined,
                false => Outcome::Applied(manifest.version),
            };
        }
        let found = version_of(now.as_ref());
        let from = version_of(head);
        if found != from {
            // The condition of our commit can never be met again. A missing id proves that the
            // commit had no effect, unless more applies followed than the manifest lists.
            let later = found.0.saturating_sub(manifest.version.0);
            if usize::try_from(later).is_ok_and(|later| later <= MAX_EARLIER_APPLIES) {
                return Outcome::Conflict { from, found };
            }
            return undetermined;
        }
        // The manifest is unchanged, but the commit may still be in transit.
        if Instant::now() >= deadline {
            return undetermined;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

fn records_apply(now: &Manifest, ours: &Manifest) -> bool {
    now.apply_id == ours.apply_id || now.earlier.contains(&ours.apply_id)
}
