//! Every caller gets the answer to its own request.

mod support;

use std::sync::Arc;

use support::{
    agent::{
        FakeAgent,
        Session, //
    },
    rig::{
        GOLD,
        Rig,
        keys, //
    },
};

const CALLERS: usize = 200;

/// Answers with the request itself, in parts and out of the order of arrival.
async fn echo(mut s: Session) {
    let text = String::from_utf8(s.body.to_vec()).expect("text");
    s.queued().await;
    if !s.offer().start_when_ready && !s.ready().await {
        return;
    }
    s.head("application/json", 0).await;
    let (first, second) = text.split_at(text.len() / 2);
    s.body(first).await;
    for _ in 0..text.len() % 7 {
        tokio::task::yield_now().await;
    }
    s.body(second).await;
    s.end(text.len() as u64).await;
}

// Hundreds of advocates ask at the same time through shared links. An answer that reaches the
// wrong one would give a stranger's brief away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_body_returns() {
    let keys = keys();
    let a = FakeAgent::start("t1", &keys, echo);
    let b = FakeAgent::start("t2", &keys, echo);
    let rig = Arc::new(Rig::start(&keys, &[&a, &b]).await);

    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..CALLERS {
        let rig = rig.clone();
        tasks.spawn(async move {
            let model = ["billed", "free"][i % 2];
            let mark = "x".repeat(i * 37);
            let body = format!(r#"{{"model":"{model}","prompt":"{i} {mark}"}}"#);
            let got = rig.post(GOLD, &body, &[]).await;
            assert_eq!(got.status.as_u16(), 200);
            assert!(got.body[..] == *body.as_bytes(), "caller {i} got another");
        });
    }
    assert_eq!(tasks.join_all().await.len(), CALLERS);
}
