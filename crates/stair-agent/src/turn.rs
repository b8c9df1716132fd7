//! A turn at the weight store, asked from its home entry before a load.

use std::time::Duration;

use stair_link::{
    Link,
    Pool,
    RecvStream,
    SendStream,
    link::InUse, //
};
use stair_types::rendezvous;
use stair_wire::{
    control::{
        EntryAddress,
        Opening,
        TURN_HOME,
        TurnReply,
        TurnRequest, //
    },
    frame, //
};
use tokio::time::timeout;

/// A home that does not answer in this time is gone; a load without a turn costs speed only.
const QUEUED_TIME: Duration = Duration::from_secs(1);

/// The longest wait for a turn, so that a home which forgot the request does not stop the load.
const GRANTED_TIME: Duration = Duration::from_secs(60);

/// A turn; it is given back when this is dropped.
pub(crate) struct Turn {
    _tx: SendStream,
    _rx: RecvStream,
    _in_use: InUse,
    _link: Link,
}

/// Waits for a turn; none when the home cannot be reached.
pub(crate) async fn take(
    pool: &Pool,
    entries: &[EntryAddress],
    request: TurnRequest,
) -> Option<Turn> {
    let names = entries.iter().map(|e| e.name.as_str());
    let home = *rendezvous::ranked(TURN_HOME, names).first()?;
    let asked = timeout(QUEUED_TIME, ask(pool, &entries[home], request));
    let mut turn = asked.await.ok().flatten()?;
    let granted = frame::read_message::<_, TurnReply>(&mut turn._rx);
    match timeout(GRANTED_TIME, granted).await {
        Ok(Ok(TurnReply::Granted)) => Some(turn),
        _ => None,
    }
}

async fn ask(pool: &Pool, home: &EntryAddress, request: TurnRequest) -> Option<Turn> {
    let link = pool.get(home.link).await.ok()?;
    let in_use = link.use_it();
    let (mut tx, mut rx) = link.open().await.ok()?;
    let opening = Opening::Turn(request);
    frame::write_message(&mut tx, &opening).await.ok()?;
    let _queued: TurnReply = frame::read_message(&mut rx).await.ok()?;
    Some(Turn {
        _tx: tx,
        _rx: rx,
        _in_use: in_use,
        _link: link,
    })
}
