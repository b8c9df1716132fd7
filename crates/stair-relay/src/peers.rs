//! Asks other entries for what they know, and answers them.
//!
//! The store may turn this entry away while it serves the others and the operators. Agents tell
//! each entry how far the others' knowledge goes; one that lags fetches it from the one ahead.

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
    msg::ReplicationState,
    view::Listed, //
};
use stair_telemetry::event::Line;
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
    context::Context,
    follow,
    replicate, //
};

/// Pause between looks at what the others know.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which what an agent said of the others holds; agents say it again every second.
const PEERS_TTL: Duration = Duration::from_millis(3000);

/// Time for a peer to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);

/// How far the knowledge of an entry goes that asks for what is newer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Versions {
    /// The version of its catalogue, 0 for none.
    pub catalogue: u64,
    /// The store's revision of its list of targets, 0 for none.
    pub targets: u64,
}

/// What one entry asks of another.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// All that is newer, once.
    Once(Versions),
    /// All that is newer, and what is new from then on.
    Follow(Versions),
}

/// The reply; what is not newer is left out.
#[derive(Debug, Serialize, Deserialize)]
struct PeerReply {
    catalogue: Option<Catalogue>,
    targets: Option<(Vec<Listed>, u64)>,
}

/// Asks a peer that is ahead, for as long as the process runs.
pub async fn follow(cx: Arc<Context>) {
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
                .text("error", "no answer in time")
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
    frame::read_message(&mut stream).await
}

fn apply(cx: &Context, peer: &ReplicationState, reply: PeerReply) {
    Line::new("peer")
        .text("peer", &peer.entry)
        .num(
            "catalogue",
            reply.catalogue.as_ref().map_or(0, |c| c.version),
        )
        .num("targets", reply.targets.as_ref().map_or(0, |t| t.1))
        .write();
    if let Some(catalogue) = reply.catalogue {
        replicate::apply_catalogue(cx, catalogue, &peer.entry);
    }
    if let Some((targets, revision)) = reply.targets {
        replicate::apply_listed(cx, targets, revision, &peer.entry);
    }
}

/// Answers other entries, for as long as the process runs.
pub async fn serve(cx: Arc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(handle(cx.clone(), stream));
            }
            // Out of descriptors, for instance: accepting again at once would spin.
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn handle(cx: Arc<Context>, mut stream: TcpStream) {
    let request = timeout(REPLY_TIMEOUT, frame::read_message(&mut stream)).await;
    match request {
        Ok(Ok(PeerRequest::Once(known))) => {
            // The peer has stopped waiting by then.
            let _ = timeout(REPLY_TIMEOUT, send_reply(&cx, &known, stream)).await;
        }
        Ok(Ok(PeerRequest::Follow(known))) => {
            // The peer closes its side when it ends, and the next word to it fails.
            let (_r, w) = stream.into_split();
            follow::serve(&cx, &known, w).await;
        }
        // Whoever asked has gone.
        Ok(Err(_)) | Err(_) => {}
    }
}

async fn send_reply(cx: &Context, known: &Versions, mut stream: TcpStream) {
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
    if let Err(e) = frame::write_message(&mut stream, &reply).await {
        Line::failure("peer.unanswered").show("error", e).write();
    }
}
