//! An engine in memory, which fails on command.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use serde_json::{
    Value,
    json, //
};
use stair_http::{
    Body,
    body,
    server, //
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

#[derive(Clone)]
pub(crate) struct FakeEngine {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Completions wait until this is true.
    pub(crate) open: watch::Sender<bool>,
    /// A streamed answer sends its second half once this is true.
    pub(crate) second_half: watch::Sender<bool>,
    /// Kept, so that the listener goes on.
    _stop: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    memory_mib: u64,
    models: BTreeMap<String, Value>,
    fence: u64,
    loads: u32,
    runs: Vec<String>,
    most_mib: u64,
    exceeded_memory: bool,
    lose_loads: u32,
    fail_loads: u32,
    load_time: Duration,
    cut: u32,
}

impl FakeEngine {
    pub(crate) async fn start(memory_mib: u32) -> Self {
        let listener = TcpListener::bind(super::any_port()).await.expect("binds");
        let (stop, stopping) = watch::channel(false);
        let engine = Self {
            addr: listener.local_addr().expect("is bound"),
            state: Arc::new(Mutex::new(State {
                memory_mib: memory_mib.into(),
                ..State::default()
            })),
            open: watch::Sender::new(true),
            second_half: watch::Sender::new(true),
            _stop: stop,
        };
        let handler = engine.clone();
        tokio::spawn(server::serve(
            listener,
            server::Options::default(),
            stopping,
            move |req| {
                let engine = handler.clone();
                async move { engine.respond(req).await }
            },
        ));
        engine
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("lock")
    }

    /// Returns how many loads were ordered.
    pub(crate) fn loads(&self) -> u32 {
        self.state().loads
    }

    /// Returns the ids that were run, in order.
    pub(crate) fn runs(&self) -> Vec<String> {
        self.state().runs.clone()
    }

    /// Returns the models held.
    pub(crate) fn models(&self) -> Vec<String> {
        self.state().models.keys().cloned().collect()
    }

    /// Returns the version held of a model.
    pub(crate) fn version(&self, model: &str) -> Option<String> {
        let state = self.state();
        let version = state.models.get(model)?["version"].as_str();
        version.map(str::to_owned)
    }

    /// Tells whether a load came for which there was no room.
    pub(crate) fn exceeded_memory(&self) -> bool {
        self.state().exceeded_memory
    }

    /// The next so many loads take effect and their answers are lost.
    pub(crate) fn lose_loads(&self, n: u32) {
        self.state().lose_loads = n;
    }

    /// The next so many loads are refused.
    pub(crate) fn fail_loads(&self, n: u32) {
        self.state().fail_loads = n;
    }

    pub(crate) fn load_time(&self, time: Duration) {
        self.state().load_time = time;
    }

    /// Makes orders with lower fences stale.
    pub(crate) fn raise_fence(&self, fence: u64) {
        self.state().fence = fence;
    }

    /// Returns the adapters held on a model.
    pub(crate) fn adapters(&self, model: &str) -> usize {
        let state = self.state();
        let model = state.models.get(model);
        model.map_or(0, |m| m["adapters"].as_array().expect("a list").len())
    }

    /// Loses all models, as a restart does.
    pub(crate) fn restart(&self) {
        self.state().models.clear();
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let id = req.headers().get("x-request-id").cloned();
        let id = id.and_then(|v| v.to_str().ok().map(str::to_owned));
        let limit = Duration::from_secs(5);
        let bytes = body::read(req.into_body(), 1 << 20, limit).await;
        let sent: Value = serde_json::from_slice(&bytes.unwrap_or_default()).unwrap_or_default();
        match path.as_str() {
            "/engine" => self.list(),
            "/engine/load" => self.load(&sent).await,
            "/engine/unload" => self.unload(&sent),
            "/engine/adapters/load" => self.load_adapter(&sent),
            "/engine/adapters/unload" => self.unload_adapter(&sent),
            _ => self.complete(&sent, id.unwrap_or_default()).await,
        }
    }

    fn list(&self) -> Response<Body> {
        let state = self.state();
        let models: Vec<&Value> = state.models.values().collect();
        let list = json!({"memory_mib": state.memory_mib, "models": models, "running": 0,
            "waiting": 0, "fence": state.fence});
        reply(StatusCode::OK, &list)
    }

    async fn load(&self, sent: &Value) -> Response<Body> {
        let (time, lose, fail) = {
            let mut state = self.state();
            state.loads += 1;
            let (lose, fail) = (state.lose_loads > 0, state.fail_loads > 0);
            state.lose_loads = state.lose_loads.saturating_sub(1);
            state.fail_loads = state.fail_loads.saturating_sub(1);
            (state.load_time, lose, fail)
        };
        tokio::time::sleep(time).await;
        if fail {
            return reply(StatusCode::NOT_FOUND, &json!({"error": "no-such-model"}));
        }
        {
            let mut state = self.state();
            if let Some(stale) = state.check_fence(sent) {
                return stale;
            }
            let needs = sent["memory_mib"].as_u64().unwrap_or_default();
            let taken = state.taken();
            if taken + needs > state.memory_mib {
                state.exceeded_memory = true;
                return reply(
                    StatusCode::INSUFFICIENT_STORAGE,
                    &json!({"error": "no-memory"}),
                );
            }
            let name = sent["model"].as_str().unwrap_or_default().to_owned();
            let model = json!({"name": name, "version": sent["version"], "memory_mib": needs,
                "state": "loaded", "adapters": []});
            state.models.insert(name, model);
            state.most_mib = state.most_mib.max(taken + needs);
        }
        if lose {
            std::future::pending::<()>().await;
        }
        reply(StatusCode::OK, &json!({"source": "disk", "load_ms": 1}))
    }

    fn unload(&self, sent: &Value) -> Response<Body> {
        let mut state = self.state();
        if let Some(stale) = state.check_fence(sent) {
            return stale;
        }
        let name = sent["model"].as_str().unwrap_or_default();
        match state.models.remove(name) {
            Some(_) => reply(StatusCode::OK, &json!({})),
            None => reply(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn load_adapter(&self, sent: &Value) -> Response<Body> {
        let mut state = self.state();
        let needs = sent["memory_mib"].as_u64().unwrap_or_default();
        if state.taken() + needs > state.memory_mib {
            state.exceeded_memory = true;
        }
        let name = sent["model"].as_str().unwrap_or_default();
        let adapter = json!({"name": sent["adapter"], "version": sent["version"],
            "memory_mib": needs});
        let Some(model) = state.models.get_mut(name) else {
            return reply(StatusCode::NOT_FOUND, &json!({}));
        };
        model["adapters"]
            .as_array_mut()
            .expect("a list")
            .push(adapter);
        reply(StatusCode::OK, &json!({"source": "disk", "load_ms": 1}))
    }

    fn unload_adapter(&self, sent: &Value) -> Response<Body> {
        let mut state = self.state();
        let name = sent["model"].as_str().unwrap_or_default();
        let Some(model) = state.models.get_mut(name) else {
            return reply(StatusCode::NOT_FOUND, &json!({}));
        };
        let adapters = model["adapters"].as_array_mut().expect("a list");
        adapters.retain(|a| a["name"] != sent["adapter"]);
        reply(StatusCode::OK, &json!({}))
    }

    async fn complete(&self, sent: &Value, id: String) -> Response<Body> {
        let name = sent["model"].as_str().unwrap_or_default();
        if !self.state().models.contains_key(name) {
            return reply(StatusCode::NOT_FOUND, &json!({"error": "not loaded"}));
        }
        self.state().runs.push(id);
        let _ = self.open.subscribe().wait_for(|o| *o).await;
        if sent["stream"] != json!(true) {
            return reply(StatusCode::OK, &json!({"text": "done"}));
        }
        let (tx, body) = body::channel(4);
        let mut second_half = self.second_half.subscribe();
        tokio::spawn(async move {
            let _ = tx.send(Some(Bytes::from_static(b"data: one\n\n"))).await;
            let _ = second_half.wait_for(|r| *r).await;
            let _ = tx.send(Some(Bytes::from_static(b"data: two\n\n"))).await;
            let _ = tx.send(None).await;
        });
        let mut resp = Response::new(body);
        let sse = hyper::header::HeaderValue::from_static("text/event-stream");
        resp.headers_mut().insert(hyper::header::CONTENT_TYPE, sse);
        resp
    }
}

impl State {
    fn taken(&self) -> u64 {
        let models = self.models.values();
        models
            .map(|m| {
                let adapters = m["adapters"].as_array().expect("a list").iter();
                let adapters = adapters.map(|a| a["memory_mib"].as_u64().unwrap_or_default());
                m["memory_mib"].as_u64().unwrap_or_default() + adapters.sum::<u64>()
            })
            .sum()
    }

    fn check_fence(&mut self, sent: &Value) -> Option<Response<Body>> {
        let fence = sent["fence"].as_u64().unwrap_or_default();
        if fence < self.fence {
            let stale = json!({"error": "stale-fence"});
            return Some(reply(StatusCode::CONFLICT, &stale));
        }
        self.fence = fence;
        None
    }
}

fn reply(status: StatusCode, value: &Value) -> Response<Body> {
    let mut resp = Response::new(body::full(value.to_string()));
    *resp.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    resp.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    resp
}
