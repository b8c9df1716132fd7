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
const LIST_TIME: Duration = Duration::from_secs(2);

/// An unload only frees memory.
const UNLOAD_TIME: Duration = Duration::from_secs(30);

/// The longest list or answer to an order.
const MAX_BYTES: usize = 1 << 20;

/// The engine as its own list shows it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Listed {
    pub(crate) memory_mib: u32,
    models: Vec<ListedModel>,
}

#[derive(Debug, Clone, Deserialize)]
struct ListedModel {
    name: ModelName,
    version: Box<str>,
    memory_mib: u32,
    state: ListedState,
    #[serde(default)]
    adapters: Vec<ListedAdapter>,
}

#[derive(Debug, Clone, Deserialize)]
struct ListedAdapter {
    name: AdapterName,
    version: Box<str>,
    memory_mib: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ListedState {
    Loading,
    Loaded,
    Unloading,
}

impl Listed {
    /// Tells whether the engine is still loading or unloading something.
    pub(crate) fn is_moving(&self) -> bool {
        self.models.iter().any(|m| m.state != ListedState::Loaded)
    }

    pub(crate) fn entries(self) -> Vec<Entry> {
        self.models.into_iter().flat_map(entries_of).collect()
    }
}

fn entries_of(model: ListedModel) -> Vec<Entry> {
    let base = Entry {
        item: Item {
            model: model.name.clone(),
            adapter: None,
        },
        version: model.version,
        memory_mib: model.memory_mib,
        state: match model.state {
            ListedState::Loading => State::Loading,
            ListedState::Loaded => State::Loaded,
            ListedState::Unloading => State::Unloading,
        },
    };
    let adapters = model.adapters.into_iter().map(|a| Entry {
        item: Item {
            model: model.name.clone(),
            adapter: Some(a.name),
        },
        version: a.version,
        memory_mib: a.memory_mib,
        state: State::Loaded,
    });
    std::iter::once(base).chain(adapters).collect()
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ordered {
    /// As the ledger takes it.
    Answer(Answer),
    /// The engine has no room although the ledger has.
    NoMemory,
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

#[derive(Serialize)]
struct Order<'a> {
    model: &'a ModelName,
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
    load_time: Duration,
}

impl Engine {
    pub(crate) fn new(client: Client, fence: FencingToken, load_time: Duration) -> Self {
        Self {
            client,
            fence,
            load_time,
        }
    }

    pub(crate) async fn list(&self) -> anyhow::Result<Listed> {
        let req = Request::get("/engine").body(Full::default())?;
        let answer = self.client.send(req, LIST_TIME).await?;
        anyhow::ensure!(answer.head.status == StatusCode::OK, "no list");
        let body = answer.collect(MAX_BYTES, LIST_TIME).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    pub(crate) async fn load(
        &self,
        item: &Item,
        version: &str,
        memory_mib: u32,
    ) -> (Ordered, Option<Source>) {
        let path = match item.adapter {
            None => "/engine/load",
            Some(_) => "/engine/adapters/load",
        };
        let order = Order {
            model: &item.model,
            adapter: item.adapter.as_ref(),
            version: Some(version),
            memory_mib: Some(memory_mib),
            fence: self.fence,
        };
        let (ended, body) = self.order(path, &order, self.load_time).await;
        let loaded: Option<Loaded> = serde_json::from_slice(&body).ok();
        (ended, loaded.and_then(|l| l.source))
    }

    pub(crate) async fn unload(&self, item: &Item) -> Ordered {
        let path = match item.adapter {
            None => "/engine/unload",
            Some(_) => "/engine/adapters/unload",
        };
        let order = Order {
            model: &item.model,
            adapter: item.adapter.as_ref(),
            version: None,
            memory_mib: None,
            fence: self.fence,
        };
        let (ended, _) = self.order(path, &order, UNLOAD_TIME).await;
        match ended {
            // Whatever else the engine says to an unload, only its list tells what it holds.
            Ordered::Answer(Answer::Refused) | Ordered::NoMemory => Ordered::Answer(Answer::Lost),
            other => other,
        }
    }

    /// Gives an order; returns how it ended and the answer's body.
    async fn order(&self, path: &str, order: &Order<'_>, time: Duration) -> (Ordered, Bytes) {
        let without_body = |answer| (Ordered::Answer(answer), Bytes::new());
        let body = serde_json::to_vec(order).unwrap_or_default();
        let req = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(req) = req else {
            return without_body(Answer::Refused);
        };
        let answer = match self.client.send(req, time).await {
            Ok(answer) => answer,
            Err(HttpError::NotSent(_)) => return without_body(Answer::Refused),
            Err(_) => return without_body(Answer::Lost),
        };
        let status = answer.head.status;
        // The body has to be read whole before the connection serves another order.
        let Ok(body) = answer.collect(MAX_BYTES, LIST_TIME).await else {
            return without_body(Answer::Lost);
        };
        let ended = match status {
            StatusCode::OK => Ordered::Answer(Answer::Done),
            StatusCode::CONFLICT => Ordered::Superseded,
            StatusCode::INSUFFICIENT_STORAGE => Ordered::NoMemory,
            // What is to be unloaded is not there; what is to be loaded is not known.
            StatusCode::NOT_FOUND if order.version.is_none() => Ordered::Answer(Answer::Done),
            StatusCode::NOT_FOUND => Ordered::Answer(Answer::Refused),
            _ => Ordered::Answer(Answer::Lost),
        };
        (ended, body)
    }
}
