//! Start and stop of an entry.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::Context as _;
use stair_config::fleet_settings::GatewaySettings;
use stair_telemetry::event::Line;
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    sync::watch,
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    context::Context,
    follow,
    links,
    peers,
    prefetch,
    replicate,
    serve,
    version_record, //
};

/// The process ends on its own this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time for which a stopping entry accepts connections: the balancer removes it after two failed probes.
const LISTEN_AFTER_STOP: Duration = Duration::from_millis(3500);

/// Connections that may wait to be accepted. When the kernel's queue is full, a client's packet is dropped,
/// and sent again only after a second.
const BACKLOG: u32 = 1024;

/// Interval of the checks whether all responses have been sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An entry whose addresses are bound.
pub struct Entry {
    settings: GatewaySettings,
    clients: TcpListener,
    ready: TcpListener,
    inner: TcpListener,
    metrics: TcpListener,
}

impl Entry {
    /// Binds the addresses; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn bind(mut settings: GatewaySettings) -> anyhow::Result<Self> {
        let clients = bind(&mut settings.listen)?;
        let ready = bind(&mut settings.ready)?;
        let inner = bind(&mut settings.inner)?;
        let metrics = bind(&mut settings.metrics)?;
        Ok(Self {
            settings,
            clients,
            ready,
            inner,
            metrics,
        })
    }

    /// The settings, with the addresses that were bound.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Runs until `stop` turns true and the requests received before are finished.
    pub async fn run(
        self,
        reloads: watch::Receiver<GatewaySettings>,
        mut stop: watch::Receiver<bool>,
    ) {
        Line::new("entry.started")
            .text("name", &self.settings.name)
            .show("listen", self.settings.listen)
            .write();
        let stop_within = Duration::from_millis(self.settings.stop_within_ms.into());
        let cx = Arc::new(Context::new(self.settings));
        let mut tasks = JoinSet::new();
        let (_end, never) = watch::channel(false);
        tasks.spawn(replicate::log_eras(cx.clone()));
        tasks.spawn(replicate::follow_catalogue(cx.clone()));
        tasks.spawn(replicate::follow_targets(cx.clone()));
        tasks.spawn(follow_settings(cx.clone(), reloads));
        tasks.spawn(links::keep(cx.clone()));
        tasks.spawn(links::detect_unresponsive(cx.clone()));
        tasks.spawn(peers::serve(cx.clone(), self.inner));
        tasks.spawn(peers::fetch_newer(cx.clone()));
        tasks.spawn(follow::keep(cx.clone()));
        tasks.spawn(prefetch::keep(cx.clone()));
        tasks.spawn(version_record::keep(cx.clone()));
        tasks.spawn(serve::readiness(cx.clone(), self.ready, never.clone()));
        tasks.spawn(serve::metrics(cx.clone(), self.metrics, never));
        tasks.spawn(serve::clients(cx.clone(), self.clients));
        // The sender lives until the process ends.
        let _ = stop.wait_for(|s| *s).await;
        let last = Instant::now() + stop_within.saturating_sub(KILL_MARGIN);
        cx.drain(last);
        Line::new("entry.stopping").write();
        finish(&cx, last).await;
        Line::new("entry.stopped").write();
    }
}

/// Binds the addresses and runs until `stop` turns true.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn run(
    mut reloads: watch::Receiver<GatewaySettings>,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let settings = reloads.borrow_and_update().clone();
    Entry::bind(settings).await?.run(reloads, stop).await;
    Ok(())
}

/// Applies changed settings while the process runs. Changes of the entry's name and of the addresses that it
/// listens on take effect at the next start.
async fn follow_settings(cx: Arc<Context>, mut reloads: watch::Receiver<GatewaySettings>) {
    while reloads.changed().await.is_ok() {
        let new = reloads.borrow_and_update().clone();
        let old = &cx.settings;
        let fixed = |s: &GatewaySettings| (s.name.clone(), s.listen, s.ready, s.inner, s.metrics);
        Line::new("settings")
            .flag("needs_restart", fixed(&new) != fixed(old))
            .show("store", new.store)
            .show("retries", format_args!("{:?}", new.retries))
            .write();
        cx.reload(&new);
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

fn bind(addr: &mut SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = listen(*addr).with_context(|| format!("cannot listen on {addr}"))?;
    *addr = listener.local_addr()?;
    Ok(listener)
}

/// Waits until all responses have been sent, at most until `last`.
async fn finish(cx: &Context, last: Instant) {
    let begun = Instant::now();
    while Instant::now() < last {
        let idle = cx.connections.in_use() == 0;
        if idle && begun.elapsed() >= LISTEN_AFTER_STOP {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
