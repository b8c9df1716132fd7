//! The view of the deployment that control publishes and traffic reads.
//!
//! Control runs on one thread and traffic on others. Control replaces the whole view at each change;
//! traffic reads the latest view for each request and never waits for control.

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
    StoreRevision,
    TargetKey,
    TargetName, //
};

/// A consistent picture of the configuration, the grants and the targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct View {
    /// The configuration in force. 0 while none is known; all requests are refused then.
    pub config: ConfigVersion,
    /// Whether the platform has confirmed the state. False while it comes from peers only.
    pub confirmed: bool,
    /// The number of entries that the platform lists as live.
    pub entries: u32,
    /// A version that changes whenever the targets may have changed.
    #[serde(rename = "fleet")]
    pub fleet_version: u64,
    /// The declarations in force.
    pub catalogue: Arc<Catalogue>,
    /// The targets, sorted by name. A [`TargetKey`] is an index into this vector and valid only with
    /// this view.
    pub targets: Arc<Vec<TargetView>>,
    /// For each model of the catalogue, the targets with a grant that is not being revoked.
    pub holders: Vec<Vec<TargetKey>>,
    /// For each model of the catalogue, whether a grant has been revoked recently and is about to be
    /// given to another target.
    #[serde(rename = "moving")]
    pub migrating: Vec<bool>,
    /// For each shard of grants, the platform's version that `holders` was derived from.
    pub shard_versions: Vec<StoreRevision>,
    /// For each service of the catalogue, the targets that provide it.
    pub providers: Vec<Vec<TargetKey>>,
}

/// A target in a [`View`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TargetView {
    /// The target's name.
    pub name: TargetName,
    /// Where its agent listens for links.
    pub link: SocketAddr,
    /// The agent's incarnation.
    pub token: FencingToken,
    /// The target's data centre.
    pub data_centre: DataCentre,
    /// Whether the platform's list or the agent reports that the VM is leaving. Such a target gets no
    /// new work.
    pub leaving: bool,
}

impl View {
    /// Returns the target of a key of this view.
    ///
    /// # Panics
    ///
    /// May panic if the key is from another view.
    pub fn target(&self, key: TargetKey) -> &TargetView {
        &self.targets[key.0 as usize]
    }

    /// Returns the targets that may serve a model, by the model's index in the catalogue.
    pub fn holders_of(&self, model: usize) -> &[TargetKey] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a grant of a model migrates to another target, by the model's index.
    pub fn is_migrating(&self, model: usize) -> bool {
        self.migrating.get(model).copied().unwrap_or(false)
    }

    /// Returns the targets that may serve a model, or `None` when the model is not declared.
    pub fn holders_by_name(&self, model: &ModelName) -> Option<&[TargetKey]> {
        let models = &self.catalogue.models;
        let at = models.binary_search_by(|m| m.name.cmp(model)).ok()?;
        self.holders.get(at).map(Vec::as_slice)
    }

    /// Returns the version of the shard with a model's grants.
    pub fn shard_version(&self, model: &ModelName) -> StoreRevision {
        let shard = usize::from(shard_of(model).0);
        self.shard_versions.get(shard).copied().unwrap_or_default()
    }

    /// Returns the targets of a service, by the service's index in the catalogue.
    pub fn providers_of(&self, service: usize) -> &[TargetKey] {
        self.providers.get(service).map_or(&[], Vec::as_slice)
    }
}
