//! Requests that are wrong and are told so at once.

mod support;

use stair_config::EntryLimits;
use stair_standin::memory::MemoryStore;
use support::{
    agent::FakeAgent,
    rig::{
        GOLD,
        Rig,
        keys,
        request, //
    },
};

async fn rig() -> Rig {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let limits = EntryLimits {
        max_body_bytes: 1_000,
        ..EntryLimits::default()
    };
    Rig::with(&keys, &[&agent], limits, MemoryStore::default()).await
}

async fn check(method: &str, path: &str, key: &str, body: &str, status: u16, code: &str) {
    let rig = rig().await;

    let got = rig.call(request(method, path, key, body, &[])).await;

    assert_eq!(got.status.as_u16(), status, "{method} {path}");
    assert_eq!(got.code(), code, "{method} {path}");
    assert_eq!(&*got.verdict, "not-run");
}

const PATH: &str = "/v1/completions";

#[tokio::test]
async fn missing_key() {
    check("POST", PATH, "", "{}", 401, "unauthorized").await;
}

#[tokio::test]
async fn unknown_key() {
    check("POST", PATH, "nobody", "{}", 401, "unauthorized").await;
}

#[tokio::test]
async fn unknown_path() {
    check("GET", "/v2", GOLD, "", 404, "unknown").await;
}

#[tokio::test]
async fn wrong_method() {
    check("GET", PATH, GOLD, "", 405, "unknown").await;
}

#[tokio::test]
async fn bad_json() {
    check("POST", PATH, GOLD, "{", 400, "invalid").await;
}

#[tokio::test]
async fn unknown_model() {
    check("POST", PATH, GOLD, r#"{"model":"no"}"#, 404, "unknown").await;
}

#[tokio::test]
async fn unknown_adapter() {
    let body = r#"{"model":"free/no"}"#;
    check("POST", PATH, GOLD, body, 404, "unknown").await;
}

#[tokio::test]
async fn unknown_service() {
    check("GET", "/services/no/x", GOLD, "", 404, "unknown").await;
}

#[tokio::test]
async fn parent_segment_path() {
    let path = "/services/lookup/words/%2e./pay";
    check("GET", path, GOLD, "", 400, "invalid").await;
}

#[tokio::test]
async fn large_body() {
    let body = "x".repeat(1_001);
    check("POST", PATH, GOLD, &body, 413, "invalid").await;
}

#[tokio::test]
async fn models_listed() {
    let rig = rig().await;

    let got = rig.call(request("GET", "/v1/models", GOLD, "", &[])).await;

    let text = String::from_utf8(got.body.to_vec()).expect("text");
    for id in ["billed", "billed/short", "free", "free/short"] {
        assert!(text.contains(&format!("{id:?}")), "{id} is not in {text}");
    }
}

#[tokio::test]
async fn health_check() {
    let rig = rig().await;
    let post = || request("GET", "/healthz", "", "", &[]);

    assert_eq!(rig.call(post()).await.status.as_u16(), 200);
    rig.traffic.begin_drain();
    assert_eq!(rig.call(post()).await.status.as_u16(), 503);
}
