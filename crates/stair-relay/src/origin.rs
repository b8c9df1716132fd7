//! Binds a request that continues a stream to what began the stream.
//!
//! At the first event of a stream that may be continued, its origin is recorded here and at a few agents. A request
//! that continues one reads this entry's records, then asks the agents that keep the record, then all others.
//!
//! Invariant: a request that continues a stream is bound to a service and a version before a target is selected
//! for it, or refused. [`origin`](stair_fleet::origin) defines the decisions.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use platform_adapter::request::Meta;
use stair_fleet::{
    catalogue::{
        Repeat,
        Route, //
    },
    msg::{
        Features,
        ToAgent, //
    },
    origin::{
        Answer,
        FromKeeper,
        History,
        Origin,
        Record,
        Records,
        Report,
        StreamKey,
        ToKeeper,
        ranked, //
    },
};
use stair_telemetry::event::Line;
use tokio::{
    sync::{
        Mutex,
        oneshot, //
    },
    task::JoinSet,
    time::{
        Instant,
        timeout,
        timeout_at, //
    },
};

use crate::{
    context::{
        Context,
        State, //
    },
    job::Job,
    refuse::{
        Reason,
        Refusal, //
    },
    replicate,
    select::{
        DEFAULT_RETRY_AFTER,
        NoTarget, //
    },
    version_record,
};

/// Limit for the replies of agents: a round trip and the longest pause of a busy VM.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Limit for the store's list and its record of versions.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a record outlasts its client, for the delay of messages.
const TTL_SLACK: Duration = Duration::from_secs(2);

/// Time by which a stream may be older than its client's remaining time shows: what is not spent waiting.
const AGE_SLACK: Duration = Duration::from_secs(2);

/// What this entry knows of streams and versions.
#[derive(Default)]
pub(crate) struct Origins {
    records: Records,
    history: History,
    pending: Vec<PendingReply>,
}

struct PendingReply {
    seq: u64,
    engine: SocketAddr,
    tx: oneshot::Sender<Reply>,
}

struct Reply {
    answer: Answer,
    versions: Report,
}

impl Origins {
    /// Drops the requests to an agent whose link has ended.
    pub(crate) fn link_ended(&mut self, engine: SocketAddr) {
        self.pending.retain(|p| p.engine != engine);
    }

    /// The versions that services have had.
    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// The records, for the dump.
    pub(crate) fn records(&self) -> &Records {
        &self.records
    }

    /// The versions that services have had, for the dump.
    pub(crate) fn versions(&self, now: Duration) -> Report {
        self.history.report(None, now)
    }
}

/// The versions that the store states, read once for all requests that wait.
#[derive(Default)]
pub(crate) struct StoreCheck(Mutex<Option<Stated>>);

struct Stated {
    begun: Instant,
    /// The services and versions of the list, sorted; `None` if the store has not replied.
    listed: Option<Vec<(Box<str>, Box<str>)>>,
    /// The record of versions, if there is one.
    recorded: Option<version_record::Versions>,
}

/// Records what began a stream, right before its first event is forwarded.
pub(crate) fn begun(cx: &Context, job: &Job, version: Option<&str>) {
    let version: Box<str> = version.unwrap_or_default().into();
    // A continuation is bound already, to the same version.
    let version = job.version.get_or_init(|| version);
    if job.route.repeat != Repeat::FromEvent || version.is_empty() {
        return;
    }
    let id = job.meta.resumes.id().unwrap_or(&job.meta.id);
    let patience = job.meta.client_timeout.unwrap_or(job.route.timeout);
    let record = Record {
        stream: StreamKey::of(id),
        origin: Origin {
            service: job.service.clone(),
            version: version.clone(),
        },
        ttl: patience.max(job.route.timeout) + TTL_SLACK,
    };
    let now = cx.now();
    let mut state = cx.state();
    state.origins.records.put(&record, now);
    let (order, keepers) = state.keepers(record.stream);
    for engine in &order[..keepers] {
        state.send_to_keeper(*engine, ToKeeper::Record(record.clone()));
    }
}

/// Finds out what began the stream that a request continues.
///
/// # Errors
///
/// The refusal of a request whose stream may have been begun by another version than that of any target.
pub(crate) async fn resolve(
    cx: &Arc<Context>,
    route: &Route,
    meta: &Meta,
    service: &str,
) -> Result<Origin, Refusal> {
    let received = Instant::now();
    let stream = meta.resumes.id().map(StreamKey::of);
    let own = stream.map_or(Answer::Unknown, |stream| {
        cx.state().origins.records.get(stream, cx.now())
    });
    let source = match own {
        Answer::Unknown => "agents",
        _ => "own",
    };
    // The agents are asked also for a stream that this entry knows: a client may have begun another one under the
    // same id at another entry.
    let (origin, source) = match ask_agents(cx, stream, service, own).await {
        Answer::Known(origin) => (Some(origin), source),
        Answer::Ambiguous => (None, "ambiguous"),
        Answer::Unknown => (
            sole_version(cx, route, meta, service, received).await,
            "sole version",
        ),
    };
    // Another configuration may have moved the route to other services.
    let origin = origin.filter(|o| route.to.iter().any(|s| s.service == o.service));
    Line::new("origin")
        .text("id", &meta.id)
        .text("continues", meta.resumes.id().unwrap_or(""))
        .text("source", source)
        .text("service", origin.as_ref().map_or("", |o| &o.service))
        .text("version", origin.as_ref().map_or("", |o| &o.version))
        .ms("took_ms", received.elapsed())
        .write();
    let found = if origin.is_some() { source } else { "none" };
    cx.page.count("origins_total", &[("source", found)], 1);
    origin.ok_or_else(|| {
        // Links and lists that are not complete yet may be at the client's next attempt.
        Refusal::not_run(Reason::UnknownOrigin, Some(DEFAULT_RETRY_AFTER))
    })
}

/// Asks the agents that keep a stream's record, and all others if nobody has one; `own` is this entry's answer.
/// Their replies also tell which versions other entries have seen.
async fn ask_agents(
    cx: &Arc<Context>,
    stream: Option<StreamKey>,
    service: &str,
    own: Answer,
) -> Answer {
    let (order, keepers) = match stream {
        Some(stream) => cx.state().keepers(stream),
        None => {
            let all = cx.state().linked_keepers();
            let count = all.len();
            (all, count)
        }
    };
    let (first, others) = order.split_at(keepers);
    match own.and(ask(cx, first, stream, service).await) {
        Answer::Unknown if !others.is_empty() => ask(cx, others, stream, service).await,
        answer => answer,
    }
}

/// Asks agents and combines their answers.
async fn ask(
    cx: &Arc<Context>,
    engines: &[SocketAddr],
    stream: Option<StreamKey>,
    service: &str,
) -> Answer {
    let until = Instant::now() + REPLY_TIMEOUT;
    let mut waiting = JoinSet::new();
    for engine in engines {
        let (tx, rx) = oneshot::channel();
        let mut state = cx.state();
        let seq = state.next_seq();
        let engine = *engine;
        let pending = PendingReply { seq, engine, tx };
        state.origins.pending.push(pending);
        let service = service.into();
        let msg = ToKeeper::Ask {
            seq,
            stream,
            service,
        };
        state.send_to_keeper(engine, msg);
        waiting.spawn(timeout_at(until, rx));
    }
    let mut answer = Answer::Unknown;
    while let Some(joined) = waiting.join_next().await {
        let Ok(Ok(Ok(reply))) = joined else { continue };
        let now = cx.now();
        cx.state().origins.history.add(&reply.versions, now);
        answer = answer.and(reply.answer);
    }
    cx.state().origins.pending.retain(|p| !p.tx.is_closed());
    answer
}

/// The origin of a stream of which there is no record: the service's version, if it has had one for as long as
/// the stream can have lasted, and has no other one at the store now. Entries know since when, or the record in
/// the store does.
async fn sole_version(
    cx: &Arc<Context>,
    route: &Route,
    meta: &Meta,
    service: &str,
    received: Instant,
) -> Option<Origin> {
    let within = longest_age(route, meta);
    let sole = |cx: &Context| -> Option<(Box<str>, bool)> {
        let (state, now) = (cx.state(), cx.now());
        let history = &state.origins.history;
        let version = history.sole(service, within, now)?;
        Some((version.into(), history.covers(within, now)))
    };
    let (version, _) = sole(cx)?;
    let checked = cx.check_versions(service, &version, received).await;
    // Another version may have been learnt meanwhile.
    let (still, is_known) = sole(cx)?;
    let is_sole = checked.is_listed_alone && (is_known || checked.is_recorded_alone);
    (is_sole && still == version).then(|| Origin {
        service: service.into(),
        version,
    })
}

/// The longest time since the first event of a stream, over all attempts of its client. Clients wait no longer than
/// the route's timeout in all, and state what is left of it.
fn longest_age(route: &Route, meta: &Meta) -> Duration {
    let left = meta.client_timeout.filter(|t| *t < route.timeout);
    let age = route.timeout - left.unwrap_or_default();
    (age + AGE_SLACK).min(route.timeout)
}

/// What the store states of a version of a service.
#[derive(Default)]
struct Checked {
    /// Only targets of it are listed.
    is_listed_alone: bool,
    /// Only it is in the record of versions.
    is_recorded_alone: bool,
}

impl Context {
    /// Checks a version against the list and the record of versions, both read after `since`.
    async fn check_versions(
        self: &Arc<Self>,
        service: &str,
        version: &str,
        since: Instant,
    ) -> Checked {
        let mut stated = self.store_check.0.lock().await;
        if stated.as_ref().is_none_or(|s| s.begun < since) {
            *stated = Some(Stated::read(self).await);
        }
        let Some(stated) = &*stated else {
            return Checked::default();
        };
        let listed = stated.listed.as_ref().is_some_and(|all| {
            let mut of_service = all.iter().filter(|(s, _)| **s == *service);
            of_service.all(|(_, v)| **v == *version)
        });
        let recorded = stated.recorded.as_ref().and_then(|all| all.get(service));
        Checked {
            is_listed_alone: listed,
            is_recorded_alone: recorded.is_some_and(|v| v.len() == 1 && *v[0] == *version),
        }
    }
}

impl Stated {
    async fn read(cx: &Context) -> Self {
        let begun = Instant::now();
        let store = cx.store();
        let (listed, recorded) = tokio::join!(
            timeout(LIST_TIMEOUT, replicate::list_targets(cx, &store)),
            timeout(LIST_TIMEOUT, version_record::read(&store)),
        );
        let listed = listed.ok().and_then(Result::ok).map(|(targets, _)| {
            let mut versions: Vec<(Box<str>, Box<str>)> = targets
                .into_iter()
                .map(|t| (t.service, t.version.unwrap_or_default()))
                .collect();
            versions.sort();
            versions.dedup();
            versions
        });
        Self {
            begun,
            listed,
            recorded: recorded.ok().and_then(Result::ok),
        }
    }
}

/// Refuses a request whose stream was begun by a version that no target runs any more.
///
/// # Errors
///
/// [`NoTarget`], with the time after which a target of the version may be back, or none.
pub(crate) fn check_version(cx: &Context, job: &Job) -> Result<(), NoTarget> {
    let Some(version) = job.version() else {
        return Ok(());
    };
    let state = cx.state();
    if state.view.has_version(&job.service, version) {
        return Ok(());
    }
    let retry_after = match state.view.version_may_return(&job.service, version) {
        true => DEFAULT_RETRY_AFTER,
        false => Duration::ZERO,
    };
    Err(NoTarget {
        reason: Reason::VersionGone,
        retry_after,
    })
}

/// Records what an agent can do, and tells it which versions this entry has seen.
pub(crate) fn keeper_found(cx: &Context, engine: SocketAddr, features: Features) {
    let now = cx.now();
    let mut state = cx.state();
    if let Some(i) = state.agent(engine) {
        state.agents[i].features = features;
    }
    let report = state.origins.history.report(None, now);
    state.send_to_keeper(engine, ToKeeper::Versions(report));
}

/// Handles a message of an agent that keeps records.
pub(crate) fn receive(cx: &Context, engine: SocketAddr, msg: FromKeeper) {
    let FromKeeper::Reply {
        seq,
        answer,
        versions,
    } = msg;
    let mut state = cx.state();
    let pending = &mut state.origins.pending;
    let found = pending
        .iter()
        .position(|p| p.engine == engine && p.seq == seq);
    // The request that waited may have been dropped.
    found.map(|i| pending.swap_remove(i).tx.send(Reply { answer, versions }));
}

impl State {
    /// Applies a changed list to the history of versions, and tells agents of versions that come or leave.
    pub(crate) fn observe_versions(&mut self, now: Duration) {
        let listed = self.view.all_listed().map(|t| {
            let version = t.version.as_deref().unwrap_or_default();
            (&*t.service, version)
        });
        if !self.origins.history.observe(listed, now) {
            return;
        }
        let report = self.origins.history.report(None, now);
        for version in &report.versions {
            Line::failure("version")
                .text("service", &version.service)
                .text("version", &version.version)
                .flag("listed", version.left.is_none())
                .write();
        }
        for engine in self.linked_keepers() {
            self.send_to_keeper(engine, ToKeeper::Versions(report.clone()));
        }
    }

    /// The engines whose agents keep records.
    fn linked_keepers(&self) -> Vec<SocketAddr> {
        let keepers = self
            .agents
            .iter()
            .filter(|a| a.linked && a.features.origins);
        keepers.map(|a| a.engine).collect()
    }

    /// All of them in the order in which they keep a stream's record, and how many do.
    fn keepers(&self, stream: StreamKey) -> (Vec<SocketAddr>, usize) {
        let agents: Vec<_> = self
            .agents
            .iter()
            .filter(|a| a.linked && a.features.origins)
            .collect();
        let (order, keepers) = ranked(stream, agents.iter().map(|a| &*a.name));
        let order = order.into_iter().map(|i| agents[i].engine).collect();
        (order, keepers)
    }

    fn send_to_keeper(&self, engine: SocketAddr, msg: ToKeeper) {
        if let Some(i) = self.agent(engine)
            && self.agents[i].features.origins
        {
            // A full queue may drop the message; other agents get it too.
            let _ = self.agents[i].tx.try_send(ToAgent::Origin(msg));
        }
    }
}
