//! The plain service's stand-in.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use http_body_util::Full;
use hyper::Request;
use stair_http::client::{
    Client,
    Error,
    Options as ClientOptions, //
};
use stair_standin::{
    Recorder,
    Service,
    service::{
        Options,
        Reply, //
    }, //
};

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(200);
const MAX_BYTES: usize = 1 << 20;

async fn start() -> (Service, Recorder, Client) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let recorder = Recorder::new();
    let service = Service::start(any, Options::default(), recorder.clone()).await;
    let service = service.expect("a free port");
    let client = Client::new(service.addr(), ClientOptions::default());
    (service, recorder, client)
}

async fn call(client: &Client, marker: &str, time: Duration) -> Result<Reply, Error> {
    let req = Request::put("/a/b?c=d")
        .header("x-request-id", "id-1")
        .body(Full::from(marker.to_owned()))
        .expect("a request");
    let answer = client.send(req, time).await?;
    let body = answer.collect(MAX_BYTES, LONG).await?;
    Ok(serde_json::from_slice(&body).expect("a reply"))
}

#[tokio::test]
async fn echo() {
    let (_service, recorder, client) = start().await;
    let reply = call(&client, "m1", LONG).await.expect("an answer");
    assert_eq!((&*reply.method, &*reply.path), ("PUT", "/a/b?c=d"));
    assert_eq!((&*reply.marker, reply.count), ("m1", 1));
    let runs = recorder.runs_by_id("id-1");
    assert!(runs.len() == 1 && runs[0].completed);
}

/// The service takes a call and dies, hangs or breaks off in its answer. The call has run, and
/// its record says that it did not end well.
#[tokio::test]
async fn faults() {
    let (service, recorder, client) = start().await;
    service.set_faults(|f| f.stall = true);
    let silent = call(&client, "m1", SHORT).await;
    assert!(matches!(silent, Err(Error::Lost(_))), "{silent:?}");
    service.set_faults(|f| {
        f.stall = false;
        f.cut_after = Some(5);
    });
    let cut = call(&client, "m2", LONG).await;
    assert!(matches!(cut, Err(Error::Lost(_))), "{cut:?}");
    service.stop().await.expect("stopped");
    let refused = call(&client, "m3", LONG).await;
    assert!(matches!(refused, Err(Error::NotSent(_))), "{refused:?}");
    service.set_faults(|f| f.cut_after = None);
    service.restart().expect("restarted");
    assert_eq!(call(&client, "m4", LONG).await.expect("an answer").count, 3);

    let completed = recorder.runs(|run| run.completed);
    assert!(completed.len() == 1 && &*completed[0].marker == "m4");
    let counts = ["m1", "m2", "m3"].map(|marker| recorder.runs_of(marker).len());
    assert_eq!(counts, [1, 1, 0]);
}
