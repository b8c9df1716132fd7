//! The HTTP client to the engine: its list and the orders.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode,
    header::CONTENT_TYPE, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use stair_http::{
    Client,
    client::Error as HttpError, //
};
use stair_state::ledger::{
    Answer,
    Entry,
    Item,
    State, //
};
use stair_types::{
    AdapterName,
    FencingToken,
    ModelName, //
};

/// A list is small and made without work; an engine that needs longer is silent.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// An unload only frees memory.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Fencing tokens of one incarnation. The agent raises its own after each order whose answer was
/// lost, so that the order can no longer take effect; the next incarnation's are all higher.
const FENCES_PER_INCARNATION: u64 = 1 << 20;

/// A name that no engine holds: an order to unload it only tells the engine the fencing token.
const FENCE_ONLY_MODEL: &str = "dandelionstair.nothing";

/// The longest list or answer to an order.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// The engine as its own list shows it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Inventory {
    pub(crate) memory_mib: u32,
    models: Vec<InventoryModel>,
}

#[derive(Debug, Clone, Deserialize)]
struct InventoryModel {
    name: ModelName,
    version: Box<str>,
    memory_mib: u32,
    state: InventoryState,
    #[serde(default)]
    adapters: Vec<InventoryAdapter>,
}

#[derive(Debug, Clone, Deserialize)]
struct InventoryAdapter {
    name: AdapterName,
    version: Box<str>,
    memory_mib: u32,
    #[serde(default)]
    state: InventoryState,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum InventoryState {
    Loading,
    #[default]
    Loaded,
    Unloading,
}

impl From<InventoryState> for State {
    fn from(state: InventoryState) -> Self {
        match state {
            InventoryState::Loading => Self::Loading,
            InventoryState::Loaded => Self::Loaded,
            InventoryState::Unloading => Self::Unloading,
        }
    }
}

impl Inventory {
    /// Tells whether the engine is still loading or unloading something.
    pub(crate) fn is_changing(&self) -> bool {
        let adapters = self.models.iter().flat_map(|m| &m.adapters);
        let mut states = self
            .models
            .iter()
            .map(|m| m.state)
            .chain(adapters.map(|a| a.state));
        states.any(|s| s != InventoryState::Loaded)
    }

    pub(crate) fn entries(self) -> Vec<Entry> {
        self.models.into_iter().flat_map(entries_of).collect()
    }
}

fn entries_of(model: InventoryModel) -> Vec<Entry> {
    let base = Entry {
        item: Item {
            model: model.name.clone(),
            adapter: None,
        },
        version: model.version,
        memory_mib: model.memory_mib,
        state: model.state.into(),
    };
    let adapters = model.adapters.into_iter().map(|a| Entry {
        item: Item {
            model: model.name.clone(),
            adapter: Some(a.name),
        },
        version: a.version,
        memory_mib: a.memory_mib,
        state: a.state.into(),
    });
    std::iter::once(base).chain(adapters).collect()
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// As the ledger takes it.
    Reply(Answer),
    /// No answer came: the order may still be under way.
    NoReply,
    /// The engine holds something that the ledger does not know of: it has no room although the
    /// ledger has, or another version of the model.
    Unexpected,
    /// A later agent of this target has ordered the engine.
    Superseded,
}

/// Where the engine found a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Source {
    Memory,
    Disk,
    Remote,
}

#[derive(Deserialize)]
struct Loaded {
    source: Option<Source>,
}

#[derive(Deserialize)]
struct Rejection {
    error: Box<str>,
}

/// Tells whether an order was refused for its fencing token. An engine that says no more than
/// "conflict" is taken to mean that: to go on would be worse.
fn is_stale(body: &[u8]) -> bool {
    let rejection = serde_json::from_slice::<Rejection>(body);
    rejection.map_or(true, |r| &*r.error != "other-version")
}

#[derive(Serialize)]
struct Order<'a> {
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a AdapterName>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    memory_mib: Option<u32>,
    fence: FencingToken,
}

/// The engine beside the agent. Cloning shares its connections.
#[derive(Clone)]
pub(crate) struct Engine {
    client: Client,
    fence: FencingToken,
    load_timeout: Duration,
}

impl Engine {
    pub(crate) fn new(client: Client, fence: FencingToken, load_timeout: Duration) -> Self {
        Self {
            client,
            fence: FencingToken(fence.0.saturating_mul(FENCES_PER_INCARNATION)),
            load_timeout,
        }
    }

    pub(crate) async fn list(&self) -> anyhow::Result<Inventory> {
        let req = Request::get("/engine").body(Full::default())?;
        let reply = self.client.send(req, LIST_TIMEOUT).await?;
        anyhow::ensure!(reply.head.status == StatusCode::OK, "no list");
        let body = reply.collect(MAX_REPLY_BYTES, LIST_TIMEOUT).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Makes the engine refuse all orders that were given before [`Engine::raise_fence`] and have
    /// not arrived yet, if it checks fencing tokens, and lists what it holds.
    pub(crate) async fn list_fenced(&self) -> anyhow::Result<Inventory> {
        let order = Order {
            model: FENCE_ONLY_MODEL,
            adapter: None,
            version: None,
            memory_mib: None,
            fence: self.fence,
        };
        let (outcome, _) = self.order("/engine/unload", &order, LIST_TIMEOUT).await;
        anyhow::ensure!(outcome != OrderOutcome::NoReply, "the engine is silent");
        self.list().await
    }

    /// Gives all later orders a higher fencing token.
    pub(crate) fn raise_fence(&mut self) {
        self.fence = FencingToken(self.fence.0 + 1);
    }

    pub(crate) async fn load(
        &self,
        item: &Item,
        version: &str,
        memory_mib: u32,
    ) -> (OrderOutcome, Option<Source>) {
        let path = match item.adapter {
            None => "/engine/load",
            Some(_) => "/engine/adapters/load",
        };
        let order = Order {
            model: item.model.as_str(),
            adapter: item.adapter.as_ref(),
            version: Some(version),
            memory_mib: Some(memory_mib),
            fence: self.fence,
        };
        let (outcome, body) = self.order(path, &order, self.load_timeout).await;
        let loaded: Option<Loaded> = serde_json::from_slice(&body).ok();
        (outcome, loaded.and_then(|l| l.source))
    }

    pub(crate) async fn unload(&self, item: &Item) -> OrderOutcome {
        let path = match item.adapter {
            None => "/engine/unload",
            Some(_) => "/engine/adapters/unload",
        };
        let order = Order {
            model: item.model.as_str(),
            adapter: item.adapter.as_ref(),
            version: None,
            memory_mib: None,
            fence: self.fence,
        };
        let (outcome, _) = self.order(path, &order, UNLOAD_TIMEOUT).await;
        match outcome {
            // Whatever else the engine says to an unload, only its list tells what it holds.
            OrderOutcome::Reply(Answer::Refused) | OrderOutcome::Unexpected => {
                OrderOutcome::Reply(Answer::Lost)
            }
            other => other,
        }
    }

    /// Gives an order; returns how it ended and the answer's body.
    async fn order(
        &self,
        path: &str,
        order: &Order<'_>,
        timeout: Duration,
    ) -> (OrderOutcome, Bytes) {
        let without_body = |outcome| (outcome, Bytes::new());
        let body = serde_json::to_vec(order).unwrap_or_default();
        let req = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(req) = req else {
            return without_body(OrderOutcome::Reply(Answer::Refused));
        };
        let reply = match self.client.send(req, timeout).await {
            Ok(reply) => reply,
            Err(HttpError::NotSent(_)) => {
                return without_body(OrderOutcome::Reply(Answer::Refused));
            }
            Err(_) => return without_body(OrderOutcome::NoReply),
        };
        let status = reply.head.status;
        // The body has to be read whole before the connection serves another order.
        let Ok(body) = reply.collect(MAX_REPLY_BYTES, LIST_TIMEOUT).await else {
            return without_body(OrderOutcome::Reply(Answer::Lost));
        };
        let outcome = match status {
            StatusCode::OK => OrderOutcome::Reply(Answer::Done),
            StatusCode::CONFLICT if is_stale(&body) => OrderOutcome::Superseded,
            StatusCode::CONFLICT | StatusCode::INSUFFICIENT_STORAGE => OrderOutcome::Unexpected,
            // What is to be unloaded is not there; what is to be loaded is not known.
            StatusCode::NOT_FOUND if order.version.is_none() => OrderOutcome::Reply(Answer::Done),
            StatusCode::NOT_FOUND => OrderOutcome::Reply(Answer::Refused),
            _ => OrderOutcome::Reply(Answer::Lost),
        };
        (outcome, body)
    }
}
