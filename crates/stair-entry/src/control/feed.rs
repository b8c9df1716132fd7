//! Brings the platform's objects to control: lists and watches them, or asks peers while the
//! platform is down.
//!
//! A waiting watch is one call, on all kinds at once, so that an idle entry costs the platform
//! one call each [`WATCH_DURATION`]. After an outage the watch goes on from its last position and
//! nothing is listed again.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use ractor::ActorRef;
use stair_config::chunks::{
    self,
    Chunk, //
};
use stair_link::Pool;
use stair_platform::{
    Error,
    Event,
    Kind,
    Manifest,
    Object,
    ObjectStore,
    Page,
    Snapshot, //
};
use stair_telemetry::{
    Part,
    info,
    warn, //
};

use tokio::sync::watch;

use crate::{
    control::{
        msg::Msg,
        peers,
        state::{
            Config,
            Versioned, //
        },
    },
    view::View,
};

/// The kinds that an entry watches.
const KINDS: [Kind; 4] = [Kind::Manifest, Kind::Grants, Kind::Incarnation, Kind::Vm];

/// How long a watch waits at the platform before it is asked again, in the mean.
///
/// A watch whose connection has gone silent looks like one on which nothing happens, and is noticed
/// only when its answer is overdue: after this time, its jitter, and the time for a call. A change
/// of the configuration has 8 s to be in force, so at most 6 are left for that. 410 entries make
/// 137 calls a second at this time, of the 2,000 reads that the platform takes, and an entry sends
/// and receives about 0.2 KB a second for it.
const WATCH_DURATION: Duration = Duration::from_secs(3);

/// The part of the time of a watch by which it is shorter or longer at random. The entries' watches
/// all answer at each change, and would be asked again at the same moment for good.
const WATCH_JITTER: f64 = 0.2;

/// After a change the next watch is asked only after this time for each entry, so that the changes
/// of that time come in one answer. Without it each change of an object would cost a call of each
/// entry, and the calls would grow with the square of the fleet. With it all entries together make
/// 333 calls a second at most, however many they are; at 410 entries a change waits 1.8 s at most.
const WATCH_SPREAD_PER_ENTRY: Duration = Duration::from_millis(3);

/// First and longest pause after a failed call. All entries lose the platform at the same moment;
/// pauses that grow and differ keep them from coming back together.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Entries that learn of a new manifest at the same moment spread their reads of its chunks over
/// this time for each of them: at 410 entries that is 0.4 s, a thousand reads a second.
const CHUNK_SPREAD_PER_ENTRY: Duration = Duration::from_millis(1);

/// Times that peers are asked at least in an outage: of several peers the one that knows the latest
/// configuration may be too slow the first time.
const MIN_PEER_QUERIES: u32 = 3;

/// A complete list of one kind.
#[derive(Debug, Clone)]
pub struct Listed {
    /// The kind.
    pub kind: Kind,
    /// All its objects.
    pub page: Page,
}

/// Brings objects to control until the actor ends.
pub struct Feed<S> {
    store: S,
    actor: ActorRef<Msg>,
    /// The chunks of the configuration in force, kept so that a change reads only what changed.
    chunks: Arc<Vec<Chunk>>,
    /// The manifest that the chunks belong to.
    manifest: u64,
    /// A manifest whose chunks could not be read yet.
    pending: Option<Object>,
    /// The version of the first manifest since the last one whose chunks could be read.
    unread_since: Option<u64>,
    /// Tells how many entries read at the same time.
    view: watch::Receiver<Arc<View>>,
}

impl<S> Feed<S>
where
    S: ObjectStore,
{
    /// Makes a feed.
    pub fn new(store: S, actor: ActorRef<Msg>, view: watch::Receiver<Arc<View>>) -> Self {
        Self {
            store,
            actor,
            chunks: Arc::default(),
            manifest: 0,
            pending: None,
            unread_since: None,
            view,
        }
    }

    /// Runs for the life of the process.
    pub async fn run(mut self, pool: Pool, peers: Vec<SocketAddr>) {
        let mut backoff = Backoff::new();
        let mut peer_queries = 0;
        loop {
            match self.list().await {
                Ok(revision) => {
                    backoff = Backoff::new();
                    let _ = self.actor.send_message(Msg::CompleteTo(revision));
                    let _ = self.actor.send_message(Msg::Confirmed);
                    self.watch(revision).await;
                }
                Err(e) => {
                    warn!(Part::Platform, "The platform cannot be listed: {e}.");
                    // Asked until one has told a configuration. What peers learn later arrives
                    // here by the watch as well, and a snapshot is large.
                    if self.manifest == 0 || peer_queries < MIN_PEER_QUERIES {
                        peer_queries += 1;
                        self.query_peers(&pool, peers.clone()).await;
                    }
                    backoff.wait().await;
                }
            }
        }
    }

    /// Lists all kinds. The VMs come last: a holder of a grant that is missing in the later list
    /// is gone, while the other way round it might just be new.
    async fn list(&mut self) -> Result<u64, Error> {
        let mut revision = u64::MAX;
        for kind in KINDS {
            let page = self.store.list(kind).await?;
            revision = revision.min(page.revision);
            if kind == Kind::Manifest {
                self.record_manifests(&page);
                self.load_pending().await?;
            } else {
                let _ = self
                    .actor
                    .send_message(Msg::Listed(Box::new(Listed { kind, page })));
            }
        }
        Ok(revision)
    }

    /// Watches from a position until the platform no longer has it.
    async fn watch(&mut self, mut since: u64) {
        let mut backoff = Backoff::new();
        loop {
            let wait = match self.pending {
                Some(_) => MIN_BACKOFF,
                None => WATCH_DURATION.mul_f64(1.0 + WATCH_JITTER * rand::random_range(-1.0..1.0)),
            };
            match self.store.watch(&KINDS, since, wait).await {
                Ok(page) => {
                    backoff = Backoff::new();
                    since = page.revision.max(since);
                    self.record_manifests(&page);
                    if page.events.is_empty() && self.pending.is_none() {
                        continue;
                    }
                    let changed = !page.events.is_empty();
                    let _ = self.actor.send_message(Msg::Changes(page.events));
                    if let Err(e) = self.load_pending().await {
                        warn!(Part::Config, "A configuration cannot be read yet: {e}.");
                    }
                    let seen = self.unread_since.map_or(since, |version| version - 1);
                    let _ = self.actor.send_message(Msg::CompleteTo(seen));
                    if changed {
                        let share = 0.5 + rand::random::<f64>();
                        let spread = WATCH_SPREAD_PER_ENTRY * self.entries();
                        tokio::time::sleep(spread.mul_f64(share)).await;
                    }
                }
                Err(Error::Gone) => return,
                Err(e) => {
                    warn!(Part::Platform, "The watch failed: {e}.");
                    backoff.wait().await;
                }
            }
        }
    }

    fn record_manifests(&mut self, page: &Page) {
        for event in &page.events {
            if let Event::Put(object) = event
                && object.kind == Kind::Manifest
            {
                self.unread_since.get_or_insert(object.version);
                self.pending = Some(object.clone());
            }
        }
    }

    async fn load_pending(&mut self) -> Result<(), Error> {
        let Some(object) = self.pending.clone() else {
            return Ok(());
        };
        if object.version <= self.manifest {
            self.pending = None;
            self.unread_since = None;
            return Ok(());
        }
        let spread = CHUNK_SPREAD_PER_ENTRY * self.entries();
        tokio::time::sleep(spread.mul_f64(rand::random())).await;
        let manifest: Manifest = decode(&object)?;
        let mut all = Vec::with_capacity(manifest.chunks.len());
        for chunk_ref in &manifest.chunks {
            all.push(self.chunk(&chunk_ref.hash).await?);
        }
        self.put_in_force(object.version, manifest, all)?;
        self.pending = None;
        self.unread_since = None;
        Ok(())
    }

    fn entries(&self) -> u32 {
        self.view.borrow().entries
    }

    async fn chunk(&self, hash: &str) -> Result<Chunk, Error> {
        if let Some(cached) = self.chunks.iter().find(|c| *c.hash == *hash) {
            return Ok(cached.clone());
        }
        let object = self.store.get(Kind::Chunk, hash).await?;
        Ok(Chunk {
            hash: object.name,
            value: object.value,
        })
    }

    fn put_in_force(
        &mut self,
        version: u64,
        manifest: Manifest,
        chunks: Vec<Chunk>,
    ) -> Result<(), Error> {
        let catalogue = chunks::join(&chunks).map_err(|e| Error::Invalid(e.to_string().into()))?;
        self.chunks = Arc::new(chunks);
        self.manifest = version;
        info!(Part::Config, "Version {} is in force.", manifest.version);
        let config = Config {
            manifest: Versioned {
                version,
                value: Some(manifest),
            },
            chunks: self.chunks.clone(),
            catalogue: Arc::new(catalogue),
        };
        let _ = self.actor.send_message(Msg::Config(Box::new(config)));
        Ok(())
    }

    async fn query_peers(&mut self, pool: &Pool, peers: Vec<SocketAddr>) {
        for snapshot in peers::fetch_snapshots(pool, peers).await {
            self.apply_snapshot(snapshot);
        }
    }

    fn apply_snapshot(&mut self, snapshot: Snapshot) {
        let (config, others): (Vec<Object>, Vec<Object>) = snapshot
            .objects
            .into_iter()
            .partition(|o| matches!(o.kind, Kind::Manifest | Kind::Chunk));
        let manifest = config.iter().find(|o| o.kind == Kind::Manifest);
        if let Some(object) = manifest.filter(|o| o.version > self.manifest) {
            let chunks = config.iter().filter(|o| o.kind == Kind::Chunk);
            let chunks = chunks.map(|o| Chunk {
                hash: o.name.clone(),
                value: o.value.clone(),
            });
            let applied =
                decode(object).and_then(|m| self.put_in_force(object.version, m, chunks.collect()));
            if let Err(e) = applied {
                warn!(Part::Members, "A peer's configuration is unusable: {e}.");
            }
        }
        let events = others.into_iter().map(Event::Put).collect();
        let _ = self.actor.send_message(Msg::Changes(events));
    }
}

/// Reads an object's value.
///
/// # Errors
///
/// [`Error::Invalid`] when it does not decode.
pub fn decode<T>(object: &Object) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_value(object.value.clone()).map_err(|e| Error::Invalid(e.to_string().into()))
}

struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { next: MIN_BACKOFF }
    }

    async fn wait(&mut self) {
        let jitter: f64 = rand::random();
        tokio::time::sleep(self.next.mul_f64(0.5 + jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}
