//! Asks other entries for what they know.
//!
//! A process that starts while the platform is down would know nothing and refuse everything,
//! though its peers serve. It asks several and keeps the highest versions of what they know; any
//! of them may be behind.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use stair_link::Pool;
use stair_platform::Snapshot;
use stair_telemetry::{
    Part,
    warn, //
};
use stair_wire::{
    control::{
        Opening,
        PeerRequest, //
    },
    frame,
};
use tokio::task::JoinSet;

/// Time for one peer to send its snapshot.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Peers asked at start. One may itself be behind; three that all are is unlikely.
const MAX_PEERS: usize = 3;

/// Returns the snapshots of those peers that answer in time.
pub(super) async fn fetch_snapshots(pool: &Pool, peers: Vec<SocketAddr>) -> Vec<Snapshot> {
    let mut replies = JoinSet::new();
    for peer in peers.into_iter().take(MAX_PEERS) {
        let pool = pool.clone();
        replies.spawn(async move { fetch_snapshot(&pool, peer).await });
    }
    let mut snapshots = Vec::new();
    while let Some(reply) = replies.join_next().await {
        match reply {
            Ok(Ok(snapshot)) => snapshots.push(snapshot),
            Ok(Err(e)) => warn!(Part::Members, "A peer did not answer: {e}."),
            Err(_) => {}
        }
    }
    snapshots
}

async fn fetch_snapshot(pool: &Pool, peer: SocketAddr) -> anyhow::Result<Snapshot> {
    let fetch = async {
        let link = pool.get(peer).await?;
        let _in_use = link.use_it();
        let (mut tx, mut rx) = link.open().await?;
        frame::write_message(&mut tx, &Opening::Peer(PeerRequest::Snapshot)).await?;
        let body = frame::read_body(&mut rx).await?;
        Ok(serde_json::from_slice(&body)?)
    };
    tokio::time::timeout(PEER_TIMEOUT, fetch).await?
}
