//! The rules of one shard of claims: who holds a key, and when a claim may be forgotten.

use stair_platform::{
    Claim,
    ClaimShard, //
};
use stair_types::RequestId;

/// Claims in one shard; about 150 bytes each, well under the platform's limit of a megabyte.
pub(super) const MAX_CLAIMS: usize = 5_000;

/// One change that a request wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    /// Claim a key, or name another target for one that the request holds.
    Claim {
        /// The claim.
        claim: Claim,
        /// A claim of another request that has surely not run, whose place it takes.
        replaces: Option<Claim>,
    },
    /// Give a claim back.
    Release {
        /// The key.
        key: Box<str>,
        /// The request that claimed it.
        request: RequestId,
    },
}

/// What a change came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The request holds the key, or no longer holds it after a release.
    Done,
    /// Another request holds the key.
    Taken(Claim),
    /// The shard has no room.
    Full,
}

/// Applies changes in order, and tells whether the shard has to be written.
///
/// Applying a change again is harmless, so a write whose answer was lost is settled by reading the
/// shard and applying again.
pub(super) fn apply(
    shard: &mut ClaimShard,
    changes: &[Change],
    now_s: u64,
) -> (Vec<Outcome>, bool) {
    let before = shard.claims.clone();
    shard.claims.retain(|c| c.expires_s > now_s);
    let pruned = shard.claims.clone();
    let outcomes = changes.iter().map(|c| apply_one(shard, c)).collect();
    let changed = shard.claims != pruned;
    if !changed {
        shard.claims = before;
    }
    (outcomes, changed)
}

fn apply_one(shard: &mut ClaimShard, change: &Change) -> Outcome {
    match change {
        Change::Claim { claim, replaces } => add(shard, claim, replaces.as_ref()),
        Change::Release { key, request } => {
            shard
                .claims
                .retain(|c| c.key != *key || c.request != *request);
            Outcome::Done
        }
    }
}

fn add(shard: &mut ClaimShard, claim: &Claim, replaces: Option<&Claim>) -> Outcome {
    match shard.claims.binary_search_by(|c| c.key.cmp(&claim.key)) {
        Ok(i) if is_same(&shard.claims[i], claim) => Outcome::Done,
        Ok(i) => {
            let held = &mut shard.claims[i];
            if held.request != claim.request && Some(&*held) != replaces {
                return Outcome::Taken(held.clone());
            }
            *held = claim.clone();
            Outcome::Done
        }
        Err(_) if shard.claims.len() >= MAX_CLAIMS => Outcome::Full,
        Err(i) => {
            shard.claims.insert(i, claim.clone());
            Outcome::Done
        }
    }
}

fn is_same(a: &Claim, b: &Claim) -> bool {
    (a.request, &a.target, a.incarnation) == (b.request, &b.target, b.incarnation)
}
