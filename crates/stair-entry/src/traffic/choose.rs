//! Picks the target to try next.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_policy::choose::{
    self,
    Candidate, //
};
use stair_types::{
    FencingToken,
    StoreRevision,
    TargetKey,
    TargetName, //
};
use stair_wire::request::Work;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    TargetView,
    View, //
};

use super::{Cx, request::Request, targets::Target};

/// Assumed duration of a load; the entry has no measurement of it.
const DEFAULT_LOAD_DURATION: Duration = Duration::from_secs(10);

/// The target chosen for an attempt.
#[derive(Clone)]
pub(super) struct Chosen {
    pub(super) name: TargetName,
    pub(super) link: SocketAddr,
    pub(super) token: FencingToken,
    /// The version of the model's shard that named the target; 0 for a service.
    pub(super) shard_version: StoreRevision,
    pub(super) target: Arc<Target>,
}

/// Picks the best target of the latest view that is not in `tried`.
pub(super) fn next<S>(cx: &Cx<S>, req: &Request, tried: &[TargetName]) -> Option<Chosen> {
    let view = cx.latest();
    let candidates: Vec<Candidate> = keys(&view, &req.work)
        .iter()
        .filter(|k| !tried.contains(&view.target(**k).name))
        .filter_map(|k| candidate(cx, &view, req, *k))
        .collect();
    let affinity_target = choose::affinity_target(
        req.prefix_hash,
        candidates
            .iter()
            .map(|c| (c.key, name_hash(view.target(c.key)))),
    );
    let candidates: Vec<Candidate> = candidates
        .into_iter()
        .map(|c| Candidate {
            prefix_affinity: affinity_target == Some(c.key),
            ..c
        })
        .collect();
    let order = choose::order(&choose::Options::default(), &candidates, &mut rand::rng());
    let target = view.target(*order.first()?);
    Some(Chosen {
        name: target.name.clone(),
        link: target.link,
        token: target.token,
        shard_version: match &req.work {
            Work::Model { model, .. } => view.shard_version(model),
            Work::Service { .. } => StoreRevision::NONE,
        },
        target: cx.targets.get(&target.name),
    })
}

fn keys<'a>(view: &'a View, work: &Work) -> &'a [TargetKey] {
    match work {
        Work::Model { model, .. } => {
            let at = view
                .catalogue
                .models
                .binary_search_by(|m| m.name.cmp(model));
            at.map_or(&[], |i| view.holders_of(i))
        }
        Work::Service { service } => {
            let at = view
                .catalogue
                .services
                .binary_search_by(|s| s.name.cmp(service));
            at.map_or(&[], |i| view.providers_of(i))
        }
    }
}

/// Returns whether a grant of the requested model migrates to another target.
pub(super) fn is_migrating(view: &View, work: &Work) -> bool {
    let Work::Model { model, .. } = work else {
        return false;
    };
    let models = &view.catalogue.models;
    let at = models.binary_search_by(|m| m.name.cmp(model));
    at.is_ok_and(|i| view.is_migrating(i))
}

/// Returns `None` for a target that is leaving, by the view or by its own refusal.
fn candidate<S>(cx: &Cx<S>, view: &View, req: &Request, key: TargetKey) -> Option<Candidate> {
    let target = view.target(key);
    let model = match &req.work {
        Work::Model { model, .. } => Some(model),
        Work::Service { .. } => None,
    };
    let stats = cx.targets.stats(&target.name, model);
    if target.leaving || stats.leaving == Some(target.token) {
        return None;
    }
    Some(Candidate {
        key,
        loaded: stats.loaded,
        expected_wait: stats.expected_wait,
        report_age: stats.report_age,
        in_flight: stats.in_flight,
        cold_start: DEFAULT_LOAD_DURATION,
        prefix_affinity: false,
        same_data_centre: target.data_centre == cx.data_centre,
        weight: stats.weight,
    })
}

fn name_hash(target: &TargetView) -> u64 {
    xxh3_64(target.name.as_str().as_bytes())
}
