//! Finds out whether a key was claimed by a request that never ran.
//!
//! An entry dies after it has claimed a key and before it has started the request, or it cannot
//! give a claim back. The caller repeats with the same key at another entry and would be told
//! "may have run" until the claim expires. Only the agent knows better; the claim names it. The
//! agent withdraws the request for good before it says that it never ran, so a start that is still
//! under way can no longer run it, and the claim may be taken over.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use stair_platform::Claim;
use stair_types::Verdict;
use stair_wire::{
    frame,
    request::{
        FromAgent,
        ToAgent, //
    },
};
use tokio::time::timeout;

use super::{
    Cx,
    claim, //
};

/// A younger claim may be that of a request about to start: its claim takes 1.5 s at most, and the
/// agent waits two seconds for the start. Asking then would withdraw it, and of many callers with
/// one key each would withdraw the one before.
const MIN_CLAIM_AGE: Duration = Duration::from_secs(5);

/// Agents remember a request for 15 minutes after its end, and would take an older one for one
/// that they have never seen. Entries' clocks may be five minutes apart.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(600);

/// Time for the agent's answer. The agent of the repeat holds a place free meanwhile.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes sure that the request which holds a claim never runs; false when it may have.
pub(super) async fn has_not_run<S>(cx: &Cx<S>, claim: &Claim) -> bool {
    let age = claim::age(claim);
    if age < MIN_CLAIM_AGE || age > MAX_CLAIM_AGE {
        return false;
    }
    let Some(link) = link(cx, claim) else {
        return false;
    };
    let verdict = timeout(WITHDRAW_TIMEOUT, withdraw(cx, link, claim)).await;
    matches!(verdict, Ok(Ok(Verdict::NotRun)))
}

/// Returns when asking about a claim becomes worth while, or zero when it is already.
pub(super) fn retry_after(claim: &Claim) -> Duration {
    MIN_CLAIM_AGE.saturating_sub(claim::age(claim))
}

/// Finds the agent that the request was offered to, unless it has been replaced.
fn link<S>(cx: &Cx<S>, claim: &Claim) -> Option<SocketAddr> {
    let view = cx.latest();
    let at = view.targets.binary_search_by(|t| t.name.cmp(&claim.target));
    let target = &view.targets[at.ok()?];
    (target.token == claim.incarnation).then_some(target.link)
}

async fn withdraw<S>(cx: &Cx<S>, addr: SocketAddr, claim: &Claim) -> anyhow::Result<Verdict> {
    let link = cx.pool.get(addr).await?;
    let _in_use = link.use_it();
    let (mut tx, mut rx) = link.open().await?;
    let msg = ToAgent::Withdraw {
        id: claim.request,
        incarnation: claim.incarnation,
    };
    frame::write_message(&mut tx, &msg).await?;
    match frame::read_message(&mut rx).await? {
        FromAgent::Refused { refusal, .. } => Ok(refusal.verdict),
        other => anyhow::bail!("the agent answered a withdrawal with {other:?}"),
    }
}
