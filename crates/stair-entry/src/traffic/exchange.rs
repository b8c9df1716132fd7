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
    Reason,
    Refusal,
    RequestId,
    Verdict, //
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

use super::{
    choose::Chosen,
    crash::TrackedRun, //
};

/// Timeout for a withdrawal to reach the agent. A link that takes longer is silent, and the agent
/// drops the request at its deadline.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// One request's stream to an agent. If dropped before [`Exchange::finish`] or
/// [`Exchange::finish_refused`], it withdraws the request at the agent.
pub(super) struct Exchange {
    /// The id of the offer.
    pub(super) id: RequestId,
    pub(super) target: Chosen,
    /// The incarnation that queued the request.
    incarnation: FencingToken,
    /// The time of the start, if the request is known to wait no longer at the agent.
    pub(super) started_at: Option<Instant>,
    streams: Option<Streams>,
    /// None once the run needs no follow-up.
    run: Option<TrackedRun>,
}

struct Streams {
    tx: SendStream,
    rx: RecvStream,
    /// Keeps the link probed, so that a silent link is detected.
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
        run: TrackedRun,
    ) -> Result<Self, stair_link::Error> {
        Ok(Self {
            id,
            target: target.clone(),
            incarnation: target.token,
            started_at: None,
            streams: Some(Streams::open(link).await?),
            run: Some(run),
        })
    }

    pub(super) fn incarnation(&self) -> FencingToken {
        self.incarnation
    }

    /// Records the incarnation that queued the request.
    pub(super) fn set_incarnation(&mut self, incarnation: FencingToken) {
        self.incarnation = incarnation;
        if let Some(run) = &mut self.run {
            run.set_token(incarnation);
        }
    }

    /// Records that the agent may start the request from now on.
    pub(super) fn start(&mut self) {
        if let Some(run) = &mut self.run {
            run.start();
        }
    }

    /// Records that the response has begun.
    pub(super) fn begin_response(&mut self) {
        if let Some(run) = &mut self.run {
            run.begin_response();
        }
    }

    /// Continues on a new stream.
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

    /// Closes the exchange after the agent's last message, when nothing is left to withdraw.
    pub(super) fn finish(&mut self) {
        self.streams = None;
        self.run = None;
    }

    /// Closes the exchange after a refusal. If the request may have run, a task waits for the agent's
    /// report whether the target crashed.
    pub(super) fn finish_refused(&mut self, refusal: &Refusal) {
        let (streams, run) = (self.streams.take(), self.run.take());
        if let (Some(streams), Some(run)) = (streams, run)
            && refusal.verdict == Verdict::MayHaveRun
        {
            let link_lost = refusal.reason == Reason::LinkLost;
            tokio::spawn(async move {
                let Streams {
                    rx,
                    tx: _tx,
                    _in_use,
                } = streams;
                run.follow_up(rx, link_lost).await;
            });
        }
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
        // At the end of the process there is no runtime, and the closing link notifies the agent.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(cancel(streams, self.run.take()));
        }
    }
}

/// Withdraws a request, and waits for the agent's report on its run.
async fn cancel(mut streams: Streams, run: Option<TrackedRun>) {
    let sent = async {
        frame::write_message(&mut streams.tx, &ToAgent::Cancel).await?;
        let _ = streams.tx.finish();
        // Waits until the agent has received everything; if the receiving half were dropped
        // earlier, the agent would get a broken stream first.
        let _ = streams.tx.stopped().await;
        Ok::<(), Error>(())
    };
    let sent = tokio::time::timeout(CANCEL_TIMEOUT, sent).await;
    if let Some(run) = run {
        let link_lost = !matches!(sent, Ok(Ok(())));
        run.follow_up(streams.rx, link_lost).await;
    }
}
