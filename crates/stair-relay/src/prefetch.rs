//! Has models loaded before requests need them.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::prefetch::{
    self,
    RequestedLoad, //
};
use stair_telemetry::event::Line;
use tokio::time::sleep;

use crate::{
    context::{
        Context,
        PendingLoad, //
    },
    load, //
};

/// Interval of the checks for loads worth making.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a prefetch is of use; longer than a load from a shared weight store.
const PREFETCH_TTL: Duration = Duration::from_secs(14);

/// Limit of the loads requested in one check.
const MAX_LOADS_PER_CHECK: usize = 4;

/// Requests loads that are worth making until the process ends.
pub async fn keep(cx: Arc<Context>) {
    let mut asked: Vec<(RequestedLoad, PendingLoad)> = Vec::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        // At most one prefetch is pending for an engine.
        asked.retain_mut(|(_, pending)| pending.is_pending());
        if !is_leader(&cx) {
            continue;
        }
        for _ in 0..MAX_LOADS_PER_CHECK {
            let list: Vec<RequestedLoad> = asked.iter().map(|(a, _)| a.clone()).collect();
            let Some(found) = next(&cx, &list) else {
                break;
            };
            let prefetch::Outcome { model, place, gain } = found;
            let target = cx.state().view.get(place.key).target.id.clone();
            Line::new("ahead")
                .text("model", &model)
                .text("target", &target)
                .show("from", format_args!("{:?}", place.from))
                .show("victims", format_args!("{:?}", place.victims))
                .num("cost_ms", place.cost_ms as i64)
                .num("gain_1000", (gain.unwrap_or_default() * 1000.0) as i64)
                .write();
            let Some(pending) = load::request(&cx, &model, &place, PREFETCH_TTL, true) else {
                break;
            };
            asked.push((
                RequestedLoad {
                    key: place.key,
                    model,
                },
                pending,
            ));
        }
    }
}

/// Only one entry requests prefetches and records versions: the one with the least name among the entries linked to the agents.
pub(crate) fn is_leader(cx: &Context) -> bool {
    let state = cx.state();
    let peers = state.peers.as_ref();
    peers.is_none_or(|(p, _)| p.least_name >= cx.settings.name)
}

fn next(cx: &Context, asked: &[RequestedLoad]) -> Option<prefetch::Outcome> {
    let state = cx.state();
    let catalogue = state.catalogue.as_ref()?;
    let mut engines = catalogue
        .services
        .iter()
        .filter_map(|s| Some((&s.name, s.engine.as_ref()?)));
    engines.find_map(|(name, engine)| prefetch::next(&state.view, name, engine, asked, cx.now()))
}
