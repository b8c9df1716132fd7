//! The state dump of the traffic half, for operators.

use std::sync::PoisonError;

use serde::Serialize;
use stair_http::connections::Counts;

use super::{
    Cx,
    admit,
    quarantine,
    refuse,
    targets, //
};

#[derive(Serialize)]
struct Dump {
    draining: bool,
    in_entry: admit::Counts,
    /// Connections of callers, and how many were closed without a response.
    connections: Counts,
    refusals: Vec<refuse::Count>,
    links: usize,
    ports_replaced: u64,
    claims_pending: usize,
    retries_left: u64,
    targets: Vec<targets::TargetDump>,
    quarantine: Vec<quarantine::Watched>,
    ledgers: Vec<Box<str>>,
}

pub(super) fn dump<S>(cx: &Cx<S>) -> serde_json::Value {
    let retries = cx.retries.lock().unwrap_or_else(PoisonError::into_inner);
    let dump = Dump {
        draining: cx.is_draining(),
        in_entry: cx.gate.snapshot(),
        connections: cx.connections.counts(),
        refusals: cx.refusals.snapshot(),
        links: cx.pool.live(),
        ports_replaced: cx.pool.dialer().replaced(),
        claims_pending: cx.claims.pending(),
        retries_left: retries.available(),
        targets: cx.targets.snapshot(),
        quarantine: cx.quarantine.watched(),
        ledgers: cx.quarantine.ledgers(),
    };
    serde_json::to_value(dump).unwrap_or_default()
}
