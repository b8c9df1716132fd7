//! One request's stream to an agent.

use std::time::Duration;

use stair_link::{
    Link,
    RecvStream,
    SendStream,
    link::InUse, //
};
use stair_types::{
    FencingToken,
    RequestId, //
};
use stair_wire::{
    frame::{
        self,
        Error,
        Frame, //
    },
    request::{
        FromAgent,
        ToAgent, //
    },
};

use tokio::time::Instant;

use super::choose::Chosen;

/// Time for a withdrawal to reach the agent. A link that takes longer is silent, and the agent
/// gives the request up at its deadline.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// One request's stream to an agent. Dropped before it is over, it withdraws the request there.
pub(super) struct Exchange {
    /// The id of the offer.
    pub(super) id: RequestId,
    pub(super) target: Chosen,
    /// The incarnation that took the offer.
    pub(super) incarnation: FencingToken,
    /// When it was started, if its wait before that is known to be over.
    pub(super) started_at: Option<Instant>,
    streams: Option<Streams>,
}

struct Streams {
    tx: SendStream,
    rx: RecvStream,
    /// While it lives the link is probed, so that a silent one is noticed.
    _in_use: InUse,
}

impl Exchange {
    /// Opens a stream on a link.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub(super) async fn open(
        id: RequestId,
        target: &Chosen,
        link: &Link,
    ) -> Result<Self, stair_link::Error> {
        Ok(Self {
            id,
            target: target.clone(),
            incarnation: target.token,
            started_at: None,
            streams: Some(Streams::open(link).await?),
        })
    }

    /// Goes on with a new stream.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub(super) async fn reopen(&mut self, link: &Link) -> Result<(), stair_link::Error> {
        self.streams = Some(Streams::open(link).await?);
        Ok(())
    }

    pub(super) async fn send(&mut self, msg: &ToAgent) -> Result<(), Error> {
        frame::write_message(&mut self.streams()?.tx, msg).await
    }

    pub(super) async fn send_body(&mut self, body: &[u8]) -> Result<(), Error> {
        frame::write_body(&mut self.streams()?.tx, body).await
    }

    pub(super) async fn read(&mut self) -> Result<Frame<FromAgent>, Error> {
        frame::read(&mut self.streams()?.rx).await
    }

    /// Notes that the agent has nothing more to say and nothing to withdraw.
    pub(super) fn finish(&mut self) {
        self.streams = None;
    }

    fn streams(&mut self) -> Result<&mut Streams, Error> {
        self.streams.as_mut().ok_or_else(|| {
            let kind = std::io::ErrorKind::NotConnected;
            Error::Io(kind.into())
        })
    }
}

impl Streams {
    async fn open(link: &Link) -> Result<Self, stair_link::Error> {
        let in_use = link.use_it();
        let (tx, rx) = link.open().await?;
        Ok(Self {
            tx,
            rx,
            _in_use: in_use,
        })
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(streams) = self.streams.take() else {
            return;
        };
        // No runtime is left when the process ends; the closing link tells the agent then.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(cancel(streams));
        }
    }
}

async fn cancel(mut streams: Streams) {
    let sent = async {
        frame::write_message(&mut streams.tx, &ToAgent::Cancel).await?;
        let _ = streams.tx.finish();
        // Ends when the agent has everything; dropping the other half earlier would reach it as a
        // broken stream first.
        let _ = streams.tx.stopped().await;
        Ok::<(), Error>(())
    };
    let _ = tokio::time::timeout(CANCEL_TIMEOUT, sent).await;
}
