//! The platform's object API over HTTP.
//!
//! [`crate::types`] describes the mapping. If the reply to a write is lost or late, or a
//! successful one does not decode, the write may have taken effect and the call returns
//! [`Error::Unknown`]. A read whose reply is lost or late returns [`Error::Unavailable`].

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderName,
        IF_MATCH,
        IF_NONE_MATCH, //
    }, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use serde_json::Value;
use stair_http::client;
use stair_types::{
    Era,
    StoreRevision,
    Verdict, //
};
use tokio::{
    sync::Semaphore,
    time::timeout, //
};

use crate::{
    eras::Eras,
    store::ObjectStore,
    types::{
        Condition,
        ERA_HEADER,
        Error,
        Kind,
        Object,
        Page, //
    },
    wire,
};

/// Limits of the calls.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The timeout of a whole call. A watch may take this long in addition to its wait.
    pub call_timeout: Duration,
    /// The maximum size of a reply, in bytes. It has to suffice for a whole list.
    pub max_answer_bytes: usize,
    /// The maximum number of concurrent calls, waiting watches included. Further calls wait for a
    /// slot within their own timeout. Without this limit, calls would accumulate while the platform
    /// is slow and would keep it slow.
    pub max_calls: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            max_answer_bytes: 256 << 20,
            max_calls: 32,
        }
    }
}

/// Numbers of calls since the start of the process, by operation, and of failures. A conflict, a
/// missing object and a watch position that is too old don't count as failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Reads of a single object.
    pub get: u64,
    /// Lists of all objects of a kind.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Watches.
    pub watch: u64,
    /// Calls that failed, by [`Error::is_failure`].
    pub failed: u64,
}

#[derive(Default)]
struct Counters {
    get: AtomicU64,
    list: AtomicU64,
    put: AtomicU64,
    delete: AtomicU64,
    watch: AtomicU64,
    failed: AtomicU64,
}

/// The platform's object API at one address. Clones share connections, slots and counters.
#[derive(Clone)]
pub struct HttpStore {
    client: client::Client,
    opts: Options,
    slots: Arc<Semaphore>,
    counters: Arc<Counters>,
    eras: Eras,
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

struct Call {
    req: Request<Full<Bytes>>,
    effect: Effect,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a store without connecting.
    pub fn new(addr: SocketAddr, opts: Options) -> Self {
        let defaults = client::Options::default();
        let client_opts = client::Options {
            // Shorter than the timeout of a call, so that a call that was never sent is reported as
            // such.
            connect_timeout: defaults.connect_timeout.min(opts.call_timeout / 2),
            ..defaults
        };
        Self {
            client: client::Client::new(addr, client_opts),
            slots: Arc::new(Semaphore::new(opts.max_calls)),
            opts,
            counters: Arc::default(),
            eras: Eras::default(),
        }
    }

    /// Returns the numbers of calls since the start of the process.
    pub fn calls(&self) -> Calls {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Calls {
            get: read(&self.counters.get),
            list: read(&self.counters.list),
            put: read(&self.counters.put),
            delete: read(&self.counters.delete),
            watch: read(&self.counters.watch),
            failed: read(&self.counters.failed),
        }
    }

    async fn call<T>(
        &self,
        counter: &AtomicU64,
        call: Result<Call, Error>,
    ) -> Result<(Era, T), Error>
    where
        T: DeserializeOwned,
    {
        let result = match call {
            Ok(call) => self.in_slot(counter, call).await,
            Err(e) => Err(e),
        };
        if result.as_ref().is_err_and(Error::is_failure) {
            self.counters.failed.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn in_slot<T>(&self, counter: &AtomicU64, call: Call) -> Result<(Era, T), Error>
    where
        T: DeserializeOwned,
    {
        let slot = timeout(call.timeout, self.slots.acquire()).await;
        let Ok(Ok(_slot)) = slot else {
            // The call was not sent, so a write had no effect.
            return Err(Error::Unavailable("no slot was free in time".into()));
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.send(call).await
    }

    async fn send<T>(&self, call: Call) -> Result<(Era, T), Error>
    where
        T: DeserializeOwned,
    {
        let exchange = self.exchange(call.req, call.timeout);
        let (status, era, body) = match timeout(call.timeout, exchange).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(e)) if e.verdict() == Verdict::NotRun => {
                return Err(Error::Unavailable(e.to_string().into()));
            }
            Ok(Err(e)) => return Err(lost_reply(call.effect, &e.to_string())),
            Err(_) => return Err(lost_reply(call.effect, "no reply in time")),
        };
        self.eras.observe(era);
        if era < self.eras.newest() && !status.is_server_error() {
            return Err(lost_reply(
                call.effect,
                &format!("it is of the earlier era {era}"),
            ));
        }
        if status != StatusCode::OK {
            return Err(status_error(call.effect, status));
        }
        // Invalid UTF-8 in one object leaves the others readable.
        let text = String::from_utf8_lossy(&body);
        let decoded = serde_json::from_str(&text).map(|value| (era, value));
        decoded.map_err(|e| match call.effect {
            // The write was accepted, but its version is unknown.
            Effect::Write => Error::Unknown(e.to_string().into()),
            Effect::Read => Error::Invalid(e.to_string().into()),
        })
    }

    /// Fails when a condition is of an earlier era than the newest, in which its version is another
    /// state.
    fn check_newest(&self, condition: Condition) -> Result<(), Error> {
        match condition {
            Condition::Version(version) if version.era < self.eras.newest() => Err(Error::Conflict),
            Condition::Version(_) | Condition::Absent => Ok(()),
        }
    }

    async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Era, Bytes), client::Error> {
        let reply = self.client.send(req, timeout).await?;
        let status = reply.head.status;
        let era = reply.head.headers.get(ERA_HEADER);
        let era = era.and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let body = reply.collect(self.opts.max_answer_bytes, timeout).await?;
        Ok((status, Era(era.unwrap_or_default()), body))
    }

    fn read(&self, path: String) -> Result<Call, Error> {
        let req = Request::get(path).body(Full::default()).map_err(rejected)?;
        Ok(Call {
            req,
            effect: Effect::Read,
            timeout: self.opts.call_timeout,
        })
    }

    fn write(
        &self,
        method: Method,
        path: String,
        condition: Condition,
        body: Vec<u8>,
    ) -> Result<Call, Error> {
        let (header, text) = precondition(condition);
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header, text)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(rejected)?;
        Ok(Call {
            req,
            effect: Effect::Write,
            timeout: self.opts.call_timeout,
        })
    }
}

impl ObjectStore for HttpStore {
    fn eras(&self) -> &Eras {
        &self.eras
    }

    async fn get(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        let call = path(kind, name).and_then(|path| self.read(path));
        let (era, object): (_, wire::Object) = self.call(&self.counters.get, call).await?;
        Ok(object.stated_in(era))
    }

    async fn list(&self, kind: Kind) -> Result<Page, Error> {
        let call = self.read(format!("/objects/{}", kind.as_str()));
        let (era, page): (_, wire::RawPage) = self.call(&self.counters.list, call).await?;
        Ok(page.stated_in(era))
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<StoreRevision, Error> {
        self.check_newest(condition)?;
        let body = serde_json::to_vec(value).map_err(rejected)?;
        let call = path(kind, name).and_then(|path| self.write(Method::PUT, path, condition, body));
        let (era, written): (_, Written) = self.call(&self.counters.put, call).await?;
        check_era(condition, era)?;
        Ok(StoreRevision {
            counter: written.version,
            era,
        })
    }

    async fn delete(&self, kind: Kind, name: &str, version: StoreRevision) -> Result<(), Error> {
        let condition = Condition::Version(version);
        self.check_newest(condition)?;
        let call = path(kind, name)
            .and_then(|path| self.write(Method::DELETE, path, condition, Vec::new()));
        let (era, _): (_, Value) = self.call(&self.counters.delete, call).await?;
        check_era(condition, era)
    }

    async fn watch(
        &self,
        kinds: &[Kind],
        since: StoreRevision,
        wait: Duration,
    ) -> Result<Page, Error> {
        let kinds: Vec<&str> = kinds.iter().map(|kind| kind.as_str()).collect();
        let kinds = kinds.join(",");
        let wait_ms = wait.as_millis();
        let path = format!(
            "/watch?kinds={kinds}&since={}&timeout_ms={wait_ms}",
            since.counter
        );
        let call = self.read(path).map(|call| Call {
            timeout: wait + call.timeout,
            ..call
        });
        let (era, page): (_, wire::RawPage) = tokio::select! {
            reply = self.call(&self.counters.watch, call) => reply?,
            () = self.eras.after(since.era) => return Err(Error::Gone),
        };
        if era != since.era {
            return Err(Error::Gone);
        }
        Ok(page.stated_in(era))
    }
}

fn path(kind: Kind, name: &str) -> Result<String, Error> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if name.is_empty() || !name.bytes().all(plain) {
        return Err(Error::Rejected(
            format!("not a valid object name: {name:?}").into(),
        ));
    }
    Ok(format!("/objects/{}/{name}", kind.as_str()))
}

/// Fails when a write with a condition took effect in another era than the condition's.
fn check_era(condition: Condition, era: Era) -> Result<(), Error> {
    match condition {
        Condition::Version(version) if version.era != era => {
            Err(Error::Unknown("it took effect in another era".into()))
        }
        Condition::Version(_) | Condition::Absent => Ok(()),
    }
}

fn precondition(condition: Condition) -> (HeaderName, String) {
    match condition {
        Condition::Absent => (IF_NONE_MATCH, "*".to_owned()),
        Condition::Version(version) => (IF_MATCH, version.counter.to_string()),
    }
}

fn rejected(e: impl std::fmt::Display) -> Error {
    Error::Rejected(e.to_string().into())
}

fn lost_reply(effect: Effect, text: &str) -> Error {
    match effect {
        Effect::Read => Error::Unavailable(text.into()),
        Effect::Write => Error::Unknown(text.into()),
    }
}

fn status_error(effect: Effect, status: StatusCode) -> Error {
    match status {
        StatusCode::CONFLICT => Error::Conflict,
        StatusCode::NOT_FOUND => Error::NotFound,
        StatusCode::GONE => Error::Gone,
        StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable("it replied with 503".into()),
        status if status.is_server_error() => lost_reply(effect, status.as_str()),
        status => Error::Rejected(format!("it replied with {status}").into()),
    }
}
