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
        LOAD_SLOT_OWNER_KEY,
        LoadSlotReply,
        LoadSlotRequest,
        Opening, //
    },
    frame, //
};
use tokio::time::timeout;

/// A home that does not answer in this time is gone; a load without a turn costs speed only.
const QUEUED_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest wait for a turn, so that a home which forgot the request does not stop the load.
const GRANTED_TIMEOUT: Duration = Duration::from_secs(60);

/// A turn; it is given back when this is dropped.
pub(crate) struct LoadSlot {
    _tx: SendStream,
    _rx: RecvStream,
    _in_use: InUse,
    _link: Link,
}

/// Waits for a turn; none when the home cannot be reached.
pub(crate) async fn acquire(
    pool: &Pool,
    entries: &[EntryAddress],
    request: LoadSlotRequest,
) -> Option<LoadSlot> {
    let names = entries.iter().map(|e| e.name.as_str());
    let owner = *rendezvous::ranked(LOAD_SLOT_OWNER_KEY, names).first()?;
    let queued = timeout(QUEUED_TIMEOUT, request_slot(pool, &entries[owner], request));
    let mut load_slot = queued.await.ok().flatten()?;
    let granted = frame::read_message::<_, LoadSlotReply>(&mut load_slot._rx);
    match timeout(GRANTED_TIMEOUT, granted).await {
        Ok(Ok(LoadSlotReply::Granted)) => Some(load_slot),
        _ => None,
    }
}

async fn request_slot(
    pool: &Pool,
    owner: &EntryAddress,
    request: LoadSlotRequest,
) -> Option<LoadSlot> {
    let link = pool.get(owner.link).await.ok()?;
    let in_use = link.use_it();
    let (mut tx, mut rx) = link.open().await.ok()?;
    let opening = Opening::LoadSlot(request);
    frame::write_message(&mut tx, &opening).await.ok()?;
    let _queued: LoadSlotReply = frame::read_message(&mut rx).await.ok()?;
    Some(LoadSlot {
        _tx: tx,
        _rx: rx,
        _in_use: in_use,
        _link: link,
    })
}
