//! What control publishes and traffic reads.
//!
//! Control runs on one thread and traffic on others. Control replaces the whole view with each
//! change; traffic reads the latest one at each request and never waits for control.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use serde::Serialize;
use stair_config::Catalogue;
use stair_state::grants::shard_of;
use stair_types::{
    ConfigVersion,
    DataCentre,
    FencingToken,
    ModelName,
    TargetKey,
    TargetName, //
};

/// A consistent picture of the configuration, the grants and the targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct View {
    /// The configuration in force. 0 while none is known: every request is refused then.
    pub config: ConfigVersion,
    /// False while all that is known comes from peers and the platform has not confirmed it.
    pub confirmed: bool,
    /// Entries that the platform lists as live.
    pub entries: u32,
    /// Tells apart what the targets were made from.
    #[serde(rename = "fleet")]
    pub fleet_version: u64,
    /// The declarations in force.
    pub catalogue: Arc<Catalogue>,
    /// The arena that [`TargetKey`] points into, of this view only. Sorted by name.
    pub targets: Arc<Vec<TargetView>>,
    /// For each model of the catalogue, the targets that hold a grant which is not being revoked.
    pub holders: Vec<Vec<TargetKey>>,
    /// For each model of the catalogue, whether a grant of it is being revoked and will be granted
    /// elsewhere in a moment.
    #[serde(rename = "moving")]
    pub migrating: Vec<bool>,
    /// For each shard of grants, the platform's version that the holders come from.
    pub shard_versions: Vec<u64>,
    /// For each service of the catalogue, its targets.
    pub providers: Vec<Vec<TargetKey>>,
}

/// One target as an entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TargetView {
    /// The target.
    pub name: TargetName,
    /// Where its agent listens for links.
    pub link: SocketAddr,
    /// The agent's incarnation.
    pub token: FencingToken,
    /// The target's data centre.
    pub data_centre: DataCentre,
    /// The platform's list or the agent says that the VM is leaving: it gets no new work.
    pub leaving: bool,
}

impl View {
    /// Returns a target of this view.
    pub fn target(&self, key: TargetKey) -> &TargetView {
        &self.targets[key.0 as usize]
    }

    /// Returns the targets that may serve a model, by the model's index in the catalogue.
    pub fn holders_of(&self, model: usize) -> &[TargetKey] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    /// Tells whether a model's grant is on its way to another target, by the model's index.
    pub fn is_migrating(&self, model: usize) -> bool {
        self.migrating.get(model).copied().unwrap_or(false)
    }

    /// Returns the targets that may serve a model; none when the model is not declared.
    pub fn holders_by_name(&self, model: &ModelName) -> Option<&[TargetKey]> {
        let models = &self.catalogue.models;
        let at = models.binary_search_by(|m| m.name.cmp(model)).ok()?;
        self.holders.get(at).map(Vec::as_slice)
    }

    /// Returns the version of the shard that names a model's holders.
    pub fn shard_version(&self, model: &ModelName) -> u64 {
        let shard = usize::from(shard_of(model).0);
        self.shard_versions.get(shard).copied().unwrap_or(0)
    }

    /// Returns the targets of a service, by the service's index in the catalogue.
    pub fn providers_of(&self, service: usize) -> &[TargetKey] {
        self.providers.get(service).map_or(&[], Vec::as_slice)
    }
}
