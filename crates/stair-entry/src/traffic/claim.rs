//! Claims idempotency keys in the platform, so that at most one request runs per key.
//!
//! A caller whose connection went silent may repeat its request, perhaps at another entry, while the
//! first request runs. Without a claim both would run, and the caller would be billed twice.
//!
//! Each entry has one write in flight per shard. Claims that arrive meanwhile wait and go into the
//! next write, so the rate of writes is bounded by the number of shards and the platform's latency,
//! not by the rate of requests.
//!
//! When the platform comes back from a copy, it may lack the last claims. Each entry then writes its own
//! again, and no entry claims a key before the others have had [`RESTORE_TIME`] for theirs.

use std::{
    collections::VecDeque,
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
use stair_types::Era;
use tokio::{
    sync::{
        oneshot,
        watch, //
    },
    time::{
        Instant,
        sleep_until,
        timeout, //
    },
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

/// Number of shards of claims. With group commit, 64 shards take several hundred claims a second
/// before writes of different entries collide often.
const SHARDS: usize = 64;

/// Time until a claim expires. The longest request takes ten minutes, and callers repeat a request
/// within minutes of its end.
const CLAIM_TTL: Duration = Duration::from_secs(3_600);

/// Timeout of the claim of a ready request. After `Ready` the agent keeps the slot free for two
/// seconds; a later claim would be of no use.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Attempts to write one batch. Entries that write the same shard at the same time conflict; each
/// conflict means that another entry's write took effect.
const MAX_ATTEMPTS: usize = 12;

/// Bound on the releases and claims that wait for one shard. In an outage the releases of claims
/// whose write is unconfirmed accumulate here, about 150 bytes each.
const MAX_PENDING: usize = 2_000;

/// Delay before releases that could not be written are tried again. Claims that arrive meanwhile wait
/// with them, and there is time for a few attempts before such claims time out.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The reasons why a key could not be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Error {
    /// Another request has claimed the key.
    Duplicate(Claim),
    /// The shard has its maximum number of claims.
    Full,
    /// The platform cannot confirm the claim.
    PlatformDown,
}

/// Time from which on a new era is known, for all entries to write their claims again. What is left of
/// [`CLAIM_TIMEOUT`] suffices for a claim.
const RESTORE_TIME: Duration = Duration::from_millis(800);

/// Own claims that are kept for one shard, to be written again.
const MAX_OWN_CLAIMS: usize = 500;

/// Claims and releases idempotency keys.
pub(super) struct Claims<S> {
    store: S,
    shards: Vec<Arc<Shard>>,
    /// The newest era, and the time until which claims wait in it.
    restored: watch::Sender<(Era, Option<Instant>)>,
}

#[derive(Default)]
struct Shard {
    queue: Mutex<Queue>,
}

#[derive(Default)]
struct Queue {
    pending: Vec<Pending>,
    is_writing: bool,
    /// Own claims are to be written again.
    restore: bool,
    cache: ShardCache,
}

/// The cached state of a shard between writes.
#[derive(Default)]
struct ShardCache {
    shard: Option<CachedShard>,
    /// The reply to a write was lost. That write may still take effect unless another write follows.
    has_unconfirmed_write: bool,
    /// Claims that this entry has written and not released, the oldest first.
    own: VecDeque<Claim>,
}

struct CachedShard {
    value: ClaimShard,
    condition: Condition,
    era: Era,
}

struct Pending {
    change: Change,
    done: Option<oneshot::Sender<Result<Outcome, Error>>>,
}

impl<S> Claims<S> {
    /// Returns the number of changes that wait to be written.
    pub(super) fn pending(&self) -> usize {
        self.shards.iter().map(|s| s.lock().pending.len()).sum()
    }

    pub(super) fn new(store: S) -> Self {
        Self {
            store,
            shards: (0..SHARDS).map(|_| Arc::default()).collect(),
            restored: watch::Sender::new((Era::default(), None)),
        }
    }
}

impl<S> Claims<S>
where
    S: ObjectStore,
{
    /// Writes this entry's claims again each time that the platform has come back from a copy, until the
    /// process ends.
    pub(super) async fn restore(&self) {
        loop {
            let (known, _) = *self.restored.borrow();
            self.store.eras().after(known).await;
            let era = self.store.eras().newest();
            let until = Instant::now() + RESTORE_TIME;
            self.restored.send_replace((era, Some(until)));
            for n in 0..self.shards.len() {
                let mut queue = self.shards[n].lock();
                if queue.is_writing || !queue.cache.own.is_empty() {
                    queue.restore = true;
                    self.write(n, &mut queue);
                }
            }
        }
    }

    /// Waits until the other entries have had the time to write their claims again.
    async fn until_restored(&self) {
        let (_, until) = *self.restored.borrow();
        if let Some(until) = until {
            sleep_until(until).await;
        }
    }

    /// Claims the request's key for a start at one target. `replaces` is the claim of another request
    /// that never ran, if there is one.
    ///
    /// # Errors
    ///
    /// Fails as described at [`Error`].
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
            incarnation: exchange.incarnation(),
            expires_s: now_s() + CLAIM_TTL.as_secs(),
        };
        let (tx, rx) = oneshot::channel();
        let claimed = async {
            self.until_restored().await;
            self.push(Change::Claim { claim, replaces }, Some(tx));
            rx.await
        };
        match timeout(CLAIM_TIMEOUT, claimed).await {
            Ok(Ok(Ok(Outcome::Done))) => Ok(()),
            Ok(Ok(Ok(Outcome::Taken(other)))) => Err(Error::Duplicate(other)),
            Ok(Ok(Ok(Outcome::Full))) => Err(Error::Full),
            Ok(Ok(Err(e))) => Err(e),
            Ok(Err(_)) | Err(_) => Err(Error::PlatformDown),
        }
    }

    /// Releases the claim of a request that has not run, as soon as the platform can be written.
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
        // Dropping the sender makes the claim fail.
        if queue.pending.len() >= MAX_PENDING {
            return;
        }
        queue.pending.push(Pending { change, done });
        self.write(n, &mut queue);
    }

    fn write(&self, n: usize, queue: &mut Queue) {
        if queue.is_writing {
            return;
        }
        queue.is_writing = true;
        tokio::spawn(write_batches(self.store.clone(), n, self.shards[n].clone()));
    }
}

impl Shard {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes batches until no change waits.
async fn write_batches<S>(store: S, n: usize, shard: Arc<Shard>)
where
    S: ObjectStore,
{
    let mut cache = std::mem::take(&mut shard.lock().cache);
    loop {
        let batch = {
            let mut queue = shard.lock();
            let restore = std::mem::take(&mut queue.restore);
            if queue.pending.is_empty() && !restore {
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
            // Own claims that the platform lacks are written with the next batch.
            shard.lock().restore |= !cache.own.is_empty();
            requeue_releases(&shard, changes);
            tokio::time::sleep(RELEASE_RETRY_DELAY).await;
        }
    }
}

/// Puts releases that could not be written back at the front of the queue.
///
/// A claim may take effect although the reply is lost, and the platform may then be down for longer
/// than one attempt. The caller was told that its request has not run. If the release were dropped,
/// the caller's repeat would be refused as a duplicate until the claim expires.
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
        let newest = store.eras().newest();
        let cached = cache.shard.take().filter(|c| c.era == newest);
        let was_read = cached.is_none();
        let mut cached = match cached {
            Some(cached) => cached,
            None => read(store, &name).await?,
        };
        let was_restored = restore_own(&mut cached.value, &mut cache.own);
        let (outcomes, changed) = shard::apply(&mut cached.value, changes, now_s());
        // The conflicting claim may have been released since the shard was read.
        if !was_read && outcomes.iter().any(|o| *o != Outcome::Done) {
            continue;
        }
        if !changed && !was_restored && !cache.has_unconfirmed_write {
            cache.shard = Some(cached);
            return Ok(outcomes);
        }
        let Ok(value) = serde_json::to_value(&cached.value) else {
            return Err(Error::PlatformDown);
        };
        match store
            .put(Kind::Claims, &name, &value, cached.condition)
            .await
        {
            // Derived from the state of another era, it counts as not written.
            Ok(version) if version.era != cached.era => cache.has_unconfirmed_write = true,
            Ok(version) => {
                cache.has_unconfirmed_write = false;
                record_own(&mut cache.own, changes, &outcomes);
                cache.shard = Some(CachedShard {
                    value: cached.value,
                    condition: Condition::Version(version),
                    era: version.era,
                });
                return Ok(outcomes);
            }
            Err(stair_platform::Error::Conflict) => {}
            // The next attempt reads the shard again, which shows whether the write took effect.
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
    let found = store.get(Kind::Claims, name).await;
    match found {
        Ok(object) => Ok(CachedShard {
            era: object.version.era,
            value: serde_json::from_value(object.value).map_err(|_| Error::PlatformDown)?,
            condition: Condition::Version(object.version),
        }),
        Err(stair_platform::Error::NotFound) => Ok(CachedShard {
            value: ClaimShard::default(),
            condition: Condition::Absent,
            era: store.eras().newest(),
        }),
        Err(_) => Err(Error::PlatformDown),
    }
}

/// Adds this entry's claims that a shard lacks, unless they have expired. Returns whether there were any.
///
/// A claim of another request for the same key stays: it was made after the platform's return.
fn restore_own(shard: &mut ClaimShard, own: &mut VecDeque<Claim>) -> bool {
    let now_s = now_s();
    own.retain(|c| c.expires_s > now_s);
    let mut restored = false;
    for claim in own.iter() {
        if let Err(at) = shard.claims.binary_search_by(|c| c.key.cmp(&claim.key)) {
            shard.claims.insert(at, claim.clone());
            restored = true;
        }
    }
    restored
}

/// Records which claims this entry holds after these changes.
fn record_own(own: &mut VecDeque<Claim>, changes: &[Change], outcomes: &[Outcome]) {
    for (change, outcome) in changes.iter().zip(outcomes) {
        match change {
            Change::Claim { claim, .. } if *outcome == Outcome::Done => {
                own.retain(|c| c.key != claim.key);
                own.push_back(claim.clone());
            }
            Change::Claim { .. } => {}
            Change::Release { key, request } => {
                own.retain(|c| c.key != *key || c.request != *request);
            }
        }
    }
    while own.len() > MAX_OWN_CLAIMS {
        own.pop_front();
    }
}

/// Returns the key of a claim, a hash of the caller's name and its key. The separator cannot be part
/// of a caller's name, so no two pairs give the same text.
fn key(req: &Request) -> Box<str> {
    let key = req.idempotency_key.as_deref().unwrap_or("");
    sha256_hex(format!("{}/{key}", req.caller.as_str()).as_bytes())
}

fn shard_of(key: &str) -> usize {
    let head = key.get(..2).unwrap_or("0");
    usize::from_str_radix(head, 16).unwrap_or(0) % SHARDS
}

/// Returns the age of a claim by this process's clock.
pub(super) fn age(claim: &Claim) -> Duration {
    let claimed_s = claim.expires_s.saturating_sub(CLAIM_TTL.as_secs());
    Duration::from_secs(now_s().saturating_sub(claimed_s))
}

fn now_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |t| t.as_secs())
}
