//! What the agent orders next, and what it answers.

use std::time::Duration;

use platform_adapter::engine::{
    Reading,
    Reply, //
};
use stair_fleet::{
    catalogue::{
        Engine,
        Model, //
    },
    msg::{
        LoadRequest, //
        Outcome,
        Used,
    },
    target::{
        Fetched,
        Inventory, //
        LoadedModel,
    },
};
use stair_sidecar::{
    controller::{
        Controller,
        LoadRequestId,
        Options,
        PlannedOrder, //
    },
    usage::LinkKey,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Models of 60 GB in an engine of 140 GB with two places for adapters.
fn decl() -> Engine {
    let model = |name: &str| Model {
        name: name.into(),
        weights_mb: 60_000.0,
        from_store: ms(6000),
        from_disk: ms(800),
        from_memory: ms(500),
        adapter_mb: 60.0,
    };
    Engine {
        slots: 64,
        weights_mb: 140_000.0,
        adapter_slots: 2,
        loads_per_s: 2.0,
        models: ["a", "b", "c", "d"].map(model).to_vec(),
    }
}

fn reading(sequence: u64, models: &[(&str, &[&str])]) -> Reading {
    let held = |(name, adapters): &(&str, &[&str])| LoadedModel {
        name: (*name).into(),
        adapters: adapters.iter().map(|a| (*a).into()).collect(),
    };
    Reading {
        holds: Inventory {
            models: models.iter().map(held).collect(),
            in_memory: Vec::new(),
            on_disk: ["a", "b", "c"].map(Into::into).to_vec(),
        },
        sequence,
        ..Reading::default()
    }
}

fn req(model: &str, adapter: Option<&str>) -> LoadRequest {
    LoadRequest {
        seq: 1,
        model: model.into(),
        adapter: adapter.map(Into::into),
        victims: Vec::new(),
        fetch: None,
        prefetch: false,
        timeout: Duration::from_secs(14),
    }
}

fn id(seq: u64) -> LoadRequestId {
    LoadRequestId {
        link: LinkKey(1),
        seq,
    }
}

fn controller(models: &[(&str, &[&str])]) -> Controller {
    let mut ctl = Controller::default();
    ctl.declare(decl());
    ctl.read(Some(reading(1, models)), ms(0));
    ctl
}

fn next(ctl: &mut Controller, now: Duration) -> Option<PlannedOrder> {
    ctl.next(&mut Vec::new(), now)
}

fn planned(load: bool, model: &str, adapter: Option<&str>, planned_on: u64) -> PlannedOrder {
    PlannedOrder {
        load,
        model: model.into(),
        adapter: adapter.map(Into::into),
        planned_on,
    }
}

#[test]
fn evicts_before_loading() {
    let mut ctl = controller(&[("a", &[]), ("b", &[])]);
    ctl.record_use(LinkKey(2), &[used("a", 3, 1)], ms(0));
    ctl.request_load(id(1), req("c", None), ms(2000));
    let first = next(&mut ctl, ms(2000));
    assert_eq!(
        first,
        Some(planned(false, "b", None, 1)),
        "the idle one goes"
    );
    let first = first.expect("a step");
    ctl.replied(&first, Some(Reply::Accepted), ms(2000));
    assert_eq!(next(&mut ctl, ms(2010)), None, "one order at a time");
    ctl.read(Some(reading(2, &[("a", &[])])), ms(2100));
    assert_eq!(next(&mut ctl, ms(2100)), Some(planned(true, "c", None, 2)));
    ctl.read(Some(reading(3, &[("a", &[]), ("c", &[])])), ms(3000));
    let resolved = ctl.resolve(true, ms(3000));
    assert_eq!(resolved, vec![(id(1), Outcome::Ready)]);
}

fn used(model: &str, sent: u32, in_flight: u32) -> Used {
    Used {
        model: model.into(),
        sent,
        in_flight,
    }
}

/// Requests for two models take turns at an engine with room for neither beside the other. If a
/// model were dropped as soon as it is there, both would load in turn and none of the requests that
/// waited would run.
#[test]
fn eviction_hold_after_a_request() {
    let mut ctl = controller(&[("a", &[]), ("b", &[])]);
    ctl.request_load(id(1), req("a", None), ms(5000));
    ctl.request_load(id(2), req("b", None), ms(5000));
    assert_eq!(ctl.resolve(true, ms(5000)).len(), 2);
    ctl.request_load(id(3), req("c", None), ms(5010));
    let mut refused = Vec::new();
    assert_eq!(ctl.next(&mut refused, ms(5010)), None);
    assert_eq!((refused, ctl.load_requests()), (vec![], 1), "it waits");
    assert!(next(&mut ctl, ms(6000)).is_some());
}

/// An engine takes no order of any kind while a model comes or goes. Ordering an adapter meanwhile
/// was refused hundreds of times a second, each a priced call.
#[test]
fn nothing_while_busy() {
    let mut ctl = controller(&[("a", &[])]);
    ctl.request_load(id(1), req("c", None), ms(0));
    let load = next(&mut ctl, ms(0)).expect("a load");
    ctl.replied(&load, Some(Reply::Accepted), ms(0));
    ctl.request_load(id(2), req("a", Some("x")), ms(10));
    assert_eq!(next(&mut ctl, ms(10)), None);
    let mut busy = reading(2, &[("a", &[])]);
    busy.busy = true;
    ctl.read(Some(busy), ms(100));
    assert_eq!(next(&mut ctl, ms(100)), None);
    ctl.read(Some(reading(2, &[("a", &[]), ("c", &[])])), ms(900));
    assert_eq!(
        next(&mut ctl, ms(900)),
        Some(planned(true, "a", Some("x"), 2))
    );
}

/// An adapter that is still in use makes way only when its requests have ended. Ordered away again
/// and again, or another one with it, the engine would lose more than it has to.
#[test]
fn one_adapter_unload_at_a_time() {
    let mut ctl = controller(&[("a", &["x", "y"])]);
    ctl.request_load(id(1), req("a", Some("z")), ms(0));
    let drop = next(&mut ctl, ms(0)).expect("room is made");
    assert!(!drop.load && drop.adapter.is_some());
    ctl.replied(&drop, Some(Reply::Accepted), ms(0));
    ctl.read(Some(reading(2, &[("a", &["x", "y"])])), ms(40));
    assert_eq!(next(&mut ctl, ms(40)), None, "it is on its way out");
    ctl.read(Some(reading(2, &[("a", &["y"])])), ms(80));
    assert_eq!(
        next(&mut ctl, ms(80)),
        Some(planned(true, "a", Some("z"), 2))
    );
}

/// The engine refuses since another order came first. Asking again at once would be refused again.
#[test]
fn pause_after_conflict() {
    let mut ctl = controller(&[("a", &[])]);
    ctl.request_load(id(1), req("b", None), ms(0));
    let load = next(&mut ctl, ms(0)).expect("a load");
    ctl.replied(&load, Some(Reply::Conflict), ms(0));
    assert_eq!(next(&mut ctl, ms(50)), None);
    assert!(next(&mut ctl, ms(200)).is_some());
}

/// The answer to an order is lost. The same order is given again, planned on the same state, so
/// that the engine carries out one of the two at most.
#[test]
fn same_order_after_a_lost_reply() {
    let mut ctl = controller(&[("a", &[])]);
    ctl.request_load(id(1), req("b", None), ms(0));
    let first = next(&mut ctl, ms(0)).expect("a load");
    ctl.replied(&first, None, ms(400));
    assert_eq!(next(&mut ctl, ms(400)), Some(first));
}

/// Without a fencing token the agent may not order; whoever asks is told so at once.
#[test]
fn no_control() {
    let mut ctl = controller(&[("a", &[])]);
    ctl.request_load(id(1), req("b", None), ms(0));
    ctl.request_load(id(2), req("a", None), ms(0));
    let resolved = ctl.resolve(false, ms(0));
    assert!(resolved.contains(&(id(1), Outcome::NoControl)));
    assert!(resolved.contains(&(id(2), Outcome::Ready)));
}

/// Only the weight store has the model and the entry has not allowed a load from there.
#[test]
fn store_load_needs_permission() {
    let mut ctl = controller(&[("a", &[])]);
    ctl.request_load(id(1), req("d", None), ms(0));
    assert_eq!(ctl.resolve(true, ms(0)), vec![(id(1), Outcome::StoreBusy)]);
}

/// A load request that no client waits for stands behind one that a request waits for.
#[test]
fn request_before_prefetch() {
    let mut ctl = controller(&[("a", &[])]);
    let prefetch = LoadRequest {
        prefetch: true,
        timeout: Duration::from_secs(14),
        ..req("b", None)
    };
    ctl.request_load(id(1), prefetch, ms(0));
    ctl.request_load(id(2), req("c", None), ms(1));
    assert_eq!(next(&mut ctl, ms(1)), Some(planned(true, "c", None, 1)));
    assert_eq!(ctl.load(ms(1)).queued_load_time, ms(1600));
}

/// An entry's link is gone: nobody waits for its load requests, and its requests count no more.
#[test]
fn disconnect_drops_requests() {
    let mut ctl = controller(&[("a", &[])]);
    ctl.request_load(id(1), req("b", None), ms(0));
    ctl.record_use(LinkKey(1), &[used("a", 1, 5)], ms(0));
    ctl.disconnected(LinkKey(1));
    assert!(!ctl.has_load_requests());
    let load = ctl.load(ms(0));
    assert!(load.usage.iter().all(|u| u.in_flight == 0));
}

/// A model's only replica is crowded: of ten prompts a second it lets four through, the others are
/// refused. What is told as its use has to show all ten, or no further replica is made.
#[test]
fn refused_prompts_are_demand() {
    let mut ctl = controller(&[("m1", &[])]);
    let used = |sent| {
        vec![Used {
            model: "m1".into(),
            sent,
            in_flight: sent,
        }]
    };
    for n in 0..40 {
        let now = ms(100 * n);
        if n % 10 < 4 {
            ctl.record_use(LinkKey(1), &used(1), now);
        } else {
            ctl.record_prompt("m1", false, ms(20), now);
        }
    }
    let load = ctl.load(ms(4000));
    let per_s = load.usage("m1").expect("used").per_s;
    assert!((7.0..13.0).contains(&per_s), "{per_s}");
}

/// A controller whose engine has no copy of model "d", which has been asked for beside two other loads.
fn controller_with_store_load(opts: Options) -> Controller {
    let mut ctl = Controller::new(opts);
    ctl.declare(decl());
    ctl.read(Some(reading(1, &[])), ms(0));
    let fetch = LoadRequest {
        fetch: Some(3),
        ..req("d", None)
    };
    ctl.request_load(id(1), fetch, ms(0));
    let load = next(&mut ctl, ms(0)).expect("a load");
    ctl.replied(&load, Some(Reply::Accepted), ms(0));
    let mut busy = reading(2, &[]);
    busy.busy = true;
    ctl.read(Some(busy), ms(40));
    ctl
}

/// Loads that run together slow each other down at the weight store, which nobody can tell but those
/// whose loads take longer than declared.
#[test]
fn reports_store_load_duration() {
    let mut ctl = controller_with_store_load(Options::default());
    let load = ctl.load(ms(9000));
    let times = load.loading.expect("under way").slowdown;
    assert!((1.49..1.51).contains(&times), "{times}");
    assert_eq!(load.fetched, None);
    ctl.read(Some(reading(3, &[("d", &[])])), ms(12_000));
    let took = Fetched {
        concurrent: 3,
        slowdown: 2.0,
    };
    assert_eq!(ctl.load(ms(12_000)).fetched, Some(took));
    assert_eq!(ctl.load(ms(200_000)).fetched, None, "others use it too");
}

/// The engine crashes in a load and comes back at once. Its models are fetched anew; were each crash
/// followed by a load, an engine that crashes again and again would use up what the weight store
/// allows to all.
#[test]
fn one_store_load_per_window() {
    let opts = Options {
        fetch_window: ms(5000),
    };
    let mut ctl = controller_with_store_load(opts);
    ctl.read(Some(reading(0, &[])), ms(1000));
    assert_eq!(next(&mut ctl, ms(1000)), None);
    ctl.request_load(id(2), req("a", None), ms(1000));
    let near = next(&mut ctl, ms(1000));
    assert_eq!(
        near,
        Some(planned(true, "a", None, 0)),
        "copies may be used"
    );
    ctl.read(Some(reading(1, &[("a", &[])])), ms(2000));
    assert_eq!(next(&mut ctl, ms(4999)), None);
    assert_eq!(next(&mut ctl, ms(5000)), Some(planned(true, "d", None, 1)));
}

/// An engine crashes in a load from the weight store and does not come back. Were the load told on,
/// it would count as one of the few that run at once, ever later, and models that requests wait for
/// would not be fetched.
#[test]
fn crash_ends_a_store_load() {
    let mut ctl = controller_with_store_load(Options::default());
    assert!(ctl.load(ms(2000)).loading.is_some());
    ctl.read(None, ms(2000));
    let load = ctl.load(ms(9000));
    assert_eq!((load.loading, load.fetched), (None, None));
}

/// An engine loses the answer to a load and starts again under its id. Its count of orders begins anew,
/// and the lost load can still be carried out where the count fits. Two models of 60 GB beside it would
/// be more than the engine holds, and it would crash.
#[test]
fn late_load_after_restart() {
    let mut ctl = controller(&[("a", &[])]);
    let started_reading = |started, sequence, models: &[(&str, &[&str])]| Reading {
        started: Some(started),
        ..reading(sequence, models)
    };
    ctl.read(Some(started_reading(10, 1, &[])), ms(0));
    ctl.request_load(id(1), req("b", None), ms(0));
    let lost = next(&mut ctl, ms(0)).expect("a load");
    assert_eq!(lost, planned(true, "b", None, 1));
    ctl.replied(&lost, None, ms(400));
    ctl.disconnected(LinkKey(1));
    ctl.read(Some(started_reading(20, 1, &[("a", &[])])), ms(500));
    ctl.request_load(id(2), req("c", None), ms(500));
    // With "a" there and "b" perhaps to come, "a" has to make way first.
    assert_eq!(next(&mut ctl, ms(1500)), Some(planned(false, "a", None, 1)));
    // Once the count is past it, the lost load is refused by the engine.
    ctl.read(Some(started_reading(20, 2, &[("a", &[])])), ms(1600));
    assert_eq!(next(&mut ctl, ms(1600)), Some(planned(true, "c", None, 2)));
}

/// What has to make way has a stream in flight, and an engine takes no order until a model that it
/// unloads has run all its streams. Requests for adapters of a busy model beside it would wait for that.
/// So the model gets no new requests first, and goes when its stream has ended.
#[test]
fn no_new_requests_before_unload() {
    let mut ctl = controller(&[("a", &[]), ("b", &[])]);
    ctl.record_use(LinkKey(1), &[used("a", 1, 1), used("b", 9, 9)], ms(0));
    let mut request = req("c", None);
    request.victims = vec!["a".into()];
    ctl.request_load(id(1), request, ms(1000));
    assert_eq!(next(&mut ctl, ms(1000)), None);
    assert!(ctl.is_evicting("a") && !ctl.is_evicting("b"));
    assert_eq!(ctl.load(ms(1000)).draining, vec!["a".into()]);
    ctl.request_load(id(2), req("b", Some("x")), ms(1010));
    assert_eq!(
        next(&mut ctl, ms(1010)),
        Some(planned(true, "b", Some("x"), 1))
    );
    ctl.cancel(id(2));
    ctl.record_use(LinkKey(1), &[used("a", 0, 0)], ms(1500));
    assert_eq!(next(&mut ctl, ms(1500)), Some(planned(false, "a", None, 1)));
}

/// The request that a model was to make way for has found its model elsewhere. The load that nobody
/// waits for any more would push out what is in use.
#[test]
fn cancel_stops_eviction() {
    let mut ctl = controller(&[("a", &[]), ("b", &[])]);
    ctl.record_use(LinkKey(1), &[used("a", 1, 1), used("b", 1, 1)], ms(0));
    let mut request = req("c", None);
    request.victims = vec!["a".into()];
    ctl.request_load(id(1), request, ms(1000));
    assert_eq!(next(&mut ctl, ms(1000)), None);
    ctl.cancel(id(1));
    ctl.resolve(true, ms(1010));
    assert!(!ctl.is_evicting("a") && !ctl.has_load_requests());
}

/// Many requests wait for one model and one for another that was asked for before it. One after the
/// other, the many wait for the load of the one as well.
#[test]
fn most_requests_first() {
    let mut ctl = controller(&[]);
    ctl.request_load(id(1), req("a", None), ms(0));
    for seq in 2..6 {
        ctl.request_load(id(seq), req("b", None), ms(seq));
    }
    assert_eq!(next(&mut ctl, ms(10)), Some(planned(true, "b", None, 1)));
}

/// An engine refuses an order by its fencing token and starts again before it is read. What was read of it
/// is dropped with the refusal; were its start dropped as well, nobody would notice the restart, and a
/// load that the life before left unanswered could come on top of a full engine.
#[test]
fn restart_after_a_fenced_order() {
    let mut ctl = controller(&[]);
    let started_reading = |started, sequence| Reading {
        started: Some(started),
        ..reading(sequence, &[("a", &[])])
    };
    ctl.read(Some(started_reading(10, 3)), ms(0));
    ctl.request_load(id(1), req("b", None), ms(0));
    let lost = next(&mut ctl, ms(0)).expect("a load");
    ctl.replied(&lost, None, ms(400));
    ctl.replied(&lost, Some(Reply::Fenced), ms(500));
    assert!(ctl.read(Some(started_reading(20, 3)), ms(600)));
    ctl.cancel(id(1));
    ctl.request_load(id(2), req("c", None), ms(600));
    assert_eq!(next(&mut ctl, ms(1500)), Some(planned(false, "a", None, 3)));
}

/// An engine crashes with the only replica of a busy model and comes back empty, with its disk. Entries ask it
/// for models again when the list has its new life, seconds later, and first for whichever request comes
/// first. All that time the busy model's requests are refused.
#[test]
fn restores_used_models() {
    let mut ctl = controller(&[("a", &[]), ("b", &[])]);
    ctl.record_use(LinkKey(2), &[used("a", 3, 1), used("b", 40, 9)], ms(0));
    ctl.read(None, ms(1000));
    assert_eq!(next(&mut ctl, ms(1000)), None);
    ctl.read(Some(reading(0, &[])), ms(4000));
    assert!(
        ctl.resolve(false, ms(4000)).is_empty(),
        "it waits for a life"
    );
    let first = next(&mut ctl, ms(4000)).expect("a load");
    assert_eq!(first, planned(true, "b", None, 0), "the busier one first");
    ctl.replied(&first, Some(Reply::Accepted), ms(4000));
    ctl.read(Some(reading(1, &[("b", &[])])), ms(4800));
    ctl.resolve(true, ms(4800));
    assert_eq!(next(&mut ctl, ms(4800)), Some(planned(true, "a", None, 1)));
}

/// What requests ask for meanwhile goes first, and nothing makes way for what was there before.
#[test]
fn requests_before_restore() {
    let mut ctl = controller(&[("a", &[]), ("b", &[])]);
    ctl.record_use(LinkKey(2), &[used("a", 3, 0), used("b", 2, 0)], ms(0));
    ctl.read(None, ms(1000));
    ctl.read(Some(reading(0, &[])), ms(4000));
    ctl.request_load(id(1), req("c", None), ms(4000));
    let first = next(&mut ctl, ms(4000)).expect("a load");
    assert_eq!(first, planned(true, "c", None, 0));
    ctl.replied(&first, Some(Reply::Accepted), ms(4000));
    ctl.read(Some(reading(1, &[("c", &[])])), ms(4800));
    ctl.resolve(true, ms(4800));
    let second = next(&mut ctl, ms(4800)).expect("a load");
    assert_eq!(second, planned(true, "a", None, 1));
    ctl.replied(&second, Some(Reply::Accepted), ms(4800));
    ctl.read(Some(reading(2, &[("a", &[]), ("c", &[])])), ms(5600));
    ctl.resolve(true, ms(5600));
    assert_eq!(next(&mut ctl, ms(5600)), None);
    assert!(!ctl.has_load_requests(), "there is no room for the rest");
}
