//! An entry's traffic in front of scripted agents.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    StatusCode, //
};
use serde_json::Value;
use sha2::{
    Digest,
    Sha256, //
};
use stair_config::{
    Adapter,
    Caller,
    Catalogue,
    EntryLimits,
    Model,
    Policy,
    Service,
    ServiceRoute,
    Tier, //
};
use stair_entry::{
    TargetView,
    View,
    traffic::Traffic, //
};
use stair_http::client::{
    Answer,
    Client,
    Options, //
};
use stair_link::{
    Dialer,
    Keys,
    Pool,
    keys::Authority,
    link::Probing, //
};
use stair_platform::{
    ClaimShard,
    Event,
    Kind, //
};
use stair_standin::memory::MemoryStore;
use stair_types::{
    AdapterName,
    CallerName,
    ConfigVersion,
    DataCentre,
    ModelName,
    ServiceName,
    TargetKey,
    TierName,
    TierRank, //
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

use super::{LONG, agent::FakeAgent};

/// Key of a caller of the better tier.
pub const GOLD: &str = "gold-key";

/// Key of a caller of the lower tier.
pub const BRONZE: &str = "bronze-key";

/// A request for the model whose work may not be repeated.
pub const BILLED: &str = r#"{"model":"billed","prompt":"x"}"#;

/// A request for the model whose work may be repeated.
pub const FREE: &str = r#"{"model":"free","prompt":"x"}"#;

pub struct Rig {
    pub traffic: Traffic<MemoryStore>,
    pub store: MemoryStore,
    pub addr: SocketAddr,
    pub view: watch::Sender<Arc<View>>,
    pub client: Client,
    _stop: watch::Sender<bool>,
}

/// An answer read whole.
#[derive(Debug)]
pub struct FullResponse {
    pub status: StatusCode,
    pub verdict: Box<str>,
    pub retry_after: Option<u32>,
    pub body: Bytes,
}

impl FullResponse {
    /// Returns the code of the error JSON.
    pub fn code(&self) -> String {
        let json: Value = serde_json::from_slice(&self.body).expect("an error is JSON");
        json["error"]["code"]
            .as_str()
            .expect("has a code")
            .to_owned()
    }
}

/// Keys that the entry and the agents of one test share.
pub fn keys() -> Keys {
    let authority = Authority::generate().expect("keys can be made");
    authority.issue().expect("keys can be issued")
}

impl Rig {
    /// Returns the number of claims in all shards.
    pub fn claims(&self) -> usize {
        let shards = self.store.objects(Kind::Claims).events.into_iter();
        let shards = shards.filter_map(|event| match event {
            Event::Put(object) => Some(object.value),
            Event::Deleted { .. } => None,
        });
        shards
            .map(|value| serde_json::from_value::<ClaimShard>(value).expect("a shard"))
            .map(|shard| shard.claims.len())
            .sum()
    }

    pub async fn start(keys: &Keys, agents: &[&FakeAgent]) -> Self {
        Self::with(keys, agents, EntryLimits::default(), MemoryStore::default()).await
    }

    pub async fn with(
        keys: &Keys,
        agents: &[&FakeAgent],
        limits: EntryLimits,
        store: MemoryStore,
    ) -> Self {
        let dialer = Dialer::new(keys, Duration::from_secs(2)).expect("the keys are good");
        let (view, rx) = watch::channel(Arc::new(make_view(agents)));
        let traffic = Traffic::new(
            rx,
            data_centre(),
            limits,
            Pool::new(dialer, Probing::REQUESTS),
            store.clone(),
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let addr = listener.local_addr().expect("is bound");
        let (stop, stopped) = watch::channel(false);
        let served = traffic.clone();
        tokio::spawn(async move { served.serve(listener, stopped).await });
        Self {
            traffic,
            store,
            addr,
            view,
            client: Client::new(
                addr,
                Options {
                    connect_timeout: LONG,
                    ..Options::default()
                },
            ),
            _stop: stop,
        }
    }

    /// Sends a completion request with further headers and waits for its head.
    pub async fn send(&self, key: &str, body: &str, headers: &[(&str, &str)]) -> Answer {
        let req = request("POST", "/v1/completions", key, body, headers);
        let sent = self.client.send(req, LONG).await;
        sent.expect("the entry answers")
    }

    /// Sends a completion request and reads the answer whole.
    pub async fn post(&self, key: &str, body: &str, headers: &[(&str, &str)]) -> FullResponse {
        read_full(self.send(key, body, headers).await).await
    }

    /// Sends any request and reads the answer whole.
    pub async fn call(&self, req: Request<Full<Bytes>>) -> FullResponse {
        let sent = self.client.send(req, LONG).await;
        read_full(sent.expect("the entry answers")).await
    }
}

pub async fn read_full(response: Answer) -> FullResponse {
    let headers = response.head.headers.clone();
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    FullResponse {
        status: response.head.status,
        verdict: text("dandelionstair-verdict").unwrap_or("").into(),
        retry_after: text("retry-after").and_then(|v| v.parse().ok()),
        body: response
            .collect(1 << 24, LONG)
            .await
            .expect("the answer is whole"),
    }
}

pub fn request(
    method: &str,
    path: &str,
    key: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let mut req = Request::builder().method(method).uri(path);
    if !key.is_empty() {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    req.body(body).expect("a good request")
}

/// A view in which all agents serve all models and the service.
pub fn make_view(agents: &[&FakeAgent]) -> View {
    let mut targets: Vec<TargetView> = agents
        .iter()
        .map(|a| TargetView {
            name: a.name.clone(),
            link: a.addr,
            token: a.token,
            data_centre: data_centre(),
            leaving: false,
        })
        .collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    let all: Vec<TargetKey> = (0..targets.len() as u32).map(TargetKey).collect();
    View {
        entries: 1,
        migrating: Vec::new(),
        fleet_version: 0,
        shard_versions: Vec::new(),
        config: ConfigVersion(1),
        confirmed: true,
        catalogue: Arc::new(catalogue()),
        targets: Arc::new(targets),
        holders: vec![all.clone(), all.clone()],
        providers: vec![all],
    }
}

fn data_centre() -> DataCentre {
    DataCentre::try_from("dc1").expect("a good name")
}

fn catalogue() -> Catalogue {
    let mut callers = vec![caller("gold", GOLD), caller("bronze", BRONZE)];
    callers.sort_by(|a, b| a.key_sha256.cmp(&b.key_sha256));
    Catalogue {
        models: vec![model("billed", false), model("free", true)],
        tiers: vec![tier("gold", 0), tier("bronze", 1)],
        callers,
        services: vec![service()],
        policy: Policy::default(),
    }
}

fn model(name: &str, repeatable: bool) -> Model {
    Model {
        name: ModelName::try_from(name).expect("a good name"),
        version: "1".into(),
        memory_mib: 1,
        replicas: 2,
        repeatable,
        adapters: vec![Adapter {
            name: AdapterName::try_from("short").expect("a good name"),
            version: "1".into(),
            memory_mib: 1,
        }],
    }
}

fn tier(name: &str, rank: u8) -> Tier {
    Tier {
        name: TierName::try_from(name).expect("a good name"),
        rank: TierRank(rank),
        floor_percent: 10,
        timeout_ms: 30_000,
        max_waiting: 100,
    }
}

/// Each tier has one caller of its own name.
fn caller(name: &str, key: &str) -> Caller {
    let hash = Sha256::digest(key.as_bytes());
    let hex: String = hash.iter().map(|b| format!("{b:02x}")).collect();
    Caller {
        name: CallerName::try_from(name).expect("a good name"),
        key_sha256: hex.into(),
        tier: TierName::try_from(name).expect("a good name"),
    }
}

fn service() -> Service {
    Service {
        name: ServiceName::try_from("lookup").expect("a good name"),
        concurrency: 4,
        routes: vec![ServiceRoute {
            method: "GET".into(),
            prefix: "/words".into(),
            repeatable: true,
        }],
    }
}
