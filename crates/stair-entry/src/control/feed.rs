//! Feeds the platform's objects to control: lists and watches them, or queries peers while the
//! platform is down.
//!
//! One watch covers all kinds, so an idle entry makes one call to the platform per
//! [`WATCH_DURATION`]. After an outage the watch continues from its last position, and nothing is
//! listed again, unless the platform has come back from a copy.

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
    Snapshot,
    load::MANIFEST, //
};
use stair_telemetry::{
    Part,
    info,
    warn, //
};

use stair_types::{
    ConfigVersion,
    StoreRevision, //
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

/// Mean time that a watch waits at the platform before it returns without changes.
///
/// A watch whose connection has gone silent looks like one without changes, and so does one that the
/// platform carries on after it has come back from a copy. Both are detected only when the reply is due,
/// and a change has to be in force within two seconds of the platform's reply. At 410 entries this makes
/// 274 calls a second of the 2,000 reads that the platform allows, and each entry sends and receives
/// about 0.4 KB a second.
const WATCH_DURATION: Duration = Duration::from_millis(1500);

/// Fraction of the watch's duration by which each watch is randomly shorter or longer. The watches of
/// all entries return at each change and would stay synchronised without jitter.
const WATCH_JITTER: f64 = 0.2;

/// Pause between a change and the next watch, per entry of the deployment, so that the changes of
/// that time come in one reply. Without it each change of an object would cost one call of each
/// entry, and the calls would grow with the square of the fleet. With it all entries together make
/// at most 333 calls a second at any fleet size; at 410 entries a change is delayed by at most 1.8 s.
const WATCH_SPREAD_PER_ENTRY: Duration = Duration::from_millis(3);

/// First and longest pause after a failed call. All entries lose the platform at the same moment;
/// growing pauses with jitter avoid that they all return at once.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Time per entry over which all entries spread their reads of a new manifest's chunks, since they
/// receive the manifest at the same moment. At 410 entries that is 0.4 s, a thousand reads a second.
const CHUNK_SPREAD_PER_ENTRY: Duration = Duration::from_millis(1);

/// Least number of times that peers are queried in an outage: the peer with the newest configuration
/// may be too slow the first time.
const MIN_PEER_QUERIES: u32 = 3;

/// A complete list of one kind.
#[derive(Debug, Clone)]
pub struct Listed {
    /// The kind.
    pub kind: Kind,
    /// All its objects.
    pub page: Page,
}

/// Feeds objects to control until the actor ends.
pub struct Feed<S> {
    store: S,
    actor: ActorRef<Msg>,
    /// The chunks of the configuration in force; after a change only new chunks are read.
    chunks: Arc<Vec<Chunk>>,
    /// The version of the configuration in force.
    config: ConfigVersion,
    /// A manifest whose chunks could not be read yet.
    pending: Option<Object>,
    /// The platform's revision of the oldest manifest that is newer than the last one whose chunks
    /// were all read.
    unread_since: Option<StoreRevision>,
    /// The published view, for the number of entries that read at the same time.
    view: watch::Receiver<Arc<View>>,
}

impl<S> Feed<S>
where
    S: ObjectStore,
{
    /// Creates a feed that has read nothing yet.
    pub fn new(store: S, actor: ActorRef<Msg>, view: watch::Receiver<Arc<View>>) -> Self {
        Self {
            store,
            actor,
            chunks: Arc::default(),
            config: ConfigVersion(0),
            pending: None,
            unread_since: None,
            view,
        }
    }

    /// Lists and watches until the process ends.
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
                    // Peers are queried until one has sent a configuration. Later changes arrive
                    // by the watch here as well as there, and a snapshot is large.
                    if self.config == ConfigVersion(0) || peer_queries < MIN_PEER_QUERIES {
                        peer_queries += 1;
                        self.query_peers(&pool, peers.clone()).await;
                    }
                    backoff.wait().await;
                }
            }
        }
    }

    /// Lists all kinds and returns the lowest revision of the lists. VMs are listed last: a holder of
    /// a grant that is missing in the newer list was removed, while one that is missing in an older
    /// list might just be new.
    async fn list(&mut self) -> Result<StoreRevision, Error> {
        let mut complete: Option<StoreRevision> = None;
        for kind in KINDS {
            let page = self.store.list(kind).await?;
            let revision = *complete.get_or_insert(page.revision);
            // The lists before are of the state that was lost.
            if page.revision.era != revision.era {
                return Err(Error::Gone);
            }
            complete = Some(revision.min(page.revision));
            log_unreadable(&page);
            if kind == Kind::Manifest {
                self.record_manifests(&page);
                match self.load_pending().await {
                    // The configuration in force stays, and the watch reads this one again.
                    Err(e @ Error::Invalid(_)) if self.config != ConfigVersion(0) => {
                        warn!(Part::Config, "A configuration cannot be read: {e}.");
                    }
                    loaded => loaded?,
                }
            } else {
                let _ = self
                    .actor
                    .send_message(Msg::Listed(Box::new(Listed { kind, page })));
            }
        }
        Ok(self.complete_to(complete.unwrap_or_default()))
    }

    /// The revision up to which the state is complete once all before `revision` is known but for a manifest that
    /// was not read.
    fn complete_to(&self, revision: StoreRevision) -> StoreRevision {
        self.unread_since.map_or(revision, |version| {
            let before = StoreRevision {
                counter: version.counter.saturating_sub(1),
                ..version
            };
            before.min(revision)
        })
    }

    /// Watches from revision `since` until the platform no longer has the changes since then.
    async fn watch(&mut self, mut since: StoreRevision) {
        let mut backoff = Backoff::new();
        let mut after_failure = false;
        loop {
            let wait = match self.pending {
                Some(_) => MIN_BACKOFF,
                // Its reply shows soon whether the platform has come back from a copy.
                None if after_failure => MIN_BACKOFF,
                None => WATCH_DURATION.mul_f64(1.0 + WATCH_JITTER * rand::random_range(-1.0..1.0)),
            };
            match self.store.watch(&KINDS, since, wait).await {
                Ok(page) => {
                    backoff = Backoff::new();
                    after_failure = false;
                    since = page.revision.max(since);
                    log_unreadable(&page);
                    self.record_manifests(&page);
                    if page.events.is_empty() && self.pending.is_none() {
                        continue;
                    }
                    let changed = !page.events.is_empty();
                    let _ = self.actor.send_message(Msg::Changes(page.events));
                    if let Err(e) = self.load_pending().await {
                        warn!(Part::Config, "A configuration cannot be read yet: {e}.");
                    }
                    let complete_to = self.complete_to(since);
                    let _ = self.actor.send_message(Msg::CompleteTo(complete_to));
                    if changed {
                        let share = 0.5 + rand::random::<f64>();
                        let spread = WATCH_SPREAD_PER_ENTRY * self.entries();
                        tokio::time::sleep(spread.mul_f64(share)).await;
                    }
                }
                Err(Error::Gone) => return,
                Err(e) => {
                    warn!(Part::Platform, "The watch failed: {e}.");
                    after_failure = true;
                    backoff.wait().await;
                }
            }
        }
    }

    /// Remembers the newest manifest of a page, to be read by `load_pending`.
    fn record_manifests(&mut self, page: &Page) {
        for event in &page.events {
            if let Event::Put(object) = event
                && object.kind == Kind::Manifest
                && *object.name == *MANIFEST
            {
                self.unread_since.get_or_insert(object.version);
                self.pending = Some(object.clone());
            }
        }
    }

    /// Reads the chunks of the pending manifest, if there is one, and puts it in force.
    async fn load_pending(&mut self) -> Result<(), Error> {
        let Some(object) = self.pending.clone() else {
            return Ok(());
        };
        let manifest: Manifest = decode(&object)?;
        if manifest.version <= self.config {
            self.pending = None;
            self.unread_since = None;
            return Ok(());
        }
        let spread = CHUNK_SPREAD_PER_ENTRY * self.entries();
        tokio::time::sleep(spread.mul_f64(rand::random())).await;
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
        version: StoreRevision,
        manifest: Manifest,
        chunks: Vec<Chunk>,
    ) -> Result<(), Error> {
        let catalogue = chunks::join(&chunks).map_err(|e| Error::Invalid(e.to_string().into()))?;
        self.chunks = Arc::new(chunks);
        self.config = manifest.version;
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
        let is_newer = |o: &&Object| decode::<Manifest>(o).is_ok_and(|m| m.version > self.config);
        if let Some(object) = manifest.filter(is_newer) {
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

fn log_unreadable(page: &Page) {
    for e in &page.unreadable {
        warn!(Part::Platform, "An object does not decode: {e}.");
    }
}

/// Decodes an object's value from JSON.
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
