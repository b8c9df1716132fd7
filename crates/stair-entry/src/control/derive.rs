//! Derives the view that traffic reads from the state.

use std::sync::Arc;

use stair_platform::{
    IncarnationRecord,
    TargetKind, //
};
use stair_state::grants::shard_of;
use stair_types::{
    ModelName,
    StoreRevision,
    TargetKey,
    TargetName, //
};

use crate::{
    control::state::{
        Named,
        State,
        version_of, //
    },
    view::{
        TargetView,
        View, //
    },
};

impl State {
    /// Derives a view. The targets of the previous view `before` are shared if none has changed since:
    /// most changes concern the configuration or the grants, and 12,000 targets are most of a view.
    pub fn view(&self, before: &View) -> View {
        let same_targets = before.fleet_version == self.fleet_version();
        let targets = match same_targets {
            true => before.targets.clone(),
            false => Arc::new(self.targets()),
        };
        let key_of = |name: &TargetName| {
            let at = targets.binary_search_by(|t| t.name.cmp(name));
            at.ok().map(|i| TargetKey(i as u32))
        };
        let catalogue = &self.config.catalogue;
        let holders = catalogue.models.iter().map(|m| {
            let same_grants = before.shard_version(&m.name) == self.shard_version(&m.name);
            if let Some(previous) = before.holders_by_name(&m.name)
                && same_targets
                && same_grants
            {
                return previous.to_vec();
            }
            let grants = self.shard(&m.name).map_or(&[][..], |s| s.of_model(&m.name));
            let granted = grants.iter().filter(|g| !g.revoking);
            granted.filter_map(|g| key_of(&g.target)).collect()
        });
        let providers = catalogue.services.iter().map(|s| {
            let kind = TargetKind::Service {
                service: s.name.clone(),
            };
            let agents = self.incarnations.iter().filter(|a| has_kind(a, &kind));
            agents.filter_map(|a| key_of(&a.name)).collect()
        });
        View {
            config: version_of(&self.config),
            confirmed: self.confirmed,
            entries: self.entries().len() as u32,
            fleet_version: self.fleet_version(),
            shard_versions: self.shards.iter().map(|s| s.version).collect(),
            holders: holders.collect(),
            // The age of a revoke is not in the platform's objects; the actor fills this in.
            migrating: Vec::new(),
            providers: providers.collect(),
            catalogue: catalogue.clone(),
            targets,
        }
    }

    fn shard_version(&self, model: &ModelName) -> StoreRevision {
        self.shards[usize::from(shard_of(model).0)].version
    }

    fn targets(&self) -> Vec<TargetView> {
        let agents = self.incarnations.iter();
        agents
            .filter_map(|agent| {
                let record = agent.object.value.as_ref()?;
                let token = record.token;
                let leaving =
                    self.is_marked_leaving(&agent.name) || self.reports_leaving(&agent.name, token);
                Some(TargetView {
                    name: agent.name.clone(),
                    link: record.link,
                    token,
                    data_centre: record.data_centre.clone(),
                    leaving,
                })
            })
            .collect()
    }
}

fn has_kind(agent: &Named<TargetName, IncarnationRecord>, kind: &TargetKind) -> bool {
    let record = agent.object.value.as_ref();
    record.is_some_and(|r| r.kind == *kind)
}
