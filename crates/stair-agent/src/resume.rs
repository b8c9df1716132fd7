//! Taking up an answer again after its link broke.

use stair_link::{
    RecvStream,
    SendStream, //
};
use stair_types::{
    FencingToken,
    RequestId, //
};
use stair_wire::frame;
use tokio::sync::oneshot;

use crate::{
    control::Msg,
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
        Ok(Ok(answer)) => forward(shared, tx, messages(rx), answer, offset).await,
        Ok(Err(refusal)) => refuse(&mut tx, refusal, shared.load(false)).await,
        Err(_) => Ok(()),
    }
}
