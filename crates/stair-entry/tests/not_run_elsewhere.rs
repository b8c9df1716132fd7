//! Work that has surely not run goes to another target.

mod support;

use stair_types::{
    Reason,
    Refusal, //
};
use support::{
    agent::{
        Event,
        FakeAgent,
        Session, //
    },
    rig::{
        BILLED,
        GOLD,
        Rig,
        keys, //
    },
};

// A VM is being taken away and its agent refuses new work, while the platform's list still calls
// it live. Callers must get their answer from the other target, and the leaving one no more work.
#[tokio::test]
async fn leaving_target_avoided() {
    let keys = keys();
    let mut leaving = FakeAgent::start("t1", &keys, |mut s: Session| async move {
        let refusal = Refusal::not_run(Reason::Leaving, 0, "leaving");
        s.refuse(refusal).await;
    });
    let staying = FakeAgent::start("t2", &keys, |s| s.serve("{}"));
    let rig = Rig::start(&keys, &[&leaving, &staying]).await;

    for _ in 0..40 {
        let got = rig.post(GOLD, BILLED, &[]).await;
        assert_eq!(got.status.as_u16(), 200);
    }

    let offers = leaving.rest().len();
    assert!(offers <= 1, "a leaving target got {offers} offers");
}

// The link breaks while billed work waits in a queue. It has not been started, so it is safe to
// move and the caller notices nothing.
#[tokio::test]
async fn broken_wait_moves() {
    let keys = keys();
    let mut broken = FakeAgent::start("t1", &keys, |mut s: Session| async move {
        s.queued().await;
        s.link.close();
    });
    let sound = FakeAgent::start("t2", &keys, |s| s.serve("{}"));
    let rig = Rig::start(&keys, &[&broken, &sound]).await;

    for _ in 0..8 {
        let got = rig.post(GOLD, BILLED, &[]).await;
        assert_eq!(got.status.as_u16(), 200);
    }

    assert!(!broken.rest().contains(&Event::Started));
}

// All targets are full. The caller must hear it at once, with the time after which the first of
// them expects room.
#[tokio::test]
async fn all_full_refused() {
    let keys = keys();
    let full = |ms| {
        move |mut s: Session| async move {
            let refusal = Refusal::not_run(Reason::QueueFull, ms, "full");
            s.refuse(refusal).await;
        }
    };
    let a = FakeAgent::start("t1", &keys, full(2_000));
    let b = FakeAgent::start("t2", &keys, full(20_000));
    let rig = Rig::start(&keys, &[&a, &b]).await;

    let got = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(got.status.as_u16(), 429);
    assert_eq!(&*got.verdict, "not-run");
    let seconds = got.retry_after.expect("says when to come back");
    assert!((2..=4).contains(&seconds), "come back after {seconds} s");
}

#[tokio::test]
async fn no_target_refused() {
    let keys = keys();
    let rig = Rig::start(&keys, &[]).await;

    let got = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(got.status.as_u16(), 503);
    assert_eq!(got.code(), "no-target");
    assert_eq!(&*got.verdict, "not-run");
    assert!(got.retry_after.is_some());
}
