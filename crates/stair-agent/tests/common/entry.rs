//! A stand-in of an entry: its control streams, and the requests that it offers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use stair_agent::Agent;
use stair_link::{
    Dialer,
    Link,
    Listener,
    RecvStream,
    SendStream,
    keys::Authority,
    link::Probing, //
};
use stair_types::{
    FencingToken,
    Refusal,
    RequestId,
    StoreRevision,
    TierRank, //
};
use stair_wire::{
    control::{
        AgentControl,
        Assignment,
        EntryControl,
        Hello,
        LoadSlotReply,
        Opening, //
    },
    frame::{
        self,
        Frame, //
    },
    request::{
        FromAgent,
        Offer,
        ToAgent,
        Work, //
    }, //
};
use tokio::sync::watch;

use super::WAIT_TIMEOUT;

#[derive(Clone)]
pub(crate) struct FakeEntry {
    pub(crate) addr: SocketAddr,
    pub(crate) received: Arc<Mutex<Received>>,
    assignment: watch::Sender<Option<Assignment>>,
    dialer: Dialer,
    listener: Listener,
}

/// What the entry has received from agents.
#[derive(Default)]
pub(crate) struct Received {
    pub(crate) hellos: Vec<Hello>,
    pub(crate) messages: Vec<AgentControl>,
    pub(crate) load_slots: u32,
}

impl FakeEntry {
    pub(crate) fn start(authority: &Authority) -> Self {
        let keys = authority.issue().expect("keys can be made");
        let listener = Listener::bind(super::any_port(), &keys).expect("binds");
        let entry = Self {
            addr: listener.addr().expect("is bound"),
            listener: listener.clone(),
            received: Arc::default(),
            assignment: watch::Sender::new(None),
            dialer: Dialer::new(&keys, Duration::from_secs(10)).expect("the keys are good"),
        };
        let serving = entry.clone();
        tokio::spawn(async move {
            while let Some(link) = listener.accept().await {
                tokio::spawn(serving.clone().streams(link));
            }
        });
        entry
    }

    /// Sends an assignment on all control streams.
    pub(crate) fn assign(&self, assignment: Assignment) {
        self.assignment.send_replace(Some(assignment));
    }

    /// Closes the entry's links and accepts no new ones.
    pub(crate) async fn end(&self) {
        self.listener.close().await;
    }

    /// Returns whether any message of an agent meets a condition.
    pub(crate) fn has_received<F>(&self, condition: F) -> bool
    where
        F: Fn(&AgentControl) -> bool,
    {
        self.received
            .lock()
            .expect("lock")
            .messages
            .iter()
            .any(condition)
    }

    async fn streams(self, link: Link) {
        while let Ok((tx, rx)) = link.accept().await {
            tokio::spawn(self.clone().stream(tx, rx));
        }
    }

    async fn stream(self, mut tx: SendStream, mut rx: RecvStream) {
        match frame::read_message(&mut rx).await {
            Ok(Opening::Agent(hello)) => {
                self.received.lock().expect("lock").hellos.push(hello);
                tokio::spawn(self.clone().receive(rx));
                self.send_assignments(tx).await;
            }
            Ok(Opening::LoadSlot(_)) => {
                self.received.lock().expect("lock").load_slots += 1;
                let _ = frame::write_message(&mut tx, &LoadSlotReply::Queued).await;
                let _ = frame::write_message(&mut tx, &LoadSlotReply::Granted).await;
                let _ = frame::read_message::<_, ()>(&mut rx).await;
            }
            _ => {}
        }
    }

    async fn receive(self, mut rx: RecvStream) {
        while let Ok(msg) = frame::read_message(&mut rx).await {
            self.received.lock().expect("lock").messages.push(msg);
        }
    }

    async fn send_assignments(self, mut tx: SendStream) {
        let mut assignment = self.assignment.subscribe();
        assignment.mark_changed();
        while assignment.changed().await.is_ok() {
            let Some(now) = assignment.borrow_and_update().clone() else {
                continue;
            };
            let msg = EntryControl::Assignment(now);
            if frame::write_message(&mut tx, &msg).await.is_err() {
                return;
            }
        }
    }

    /// Opens a link to an agent.
    pub(crate) async fn link(&self, agent: &Agent) -> Link {
        let connecting = self.dialer.connect(agent.link_addr(), Probing::REQUESTS);
        connecting.await.expect("connects")
    }
}

/// The stream of one request.
pub(crate) struct Stream {
    pub(crate) tx: SendStream,
    pub(crate) rx: RecvStream,
}

/// How a request ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    Response { status: u16, body: Vec<u8> },
    Refused(Refusal),
}

impl Stream {
    /// Offers a completion; reads no reply.
    pub(crate) async fn offer(link: &Link, id: u128, model: &str, stream: bool) -> Self {
        Self::offer_within(link, id, model, stream, 15_000).await
    }

    /// As [`Stream::offer`], with the time that the request has left.
    pub(crate) async fn offer_within(
        link: &Link,
        id: u128,
        model: &str,
        stream: bool,
        time_left_ms: u32,
    ) -> Self {
        let body = serde_json::json!({"model": model, "stream": stream}).to_string();
        let offer = Offer {
            id: RequestId(id),
            work: Work::Model {
                model: super::model(model),
                adapter: None,
            },
            method: "POST".into(),
            path: "/v1/completions".into(),
            headers: Vec::new(),
            shard_version: StoreRevision::new(0, 0),
            content_type: "application/json".into(),
            rank: TierRank(0),
            time_left_ms,
            repeatable: false,
            start_when_ready: false,
            max_tokens: 0,
            body_bytes: body.len() as u32,
            limit: None,
        };
        Self::send(link, offer, body.as_bytes()).await
    }

    pub(crate) async fn send(link: &Link, offer: Offer, body: &[u8]) -> Self {
        let (mut tx, rx) = link.open().await.expect("opens");
        let offer = ToAgent::Offer(offer);
        frame::write_message(&mut tx, &offer).await.expect("writes");
        frame::write_body(&mut tx, body).await.expect("writes");
        Self { tx, rx }
    }

    pub(crate) async fn resume(
        link: &Link,
        id: u128,
        offset: u64,
        incarnation: FencingToken,
    ) -> Self {
        let (mut tx, rx) = link.open().await.expect("opens");
        let resume = ToAgent::Resume {
            id: RequestId(id),
            offset,
            incarnation,
        };
        frame::write_message(&mut tx, &resume)
            .await
            .expect("writes");
        Self { tx, rx }
    }

    pub(crate) async fn write(&mut self, msg: ToAgent) {
        frame::write_message(&mut self.tx, &msg)
            .await
            .expect("writes");
    }

    pub(crate) async fn next(&mut self) -> Frame<FromAgent> {
        tokio::time::timeout(WAIT_TIMEOUT, frame::read(&mut self.rx))
            .await
            .expect("a frame arrives in time")
            .expect("the stream is open")
    }

    /// Reads until the request is ready.
    pub(crate) async fn ready(&mut self) {
        loop {
            match self.next().await {
                Frame::Message(FromAgent::Ready) => return,
                Frame::Message(FromAgent::Queued { .. }) => {}
                other => panic!("not ready but {other:?}"),
            }
        }
    }

    /// Waits until the request is ready, and starts it.
    pub(crate) async fn start(&mut self) {
        self.ready().await;
        self.write(ToAgent::Start).await;
    }

    /// Starts the request once it is ready, and reads to its end.
    pub(crate) async fn finish(&mut self) -> Outcome {
        let (mut status_now, mut body) = (0, Vec::new());
        loop {
            match self.next().await {
                Frame::Message(FromAgent::Ready) => self.write(ToAgent::Start).await,
                Frame::Message(FromAgent::Queued { .. }) => {}
                Frame::Message(FromAgent::Head { status, .. }) => status_now = status,
                Frame::Body(bytes) => body.extend_from_slice(&bytes),
                Frame::Message(FromAgent::Refused { refusal, .. }) => {
                    return Outcome::Refused(refusal);
                }
                Frame::Message(FromAgent::Crashed { .. }) => {
                    panic!("a crash is reported after the refusal");
                }
                Frame::Message(FromAgent::End { .. }) => {
                    let status = status_now;
                    return Outcome::Response { status, body };
                }
            }
        }
    }
}

impl Outcome {
    pub(crate) fn refusal(self) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            other => panic!("not refused but {other:?}"),
        }
    }

    pub(crate) fn body(self) -> String {
        match self {
            Self::Response { status: 200, body } => String::from_utf8(body).expect("text"),
            other => panic!("no response but {other:?}"),
        }
    }
}
