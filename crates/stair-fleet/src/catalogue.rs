//! Routes, services and models that operators declare. One version of the catalogue is in force as
//! a whole.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    target::CopyLocation,
    workspace::Workspaces, //
};

/// Everything that operators declare.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Increases with each change, not always by one.
    pub version: u64,
    /// Sorted by host, then by length of the prefix, the longest first.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Limits on what clients may send.
    pub limits: Limits,
    /// Who may send requests; `None` for everyone.
    pub workspaces: Option<Workspaces>,
}

/// Whether a route's requests may be repeated when an attempt fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// A request runs at most once.
    Never,
    /// A request may run again from the start.
    Whole,
    /// A stream that may continue on another target after its last event.
    FromEvent,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// For logs and metrics.
    pub name: Box<str>,
    /// The host that the route belongs to.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether responses are streams of events.
    pub stream: bool,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// The longest time that a request may wait.
    pub timeout: Duration,
    /// The time to a response, or to a stream's first event, that clients are promised.
    pub objective: Duration,
    /// The longest pause between a stream's events that clients are promised.
    pub gap: Option<Duration>,
    /// Rank of the requests; 0 is served first.
    pub rank: u8,
    /// Whether requests need no key when workspaces are declared.
    pub anonymous: bool,
    /// Services that requests go to, with their weights; never empty.
    pub to: Vec<Share>,
    /// Number of targets that one request may be sent to.
    pub attempts: u8,
}

/// Least time for which clients wait for a stream's first event.
const MIN_CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client timeout as a multiple of the objective, if that is longer.
const CLIENT_TIMEOUT_OBJECTIVES: u32 = 4;

/// Client timeout as a multiple of the promised pause, if that is longer.
const CLIENT_TIMEOUT_GAPS: u32 = 8;

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Box<str>,
    /// Weight in proportion to the route's other weights.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Box<str>,
    /// Connections that one target accepts from all clients together.
    pub max_connections: u32,
    /// The declaration of its engines, if its targets run models.
    pub engine: Option<Engine>,
}

/// Declaration of the engines of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory for weights of models and adapters, in MB.
    pub weights_mb: f64,
    /// Adapters that an engine has loaded or is loading at the same time.
    pub adapter_slots: u32,
    /// Loads from the weight store that may begin per second, over all engines.
    pub loads_per_s: f64,
    /// Sorted by name.
    pub models: Vec<Model>,
}

/// One model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: Box<str>,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Duration of a load from the weight store.
    pub from_store: Duration,
    /// Duration of a load from the engine's disk.
    pub from_disk: Duration,
    /// Duration of a load from the engine's host memory.
    pub from_memory: Duration,
    /// Size of an adapter, in MB.
    pub adapter_mb: f64,
}

/// Limits on what clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time for a request's head to arrive.
    pub head_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Limits until a catalogue is known. They are generous, since all requests are refused until
    /// then.
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
        }
    }
}

impl Catalogue {
    /// Sorts routes, services and models; lookups rely on the order.
    pub fn sort(&mut self) {
        self.routes.sort_by(|a, b| {
            let by_prefix = || {
                b.prefix
                    .len()
                    .cmp(&a.prefix.len())
                    .then_with(|| a.prefix.cmp(&b.prefix))
            };
            a.host.cmp(&b.host).then_with(by_prefix)
        });
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        for engine in self.services.iter_mut().filter_map(|s| s.engine.as_mut()) {
            engine.models.sort_by(|a, b| a.name.cmp(&b.name));
        }
    }

    /// Finds the route on `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|r| *r.host < *host);
        self.routes[first..]
            .iter()
            .take_while(|r| *r.host == *host)
            .find(|r| path.starts_with(&*r.prefix))
    }

    /// The shortest objective of the routes to a service that may have requests of a rank below
    /// `rank`; `None` if there are none.
    pub fn more_urgent_objective(&self, service: &str, rank: u8) -> Option<Duration> {
        let urgent = |r: &&Route| self.first_rank(r) < rank;
        let before = self.routes_to(service).filter(urgent);
        before.map(|r| r.objective).min()
    }

    /// The most urgent rank that a request on a route may have.
    fn first_rank(&self, route: &Route) -> u8 {
        let of_workspaces = match &self.workspaces {
            Some(workspaces) => workspaces.first_rank(route.rank),
            None => route.rank,
        };
        match route.anonymous {
            true => of_workspaces.min(route.rank),
            false => of_workspaces,
        }
    }

    /// The shortest pause between events that a route to a service promises.
    pub fn shortest_pause(&self, service: &str) -> Option<Duration> {
        self.routes_to(service).filter_map(|r| r.gap).min()
    }

    fn routes_to<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Route> {
        let leads_to = |r: &&Route| r.to.iter().any(|s| *s.service == *service);
        self.routes.iter().filter(leads_to)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[i])
    }
}

impl Route {
    /// Picks the service for one request by weight; `point` is uniform in 0 to 1.
    pub fn pick(&self, point: f64) -> &str {
        let sum: u32 = self.to.iter().map(|s| s.weight).sum();
        let mut left = point * f64::from(sum);
        for share in &self.to {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        // The weights sum to zero, or `point` was rounded up.
        self.to.last().map_or("", |s| &s.service)
    }

    /// The time after which clients abandon a stream that has had no event. It follows the rule
    /// that the users' own clients apply.
    pub fn client_timeout(&self) -> Duration {
        let gap = self.gap.unwrap_or_default();
        MIN_CLIENT_TIMEOUT
            .max(self.objective * CLIENT_TIMEOUT_OBJECTIVES)
            .max(gap * CLIENT_TIMEOUT_GAPS)
    }

    /// Whether a request may be sent again after an attempt that may have run.
    pub fn repeatable(&self) -> bool {
        self.repeat != Repeat::Never
    }
}

impl Model {
    /// Duration of a load from this location.
    pub fn load_time(&self, from: CopyLocation) -> Duration {
        match from {
            CopyLocation::Memory => self.from_memory,
            CopyLocation::Disk => self.from_disk,
            CopyLocation::Store => self.from_store,
        }
    }
}

impl Engine {
    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let i = self.models.binary_search_by(|m| (*m.name).cmp(name)).ok()?;
        Some(&self.models[i])
    }
}
