//! Accepts links of entries and their streams, each of which carries one request.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_link::{
    Link,
    Listener,
    RecvStream,
    SendStream, //
};
use stair_telemetry::Part;
use stair_wire::{
    frame,
    request::ToAgent, //
};
use tokio::{
    sync::watch,
    time::timeout, //
};

use crate::{
    offers::{
        self,
        Shared, //
    },
    resume,
};

/// Time for the first frame of a stream to arrive.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves all links until the listener is closed.
pub(crate) async fn serve(listener: Listener, shared: Shared) {
    while let Some(link) = listener.accept().await {
        tokio::spawn(streams(link, shared.clone()));
    }
}

/// Maximum number of open streams on a link: one for each waiting or running request.
const MAX_STREAMS: usize = 16_384;

async fn streams(link: Link, shared: Shared) {
    let open = Arc::new(());
    while let Ok((tx, rx)) = link.accept().await {
        let (shared, mark) = (shared.clone(), open.clone());
        // The limit is twice the number of open streams, so that a burst waits at most a round trip
        // for a higher one.
        let streams = (Arc::strong_count(&open) * 2).next_power_of_two();
        link.allow_streams(streams.min(MAX_STREAMS) as u32);
        let counted = OpenStream::of(&shared);
        tokio::spawn(async move {
            let _open = mark;
            if let Err(e) = stream(&shared, counted, tx, rx).await {
                stair_telemetry::debug!(Part::Links, "a stream ended: {e}");
            }
        });
    }
}

/// Counts a stream as open until dropped.
struct OpenStream(watch::Sender<usize>);

impl OpenStream {
    fn of(shared: &Shared) -> Self {
        shared.streams.send_modify(|n| *n += 1);
        Self(shared.streams.clone())
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}

/// Serves a stream. `counted` is held for streams that a graceful stop has to wait for.
async fn stream(
    shared: &Shared,
    counted: OpenStream,
    tx: SendStream,
    mut rx: RecvStream,
) -> Result<(), frame::Error> {
    let first = frame::read_message(&mut rx);
    match timeout(FIRST_FRAME_TIMEOUT, first).await {
        Ok(Ok(ToAgent::Offer(offer))) => offers::serve(shared, tx, rx, offer).await,
        Ok(Ok(ToAgent::Resume {
            id,
            offset,
            incarnation,
        })) => resume::serve(shared, tx, rx, id, offset, incarnation).await,
        Ok(Ok(ToAgent::Withdraw { id, incarnation })) => {
            resume::withdraw(shared, tx, id, incarnation).await
        }
        Ok(Ok(ToAgent::Ledger)) => {
            // The entry never ends this stream by itself.
            drop(counted);
            shared.ledger_keeper.serve(tx, rx).await
        }
        Ok(Ok(_)) | Err(_) => Ok(()),
        Ok(Err(e)) => Err(e),
    }
}
