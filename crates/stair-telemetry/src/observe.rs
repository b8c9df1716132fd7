//! A read-only HTTP listener with the metrics and the state of a process.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /dump` | the whole state as JSON |
//! | any other path | counters, gauges and histograms as text |

use hyper::{
    Request,
    Response,
    body::Incoming, //
};
use serde_json::Value;
use stair_http::{
    body::full,
    server, //
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

use crate::operator;

/// Callbacks into the process that the listener serves.
#[derive(Debug, Clone)]
pub struct Options<P, D> {
    /// Returns the metrics as text.
    pub page: P,
    /// Returns the response body of `GET /dump`.
    pub dump: D,
}

/// Serves requests until `stop` turns true.
pub async fn serve<P, D, DF>(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    opts: Options<P, D>,
) where
    P: Fn() -> String + Clone + Send + Sync + 'static,
    D: Fn() -> DF + Clone + Send + Sync + 'static,
    DF: Future<Output = Value> + Send + 'static,
{
    let handler = move |req: Request<Incoming>| {
        let opts = opts.clone();
        async move {
            match req.uri().path() {
                "/dump" => operator::state_response((opts.dump)()).await,
                _ => Response::new(full((opts.page)())),
            }
        }
    };
    server::serve(listener, server::Options::default(), stop, handler).await;
}
