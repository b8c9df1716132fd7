//! One request on its way, and the request of each attempt.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Method,
    Request,
    header::{
        CONTENT_LENGTH,
        HOST,
        HeaderValue, //
    }, //
};
use platform_adapter::request::{
    self,
    Attempt,
    Meta, //
};
use stair_fleet::{
    Catalogue,
    catalogue::{
        Engine,
        Route, //
    },
    prefill::PrefixBlock,
    workspace::Workspace, //
};
use stair_types::{
    Fingerprint,
    fingerprint::{
        Contents,
        Outline, //
    },
};
use tokio::time::Instant;

use crate::{
    allowance::Grant,
    context::Serving, //
};

/// The engine's rank of the most urgent requests, of 0 to 9.
const FIRST_RANK: u8 = 3;

/// One request on its way.
pub struct Job {
    /// What the client sent along.
    pub meta: Meta,
    /// Its route, as the catalogue had it when the request came.
    pub route: Route,
    /// The workspace that it is for, where workspaces are declared.
    pub workspace: Option<Workspace>,
    /// What it has taken from its workspace's allowance.
    pub grant: Option<Grant>,
    /// The service that was picked.
    pub service: Box<str>,
    /// The catalogue that was in force when the request came.
    pub(crate) catalogue: Arc<Catalogue>,
    /// Tokens of the prompt's head that other requests share, and its hash.
    pub shared: Option<(u64, u64)>,
    /// The parts of its prompt.
    pub parts: Vec<PrefixBlock>,
    /// The shortest objective of more urgent requests to the service, which go first.
    pub more_urgent: Option<Duration>,
    /// The shortest pause between events that clients of the service's streams are promised.
    pub pause: Option<Duration>,
    /// When it came.
    pub received: Instant,
    /// When it has to be answered.
    pub deadline: Instant,
    /// Taken when it is first needed.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    pub(crate) on_trial: AtomicBool,
    pub(crate) method: Method,
    pub(crate) uri: hyper::Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) _serving: Serving,
}

impl Job {
    /// The model and the engines that can run it, if the service runs models.
    pub fn model_of_engine(&self) -> Option<(&str, &Engine)> {
        Some((self.meta.model.as_deref()?, self.engine()?))
    }

    fn engine(&self) -> Option<&Engine> {
        self.catalogue.service(&self.service)?.engine.as_ref()
    }

    /// How urgent it is, 0 first: its workspace's rank goes before its route's.
    pub fn rank(&self) -> u8 {
        rank(&self.route, self.workspace.as_ref())
    }

    /// What identifies it among all requests; its repeats have the same.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| self.contents().fingerprint())
    }

    /// Notes whether its next attempt is a trial.
    pub(crate) fn note_trial(&self, on_trial: bool) {
        self.on_trial.store(on_trial, Ordering::Relaxed);
    }

    /// Whether its last attempt was a trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.on_trial.load(Ordering::Relaxed)
    }

    /// A hash of all but the body's bytes.
    pub(crate) fn outline(&self) -> Outline {
        self.contents().outline()
    }

    fn contents(&self) -> Contents<'_> {
        let host = match self.uri.authority() {
            Some(authority) => authority.as_str().as_bytes(),
            None => self
                .headers
                .get(HOST)
                .map_or(&[][..], HeaderValue::as_bytes),
        };
        let path = self.uri.path_and_query();
        Contents {
            workspace: self.workspace.as_ref().map(|w| &*w.name),
            method: self.method.as_str(),
            host,
            path: path.map_or("", |p| p.as_str()),
            body: &self.body,
        }
    }

    /// Notes whether it may have run.
    pub fn note_sent(&self, sent: bool) {
        if let Some(grant) = &self.grant {
            grant.note_sent(sent);
        }
    }

    /// Makes the request for one attempt.
    pub fn request(&self, instance: &str, after_event: Option<u64>) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let rank = self
            .engine()
            .is_some()
            .then(|| FIRST_RANK.saturating_add(self.rank()).min(9));
        let attempt = Attempt {
            instance,
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            rank,
            workspace: self.workspace.as_ref().map(|w| &*w.name),
            after_event,
        };
        request::encode(&mut headers, &attempt);
        // A method that usually has a body gets a length also when it is empty.
        if self.body.is_empty() && self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(0));
        }
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = headers;
        req
    }
}

/// The rank of a request on a route for a workspace.
pub(crate) fn rank(route: &Route, workspace: Option<&Workspace>) -> u8 {
    workspace.and_then(|w| w.rank).unwrap_or(route.rank)
}
