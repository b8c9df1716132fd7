//! Which models have a grant on its way to another target.
//!
//! Callers of a model whose only grant moves wait for it rather than being refused. But a holder
//! that is frozen gives its grant back only when its VM is taken away, perhaps after hours, and
//! waiting for it would only delay the refusal; so a revoke counts as a move while it is young.

use stair_types::{
    GrantId,
    ShardId, //
};
use tokio::time::{
    Duration,
    Instant, //
};

use crate::control::state::State;

/// A holder that lives gives its grant back as soon as its runs have ended. One that has not by
/// then runs something long or is gone.
const MIGRATION_WINDOW: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Revoke {
    shard: ShardId,
    grant: GrantId,
    since: Instant,
}

/// The revokes that this entry has seen, and since when.
#[derive(Debug, Default)]
pub(super) struct Migrations {
    revokes: Vec<Revoke>,
}

impl Migrations {
    /// Takes over which grants are being revoked now.
    pub(super) fn update(&mut self, state: &State, now: Instant) {
        let mut old = std::mem::take(&mut self.revokes);
        for (i, shard) in state.shards.iter().enumerate() {
            let shard_id = ShardId(i as u16);
            let grants = shard.value.iter().flat_map(|s| &s.grants);
            for grant in grants.filter(|g| g.revoking) {
                let same = |r: &Revoke| r.shard == shard_id && r.grant == grant.id;
                let known = old.iter().position(same).map(|i| old.swap_remove(i));
                self.revokes.push(known.unwrap_or(Revoke {
                    shard: shard_id,
                    grant: grant.id,
                    since: now,
                }));
            }
        }
    }

    /// Tells for each model of the catalogue whether a grant of it moves.
    pub(super) fn migrating_models(&self, state: &State, now: Instant) -> Vec<bool> {
        let models = state.config.catalogue.models.iter();
        models
            .map(|m| {
                let shard = stair_state::grants::shard_of(&m.name);
                let grants = state
                    .shard(&m.name)
                    .map_or(&[][..], |s| s.of_model(&m.name));
                grants.iter().any(|g| self.is_recent(shard, g.id, now))
            })
            .collect()
    }

    fn is_recent(&self, shard: ShardId, grant: GrantId, now: Instant) -> bool {
        let same = |r: &&Revoke| r.shard == shard && r.grant == grant;
        let revoke = self.revokes.iter().find(same);
        revoke.is_some_and(|r| now - r.since < MIGRATION_WINDOW)
    }
}
