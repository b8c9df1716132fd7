//! Runs: plain answers and streams.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    }, //
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};
use stair_http::{
    Body,
    body, //
};
use tokio::sync::{
    OwnedSemaphorePermit,
    mpsc, //
};

use super::Shared;
use crate::{
    recorder::RunGuard,
    server::{
        cut,
        header,
        json as answer_json,
        read,
        send_and_cut, //
    },
};

const DEFAULT_TOKENS: u32 = 16;
const STREAM_DEPTH: usize = 16;

/// Returns the whole text that a run answers.
pub fn text(marker: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token(marker, i)).collect()
}

fn token(marker: &str, i: u32) -> String {
    match i {
        0 => marker.to_owned(),
        i => format!(" {i}"),
    }
}

/// Which of the two calls.
#[derive(Clone, Copy)]
pub(super) enum Api {
    Completions,
    Chat,
}

#[derive(Deserialize)]
struct Ask {
    model: Box<str>,
    #[serde(default)]
    prompt: Option<Box<str>>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    user: Option<Box<str>>,
}

#[derive(Deserialize)]
struct Message {
    content: Box<str>,
}

impl Ask {
    fn marker(&self) -> &str {
        let last = self.messages.last().map(|message| &message.content);
        let marker = self.user.as_ref().or(self.prompt.as_ref()).or(last);
        marker.map_or("", |marker| marker)
    }

    fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// Counts a run among those that wait or those in work.
struct Counted {
    shared: Arc<Shared>,
    waits: bool,
}

impl Counted {
    fn waiting(shared: &Arc<Shared>) -> Self {
        shared.modify(|state| state.waiting += 1);
        Self {
            shared: shared.clone(),
            waits: true,
        }
    }

    fn run(&mut self) {
        self.waits = false;
        self.shared.modify(|state| {
            state.waiting -= 1;
            state.running += 1;
        });
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let waits = self.waits;
        self.shared.modify(|state| match waits {
            true => state.waiting -= 1,
            false => state.running -= 1,
        });
    }
}

/// A run in work. Dropping it cancels it.
struct Run {
    ask: Ask,
    api: Api,
    life: u64,
    cut_after: Option<usize>,
    record: RunGuard,
    counted: Counted,
    _slot: OwnedSemaphorePermit,
}

pub(super) async fn answer(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    api: Api,
) -> Response<Body> {
    let id: Box<str> = header(&req, "x-request-id").into();
    let Some(body) = read(req.into_body()).await else {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "invalid_body");
    };
    let Ok(ask) = serde_json::from_slice::<Ask>(&body) else {
        return refuse(StatusCode::BAD_REQUEST, "invalid_json");
    };
    if !shared.state.borrow().is_loaded(&ask.model) {
        return refuse(StatusCode::NOT_FOUND, "model_not_found");
    }
    let Some(run) = Run::begin(&shared, ask, api, &id).await else {
        return refuse(StatusCode::NOT_FOUND, "model_not_found");
    };
    if !run.ask.stream {
        return run.answer_whole().await;
    }
    let (tx, body) = body::channel(STREAM_DEPTH);
    tokio::spawn(run.stream(tx));
    let mut resp = Response::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    resp.headers_mut().insert(CONTENT_TYPE, kind);
    resp
}

impl Run {
    /// Waits for a slot, and returns `None` when the model was unloaded meanwhile.
    async fn begin(shared: &Arc<Shared>, ask: Ask, api: Api, id: &str) -> Option<Self> {
        let mut counted = Counted::waiting(shared);
        let slot = shared.slots.clone().acquire_owned().await.ok()?;
        let (loaded, life, cut_after) = {
            let state = shared.state.borrow();
            let loaded = state.is_loaded(&ask.model);
            (loaded, state.life, state.faults.cut_after)
        };
        if !loaded {
            return None;
        }
        counted.run();
        let name = &shared.opts.name;
        let record = shared.recorder.run(id, ask.marker(), &ask.model, name);
        Some(Self {
            ask,
            api,
            life,
            cut_after,
            record,
            counted,
            _slot: slot,
        })
    }

    /// Makes the next token, and returns `None` when the model is gone.
    async fn next(&self, i: u32) -> Option<String> {
        let shared = &self.counted.shared;
        let time = match i {
            0 => shared.opts.first_token,
            _ => shared.opts.per_token,
        };
        shared.work(time).await;
        let state = shared.state.borrow();
        let goes_on = state.life == self.life && state.is_loaded(&self.ask.model);
        goes_on.then(|| token(self.ask.marker(), i))
    }

    async fn answer_whole(self) -> Response<Body> {
        let mut text = String::new();
        for i in 0..self.ask.tokens() {
            match self.next(i).await {
                Some(token) => text.push_str(&token),
                None => return cut(Bytes::new()),
            }
        }
        let body = serde_json::to_vec(&self.whole(&text)).unwrap_or_default();
        if let Some(limit) = self.cut_after
            && limit < body.len()
        {
            return cut(Bytes::from(body).slice(..limit));
        }
        self.record.complete();
        let mut resp = Response::new(body::full(body));
        let kind = HeaderValue::from_static("application/json");
        resp.headers_mut().insert(CONTENT_TYPE, kind);
        resp
    }

    async fn stream(self, tx: mpsc::Sender<Option<Bytes>>) {
        let mut left = self.cut_after.unwrap_or(usize::MAX);
        let tokens = self.ask.tokens();
        // After the tokens come the end of the text and the end of the stream.
        for i in 0..tokens + 2 {
            let event = match i.checked_sub(tokens) {
                Some(0) => event(&self.chunk("", Some("length"))),
                Some(_) => Bytes::from_static(b"data: [DONE]\n\n"),
                None => {
                    let next = tokio::select! {
                        next = self.next(i) => next,
                        () = tx.closed() => None,
                    };
                    let Some(token) = next else {
                        return;
                    };
                    event(&self.chunk(&token, None))
                }
            };
            if event.len() > left {
                return send_and_cut(tx, event.slice(..left)).await;
            }
            left -= event.len();
            if tx.send(Some(event)).await.is_err() {
                return;
            }
        }
        if tx.send(None).await.is_ok() {
            self.record.complete();
        }
    }

    fn whole(&self, text: &str) -> Value {
        let tokens = self.ask.tokens();
        let mut whole = match self.api {
            Api::Completions => self.part("text_completion", "text", json!(text), "length"),
            Api::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                self.part("chat.completion", "message", message, "length")
            }
        };
        whole["usage"] = json!({
            "prompt_tokens": 1,
            "completion_tokens": tokens,
            "total_tokens": tokens + 1,
        });
        whole
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> Value {
        match self.api {
            Api::Completions => self.part("text_completion", "text", json!(text), finish),
            Api::Chat => {
                let delta = json!({ "content": text });
                self.part("chat.completion.chunk", "delta", delta, finish)
            }
        }
    }

    fn part<'a>(
        &self,
        object: &str,
        field: &str,
        content: Value,
        finish: impl Into<Option<&'a str>>,
    ) -> Value {
        let finish: Option<&str> = finish.into();
        json!({
            "id": "cmpl",
            "object": object,
            "model": self.ask.model,
            "choices": [{ "index": 0, field: content, "finish_reason": finish }],
        })
    }
}

fn event(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}

fn refuse(status: StatusCode, code: &str) -> Response<Body> {
    let body = json!({
        "error": {
            "message": code,
            "type": "invalid_request_error",
            "code": code,
        },
    });
    answer_json(status, &body)
}
