//! The rules of one shard of claims: which request holds a key, and when claims are removed.

use stair_platform::{
    Claim,
    ClaimShard, //
};
use stair_types::RequestId;

/// Bound on the claims in one shard. At about 150 bytes each, a shard stays well below the platform's
/// limit of a megabyte for an object.
pub(super) const MAX_CLAIMS: usize = 5_000;

/// One change of a shard, made for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    /// Claims a key, or names another target in a claim that the request already holds.
    Claim {
        /// The claim.
        claim: Claim,
        /// The claim of another request that certainly has not run, to be replaced.
        replaces: Option<Claim>,
    },
    /// Releases a claim.
    Release {
        /// The key.
        key: Box<str>,
        /// The request that claimed it.
        request: RequestId,
    },
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The request holds the key, or after a release no longer holds it.
    Done,
    /// Another request holds the key.
    Taken(Claim),
    /// The shard has its maximum number of claims.
    Full,
}

/// Applies changes in order. Returns their outcomes and whether the shard must be written.
///
/// Changes are idempotent, so a write whose reply was lost is resolved by reading the shard and
/// applying the changes again.
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
            let current = &mut shard.claims[i];
            if current.request != claim.request && Some(&*current) != replaces {
                return Outcome::Taken(current.clone());
            }
            *current = claim.clone();
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
