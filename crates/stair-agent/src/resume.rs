//! Streams that resume a response after its link broke, or withdraw a request.

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
use stair_wire::frame;
use tokio::sync::oneshot;

use crate::{
    msg::Msg,
    offers::{
        Shared,
        forward,
        messages,
        refuse, //
    },
};

/// Sends the rest of a response, or a refusal whose verdict states whether the request may have
/// run.
pub(crate) async fn serve(
    shared: &Shared,
    mut tx: SendStream,
    rx: RecvStream,
    id: RequestId,
    offset: u64,
    incarnation: FencingToken,
) -> Result<(), frame::Error> {
    let (reply, found) = oneshot::channel();
    let _ = shared.control.send_message(Msg::Resume {
        id,
        incarnation,
        reply,
    });
    match found.await {
        Ok(Ok(response)) => forward(shared, tx, messages(rx), response, offset).await,
        Ok(Err(refusal)) => refuse(&mut tx, refusal, shared.load(false)).await,
        Err(_) => Ok(()),
    }
}

/// Ensures that a request which has not started never does, and replies whether it may have run.
/// The response of a started request stays with the entry that reads it.
pub(crate) async fn withdraw(
    shared: &Shared,
    mut tx: SendStream,
    id: RequestId,
    incarnation: FencingToken,
) -> Result<(), frame::Error> {
    let (reply, found) = oneshot::channel();
    let _ = shared.control.send_message(Msg::Resume {
        id,
        incarnation,
        reply,
    });
    let refusal = match found.await {
        Ok(Ok(_)) => Refusal::may_have_run(Reason::Duplicate, 0, "the request has started"),
        Ok(Err(refusal)) => refusal,
        Err(_) => return Ok(()),
    };
    refuse(&mut tx, refusal, shared.load(false)).await
}
