//! Fetches newer state from other entries, and serves theirs.
//!
//! The store may reject this entry while it serves other entries and the operators. Agents report the
//! versions of other entries, and a lagging entry fetches newer state from one of them.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use stair_fleet::{
    Catalogue,
    Target,
    msg::ReplicationState,
    view::Listed, //
};
use stair_telemetry::event::Line;
use stair_types::StoreRevision;
use stair_wire::frame;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    change,
    context::Context,
    follow,
    replicate, //
};

/// Interval of the checks for a peer with newer state.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which an agent's report on other entries is used; agents report every second.
const PEERS_TTL: Duration = Duration::from_millis(3000);

/// Limit for a request and its reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);

/// The versions of the state that the requesting entry has.
#[derive(Debug, Serialize, Deserialize)]
pub struct Versions {
    /// The version of its catalogue, 0 for none.
    pub catalogue: u64,
    /// The store's revision of its list of targets.
    pub targets: StoreRevision,
}

/// A request to another entry.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the newer state once.
    Once(Versions),
    /// Requests the newer state and all later changes.
    Follow(Versions),
}

/// The reply with newer state; state that is not newer is `None`.
#[derive(Debug, Serialize, Deserialize)]
struct PeerReply {
    catalogue: Option<Catalogue>,
    targets: Option<(Vec<Listed>, StoreRevision)>,
}

/// Fetches newer state from a peer that has some, until the process ends.
pub async fn fetch_newer(cx: Arc<Context>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let own = cx.replication_state();
        let Some(peer) = newer_peer(&cx, &own) else {
            continue;
        };
        match timeout(REPLY_TIMEOUT, request(&peer, &own)).await {
            Ok(Ok(reply)) => apply(&cx, &peer, reply),
            Ok(Err(e)) => Line::failure("peer.failed")
                .text("peer", &peer.entry)
                .show("error", e)
                .write(),
            Err(_) => Line::failure("peer.failed")
                .text("peer", &peer.entry)
                .text("error", "no reply in time")
                .write(),
        }
    }
}

fn newer_peer(cx: &Context, own: &ReplicationState) -> Option<ReplicationState> {
    let state = cx.state();
    let (peers, at) = state.peers.as_ref()?;
    if cx.now().saturating_sub(*at) > PEERS_TTL {
        return None;
    }
    let is_newer = |p: &&ReplicationState| p.catalogue > own.catalogue || p.targets > own.targets;
    peers.newer.iter().find(is_newer).cloned()
}

async fn request(
    peer: &ReplicationState,
    own: &ReplicationState,
) -> Result<PeerReply, frame::Error> {
    let mut stream = TcpStream::connect(peer.peer).await?;
    let request = PeerRequest::Once(Versions {
        catalogue: own.catalogue,
        targets: own.targets,
    });
    frame::write_message(&mut stream, &request).await?;
    let (mut reply, versions): (PeerReply, change::Versions) =
        frame::read_extended(&mut stream).await?;
    // A peer of an earlier release states no versions; those that are known here stay.
    versions.apply(reply.targets_mut());
    Ok(reply)
}

impl PeerReply {
    fn targets(&self) -> impl Iterator<Item = &Target> {
        let listed = self.targets.iter().flat_map(|(list, _)| list);
        listed.map(|l| &l.target)
    }

    fn targets_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        let listed = self.targets.iter_mut().flat_map(|(list, _)| list);
        listed.map(|l| &mut l.target)
    }
}

fn apply(cx: &Context, peer: &ReplicationState, reply: PeerReply) {
    let reply_targets = reply.targets.as_ref().map_or(StoreRevision::NONE, |t| t.1);
    Line::new("peer")
        .text("peer", &peer.entry)
        .num(
            "catalogue",
            reply.catalogue.as_ref().map_or(0, |c| c.version),
        )
        .num("targets", reply_targets.counter)
        .num("era", reply_targets.era.0)
        .write();
    if let Some(catalogue) = reply.catalogue {
        replicate::apply_catalogue(cx, catalogue, &peer.entry);
    }
    if let Some((targets, revision)) = reply.targets {
        replicate::apply_peer_list(cx, targets, revision, &peer.entry);
    }
}

/// Serves other entries until the process ends.
pub async fn serve(cx: Arc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(handle(cx.clone(), stream));
            }
            // Accepting again at once would spin, for instance when file descriptors have run out.
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn handle(cx: Arc<Context>, mut stream: TcpStream) {
    let request = timeout(REPLY_TIMEOUT, frame::read_message(&mut stream)).await;
    match request {
        Ok(Ok(PeerRequest::Once(known))) => {
            // The peer stops waiting after the same time.
            let _ = timeout(REPLY_TIMEOUT, send_reply(&cx, &known, stream)).await;
        }
        Ok(Ok(PeerRequest::Follow(known))) => {
            // The peer closes the connection when it ends, and the next write fails.
            let (_r, w) = stream.into_split();
            follow::serve(&cx, &known, w).await;
        }
        // The peer has disconnected.
        Ok(Err(_)) | Err(_) => {}
    }
}

async fn send_reply(cx: &Context, known: &Versions, mut stream: TcpStream) {
    replicate::observe_era(cx, known.targets.era, "peer");
    let reply = {
        let state = cx.state();
        let newer = state
            .catalogue
            .as_ref()
            .filter(|c| c.version > known.catalogue);
        let revision = state.view.revision;
        PeerReply {
            catalogue: newer.map(|c| (**c).clone()),
            targets: (revision > known.targets).then(|| (state.view.list(cx.now()), revision)),
        }
    };
    let versions = change::Versions::of(reply.targets());
    if let Err(e) = frame::write_extended(&mut stream, &reply, &versions).await {
        Line::failure("peer.unanswered").show("error", e).write();
    }
}
