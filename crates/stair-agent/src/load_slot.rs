//! A lease on a load slot at the weight store, which a load acquires from the slots' owner.

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

/// Time for the owner to confirm that a request is queued. After it the owner counts as failed and
/// the load runs without a slot, which costs only speed.
const QUEUED_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a slot, after which the load runs without one. It bounds the delay by an owner
/// that lost the request.
const GRANTED_TIMEOUT: Duration = Duration::from_secs(60);

/// A leased load slot. Dropping it closes its stream, which releases the slot.
pub(crate) struct LoadSlot {
    _tx: SendStream,
    _rx: RecvStream,
    _in_use: InUse,
    _link: Link,
}

/// Waits for a load slot; returns none when the owner cannot be reached or grants none in time.
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
