//! What the operator asks of the agent: status, state dump and planned stop.

use std::pin::Pin;

use ractor::ActorRef;
use serde_json::{
    Value,
    json, //
};
use stair_telemetry::operator;
use tokio::{
    net::TcpListener,
    sync::{
        oneshot,
        watch, //
    },
};

use crate::{
    dump::Dump,
    msg::Msg, //
};

/// Asks the control for its state.
pub(crate) async fn dump(control: &ActorRef<Msg>) -> Option<Dump> {
    let (reply, received) = oneshot::channel();
    control.send_message(Msg::Dump { reply }).ok()?;
    received.await.ok()
}

type BoxedReply<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Serves the operator until `stop` turns true.
pub(crate) async fn serve(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    control: ActorRef<Msg>,
    drain: watch::Sender<bool>,
) {
    let for_status = control.clone();
    let routes = operator::Routes {
        status: move || -> BoxedReply<Value> {
            let control = for_status.clone();
            Box::pin(async move { dump(&control).await.map_or(Value::Null, |d| status(&d)) })
        },
        dump: move || -> BoxedReply<Value> {
            let control = control.clone();
            Box::pin(async move { json!(dump(&control).await) })
        },
        drain: move || -> BoxedReply<()> {
            drain.send_replace(true);
            Box::pin(std::future::ready(()))
        },
    };
    operator::serve(listener, stop, routes).await;
}

fn status(dump: &Dump) -> Value {
    json!({
        "name": dump.target,
        "incarnation": dump.incarnation,
        "config": dump.config,
        "draining": dump.leaving,
    })
}
