//! Runs control on one thread of its own, so that traffic never waits for it and its state needs
//! no locks.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle, //
};

use anyhow::Context;
use ractor::{
    Actor,
    ActorRef, //
};
use serde_json::Value;
use stair_link::{
    Dialer,
    Keys,
    Listener,
    Pool,
    link::Probing, //
};
use stair_platform::ObjectStore;
use stair_types::EntryName;
use tokio::sync::{
    oneshot,
    watch, //
};

use crate::{
    control::{
        actor::{
            Arguments,
            ControlActor, //
        },
        feed::Feed,
        links,
        load_slots::LoadSlotScheduler,
        msg::Msg,
    },
    view::View,
};

/// What control is started with.
pub struct Options<S> {
    /// This entry.
    pub name: EntryName,
    /// Where agents and other entries connect; port 0 lets the system choose.
    pub link: SocketAddr,
    /// Keys for links.
    pub keys: Keys,
    /// Links of other entries.
    pub peers: Vec<SocketAddr>,
    /// Time to open a link to a peer.
    pub connect_timeout: std::time::Duration,
    /// The platform.
    pub store: S,
}

/// The running control half of an entry.
pub struct Control {
    actor: ActorRef<Msg>,
    view: watch::Receiver<Arc<View>>,
    link: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

struct Started {
    actor: ActorRef<Msg>,
    link: SocketAddr,
}

impl Control {
    /// Starts the thread and returns once the link address is bound.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken or the keys cannot be used.
    pub async fn start<S>(opts: Options<S>) -> anyhow::Result<Self>
    where
        S: ObjectStore,
    {
        let (view_tx, view) = watch::channel(Arc::new(View::default()));
        let (started_tx, started) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("control".into())
            .spawn(move || run(opts, view_tx, started_tx, stopped))
            .context("the control thread cannot be started")?;
        let started = started.await.context("the control thread ended")??;
        Ok(Self {
            actor: started.actor,
            view,
            link: started.link,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns what control publishes.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Returns the bound link address.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Returns a handle to ask for dump and status with.
    pub fn client(&self) -> ControlClient {
        ControlClient {
            actor: self.actor.clone(),
        }
    }

    /// Ends control and its links, and waits for the thread.
    pub async fn stop(mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

/// Asks control for its state.
#[derive(Clone)]
pub struct ControlClient {
    actor: ActorRef<Msg>,
}

impl ControlClient {
    /// Returns the whole state; null when control has ended.
    pub async fn dump(&self) -> Value {
        self.query(Msg::Dump).await
    }

    /// Returns the short status; null when control has ended.
    pub async fn status(&self) -> Value {
        self.query(Msg::Status).await
    }

    async fn query<F>(&self, msg: F) -> Value
    where
        F: FnOnce(oneshot::Sender<Value>) -> Msg,
    {
        let (tx, rx) = oneshot::channel();
        if self.actor.send_message(msg(tx)).is_err() {
            return Value::Null;
        }
        rx.await.unwrap_or(Value::Null)
    }
}

fn run<S>(
    opts: Options<S>,
    view: watch::Sender<Arc<View>>,
    started: oneshot::Sender<anyhow::Result<Started>>,
    stopped: oneshot::Receiver<()>,
) where
    S: ObjectStore,
{
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = started.send(Err(e.into()));
            return;
        }
    };
    runtime.block_on(async move {
        let listener = match Listener::bind(opts.link, &opts.keys) {
            Ok(listener) => listener,
            Err(e) => {
                let _ = started.send(Err(e.into()));
                return;
            }
        };
        match start_tasks(opts, view, &listener).await {
            Ok(parts) => {
                let _ = started.send(Ok(parts));
                let _ = stopped.await;
                listener.close().await;
            }
            Err(e) => {
                let _ = started.send(Err(e));
            }
        }
    });
}

async fn start_tasks<S>(
    opts: Options<S>,
    view: watch::Sender<Arc<View>>,
    listener: &Listener,
) -> anyhow::Result<Started>
where
    S: ObjectStore,
{
    let link = listener.addr()?;
    let dialer = Dialer::new(&opts.keys, opts.connect_timeout)?;
    let pool = Pool::new(dialer, Probing::REQUESTS);
    let scheduler = LoadSlotScheduler::start(stair_policy::load_slots::Options::default());
    let published = view.subscribe();
    let args = Arguments {
        name: opts.name,
        store: opts.store.clone(),
        view,
        scheduler: scheduler.clone(),
    };
    let (actor, _) = Actor::spawn(None, ControlActor::default(), args).await?;
    tokio::spawn(links::serve(listener.clone(), actor.clone(), scheduler));
    let feed = Feed::new(opts.store, actor.clone(), published);
    tokio::spawn(feed.run(pool, opts.peers));
    Ok(Started { actor, link })
}
