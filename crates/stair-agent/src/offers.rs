//! The stream of one offer, from the first frame to the end of the response.

use std::{
    sync::Arc,
    time::Duration, //
};

use ractor::ActorRef;
use stair_link::{
    RecvStream,
    SendStream, //
};
use stair_types::{
    FencingToken,
    Reason,
    Refusal,
    RequestId, //
};
use stair_wire::{
    frame,
    request::{
        FromAgent,
        Load,
        Offer,
        ToAgent, //
    }, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::timeout, //
};

use crate::{
    msg::{
        Msg,
        OfferEvent, //
    },
    quarantine::LedgerKeeper,
    responses::{
        Response,
        ResponsePart, //
    },
};

/// Time for the body frame to follow its offer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for `Start` to follow `Ready`. A healthy entry sends it within a round trip, and the slot
/// stays idle meanwhile.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for the last bytes of a stream to be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// State shared by all streams.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) control: ActorRef<Msg>,
    pub(crate) incarnation: FencingToken,
    pub(crate) load: watch::Receiver<Load>,
    pub(crate) ledger_keeper: Arc<LedgerKeeper>,
    /// Number of open request streams.
    pub(crate) streams: watch::Sender<usize>,
}

impl Shared {
    pub(crate) fn load(&self, model_loaded: bool) -> Load {
        Load {
            model_loaded,
            ..*self.load.borrow()
        }
    }
}

/// Withdraws the offer when its stream ends for any reason. A started run continues.
struct WithdrawOnDrop {
    control: ActorRef<Msg>,
    id: RequestId,
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        let _ = self.control.send_message(Msg::Withdraw { id: self.id });
    }
}

/// Serves one offer.
pub(crate) async fn serve(
    shared: &Shared,
    mut tx: SendStream,
    mut rx: RecvStream,
    offer: Offer,
) -> Result<(), frame::Error> {
    let body = match timeout(BODY_TIMEOUT, frame::read_body(&mut rx)).await {
        Ok(body) => body?,
        Err(_) => return Ok(()),
    };
    let id = offer.id;
    if body.len() != offer.body_bytes as usize {
        let refusal = Refusal::not_run(Reason::Invalid, 0, "the body is not as long as announced");
        return refuse(&mut tx, refusal, shared.load(false)).await;
    }
    let (events, mut from_control) = mpsc::unbounded_channel();
    let _withdraw = WithdrawOnDrop {
        control: shared.control.clone(),
        id,
    };
    let _ = shared.control.send_message(Msg::Offer {
        offer: Box::new(offer),
        body,
        events,
    });
    let mut from_entry = messages(rx);
    loop {
        let event = tokio::select! {
            event = from_control.recv() => event,
            msg = from_entry.recv() => match msg {
                // A `Start` before `Ready` violates the protocol and ends the stream.
                Some(ToAgent::Cancel) | None => return Ok(()),
                Some(_) => return Ok(()),
            },
        };
        match event {
            Some(OfferEvent::Queued(load)) => {
                let incarnation = shared.incarnation;
                let queued = FromAgent::Queued { incarnation, load };
                frame::write_message(&mut tx, &queued).await?;
            }
            Some(OfferEvent::Ready) => {
                frame::write_message(&mut tx, &FromAgent::Ready).await?;
                match wait_start(shared, id, &mut from_entry, &mut from_control).await {
                    Started::Yes(response) => {
                        return forward(shared, tx, from_entry, response, 0).await;
                    }
                    Started::Refused(refusal, load) => {
                        return refuse(&mut tx, refusal, load).await;
                    }
                    Started::No => return Ok(()),
                }
            }
            Some(OfferEvent::Started(response)) => {
                return forward(shared, tx, from_entry, response, 0).await;
            }
            Some(OfferEvent::Refused(refusal, load)) => {
                return refuse(&mut tx, refusal, load).await;
            }
            None => return Ok(()),
        }
    }
}

enum Started {
    Yes(Arc<Response>),
    Refused(Refusal, Load),
    No,
}

async fn wait_start(
    shared: &Shared,
    id: RequestId,
    from_entry: &mut mpsc::Receiver<ToAgent>,
    from_control: &mut mpsc::UnboundedReceiver<OfferEvent>,
) -> Started {
    let next = async {
        tokio::select! {
            msg = from_entry.recv() => Ok(msg),
            event = from_control.recv() => Err(event),
        }
    };
    match timeout(START_TIMEOUT, next).await {
        Ok(Ok(Some(ToAgent::Start))) => start(shared, id).await,
        Ok(Err(Some(OfferEvent::Refused(refusal, load)))) => Started::Refused(refusal, load),
        Ok(_) => Started::No,
        Err(_) => {
            let message = "no start followed";
            let refusal = Refusal::not_run(Reason::Withdrawn, 0, message);
            // The withdrawal has to be in effect before the entry reads that the request did not
            // run.
            let (reply, received) = oneshot::channel();
            let _ = shared.control.send_message(Msg::Resume {
                id,
                incarnation: shared.incarnation,
                reply,
            });
            match received.await {
                Ok(Err(_)) => Started::Refused(refusal, shared.load(true)),
                _ => Started::No,
            }
        }
    }
}

async fn start(shared: &Shared, id: RequestId) -> Started {
    let (reply, received) = oneshot::channel();
    let _ = shared.control.send_message(Msg::Start { id, reply });
    match received.await {
        Ok(Some(response)) => Started::Yes(response),
        Ok(None) => {
            let message = "the request was withdrawn before it started";
            let refusal = Refusal::not_run(Reason::Withdrawn, 0, message);
            Started::Refused(refusal, shared.load(true))
        }
        Err(_) => Started::No,
    }
}

/// Sends a response from an offset to its end.
pub(crate) async fn forward(
    shared: &Shared,
    mut tx: SendStream,
    mut from_entry: mpsc::Receiver<ToAgent>,
    response: Arc<Response>,
    offset: u64,
) -> Result<(), frame::Error> {
    let mut reader = response.read(offset);
    let mut open = true;
    loop {
        let part = tokio::select! {
            part = reader.next() => part,
            msg = from_entry.recv(), if open => {
                match msg {
                    Some(ToAgent::Cancel) => response.cancel(),
                    Some(_) => {}
                    None => open = false,
                }
                continue;
            }
            _ = tx.stopped() => return Ok(()),
        };
        match part {
            ResponsePart::Head(head) => {
                let head = FromAgent::Head {
                    status: head.status,
                    content_type: head.content_type,
                    headers: head.headers,
                    offset: reader.offset(),
                };
                frame::write_message(&mut tx, &head).await?;
            }
            ResponsePart::Body(bytes) => frame::write_body(&mut tx, &bytes).await?,
            ResponsePart::End {
                total_bytes,
                run_ms,
            } => {
                let load = shared.load(true);
                let end = FromAgent::End {
                    total_bytes,
                    run_ms,
                    load,
                };
                frame::write_message(&mut tx, &end).await?;
                return finish(&mut tx).await;
            }
            ResponsePart::Refused(refusal) => {
                let load = shared.load(true);
                frame::write_message(&mut tx, &FromAgent::Refused { refusal, load }).await?;
                if let Some(crash) = response.crash().await {
                    frame::write_message(&mut tx, &FromAgent::Crashed { crash }).await?;
                }
                return finish(&mut tx).await;
            }
            ResponsePart::Unavailable => {
                let message = "these bytes of the answer are no longer kept";
                let refusal = Refusal::may_have_run(Reason::LinkLost, 0, message);
                return refuse(&mut tx, refusal, shared.load(true)).await;
            }
        }
    }
}

pub(crate) async fn refuse(
    tx: &mut SendStream,
    refusal: Refusal,
    load: Load,
) -> Result<(), frame::Error> {
    frame::write_message(tx, &FromAgent::Refused { refusal, load }).await?;
    finish(tx).await
}

/// Ends the stream and waits until its last bytes are acknowledged. A process that stops closes its
/// links, which discards unacknowledged bytes.
async fn finish(tx: &mut SendStream) -> Result<(), frame::Error> {
    let _ = tx.finish();
    let _ = timeout(ACK_TIMEOUT, tx.stopped()).await;
    Ok(())
}

/// Reads the entry's messages in a separate task, because a partially read frame would be lost if
/// `select!` dropped the read.
pub(crate) fn messages(mut rx: RecvStream) -> mpsc::Receiver<ToAgent> {
    let (tx, out) = mpsc::channel(4);
    tokio::spawn(async move {
        while let Ok(msg) = frame::read_message(&mut rx).await {
            if tx.send(msg).await.is_err() {
                return;
            }
        }
    });
    out
}
