//! Claims idempotency keys in the platform, so that one request runs for a key.
//!
//! A caller whose connection went silent sends its request again, perhaps to another entry, while
//! the first one runs. Without a claim both would run and the caller be billed twice.
//!
//! Each entry has one write in flight per shard; claims that come meanwhile wait and go together
//! with the next one. So the platform's writes are bounded by shards and its own speed, not by
//! requests.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use stair_config::chunks::sha256_hex;
use stair_platform::{
    Claim,
    ClaimShard,
    Condition,
    Kind,
    ObjectStore, //
};
use stair_telemetry::{
    Part,
    warn, //
};
use tokio::{
    sync::oneshot,
    time::timeout, //
};

use super::{
    exchange::Exchange,
    request::Request,
    shard::{
        self,
        Change,
        Outcome, //
    },
};

/// Shards of all claims. With group commit, 64 shards carry several hundred claims a second
/// before entries collide often.
const SHARDS: usize = 64;

/// A claim is kept for so long. The longest request takes ten minutes, and a caller that repeats
/// does so within minutes of its end.
const CLAIM_TTL: Duration = Duration::from_secs(3_600);

/// Time that a ready request waits for its claim. The agent keeps the place free for two seconds
/// after it said that the request can run; a claim that comes later is of no use.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads and writes tried for one batch. Entries that write the same shard at the same time
/// collide; each collision means that another one got through.
const MAX_ATTEMPTS: usize = 12;

/// Releases and claims that wait for one shard. In an outage the releases of claims whose fate is
/// unknown collect here, about 150 bytes each.
const MAX_PENDING: usize = 2_000;

/// Time until releases that could not be written are tried again. Claims that come meanwhile wait
/// with them, and have time for a few tries before they are given up.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why a key could not be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Error {
    /// Another request holds the key.
    Duplicate(Claim),
    /// The shard has no room.
    Full,
    /// The platform cannot confirm the claim.
    PlatformDown,
}

/// Claims keys.
pub(super) struct Claims<S> {
    store: S,
    shards: Vec<Arc<Shard>>,
}

#[derive(Default)]
struct Shard {
    queue: Mutex<Queue>,
}

#[derive(Default)]
struct Queue {
    pending: Vec<Pending>,
    is_writing: bool,
    cache: ShardCache,
}

/// What this entry remembers of a shard between writes.
#[derive(Default)]
struct ShardCache {
    known: Option<CachedShard>,
    /// An answer to a write was lost: the write may still take effect unless another one follows.
    has_unconfirmed_write: bool,
}

struct CachedShard {
    value: ClaimShard,
    condition: Condition,
}

struct Pending {
    change: Change,
    done: Option<oneshot::Sender<Result<Outcome, Error>>>,
}

impl<S> Claims<S> {
    /// Returns the number of changes that wait.
    pub(super) fn pending(&self) -> usize {
        self.shards.iter().map(|s| s.lock().pending.len()).sum()
    }

    pub(super) fn new(store: S) -> Self {
        Self {
            store,
            shards: (0..SHARDS).map(|_| Arc::default()).collect(),
        }
    }
}

impl<S> Claims<S>
where
    S: ObjectStore,
{
    /// Claims the request's key for a start at one target, instead of a claim that was left
    /// behind, if one is given.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub(super) async fn claim(
        &self,
        req: &Request,
        exchange: &Exchange,
        replaces: Option<Claim>,
    ) -> Result<(), Error> {
        let claim = Claim {
            key: key(req),
            request: req.id,
            target: exchange.target.name.clone(),
            incarnation: exchange.incarnation,
            expires_s: now_s() + CLAIM_TTL.as_secs(),
        };
        let (tx, rx) = oneshot::channel();
        self.push(Change::Claim { claim, replaces }, Some(tx));
        match timeout(CLAIM_TIMEOUT, rx).await {
            Ok(Ok(Ok(Outcome::Done))) => Ok(()),
            Ok(Ok(Ok(Outcome::Taken(other)))) => Err(Error::Duplicate(other)),
            Ok(Ok(Ok(Outcome::Full))) => Err(Error::Full),
            Ok(Ok(Err(e))) => Err(e),
            Ok(Err(_)) | Err(_) => Err(Error::PlatformDown),
        }
    }

    /// Gives the claim of a request back that has not run, if the platform lets it.
    pub(super) fn release(&self, req: &Request) {
        let change = Change::Release {
            key: key(req),
            request: req.id,
        };
        self.push(change, None);
    }

    fn push(&self, change: Change, done: Option<oneshot::Sender<Result<Outcome, Error>>>) {
        let key = match &change {
            Change::Claim { claim, .. } => &claim.key,
            Change::Release { key, .. } => key,
        };
        let n = shard_of(key);
        let shard = &self.shards[n];
        let mut queue = shard.lock();
        // The sender that is dropped here tells the claim that it failed.
        if queue.pending.len() >= MAX_PENDING {
            return;
        }
        queue.pending.push(Pending { change, done });
        if queue.is_writing {
            return;
        }
        queue.is_writing = true;
        tokio::spawn(write(self.store.clone(), n, shard.clone()));
    }
}

impl Shard {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes batch after batch until nothing waits.
async fn write<S>(store: S, n: usize, shard: Arc<Shard>)
where
    S: ObjectStore,
{
    let mut cache = std::mem::take(&mut shard.lock().cache);
    loop {
        let batch = {
            let mut queue = shard.lock();
            if queue.pending.is_empty() {
                queue.cache = cache;
                queue.is_writing = false;
                return;
            }
            std::mem::take(&mut queue.pending)
        };
        let (changes, waiting): (Vec<_>, Vec<_>) =
            batch.into_iter().map(|p| (p.change, p.done)).unzip();
        let result = commit(&store, n, &mut cache, &changes).await;
        let has_failed = result.is_err();
        for (i, done) in waiting.into_iter().enumerate() {
            let Some(done) = done else {
                continue;
            };
            let _ = done.send(
                result
                    .as_ref()
                    .map(|all| all[i].clone())
                    .map_err(Error::clone),
            );
        }
        if has_failed {
            requeue_releases(&shard, changes);
            tokio::time::sleep(RELEASE_RETRY_DELAY).await;
        }
    }
}

/// Puts releases that could not be written back, before what has come since.
///
/// A claim may take effect although its answer is lost, and the platform may then be down for
/// longer than one try. The caller was told that nothing ran; a release that were dropped would
/// make its repeat a duplicate, of a request that never ran, until the claim expires.
fn requeue_releases(shard: &Shard, changes: Vec<Change>) {
    let releases = changes.into_iter().filter_map(|change| match change {
        Change::Release { .. } => Some(Pending { change, done: None }),
        Change::Claim { .. } => None,
    });
    let mut queue = shard.lock();
    queue.pending.splice(0..0, releases);
}

async fn commit<S>(
    store: &S,
    n: usize,
    cache: &mut ShardCache,
    changes: &[Change],
) -> Result<Vec<Outcome>, Error>
where
    S: ObjectStore,
{
    let name = n.to_string();
    for _ in 0..MAX_ATTEMPTS {
        let is_fresh = cache.known.is_none();
        let mut known = match cache.known.take() {
            Some(known) => known,
            None => read(store, &name).await?,
        };
        let (outcomes, changed) = shard::apply(&mut known.value, changes, now_s());
        // The claim that is in the way may have been given back since the shard was read.
        if !is_fresh && outcomes.iter().any(|o| *o != Outcome::Done) {
            continue;
        }
        if !changed && !cache.has_unconfirmed_write {
            cache.known = Some(known);
            return Ok(outcomes);
        }
        let Ok(value) = serde_json::to_value(&known.value) else {
            return Err(Error::PlatformDown);
        };
        match store
            .put(Kind::Claims, &name, &value, known.condition)
            .await
        {
            Ok(version) => {
                cache.has_unconfirmed_write = false;
                cache.known = Some(CachedShard {
                    value: known.value,
                    condition: Condition::Version(version),
                });
                return Ok(outcomes);
            }
            Err(stair_platform::Error::Conflict) => {}
            // Reading the shard again shows whether the write took effect.
            Err(stair_platform::Error::Unknown(_)) => cache.has_unconfirmed_write = true,
            Err(_) => return Err(Error::PlatformDown),
        }
    }
    warn!(Part::Platform, "shard {n} of claims could not be written");
    Err(Error::PlatformDown)
}

async fn read<S>(store: &S, name: &str) -> Result<CachedShard, Error>
where
    S: ObjectStore,
{
    match store.get(Kind::Claims, name).await {
        Ok(object) => Ok(CachedShard {
            value: serde_json::from_value(object.value).map_err(|_| Error::PlatformDown)?,
            condition: Condition::Version(object.version),
        }),
        Err(stair_platform::Error::NotFound) => Ok(CachedShard {
            value: ClaimShard::default(),
            condition: Condition::Absent,
        }),
        Err(_) => Err(Error::PlatformDown),
    }
}

/// The separator cannot be part of a caller's name, so no two pairs give the same text.
fn key(req: &Request) -> Box<str> {
    let key = req.idempotency_key.as_deref().unwrap_or("");
    sha256_hex(format!("{}/{key}", req.caller.as_str()).as_bytes())
}

fn shard_of(key: &str) -> usize {
    let head = key.get(..2).unwrap_or("0");
    usize::from_str_radix(head, 16).unwrap_or(0) % SHARDS
}

/// Returns how long a claim has been held, by this process's clock.
pub(super) fn age(claim: &Claim) -> Duration {
    let claimed_s = claim.expires_s.saturating_sub(CLAIM_TTL.as_secs());
    Duration::from_secs(now_s().saturating_sub(claimed_s))
}

fn now_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |t| t.as_secs())
}
