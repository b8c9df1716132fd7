//! A whole entry: control on a dedicated thread, traffic on the calling runtime.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::Context;
use serde_json::{
    Value,
    json, //
};
use stair_config::EntrySettings;
use stair_link::{
    Dialer,
    Keys,
    Pool,
    link::Probing, //
};
use stair_platform::{
    Eras,
    ObjectStore, //
};
use stair_telemetry::{
    Metrics, Part, info,
    operator::{
        self,
        Routes, //
    },
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{
        Instant,
        timeout, //
    },
};

use crate::{
    control::{
        Control,
        Options,
        thread::ControlClient, //
    },
    metered::Metered,
    traffic::Traffic,
    view::View,
};

/// Timeout for opening a link. Between data centres a handshake takes about ten milliseconds. A VM
/// that was removed sends no reply, and another target is tried after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// Interval of reports to statsd.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A running entry.
pub struct Entry<S> {
    shared: Arc<Shared<S>>,
    control: Control,
    addresses: Addresses,
    ended: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
    linger: Duration,
}

/// The addresses that were bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for links of agents and other entries.
    pub link: SocketAddr,
    /// The address for the operator.
    pub operator: SocketAddr,
}

struct Shared<S> {
    traffic: Traffic<Metered<S>>,
    client: ControlClient,
    dialer: Dialer,
    pool: Pool,
    view: watch::Receiver<Arc<View>>,
    drain: watch::Sender<bool>,
    eras: Eras,
}

impl<S> Entry<S>
where
    S: ObjectStore,
{
    /// Binds all addresses and starts to serve. Callers are refused until a configuration is known.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken or the keys cannot be used.
    pub async fn start(settings: EntrySettings, keys: Keys, store: S) -> anyhow::Result<Self> {
        let metrics = Metrics::new(settings.telemetry.statsd)?;
        let store = Metered::new(store, metrics.clone());
        let listen = bind(settings.listen, "callers").await?;
        let operator = bind(settings.operator, "the operator").await?;
        let control = Control::start(Options {
            name: settings.name.clone(),
            link: settings.link,
            keys: keys.clone(),
            peers: settings.peers.clone(),
            connect_timeout: CONNECT_TIMEOUT,
            store: store.clone(),
        })
        .await?;
        let addresses = Addresses {
            listen: listen.local_addr()?,
            link: control.link(),
            operator: operator.local_addr()?,
        };
        let dialer = Dialer::new(&keys, CONNECT_TIMEOUT)?;
        let pool = Pool::new(dialer.clone(), Probing::REQUESTS);
        let (drain, _) = watch::channel(false);
        let eras = store.eras().clone();
        let shared = Arc::new(Shared {
            traffic: Traffic::with_metrics(
                control.view(),
                settings.data_centre.clone(),
                settings.limits.clone(),
                pool.clone(),
                store,
                metrics.clone(),
            ),
            client: control.client(),
            dialer,
            pool,
            view: control.view(),
            drain,
            eras,
        });
        let (ended, stop) = watch::channel(false);
        let traffic = shared.traffic.clone();
        let callers_stop = stop.clone();
        let servers = vec![
            tokio::spawn(async move { traffic.serve(listen, callers_stop).await }),
            tokio::spawn(operator::serve(operator, stop.clone(), routes(&shared))),
            tokio::spawn(report(shared.clone(), metrics, stop)),
        ];
        info!(
            Part::Entry,
            "Entry {} serves callers on {}, links on {}, the operator on {}.",
            settings.name,
            addresses.listen,
            addresses.link,
            addresses.operator
        );
        Ok(Self {
            shared,
            control,
            addresses,
            ended,
            servers,
            linger: Duration::from_millis(settings.limits.drain_linger_ms.into()),
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns a receiver of the published view.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.shared.view.clone()
    }

    /// Returns the state dump of control, traffic and links as JSON.
    pub async fn dump(&self) -> Value {
        dump(&self.shared).await
    }

    /// Waits until the operator requests a planned stop.
    pub async fn drain_requested(&self) {
        let mut requested = self.shared.drain.subscribe();
        // This cannot fail: the sender is dropped together with this entry.
        let _ = requested.wait_for(|d| *d).await;
    }

    /// Stops without interrupting requests: refuses new ones, finishes those in the entry, and keeps
    /// listening for the configured linger time so that the balancer can notice the drain.
    pub async fn stop(self) {
        info!(Part::Entry, "The planned stop begins.");
        let until = Instant::now() + self.linger;
        self.shared.traffic.begin_drain();
        self.shared.traffic.drained().await;
        tokio::time::sleep_until(until).await;
        // The servers close their connections gracefully, so callers that are refused last still
        // receive their refusals.
        self.ended.send_replace(true);
        for server in self.servers {
            let _ = server.await;
        }
        self.control.stop().await;
        info!(Part::Entry, "The planned stop is done.");
    }
}

/// Sends the metrics that are sampled periodically rather than recorded at each event.
async fn report<S>(shared: Arc<Shared<S>>, metrics: Metrics, mut stop: watch::Receiver<bool>)
where
    S: ObjectStore,
{
    let mut replaced = 0;
    let mut ended = false;
    while !ended {
        let stopping = stop.wait_for(|s| *s);
        ended = timeout(REPORT_INTERVAL, stopping).await.is_ok();
        shared.traffic.report();
        let now = shared.dialer.replaced();
        (replaced..now).for_each(|_| metrics.link_replaced());
        replaced = now;
        metrics.platform_era(shared.eras.newest().0);
        metrics.flush();
    }
}

/// Runs an entry until `stop` turns true or the operator requests a planned stop.
///
/// # Errors
///
/// As [`Entry::start`].
pub async fn run<S>(
    settings: EntrySettings,
    keys: Keys,
    store: S,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()>
where
    S: ObjectStore,
{
    let entry = Entry::start(settings, keys, store).await?;
    tokio::select! {
        _ = stop.wait_for(|s| *s) => {}
        () = entry.drain_requested() => {}
    }
    entry.stop().await;
    Ok(())
}

async fn bind(addr: SocketAddr, who: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("the address {addr} for {who} cannot be bound"))
}

fn routes<S>(
    shared: &Arc<Shared<S>>,
) -> Routes<
    impl Fn() -> BoxedFuture<Value> + Clone + Send + Sync + 'static,
    impl Fn() -> BoxedFuture<Value> + Clone + Send + Sync + 'static,
    impl Fn() -> BoxedFuture<()> + Clone + Send + Sync + 'static,
>
where
    S: ObjectStore,
{
    let (for_status, for_dump, for_drain) = (shared.clone(), shared.clone(), shared.clone());
    Routes {
        status: move || -> BoxedFuture<Value> {
            let client = for_status.client.clone();
            Box::pin(async move { client.status().await })
        },
        dump: move || -> BoxedFuture<Value> {
            let shared = for_dump.clone();
            Box::pin(async move { dump(&shared).await })
        },
        drain: move || -> BoxedFuture<()> {
            for_drain.drain.send_replace(true);
            Box::pin(std::future::ready(()))
        },
    }
}

type BoxedFuture<T> = std::pin::Pin<Box<dyn Future<Output = T> + Send>>;

async fn dump<S>(shared: &Shared<S>) -> Value
where
    S: ObjectStore,
{
    json!({
        "control": shared.client.dump().await,
        "traffic": shared.traffic.dump(),
        "links": {
            "live": shared.pool.live(),
            "local_port_replaced": shared.dialer.replaced(),
        },
    })
}
