//! The verbs that talk to a running process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};
use stair_telemetry::operator::{
    Routes,
    serve, //
};
use tokio::{
    net::TcpListener,
    process::Command,
    sync::watch,
    task::JoinHandle,
    time::timeout, //
};

const LONG: Duration = Duration::from_secs(60);

struct Listener {
    addr: String,
    task: JoinHandle<()>,
}

// A process that ends once it is told to drain, unless it has work without end.
async fn listener(busy: bool) -> Listener {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap().to_string();
    let (stop, stopped) = watch::channel(false);
    let routes = Routes {
        status: || async { json!({ "name": "entry-1", "config": 7 }) },
        dump: || async { json!({ "targets": [] }) },
        drain: move || {
            stop.send_replace(!busy);
            async {}
        },
    };
    let task = tokio::spawn(serve(socket, stopped, routes));
    Listener { addr, task }
}

struct Ended {
    code: Option<i32>,
    stdout: String,
}

async fn run(args: &[&str]) -> Ended {
    let child = Command::new(env!("CARGO_BIN_EXE_dandelionstair"))
        .args(args)
        .output();
    let output = timeout(LONG, child).await.unwrap().unwrap();
    Ended {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
    }
}

async fn nobody() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    socket.local_addr().unwrap()
}

#[tokio::test]
async fn status_and_dump() {
    let l = listener(false).await;
    let status = run(&["status", &l.addr]).await;
    assert_eq!(status.code, Some(0));
    let line = status.stdout.trim().strip_prefix(&l.addr).unwrap();
    let value: Value = serde_json::from_str(line).unwrap();
    assert_eq!(value, json!({ "name": "entry-1", "config": 7 }));
    let dump = run(&["dump", &l.addr]).await;
    let value: Value = serde_json::from_str(&dump.stdout).unwrap();
    assert_eq!(value, json!({ "targets": [] }));
}

#[tokio::test]
async fn drain_waits() {
    let l = listener(false).await;
    let drain = run(&["drain", &l.addr, "--wait", "--timeout", "60"]).await;
    assert_eq!(drain.code, Some(0));
    timeout(LONG, l.task).await.unwrap().unwrap();
}

// A process is drained while a request runs that takes longer than the operator waits. The command
// says that the process has not ended, by its own exit code, and the request goes on.
#[tokio::test]
async fn drain_in_vain() {
    let l = listener(true).await;
    let drain = run(&["drain", &l.addr, "--wait", "--timeout", "1"]).await;
    assert_eq!(drain.code, Some(4));
    assert!(!l.task.is_finished());
}

// One of the processes that an operator asks is gone. He still reads the status of the others,
// and the exit code tells him that one is missing.
#[tokio::test]
async fn process_gone() {
    let l = listener(false).await;
    let gone = nobody().await.to_string();
    let status = run(&["status", &gone, &l.addr]).await;
    assert_eq!(status.code, Some(1));
    assert!(status.stdout.contains("entry-1"));
}
