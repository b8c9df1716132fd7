//! The HTTP client of the engine's control interface: its inventory, and orders to load and unload.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode,
    header::CONTENT_TYPE, //
};
use platform_adapter::response::Stated;
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
use tokio::sync::mpsc;

/// Timeout of a request for the inventory, which is small and costs the engine no work.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of an unload, which only frees memory.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of fencing tokens of one incarnation. The agent raises its token after each order whose
/// reply was lost, so that the order can no longer take effect. All tokens of the next incarnation
/// are higher.
const FENCES_PER_INCARNATION: u64 = 1 << 20;

/// The name of a model that does not exist. An order to unload it only passes the fencing token to
/// the engine.
const FENCE_ONLY_MODEL: &str = "dandelionstair.nothing";

/// Longest body of an inventory or of a reply to an order, in bytes.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// The engine's inventory: its memory, and the models and adapters in it.
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
    /// Returns whether the engine is loading or unloading a model or an adapter.
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

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// The engine's reply, as the ledger takes it.
    Reply(Answer),
    /// No reply came, so the order may still take effect.
    NoReply,
    /// The inventory differs from the ledger: the engine lacks memory that is free in the ledger,
    /// or has loaded another version of the model.
    Unexpected,
    /// The engine has received an order of a newer incarnation of the agent.
    Superseded,
}

/// The source from which the engine loaded a checkpoint.
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

/// Returns whether an order was refused for its fencing token. A conflict without a reason counts
/// as such, since two agents that both send orders are worse than an agent that stops.
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

/// The client of the engine beside the agent. Cloning shares its connections.
#[derive(Clone)]
pub(crate) struct Engine {
    client: Client,
    /// What the responses state.
    stated: mpsc::UnboundedSender<Stated>,
    fence: FencingToken,
    load_timeout: Duration,
}

impl Engine {
    pub(crate) fn new(
        client: Client,
        stated: mpsc::UnboundedSender<Stated>,
        fence: FencingToken,
        load_timeout: Duration,
    ) -> Self {
        Self {
            client,
            stated,
            fence: FencingToken(fence.0.saturating_mul(FENCES_PER_INCARNATION)),
            load_timeout,
        }
    }

    pub(crate) async fn list(&self) -> anyhow::Result<Inventory> {
        let req = Request::get("/engine").body(Full::default())?;
        let reply = self.client.send(req, LIST_TIMEOUT).await?;
        self.observe(&reply.head);
        anyhow::ensure!(
            reply.head.status == StatusCode::OK,
            "the engine refuses to list its inventory"
        );
        let body = reply.collect(MAX_REPLY_BYTES, LIST_TIMEOUT).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    fn observe(&self, head: &hyper::http::response::Parts) {
        // Fails only while the agent is stopping.
        let _ = self.stated.send(Stated::decode(head.status, &head.headers));
    }

    /// Passes the current fencing token to the engine, then reads its inventory. An engine that
    /// checks fencing tokens refuses from then on the orders that were sent before
    /// [`Engine::raise_fence`] and arrive later.
    pub(crate) async fn list_fenced(&self) -> anyhow::Result<Inventory> {
        let order = Order {
            model: FENCE_ONLY_MODEL,
            adapter: None,
            version: None,
            memory_mib: None,
            fence: self.fence,
        };
        let (outcome, _) = self.order("/engine/unload", &order, LIST_TIMEOUT).await;
        anyhow::ensure!(
            outcome != OrderOutcome::NoReply,
            "the engine does not reply"
        );
        self.list().await
    }

    /// Raises the fencing token of all later orders.
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
            // After any other reply to an unload, only the inventory shows whether the model is
            // still loaded.
            OrderOutcome::Reply(Answer::Refused) | OrderOutcome::Unexpected => {
                OrderOutcome::Reply(Answer::Lost)
            }
            other => other,
        }
    }

    /// Sends an order; returns its outcome and the body of the reply.
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
        self.observe(&reply.head);
        // The body has to be read completely before the connection can serve another order.
        let Ok(body) = reply.collect(MAX_REPLY_BYTES, LIST_TIMEOUT).await else {
            return without_body(OrderOutcome::Reply(Answer::Lost));
        };
        let outcome = match status {
            StatusCode::OK => OrderOutcome::Reply(Answer::Done),
            StatusCode::CONFLICT if is_stale(&body) => OrderOutcome::Superseded,
            StatusCode::CONFLICT | StatusCode::INSUFFICIENT_STORAGE => OrderOutcome::Unexpected,
            // 404 confirms an unload, since the model is not loaded, and refuses a load of an
            // unknown model.
            StatusCode::NOT_FOUND if order.version.is_none() => OrderOutcome::Reply(Answer::Done),
            StatusCode::NOT_FOUND => OrderOutcome::Reply(Answer::Refused),
            _ => OrderOutcome::Reply(Answer::Lost),
        };
        (outcome, body)
    }
}
