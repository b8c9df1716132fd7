//! Finds the targets that could run a request, now or later.

use std::sync::Arc;

use stair_fleet::{
    backoff_queue::Place,
    choose::{
        self,
        BackoffWait, //
    },
    cold_start,
    target::CopyLocation,
    view::TargetKey, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    context::Context,
    job::Job, //
};

/// The placement of another replica for a model whose best target is slow. It must not come from the weight
/// store.
pub(crate) fn replica_placement(
    cx: &Arc<Context>,
    job: &Job,
    excluded: &[TargetKey],
) -> Option<cold_start::Outcome> {
    placement_of(cx, job, excluded).filter(|at| at.from != CopyLocation::Store)
}

/// The cheapest placement of the request's model.
pub(super) fn placement_of(
    cx: &Context,
    job: &Job,
    excluded: &[TargetKey],
) -> Option<cold_start::Outcome> {
    let (model, engine) = job.model_of_engine()?;
    let state = cx.state();
    let now = cx.now();
    cold_start::choose(&state.view, &job.load_of(engine, model, excluded), now)
}

/// The target at which the request has the first turn, of those that it could run at but for a backoff or the
/// requests that go before it.
pub(super) fn first_turn(
    cx: &Context,
    job: &Job,
    tried: &[TargetKey],
    place: Place,
) -> Option<BackoffWait> {
    let opts = choose_options(cx, job, tried, false);
    let now = cx.now();
    let state = cx.state();
    let withheld = state.withheld(place, now);
    choose::backoff_waits(&state.view, &opts, &withheld, now)
        .filter_map(|b| {
            let objective = job.route.objective;
            let target = state.backoff_target(b.key);
            let wait = state.backoffs.queue.turn(target, place, objective, now)?;
            Some(BackoffWait { wait, ..b })
        })
        .min_by_key(|b| b.wait)
}

pub(super) fn lacks_connection(cx: &Context, job: &Job, tried: &[TargetKey]) -> bool {
    let opts = choose_options(cx, job, tried, false);
    choose::lacks_connection(&cx.state().view, &opts, cx.now())
}

pub(crate) fn find_ready(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    suspects: bool,
) -> Option<choose::Outcome> {
    let opts = choose_options(cx, job, tried, suspects);
    choose::choose(&cx.state().view, &opts, cx.now())
}

fn choose_options<'a>(
    cx: &'a Context,
    job: &'a Job,
    tried: &'a [TargetKey],
    suspects: bool,
) -> choose::Options<'a> {
    choose::Options {
        service: &job.service,
        model: job.model_of_engine().map(|(m, _)| m),
        adapter: job.meta.adapter.as_deref(),
        tokens: job.meta.prompt_tokens,
        shared: job.shared_prefix,
        data_centre: cx.settings.data_centre.as_str(),
        tried,
        salt: salt(job),
        suspects,
        version: job.version(),
        connections: cx.connections(job),
        pause: job.shortest_pause,
        placement: cx.placement(),
    }
}

pub(super) fn salt(job: &Job) -> u64 {
    xxh3_64(job.meta.id.as_bytes())
}
