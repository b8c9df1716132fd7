//! An agent whose behaviour is scripted by a test.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex, //
    },
};

use bytes::Bytes;
use stair_link::{
    Keys,
    Link,
    Listener,
    RecvStream,
    SendStream, //
};
use stair_types::{
    FencingToken,
    Reason,
    Refusal,
    TargetName, //
};
use stair_wire::{
    frame,
    request::{
        FromAgent,
        Load,
        Offer,
        ToAgent, //
    },
};
use tokio::sync::mpsc;

use super::in_time;

/// An event at a scripted agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    Offered,
    Started,
    Cancelled,
    Resumed(u64),
}

pub struct FakeAgent {
    pub name: TargetName,
    pub addr: SocketAddr,
    pub token: FencingToken,
    events: mpsc::UnboundedReceiver<Event>,
    links: Arc<Mutex<Vec<Link>>>,
}

/// One stream from the entry.
pub struct Session {
    pub link: Link,
    pub first: ToAgent,
    pub body: Bytes,
    tx: SendStream,
    rx: RecvStream,
    events: mpsc::UnboundedSender<Event>,
}

impl FakeAgent {
    /// Starts an agent that runs `script` for each stream.
    pub fn start<F, R>(name: &str, keys: &Keys, script: F) -> Self
    where
        F: Fn(Session) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let listener = Listener::bind((Ipv4Addr::LOCALHOST, 0).into(), keys).expect("binds");
        let addr = listener.addr().expect("is bound");
        let (tx, events) = mpsc::unbounded_channel();
        let links = Arc::<Mutex<Vec<Link>>>::default();
        tokio::spawn(accept(listener, links.clone(), tx, script));
        Self {
            name: TargetName::try_from(name).expect("a good name"),
            addr,
            token: FencingToken(1),
            events,
            links,
        }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> Event {
        in_time(self.events.recv()).await.expect("the agent runs")
    }

    /// Returns the pending events.
    pub fn rest(&mut self) -> Vec<Event> {
        std::iter::from_fn(|| self.events.try_recv().ok()).collect()
    }

    /// Closes all links, as if they had gone silent and been closed.
    pub fn close_links(&self) {
        for link in self.links.lock().expect("no panic").drain(..) {
            link.close();
        }
    }
}

async fn accept<F, R>(
    listener: Listener,
    links: Arc<Mutex<Vec<Link>>>,
    events: mpsc::UnboundedSender<Event>,
    script: F,
) where
    F: Fn(Session) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    while let Some(link) = listener.accept().await {
        links.lock().expect("no panic").push(link.clone());
        tokio::spawn(streams(link, events.clone(), script.clone()));
    }
}

async fn streams<F, R>(link: Link, events: mpsc::UnboundedSender<Event>, script: F)
where
    F: Fn(Session) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    while let Ok((tx, mut rx)) = link.accept().await {
        let (link, events, script) = (link.clone(), events.clone(), script.clone());
        tokio::spawn(async move {
            let Ok(first) = frame::read_message::<_, ToAgent>(&mut rx).await else {
                return;
            };
            if first == ToAgent::Ledger {
                return;
            }
            if let ToAgent::Withdraw { .. } = first {
                // The scripts run each request that is offered, so a withdrawal comes too late.
                let refusal = Refusal::may_have_run(Reason::Duplicate, 0, "it has started");
                let load = Load::default();
                let refused = FromAgent::Refused { refusal, load };
                let _ = frame::write_message(&mut { tx }, &refused).await;
                return;
            }
            let (event, body) = match &first {
                ToAgent::Offer(_) => {
                    let body = frame::read_body(&mut rx).await.expect("a body follows");
                    (Event::Offered, body)
                }
                ToAgent::Resume { offset, .. } => (Event::Resumed(*offset), Bytes::new()),
                other => panic!("a stream opens with {other:?}"),
            };
            let _ = events.send(event);
            let session = Session {
                link,
                first,
                body,
                tx,
                rx,
                events,
            };
            script(session).await;
        });
    }
}

impl Session {
    pub fn offer(&self) -> &Offer {
        match &self.first {
            ToAgent::Offer(offer) => offer,
            other => panic!("not an offer: {other:?}"),
        }
    }

    pub fn is_resume(&self) -> bool {
        matches!(self.first, ToAgent::Resume { .. })
    }

    pub async fn send(&mut self, msg: FromAgent) {
        let _ = frame::write_message(&mut self.tx, &msg).await;
    }

    pub async fn queued(&mut self) {
        let load = Load::default();
        let incarnation = FencingToken(1);
        self.send(FromAgent::Queued { incarnation, load }).await;
    }

    /// Sends `Ready` and waits for the next message of the entry. Returns whether it is `Start`.
    pub async fn ready(&mut self) -> bool {
        self.send(FromAgent::Ready).await;
        self.next_message().await == Some(ToAgent::Start)
    }

    /// Waits for the next message of the entry.
    pub async fn next_message(&mut self) -> Option<ToAgent> {
        let msg = frame::read_message::<_, ToAgent>(&mut self.rx).await.ok()?;
        let event = match msg {
            ToAgent::Start => Event::Started,
            ToAgent::Cancel => Event::Cancelled,
            _ => return Some(msg),
        };
        let _ = self.events.send(event);
        Some(msg)
    }

    pub async fn head(&mut self, content_type: &str, offset: u64) {
        self.send(FromAgent::Head {
            headers: Vec::new(),
            status: 200,
            content_type: content_type.into(),
            offset,
        })
        .await;
    }

    pub async fn body(&mut self, text: &str) {
        let _ = frame::write_body(&mut self.tx, text.as_bytes()).await;
    }

    pub async fn end(&mut self, total_bytes: u64) {
        self.send(FromAgent::End {
            total_bytes,
            run_ms: 1,
            load: Load::default(),
        })
        .await;
        let _ = self.tx.finish();
        let _ = self.tx.stopped().await;
    }

    pub async fn refuse(&mut self, refusal: Refusal) {
        let load = Load::default();
        self.send(FromAgent::Refused { refusal, load }).await;
        let _ = self.tx.finish();
        let _ = self.tx.stopped().await;
    }

    /// Queues the request, waits for `Start` if the request needs one, and responds with `text`.
    pub async fn serve(mut self, text: &str) {
        self.queued().await;
        if !self.offer().start_when_ready && !self.ready().await {
            return;
        }
        self.head("application/json", 0).await;
        self.body(text).await;
        self.end(text.len() as u64).await;
    }

    /// Queues the request and waits until the entry withdraws it.
    pub async fn hold(mut self) {
        self.queued().await;
        self.next_message().await;
    }
}
