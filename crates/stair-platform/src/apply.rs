//! Putting a catalogue in force as a whole.
//!
//! Chunks are written first, and a conditional update of the manifest commits the apply. Until
//! then nobody reads the new chunks, so an apply that dies half-way changes nothing. The update
//! names the version that the apply was made from: of two operators who race, one gets a conflict.

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
    ConfigVersion, //
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

/// The version before the first apply.
pub const INITIAL_VERSION: ConfigVersion = ConfigVersion(0);

/// Applies that the manifest remembers. At 13,000 a day one comes every 7 s, so a lost answer can
/// be settled for more than two minutes, longer than anyone waits for it; and every entry reads them
/// at each change.
const MAX_EARLIER_APPLIES: usize = 24;

/// Pause between two tries, so that an outage is not met with a storm of calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Least time to find out what became of a commit whose answer was lost. Most of the operator's
/// patience may have gone into an outage before, and what is settled here spares him the doubt.
const RECONCILE_TIMEOUT: Duration = Duration::from_secs(10);

/// How to apply.
#[derive(Debug, Clone)]
pub struct Options {
    /// Unique for this apply; a lost answer is settled by looking for it.
    pub apply_id: ApplyId,
    /// The version that the declarations were made from; none takes the one in force now.
    pub from: Option<ConfigVersion>,
    /// How long to try again while the platform does not answer.
    pub patience: Duration,
}

/// What an apply has come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The catalogue is in force with this version.
    Applied(ConfigVersion),
    /// The catalogue was in force already with this version.
    Unchanged(ConfigVersion),
    /// Another apply came first; nothing of this one is in force.
    Conflict {
        /// The version that this apply was made from.
        from: ConfigVersion,
        /// The version in force.
        found: ConfigVersion,
    },
    /// The answer to the commit was lost, and the platform did not tell in time whether it took
    /// effect. It still may, unless another apply comes first.
    Undetermined(ConfigVersion),
}

/// Why an apply was given up on. Nothing of it is in force or ever will be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The manifest could not be read.
    #[error("cannot read the configuration in force: {0}")]
    Read(#[from] load::Error),
    /// The catalogue cannot be cut into chunks.
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
/// See [`Error`]; a commit whose fate is unknown is an [`Outcome`].
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
    if head.is_some() && *present == *refs {
        return Ok(Outcome::Unchanged(found));
    }
    for chunk in &chunks {
        if !present.contains(&chunk_ref(chunk)) {
            write_chunk(store, chunk, deadline).await?;
        }
    }
    let manifest = next_manifest(head.as_ref(), opts.apply_id.clone(), refs);
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

fn next_manifest(head: Option<&Head>, apply_id: ApplyId, chunks: Vec<ChunkRef>) -> Manifest {
    let mut earlier = Vec::new();
    if let Some(Head { manifest, .. }) = head {
        earlier.push(manifest.apply_id.clone());
        earlier.extend(manifest.earlier.iter().cloned());
        earlier.truncate(MAX_EARLIER_APPLIES);
    }
    Manifest {
        version: ConfigVersion(version_of(head).0 + 1),
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
            // A chunk of this name has this content, whoever wrote it: another apply, or a try of
            // ours whose answer was lost.
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
    // All keys are texts, so that the encoding does not fail.
    let value = serde_json::to_value(manifest).unwrap_or_default();
    loop {
        let put = store.put(Kind::Manifest, MANIFEST, &value, condition);
        match put.await {
            Ok(_) => return Ok(Outcome::Applied(manifest.version)),
            // An answer that does not decode tells no more than a lost one.
            Err(types::Error::Conflict | types::Error::Unknown(_) | types::Error::Invalid(_)) => {
                return Ok(reconcile_commit(store, head, manifest, deadline).await);
            }
            // Nothing was written for certain, so writing again cannot apply twice.
            Err(types::Error::Unavailable(_)) if Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await
            }
            Err(e) => return Err(e.into()),
        }
    }
}

// The platform's answer to the commit can be lost after the commit has taken effect. The operator
// would notice that his apply "failed" and yet is in force, and a second try would meet its own
// first one as a conflict. So the manifest is read until it tells what became of the commit.
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
        if now
            .as_ref()
            .is_some_and(|now| records_apply(&now.manifest, manifest))
        {
            return Outcome::Applied(manifest.version);
        }
        let found = version_of(now.as_ref());
        let from = version_of(head);
        if found != from {
            // The condition of our commit can never hold again. Only when so many applies came
            // after it that it would be forgotten its absence proves nothing.
            let later = found.0.saturating_sub(manifest.version.0);
            if usize::try_from(later).is_ok_and(|later| later <= MAX_EARLIER_APPLIES) {
                return Outcome::Conflict { from, found };
            }
            return undetermined;
        }
        // Unchanged: the commit may be on its way still.
        if Instant::now() >= deadline {
            return undetermined;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

fn records_apply(now: &Manifest, ours: &Manifest) -> bool {
    now.apply_id == ours.apply_id || now.earlier.contains(&ours.apply_id)
}
