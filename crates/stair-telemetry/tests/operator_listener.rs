//! The HTTP listener for operators over a real socket.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use stair_http::{
    Client,
    client::Options, //
};
use stair_telemetry::operator::{
    Routes,
    serve, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle, //
};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct Listener {
    client: Client,
    drained: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

async fn start_listener(dump_hangs: bool) -> Listener {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(socket.local_addr().unwrap(), Options::default());
    let (stop, stopped) = watch::channel(false);
    let drained = Arc::new(AtomicBool::new(false));
    let flag = drained.clone();
    let routes = Routes {
        status: || async { json!({ "config": 7 }) },
        dump: move || async move {
            if dump_hangs {
                std::future::pending::<()>().await;
            }
            json!({ "targets": ["a", "b"] })
        },
        drain: move || {
            flag.store(true, Ordering::SeqCst);
            async {}
        },
    };
    let task = tokio::spawn(serve(socket, stopped, routes));
    Listener {
        client,
        drained,
        stop,
        task,
    }
}

async fn send_request(client: &Client, method: Method, path: &str) -> (StatusCode, Value) {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(Bytes::new()))
        .unwrap();
    let resp = client.send(req, TEST_TIMEOUT).await.unwrap();
    let status = resp.head.status;
    let body = resp.collect(1 << 20, TEST_TIMEOUT).await.unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

#[tokio::test]
async fn pages_answer() {
    let l = start_listener(false).await;
    let status = send_request(&l.client, Method::GET, "/status").await;
    assert_eq!(status, (StatusCode::OK, json!({ "config": 7 })));
    let dump = send_request(&l.client, Method::GET, "/dump").await;
    assert_eq!(dump, (StatusCode::OK, json!({ "targets": ["a", "b"] })));
    assert!(!l.drained.load(Ordering::SeqCst));
    let drain = send_request(&l.client, Method::POST, "/drain").await;
    assert_eq!(drain.0, StatusCode::ACCEPTED);
    assert!(l.drained.load(Ordering::SeqCst));
    l.stop.send(true).unwrap();
    l.task.await.unwrap();
}

#[tokio::test]
async fn wrong_method_and_path() {
    let l = start_listener(false).await;
    let (status, _) = send_request(&l.client, Method::GET, "/drain").await;
    assert_eq!(status, StatusCode::METHOD_NOT_ALLOWED);
    assert!(!l.drained.load(Ordering::SeqCst));
    let (status, _) = send_request(&l.client, Method::GET, "/else").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

// Guards against a dump request that never completes: the control thread of the process hangs, and
// the operator gets an error response after a few seconds.
#[tokio::test]
async fn hung_process() {
    let l = start_listener(true).await;
    let (status, body) = send_request(&l.client, Method::GET, "/dump").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(body["error"].as_str().unwrap().contains("did not tell"));
    let (status, _) = send_request(&l.client, Method::GET, "/status").await;
    assert_eq!(status, StatusCode::OK);
}
