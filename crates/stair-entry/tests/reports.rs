//! The metrics that an entry sends to statsd.

use std::net::{
    SocketAddr,
    UdpSocket, //
};

use serde_json::json;
use stair_config::EntrySettings;
use stair_entry::Entry;
use stair_link::keys::Authority;
use stair_platform::{
    HttpStore,
    http, //
};
use tokio::net::TcpSocket;

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

// The platform is down when an entry starts. The metrics must show the failed calls by kind.
#[tokio::test(flavor = "multi_thread")]
async fn failed_calls() {
    let statsd = UdpSocket::bind(any_port()).expect("binds");
    let statsd_addr = statsd.local_addr().expect("is bound");
    // Bound but never listened on: connections are refused, and no other socket gets the port. A
    // released port could be assigned to the next socket that binds to port 0, such as the entry's
    // own operator listener, which would respond.
    let closed = TcpSocket::new_v4().expect("opens");
    closed.bind(any_port()).expect("binds");
    let platform = closed.local_addr().expect("is bound");
    let settings = json!({
        "name": "e", "data_centre": "dc", "platform": platform,
        "listen": any_port(), "link": any_port(), "operator": any_port(),
        "tls": { "authority": "", "certificate": "", "key": "" },
        "telemetry": { "statsd": statsd_addr },
    });
    let settings: EntrySettings = serde_json::from_value(settings).expect("well formed");
    let keys = Authority::generate().and_then(|a| a.issue());
    let store = HttpStore::new(platform, http::Options::default());
    let entry = Entry::start(settings, keys.expect("keys can be made"), store).await;
    let entry = entry.expect("it starts");

    let report = tokio::task::spawn_blocking(move || {
        let mut buf = [0; 2048];
        loop {
            let len = statsd.recv(&mut buf).expect("statsd receives");
            let text = String::from_utf8_lossy(&buf[..len]).into_owned();
            if text.contains("platform.calls") {
                return text;
            }
        }
    });
    let report = report.await.expect("the reader does not panic");

    assert!(
        report.contains("platform.calls:1|c|#call:list,outcome:failed"),
        "{report}"
    );
    entry.stop().await;
    drop(closed);
}
