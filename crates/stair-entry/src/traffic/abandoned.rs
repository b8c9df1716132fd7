//! Detects claims of requests that never ran.
//!
//! An entry may die after it has claimed a key and before it has started the request, or fail to
//! release a claim. When the caller repeats the request with the same key at another entry, it would
//! be refused with "may have run" until the claim expires. The claim names the agent, which knows
//! whether the request ran. The agent withdraws the request for good before it reports that it never
//! ran, so a start that is still in transit can no longer run it, and the claim may be replaced.

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

/// Age from which a claim is checked. A more recent claim may belong to a request that is about to
/// start: its claim takes 1.5 s at most, and the agent waits two seconds for the start. A check would
/// withdraw that request, and of several callers with one key each would withdraw the previous one.
const MIN_CLAIM_AGE: Duration = Duration::from_secs(5);

/// Age up to which a claim is checked. Agents keep a record of a request for 15 minutes after its end
/// and report an older request as never run. Entries' clocks may differ by five minutes.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(600);

/// Timeout for the agent's reply. The agent of the repeated request keeps a slot free meanwhile.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns whether the request that holds a claim has not run and can no longer run. False when this
/// is not certain.
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

/// Returns the time until a claim can be checked, or zero when it can be checked now.
pub(super) fn retry_after(claim: &Claim) -> Duration {
    MIN_CLAIM_AGE.saturating_sub(claim::age(claim))
}

/// Returns the address of the agent that the request was offered to, unless it has been replaced.
fn link<S>(cx: &Cx<S>, claim: &Claim) -> Option<SocketAddr> {
    let view = cx.latest();
    let at = view.targets.binary_search_by(|t| t.name.cmp(&claim.target));
    let target = &view.targets[at.ok()?];
    (target.token == claim.incarnation).then_some(target.link)
}

/// Withdraws the claim's request at its agent and returns the agent's verdict.
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
        other => anyhow::bail!("the agent replied to a withdrawal with {other:?}"),
    }
}
