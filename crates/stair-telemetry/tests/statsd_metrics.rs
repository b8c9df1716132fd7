//! Metrics as a statsd server receives them.

use std::{
    net::UdpSocket,
    time::{
        Duration,
        Instant, //
    }, //
};

use stair_telemetry::{
    Metrics,
    metrics::{
        LoadOutcome,
        PlatformCall,
        Source, //
    }, //
};
use stair_types::{
    Reason,
    TierName,
    Verdict, //
};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn receive(statsd: &UdpSocket, metrics: &Metrics, lines: usize) -> Vec<String> {
    let mut received = Vec::new();
    let mut buf = [0; 2048];
    let start = Instant::now();
    statsd
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    while received.len() < lines && start.elapsed() < TEST_TIMEOUT {
        metrics.flush();
        if let Ok(n) = statsd.recv(&mut buf) {
            let text = std::str::from_utf8(&buf[..n]).unwrap();
            received.extend(text.lines().map(str::to_owned));
        }
    }
    received
}

#[test]
fn lines_arrive() {
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    let metrics = Metrics::new(Some(statsd.local_addr().unwrap())).unwrap();
    let tier = TierName::try_from("gold").unwrap();
    metrics.request(&tier, Verdict::Answered);
    metrics.refusal(Reason::QueueFull, Verdict::NotRun);
    metrics.queue_length(&tier, 3);
    metrics.cold_start(Source::Remote);
    metrics.load(LoadOutcome::Loaded);
    metrics.idle_accelerator_seconds(9);
    metrics.platform_call(PlatformCall::Watch, true);
    metrics.link_replaced();
    let expected = [
        "dandelionstair.requests:1|c|#tier:gold,verdict:answered",
        "dandelionstair.refusals:1|c|#reason:queue-full,verdict:not-run",
        "dandelionstair.queue.length:3|g|#tier:gold",
        "dandelionstair.cold_starts:1|c|#source:remote",
        "dandelionstair.loads:1|c|#outcome:loaded",
        "dandelionstair.idle_accelerator_seconds:9|c",
        "dandelionstair.platform.calls:1|c|#call:watch,outcome:ok",
        "dandelionstair.links.replaced:1|c",
    ];
    assert_eq!(receive(&statsd, &metrics, expected.len()), expected);
}

// Guards against a missing or blocked statsd server that delays requests: metrics that exceed the
// queue are dropped, and counting does not block.
#[test]
fn missing_server() {
    let closed = UdpSocket::bind("127.0.0.1:0").unwrap();
    let addr = closed.local_addr().unwrap();
    drop(closed);
    let metrics = Metrics::new(Some(addr)).unwrap();
    let start = Instant::now();
    for _ in 0..100_000 {
        metrics.link_replaced();
    }
    metrics.flush();
    assert!(start.elapsed() < TEST_TIMEOUT);
}

#[test]
fn no_address() {
    let metrics = Metrics::new(None).unwrap();
    metrics.link_replaced();
    metrics.flush();
}
