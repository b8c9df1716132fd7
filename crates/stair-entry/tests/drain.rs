//! A planned stop.

mod support;

use std::sync::Arc;

use support::{
    LONG,
    agent::{
        Event,
        FakeAgent, //
    },
    in_time,
    rig::{
        BILLED,
        GOLD,
        Rig,
        keys, //
    },
};
use tokio::sync::Notify;

// An operator replaces the entry's VM while a request runs. The running one must get its answer;
// a new one is told that nothing ran, and to open a new connection, which the balancer brings to
// another entry.
#[tokio::test]
async fn running_is_finished() {
    let keys = keys();
    let release = Arc::new(Notify::new());
    let wait = release.clone();
    let mut agent = FakeAgent::start("t1", &keys, move |s| {
        let wait = wait.clone();
        async move {
            wait.notified().await;
            s.serve("{}").await;
        }
    });
    let rig = Arc::new(Rig::start(&keys, &[&agent]).await);
    let poster = rig.clone();
    let running = tokio::spawn(async move { poster.post(GOLD, BILLED, &[]).await });
    assert_eq!(agent.next().await, Event::Offered);

    rig.traffic.begin_drain();
    let refused = rig.send(GOLD, BILLED, &[]).await;
    assert_eq!(refused.head.status.as_u16(), 503);
    assert_eq!(refused.head.headers["connection"], "close");
    assert!(refused.head.headers.contains_key("retry-after"));
    let body = refused.collect(1 << 16, LONG).await.expect("whole");
    assert!(String::from_utf8_lossy(&body).contains("\"leaving\""));
    release.notify_one();

    let got = in_time(running).await.expect("no panic");
    assert_eq!(got.status.as_u16(), 200);
    in_time(rig.traffic.drained()).await;
}
