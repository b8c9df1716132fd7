//! The agent's control links to two entries, which send its assignment and receive its reports.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use ractor::ActorRef;
use stair_link::{
    Dialer,
    RecvStream,
    SendStream,
    link::Probing, //
};
use stair_telemetry::{
    Part,
    debug,
    info, //
};
use stair_types::{
    DataCentre,
    EntryName,
    FencingToken,
    StoreRevision,
    TargetName,
    rendezvous, //
};
use stair_wire::{
    control::{
        AgentControl,
        EntryAddress,
        EntryControl,
        Hello,
        Opening, //
    },
    frame, //
};
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::Instant, //
};

use crate::{
    incarnation::Backoff,
    msg::{
        AgentReport,
        Msg, //
    },
};

/// Control links of an agent. With two, one may break during a configuration change.
const LINK_COUNT: usize = 2;

/// Time for which an entry whose link failed is avoided when there are others.
const AVOID_DURATION: Duration = Duration::from_secs(5);

/// A link that lasted longer was stable, and its slot reconnects with the shortest backoff.
const STABLE_LINK_DURATION: Duration = Duration::from_secs(10);

/// Interval at which released grants are reported again, since an entry may have failed to write a
/// release.
const RELEASE_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Time for the last report to be acknowledged when the agent stops.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The context shared by the links.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) target: TargetName,
    pub(crate) incarnation: FencingToken,
    pub(crate) data_centre: DataCentre,
    pub(crate) dialer: Dialer,
    pub(crate) control: ActorRef<Msg>,
    pub(crate) report: watch::Receiver<AgentReport>,
    pub(crate) entries: watch::Sender<Vec<EntryAddress>>,
    pub(crate) linked: watch::Sender<Vec<EntryName>>,
    /// Turns true when the agent stops: the links send a last report and close.
    pub(crate) closing: watch::Sender<bool>,
    /// The newest revision at which the platform lacked the agent's record.
    pub(crate) record_lost: watch::Sender<StoreRevision>,
    slots: Arc<Mutex<LinkSlots>>,
}

#[derive(Default)]
struct LinkSlots {
    taken: [Option<EntryName>; LINK_COUNT],
    failed: Vec<(EntryName, Instant)>,
}

impl Context {
    pub(crate) fn new(
        hello: (TargetName, FencingToken, DataCentre),
        dialer: Dialer,
        control: ActorRef<Msg>,
        report: watch::Receiver<AgentReport>,
        entries: watch::Sender<Vec<EntryAddress>>,
    ) -> Self {
        let (target, incarnation, data_centre) = hello;
        Self {
            target,
            incarnation,
            data_centre,
            dialer,
            control,
            report,
            entries,
            linked: watch::Sender::new(Vec::new()),
            closing: watch::Sender::new(false),
            record_lost: watch::Sender::default(),
            slots: Arc::default(),
        }
    }

    fn slots(&self) -> MutexGuard<'_, LinkSlots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the entries in order of preference: those of the agent's data centre first, and by
    /// rendezvous hash within each group.
    fn ranked(&self) -> Vec<EntryAddress> {
        let entries = self.entries.borrow().clone();
        let names = entries.iter().map(|e| e.name.as_str());
        let order = rendezvous::ranked(self.target.as_str(), names);
        let (own, others): (Vec<usize>, Vec<usize>) = order
            .into_iter()
            .partition(|i| entries[*i].data_centre == self.data_centre);
        own.into_iter()
            .chain(others)
            .map(|i| entries[i].clone())
            .collect()
    }

    /// Reserves for a slot the preferred entry that no other slot uses and that has not failed
    /// recently, or a recently failed one when there is no other.
    fn choose(&self, slot: usize) -> Option<EntryAddress> {
        let ranked = self.ranked();
        let mut slots = self.slots();
        slots.failed.retain(|(_, at)| at.elapsed() < AVOID_DURATION);
        let free = |e: &&EntryAddress| {
            let mut taken = slots.taken.iter().flatten();
            !taken.any(|name| *name == e.name)
        };
        let reachable = |e: &&EntryAddress| !slots.failed.iter().any(|(name, _)| *name == e.name);
        let mut candidates = ranked.iter().filter(free);
        let best = candidates
            .clone()
            .find(reachable)
            .or_else(|| candidates.next());
        let best = best.cloned();
        slots.taken[slot] = best.as_ref().map(|e| e.name.clone());
        best
    }

    /// Frees a slot and records that its entry failed.
    fn mark_failed(&self, slot: usize, name: &EntryName) {
        let mut slots = self.slots();
        slots.taken[slot] = None;
        slots.failed.push((name.clone(), Instant::now()));
    }
}

/// Maintains the links until the agent stops.
pub(crate) async fn run(cx: Context) {
    let mut tasks = tokio::task::JoinSet::new();
    for slot in 0..LINK_COUNT {
        tasks.spawn(maintain_slot(cx.clone(), slot));
    }
    while tasks.join_next().await.is_some() {}
}

async fn maintain_slot(cx: Context, slot: usize) {
    let mut closing = cx.closing.subscribe();
    let mut backoff = Backoff::default();
    while !*closing.borrow() {
        let mut entries = cx.entries.subscribe();
        let entry = cx.choose(slot);
        let began = Instant::now();
        if let Some(entry) = &entry {
            serve_named(&cx, entry).await;
            cx.mark_failed(slot, &entry.name);
        }
        if began.elapsed() > STABLE_LINK_DURATION {
            backoff = Backoff::default();
        }
        tokio::select! {
            () = backoff.wait() => {}
            () = is_true(&mut closing) => {}
            _ = entries.changed(), if entry.is_none() => {}
        }
    }
}

async fn serve_named(cx: &Context, entry: &EntryAddress) {
    let result = serve(cx, entry).await;
    let was_linked = cx.linked.send_if_modified(|linked| {
        let before = linked.len();
        linked.retain(|n| *n != entry.name);
        linked.len() != before
    });
    match result {
        Err(e) if was_linked => {
            info!(Part::Links, "the control link to {} ended: {e}", entry.name);
        }
        Err(e) => debug!(
            Part::Links,
            "cannot open a control link to {}: {e}", entry.name
        ),
        Ok(()) => {}
    }
}

async fn serve(cx: &Context, entry: &EntryAddress) -> anyhow::Result<()> {
    let link = cx.dialer.connect(entry.link, Probing::CONTROL).await?;
    let _in_use = link.use_it();
    let (mut tx, rx) = link.open().await?;
    let mut report = cx.report.clone();
    let sent = report.borrow_and_update().clone();
    let hello = Hello {
        target: cx.target.clone(),
        incarnation: cx.incarnation,
        data_centre: cx.data_centre.clone(),
        shards: sent.shards.clone(),
        config: sent.config,
    };
    frame::write_message(&mut tx, &Opening::Agent(hello)).await?;
    cx.linked.send_modify(|l| l.push(entry.name.clone()));
    send_changes(&mut tx, &AgentReport::default(), &sent).await?;
    let mut sent = sent;
    let mut from_entry = messages(rx);
    let mut entries = cx.entries.subscribe();
    let mut closing = cx.closing.subscribe();
    let mut repeat = tokio::time::interval_at(
        Instant::now() + RELEASE_REPEAT_INTERVAL,
        RELEASE_REPEAT_INTERVAL,
    );
    loop {
        tokio::select! {
            () = is_true(&mut closing) => {
                let now = report.borrow_and_update().clone();
                send_changes(&mut tx, &sent, &now).await?;
                let _ = tx.finish();
                let _ = tokio::time::timeout(FINAL_REPORT_TIMEOUT, tx.stopped()).await;
                return Ok(());
            }
            _ = repeat.tick() => {
                if !sent.released.is_empty() {
                    let grants = sent.released.clone();
                    frame::write_message(&mut tx, &AgentControl::Released { grants }).await?;
                }
            }
            msg = from_entry.recv() => match msg {
                Some(EntryControl::Assignment(assignment)) => {
                    cx.control.send_message(Msg::Assign(Box::new(assignment)))?;
                }
                // An entry that is missing from its own list is shutting down, or has just
                // started and has no complete list.
                Some(EntryControl::Entries { entries })
                    if entries.iter().all(|e| e.name != entry.name) => {}
                Some(EntryControl::Entries { entries }) => {
                    cx.entries.send_if_modified(|known| {
                        let changed = *known != entries;
                        *known = entries;
                        changed
                    });
                }
                Some(EntryControl::Vm(notice)) => {
                    cx.control.send_message(Msg::Vm(notice))?;
                }
                Some(EntryControl::RecordLost(revision)) => {
                    cx.record_lost.send_if_modified(|known| {
                        let is_newer = revision > *known;
                        *known = revision.max(*known);
                        is_newer
                    });
                }
                None => anyhow::bail!("the entry closed the control stream"),
            },
            changed = report.changed() => {
                changed?;
                let now = report.borrow_and_update().clone();
                send_changes(&mut tx, &sent, &now).await?;
                sent = now;
            }
            changed = entries.changed() => {
                changed?;
                let listed = entries.borrow_and_update().iter().any(|e| e.name == entry.name);
                anyhow::ensure!(listed, "the entry is no longer listed");
            }
        }
    }
}

/// Sends the differences between the report sent last on this link and the current one.
async fn send_changes(
    tx: &mut SendStream,
    sent: &AgentReport,
    now: &AgentReport,
) -> anyhow::Result<()> {
    if now.draining && !sent.draining {
        frame::write_message(tx, &AgentControl::Leaving).await?;
    }
    if sent.draining && !now.draining {
        frame::write_message(tx, &AgentControl::Staying).await?;
    }
    if now.memory_pressure != sent.memory_pressure {
        let grants = now.memory_pressure.clone();
        frame::write_message(tx, &AgentControl::MemoryPressure { grants }).await?;
    }
    if now.config != sent.config {
        let config = now.config;
        frame::write_message(tx, &AgentControl::InForce { config }).await?;
    }
    // The entry may have failed to write a release to the platform, so the release is repeated
    // whenever a newer shard version still lists the grant.
    let releases_due = now.released != sent.released || now.shards != sent.shards;
    if releases_due && !now.released.is_empty() {
        let grants = now.released.clone();
        frame::write_message(tx, &AgentControl::Released { grants }).await?;
    }
    Ok(())
}

/// Reads the entry's messages in a separate task, because a partially read frame would be lost if
/// `select!` dropped the read.
fn messages(mut rx: RecvStream) -> mpsc::Receiver<EntryControl> {
    let (tx, out) = mpsc::channel(4);
    tokio::spawn(async move {
        loop {
            match frame::read_message(&mut rx).await {
                Ok(msg) => {
                    if tx.send(msg).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    stair_telemetry::debug!(Part::Links, "a control stream ended: {e}");
                    return;
                }
            }
        }
    });
    out
}

async fn is_true(rx: &mut watch::Receiver<bool>) {
    let _ = rx.wait_for(|b| *b).await;
}
