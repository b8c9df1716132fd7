//! A request runs at most once, and its answer survives its link.

mod common;

use std::time::Duration;

use common::{
    World,
    entry::Stream,
    eventually,
    until, //
};
use stair_types::{
    FencingToken,
    Reason,
    Verdict, //
};
use stair_wire::{
    frame::Frame,
    request::{
        FromAgent,
        ToAgent, //
    }, //
};

// The entry sends `Start`, and its link breaks before the answer comes. The entry cannot tell
// whether `Start` arrived, so it resumes, and a confused one offers the request again. If either
// ran it a second time, the caller would pay twice.
#[tokio::test(flavor = "multi_thread")]
async fn starts_once() {
    let world = World::new(&["m1"]).await;
    world.engine.open.send_replace(false);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut stream = Stream::offer(&link, 1, "m1", false).await;
    stream.start().await;
    stream.write(ToAgent::Start).await;
    eventually(|| !world.engine.runs().is_empty()).await;

    let again = Stream::offer(&link, 1, "m1", false).await.finish().await;
    let mut resumed = Stream::resume(&link, 1, 0, agent.incarnation()).await;
    world.engine.open.send_replace(true);

    let refusal = again.refusal();
    assert_eq!(refusal.reason, Reason::Duplicate);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(resumed.finish().await.body(), r#"{"text":"done"}"#);
    assert_eq!(world.engine.runs().len(), 1);
}

// A connection between entry and agent goes silent in the middle of a streamed answer. The entry
// opens a new link and asks for the rest. The caller should see the whole answer, no byte of it
// twice or missing, and pay for one run.
#[tokio::test(flavor = "multi_thread")]
async fn resumes_at_offset() {
    let world = World::new(&["m1"]).await;
    world.engine.second_half.send_replace(false);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut stream = Stream::offer(&link, 1, "m1", true).await;
    stream.start().await;
    let head = stream.next().await;
    assert!(matches!(
        head,
        Frame::Message(FromAgent::Head { offset: 0, .. })
    ));
    let Frame::Body(first) = stream.next().await else {
        panic!("no body came");
    };

    link.close();
    let link = world.entry.link(&agent).await;
    let offset = first.len() as u64;
    let mut resumed = Stream::resume(&link, 1, offset, agent.incarnation()).await;
    world.engine.second_half.send_replace(true);

    let Frame::Message(FromAgent::Head { offset: from, .. }) = resumed.next().await else {
        panic!("no head came");
    };
    assert_eq!(from, offset);
    let Frame::Body(rest) = resumed.next().await else {
        panic!("no body came");
    };
    assert_eq!([first, rest].concat(), b"data: one\n\ndata: two\n\n");
    let end = resumed.next().await;
    assert!(matches!(
        end,
        Frame::Message(FromAgent::End {
            total_bytes: 22,
            ..
        })
    ));
    assert_eq!(world.engine.runs().len(), 1);
}

// The link breaks after `Ready`, and `Start` may be under way on it. The entry asks on a new link,
// hears that nothing ran, and sends the request to another target. A `Start` that still came
// through afterwards must run nothing here, or the request would run at both.
#[tokio::test(flavor = "multi_thread")]
async fn resume_withdraws() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut stream = Stream::offer(&link, 1, "m1", false).await;
    stream.ready().await;

    let mut resumed = Stream::resume(&link, 1, 0, agent.incarnation()).await;
    let refusal = resumed.finish().await.refusal();
    stream.write(ToAgent::Start).await;
    let late = stream.finish().await.refusal();

    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.reason, Reason::LinkLost);
    assert_eq!(late.verdict, Verdict::NotRun);
    assert!(world.engine.runs().is_empty());
}

// The agent was replaced while a request ran. The new one knows nothing of the run, and "not run"
// would let the entry send it elsewhere although the engine may have run it.
#[tokio::test(flavor = "multi_thread")]
async fn other_incarnation() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let mut resumed = Stream::resume(&link, 1, 0, FencingToken(0)).await;

    let refusal = resumed.finish().await.refusal();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(refusal.reason, Reason::LinkLost);
}

// An entry dies while its requests wait and run. Nobody will take up their answers, and without
// an end they would keep the engine's slots from other callers.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_resumes() {
    let mut world = World::new(&["m1"]).await;
    world.limits.keep_answer_ms = 100;
    world.engine.open.send_replace(false);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut stream = Stream::offer(&link, 1, "m1", false).await;
    stream.start().await;
    eventually(|| !world.engine.runs().is_empty()).await;

    link.close();

    until(&agent, |d| d.running.is_empty() && d.responses == 0).await;
}

// The entry says `Cancel`, because its caller went away, while the engine computes.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_frees_slot() {
    let world = World::new(&["m1"]).await;
    world.engine.open.send_replace(false);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut stream = Stream::offer(&link, 1, "m1", false).await;
    stream.start().await;
    eventually(|| !world.engine.runs().is_empty()).await;

    stream.write(ToAgent::Cancel).await;

    let refusal = stream.finish().await.refusal();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    until(&agent, |d| d.running.is_empty()).await;
}

// An entry is paused between `Ready` and `Start`. The slot must not stay empty for as long as the
// pause lasts, and the entry must learn for certain that nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn start_too_late() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut stream = Stream::offer(&link, 1, "m1", false).await;
    stream.ready().await;

    let Frame::Message(FromAgent::Refused { refusal, .. }) = stream.next().await else {
        panic!("no refusal came");
    };

    assert_eq!(refusal.verdict, Verdict::NotRun);
    let dump = until(&agent, |d| d.running.is_empty()).await;
    assert!(dump.waiting.is_empty());
    tokio::time::timeout(Duration::from_secs(5), agent.stop())
        .await
        .expect("stops in time")
        .expect("stops");
}
