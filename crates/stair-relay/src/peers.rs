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
const EVERY: Duration = Duration::from_millis(400);

/// Time for which what an agent said of the others holds; agents say it again every second.
const SAID_TIME: Duration = Duration::from_millis(3000);

/// Time for a peer to answer.
const ANSWER_TIME: Duration = Duration::from_millis(1500);

/// How far the knowledge of an entry goes that asks for what is newer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Ask {
    /// The version of its catalogue, 0 for none.
    pub catalogue: u64,
    /// The store's revision of its list of targets, 0 for none.
    pub targets: u64,
}

/// What one entry asks of another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Question {
    /// All that is newer, once.
    Once(Ask),
    /// All that is newer, and what is new from then on.
    Follow(Ask),
}

/// The answer; what is not newer is left out.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    catalogue: Option<Catalogue>,
    targets: Option<(Vec<Listed>, u64)>,
}

/// Asks a peer that is ahead, for as long as the process runs.
pub async fn follow(cx: Arc<Context>) {
    loop {
        sleep(EVERY).await;
        let own = cx.replication_state();
        let Some(peer) = newer_peer(&cx, &own) else {
            continue;
        };
        match timeout(ANSWER_TIME, ask(&peer, &own)).await {
            Ok(Ok(answer)) => take(&cx, &peer, answer),
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
    if cx.now().saturating_sub(*at) > SAID_TIME {
        return None;
    }
    let better = |p: &&ReplicationState| p.catalogue > own.catalogue || p.targets > own.targets;
    peers.newer.iter().find(better).cloned()
}

async fn ask(peer: &ReplicationState, own: &ReplicationState) -> Result<Answer, frame::Error> {
    let mut stream = TcpStream::connect(peer.peer).await?;
    let question = Question::Once(Ask {
        catalogue: own.catalogue,
        targets: own.targets,
    });
    frame::write_message(&mut stream, &question).await?;
    frame::read_message(&mut stream).await
}

fn take(cx: &Context, peer: &ReplicationState, answer: Answer) {
    Line::new("peer")
        .text("peer", &peer.entry)
        .num(
            "catalogue",
            answer.catalogue.as_ref().map_or(0, |c| c.version),
        )
        .num("targets", answer.targets.as_ref().map_or(0, |t| t.1))
        .write();
    if let Some(catalogue) = answer.catalogue {
        replicate::apply_catalogue(cx, catalogue, &peer.entry);
    }
    if let Some((targets, revision)) = answer.targets {
        replicate::apply_listed(cx, targets, revision, &peer.entry);
    }
}

/// Answers other entries, for as long as the process runs.
pub async fn serve(cx: Arc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(answer(cx.clone(), stream));
            }
            // Out of descriptors, for instance: accepting again at once would spin.
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn answer(cx: Arc<Context>, mut stream: TcpStream) {
    let question = timeout(ANSWER_TIME, frame::read_message(&mut stream)).await;
    match question {
        Ok(Ok(Question::Once(ask))) => {
            // The peer has stopped waiting by then.
            let _ = timeout(ANSWER_TIME, reply(&cx, &ask, stream)).await;
        }
        Ok(Ok(Question::Follow(ask))) => {
            // The peer closes its side when it ends, and the next word to it fails.
            let (_r, w) = stream.into_split();
            follow::serve(&cx, &ask, w).await;
        }
        // Whoever asked has gone.
        Ok(Err(_)) | Err(_) => {}
    }
}

async fn reply(cx: &Context, ask: &Ask, mut stream: TcpStream) {
    let answer = {
        let state = cx.state();
        let newer = state
            .catalogue
            .as_ref()
            .filter(|c| c.version > ask.catalogue);
        let revision = state.view.revision;
        Answer {
            catalogue: newer.map(|c| (**c).clone()),
            targets: (revision > ask.targets).then(|| (state.view.list(cx.now()), revision)),
        }
    };
    if let Err(e) = frame::write_message(&mut stream, &answer).await {
        Line::failure("peer.unanswered").show("error", e).write();
    }
}
