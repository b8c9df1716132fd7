//! Taking up an answer again after its link broke.

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

/// Serves the rest of an answer, or says what is known of the request.
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

/// Makes sure that a request which has not started never does, and says whether it had. The answer
/// of one that runs stays with the entry that reads it.
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
