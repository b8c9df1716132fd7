//! Reads the configuration in force.

use stair_config::{
    Catalogue,
    chunks::{
        self,
        Chunk, //
    }, //
};
use stair_types::{
    ConfigVersion,
    StoreRevision, //
};
use tokio::task::JoinSet;

use crate::{
    store::ObjectStore,
    types::{
        self,
        ChunkRef,
        Kind,
        Manifest,
        Object, //
    }, //
};

/// The name of the only object of kind [`Kind::Manifest`].
pub const MANIFEST: &str = "manifest";

/// Maximum number of concurrent reads of chunks. Enough to hide the latency of a call, and a small
/// fraction of the platform's 2,000 reads per second even if several entries start together.
const MAX_CONCURRENT_READS: usize = 8;

/// Why the configuration cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A call failed.
    #[error(transparent)]
    Platform(#[from] types::Error),
    /// The value of the manifest does not decode.
    #[error("the manifest does not decode: {0}")]
    Manifest(Box<str>),
    /// The manifest refers to a chunk that does not exist.
    #[error("chunk {0} is missing")]
    Missing(Box<str>),
    /// The chunks do not make up a valid catalogue.
    #[error(transparent)]
    Chunks(#[from] chunks::Error),
}

/// The manifest and the version of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The manifest.
    pub manifest: Manifest,
    /// The version of the manifest's object, for a conditional update.
    pub revision: StoreRevision,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The declarations of the configuration.
    pub catalogue: Catalogue,
}

/// Reads the manifest. Returns `None` before the first apply.
///
/// # Errors
///
/// [`Error::Platform`] or [`Error::Manifest`].
pub async fn head<S>(store: &S) -> Result<Option<Head>, Error>
where
    S: ObjectStore,
{
    match store.get(Kind::Manifest, MANIFEST).await {
        Ok(object) => Ok(Some(Head {
            manifest: manifest(&object)?,
            revision: object.version,
        })),
        Err(types::Error::NotFound) => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// Reads the manifest and its chunks. Returns `None` before the first apply.
///
/// # Errors
///
/// Any [`Error`].
pub async fn load<S>(store: &S) -> Result<Option<InForce>, Error>
where
    S: ObjectStore,
{
    let Some(head) = head(store).await? else {
        return Ok(None);
    };
    let chunks = read_chunks(store, &head.manifest.chunks).await?;
    Ok(Some(InForce {
        version: head.manifest.version,
        catalogue: chunks::join(&chunks)?,
    }))
}

/// Decodes the manifest from its object.
///
/// # Errors
///
/// [`Error::Manifest`].
pub fn manifest(object: &Object) -> Result<Manifest, Error> {
    serde_json::from_value(object.value.clone()).map_err(|e| Error::Manifest(e.to_string().into()))
}

/// Builds the configuration from objects received by a watch or from another process.
///
/// # Errors
///
/// [`Error::Missing`] if `objects` lacks a chunk, or [`Error::Chunks`].
pub fn join(manifest: &Manifest, objects: &[Object]) -> Result<InForce, Error> {
    let mut chunks = Vec::with_capacity(manifest.chunks.len());
    for ChunkRef { hash } in &manifest.chunks {
        let wanted = |o: &&Object| o.kind == Kind::Chunk && o.name == *hash;
        let object = objects.iter().find(wanted);
        chunks.push(Chunk {
            hash: hash.clone(),
            value: object
                .ok_or_else(|| Error::Missing(hash.clone()))?
                .value
                .clone(),
        });
    }
    Ok(InForce {
        version: manifest.version,
        catalogue: chunks::join(&chunks)?,
    })
}

async fn read_chunks<S>(store: &S, refs: &[ChunkRef]) -> Result<Vec<Chunk>, Error>
where
    S: ObjectStore,
{
    let mut chunks = Vec::with_capacity(refs.len());
    let mut reads = JoinSet::new();
    for ChunkRef { hash } in refs {
        if reads.len() == MAX_CONCURRENT_READS {
            collect(&mut reads, &mut chunks).await?;
        }
        reads.spawn(read_chunk(store.clone(), hash.clone()));
    }
    while !reads.is_empty() {
        collect(&mut reads, &mut chunks).await?;
    }
    Ok(chunks)
}

async fn collect(
    reads: &mut JoinSet<Result<Chunk, Error>>,
    chunks: &mut Vec<Chunk>,
) -> Result<(), Error> {
    match reads.join_next().await {
        Some(Ok(chunk)) => chunks.push(chunk?),
        Some(Err(e)) => return Err(types::Error::Unavailable(e.to_string().into()).into()),
        None => {}
    }
    Ok(())
}

async fn read_chunk<S>(store: S, hash: Box<str>) -> Result<Chunk, Error>
where
    S: ObjectStore,
{
    match store.get(Kind::Chunk, &hash).await {
        Ok(object) => Ok(Chunk {
            hash,
            value: object.value,
        }),
        Err(types::Error::NotFound) => Err(Error::Missing(hash)),
        Err(e) => Err(e.into()),
    }
}
