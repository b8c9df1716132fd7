//! A request runs at most once, and its response survives a broken link.

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

// The entry sends `Start`, and its link breaks before the response arrives. The entry does not know
// whether `Start` arrived, so it resumes; a faulty one also offers the request again. If either ran
// the request a second time, the caller would pay twice.
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

// The link between entry and agent breaks in the middle of a streamed response, and the entry
// resumes the rest on a new link. The caller has to receive the whole response, no byte of it twice
// or missing, and pay for one run.
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
        panic!("no body frame arrived");
    };

    link.close();
    let link = world.entry.link(&agent).await;
    let offset = first.len() as u64;
    let mut resumed = Stream::resume(&link, 1, offset, agent.incarnation()).await;
    world.engine.second_half.send_replace(true);

    let Frame::Message(FromAgent::Head { offset: from, .. }) = resumed.next().await else {
        panic!("no head arrived");
    };
    assert_eq!(from, offset);
    let Frame::Body(rest) = resumed.next().await else {
        panic!("no body frame arrived");
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

// The link breaks after `Ready`, with `Start` possibly in flight on it. The entry resumes on a new
// link, receives that the request did not run, and sends it to another target. If a `Start` that
// arrives afterwards ran it here, the request would run at both targets.
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

// An agent that was frozen reads `Start` after the request's deadline. A run would end before the
// target gets the request, and the request would count as one that may have run: its caller could
// not repeat it under its idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn start_after_deadline() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let first = Stream::offer(&link, 0, "m1", false).await.finish().await;
    assert_eq!(first.body(), r#"{"text":"done"}"#);
    let mut stream = Stream::offer_within(&link, 1, "m1", false, 1_000).await;
    stream.ready().await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;

    stream.write(ToAgent::Start).await;
    let refusal = stream.finish().await.refusal();

    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(world.engine.runs().len(), 1);
    let again = Stream::offer(&link, 2, "m1", false).await.finish().await;
    assert_eq!(again.body(), r#"{"text":"done"}"#);
}

// The agent is replaced while a request runs. The new agent has no record of the run, and a "not
// run" verdict would let the entry send the request elsewhere although the engine may have run it.
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

// An entry fails while its request runs, and no entry resumes the response. If the run did not end
// after a while, it would withhold the engine's slot from other callers.
#[tokio::test(flavor = "multi_thread")]
async fn unresumed_run_ends() {
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

// The entry sends `Cancel` during a run because its caller has disconnected. The run has to end and
// free its slot.
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

// An entry is paused between `Ready` and `Start`. The slot must not stay idle for the whole pause,
// and the entry must receive that the request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn start_too_late() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut stream = Stream::offer(&link, 1, "m1", false).await;
    stream.ready().await;

    let Frame::Message(FromAgent::Refused { refusal, .. }) = stream.next().await else {
        panic!("no refusal arrived");
    };

    assert_eq!(refusal.verdict, Verdict::NotRun);
    let dump = until(&agent, |d| d.running.is_empty()).await;
    assert!(dump.waiting.is_empty());
    tokio::time::timeout(Duration::from_secs(5), agent.stop())
        .await
        .expect("stops in time")
        .expect("stops");
}
