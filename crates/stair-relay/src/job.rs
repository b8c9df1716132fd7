//! A request being relayed, and the request of each attempt.

use std::{
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
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
    cold_start,
    fair_share::Caller,
    prefill::PrefixBlock,
    quarantine::Parts,
    view::TargetKey,
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
    context::Serving, //
    quota::Grant,
};

/// The rank that engines get for the most urgent requests, on their scale of 0 to 9.
const FIRST_RANK: u8 = 3;

/// A request being relayed.
pub struct Job {
    /// The request's metadata from its headers.
    pub meta: Meta,
    /// Its route in the catalogue in force on arrival.
    pub route: Route,
    /// The workspace whose key it carries, if workspaces are declared.
    pub workspace: Option<Workspace>,
    /// Its charge on the quota of its workspace.
    pub grant: Option<Grant>,
    /// The service that the route selected.
    pub service: Box<str>,
    /// The software version that its stream is bound to, from the first event on. It is empty if the version of
    /// the target that sent that event is not known: no other target matches.
    pub(crate) version: OnceLock<Box<str>>,
    /// The catalogue in force on arrival.
    pub(crate) catalogue: Arc<Catalogue>,
    /// The number of tokens in the prefix that other requests share, and the hash of that prefix.
    pub shared_prefix: Option<(u64, u64)>,
    /// The prefix blocks of its prompt.
    pub prefix_blocks: Vec<PrefixBlock>,
    /// The shortest objective of more urgent requests to the service, which are served first.
    pub more_urgent: Option<Duration>,
    /// The shortest pause between events that the service's routes promise to clients of streams.
    pub shortest_pause: Option<Duration>,
    /// Time of arrival.
    pub received: Instant,
    /// Time by which the response has to be complete.
    pub deadline: Instant,
    /// Whether a target may have run it, or may be running it.
    pub(crate) may_have_run: AtomicBool,
    /// Computed on first use.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    /// Computed on first use.
    pub(crate) parts: OnceLock<Parts>,
    /// The causes of which the last attempt is a trial.
    pub(crate) on_trial: Mutex<Vec<Fingerprint>>,
    pub(crate) method: Method,
    pub(crate) uri: hyper::Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) _serving: Serving,
}

impl Job {
    /// The model and the declaration of the engines that can run it, if the service runs models.
    pub fn model_of_engine(&self) -> Option<(&str, &Engine)> {
        Some((self.meta.model.as_deref()?, self.engine()?))
    }

    fn engine(&self) -> Option<&Engine> {
        self.catalogue.service(&self.service)?.engine.as_ref()
    }

    /// The software version that its target has to run; `None` before the first event of a new stream.
    pub fn version(&self) -> Option<&str> {
        self.version.get().map(|v| &**v)
    }

    /// The placement that it needs for a model.
    pub(crate) fn load_of<'a>(
        &'a self,
        engine: &'a Engine,
        model: &'a str,
        tried: &'a [TargetKey],
    ) -> cold_start::Options<'a> {
        cold_start::Options {
            service: &self.service,
            engine,
            model,
            tried,
            version: self.version(),
        }
    }

    /// Its urgency, 0 for the most urgent. The rank of its workspace overrides that of its route.
    pub fn rank(&self) -> u8 {
        rank(&self.route, self.workspace.as_ref())
    }

    /// Names its caller, which competes with others of its rank: its workspace, or else what its prompt is about.
    pub(crate) fn caller(&self) -> Box<str> {
        let meta = &self.meta;
        if let Some(workspace) = &self.workspace {
            return format!("workspace/{}", workspace.name).into();
        }
        let model = meta.model.as_deref().unwrap_or("");
        match (meta.shared_parts.last(), &meta.adapter) {
            (Some(part), _) => format!("part-{part:x}").into(),
            (None, Some(adapter)) => format!("adapter/{model}/{adapter}").into(),
            (None, None) => Caller::name_of_model(model),
        }
    }

    /// Identifies the request by its content; a repetition has the same fingerprint.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| self.contents().fingerprint())
    }

    /// The parts of its prompt that other requests may share.
    pub(crate) fn parts(&self) -> &Parts {
        let workspace = self.workspace.as_ref().map(|w| &*w.name);
        let ids = || self.meta.shared_parts.iter().copied();
        self.parts.get_or_init(|| Parts::new(workspace, ids()))
    }

    /// Sets the causes of which its next attempt is a trial.
    pub(crate) fn set_on_trial(&self, causes: &[Fingerprint]) {
        let mut on_trial = self.on_trial.lock().unwrap_or_else(PoisonError::into_inner);
        causes.clone_into(&mut on_trial);
    }

    /// The causes of which its last attempt was a trial.
    pub(crate) fn on_trial(&self) -> Vec<Fingerprint> {
        let on_trial = self.on_trial.lock().unwrap_or_else(PoisonError::into_inner);
        on_trial.clone()
    }

    /// A hash of the request without the bytes of its body.
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

    /// Whether a target may have run it, or may be running it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Sets whether a target may have run it, in which case its charge is not refunded.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
        if let Some(grant) = &self.grant {
            grant.set_may_have_run(may_have_run);
        }
    }

    /// Builds the request for one attempt at the target `instance`, resuming after `after_event`.
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
        // Servers expect a length from methods that usually have a body, also when it is empty.
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

/// The rank of a request on a route for a workspace, 0 for the most urgent.
pub(crate) fn rank(route: &Route, workspace: Option<&Workspace>) -> u8 {
    workspace.and_then(|w| w.rank).unwrap_or(route.rank)
}
