//! Requests that end the targets that run them.

use std::sync::Arc;

use stair_telemetry::{
    Metrics,
    Part,
    warn, //
};
use stair_types::{
    Fingerprint,
    RequestId,
    fingerprint::Contents, //
};
use stair_wire::request::Work;
use tokio::sync::watch;

use crate::View;

use super::request::Request;

/// What an entry knows of requests that end targets.
pub(super) struct Quarantine {
    view: watch::Receiver<Arc<View>>,
    metrics: Metrics,
}

impl Quarantine {
    pub(super) fn new(view: watch::Receiver<Arc<View>>, metrics: Metrics) -> Self {
        Self { view, metrics }
    }

    pub(super) fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Reports that a target crashed while it ran the request.
    pub(super) fn report(
        &self,
        id: RequestId,
        fingerprint: Fingerprint,
        incarnation: Box<str>,
        established: bool,
    ) {
        warn!(
            Part::Dispatch,
            "{incarnation} crashed while it ran request {id} with fingerprint {fingerprint}, \
             established: {established}"
        );
        self.metrics.crashed_run();
    }
}

fn contents(req: &Request) -> Contents<'_> {
    let service = match &req.work {
        Work::Model { .. } => "",
        Work::Service { service } => service.as_str(),
    };
    Contents {
        workspace: Some(req.caller.as_str()),
        method: &req.method,
        host: service.as_bytes(),
        path: &req.path,
        body: &req.body,
    }
}

pub(super) fn fingerprint(req: &Request) -> Fingerprint {
    contents(req).fingerprint()
}
