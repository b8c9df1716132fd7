//! The list of models and adapters that a caller may request.

use hyper::{
    Response,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use serde::Serialize;
use stair_config::Catalogue;
use stair_http::{
    Body,
    body::full, //
};

#[derive(Serialize)]
struct List {
    object: &'static str,
    data: Vec<Entry>,
}

#[derive(Serialize)]
struct Entry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

pub(super) fn response(catalogue: &Catalogue) -> Response<Body> {
    let mut data = Vec::new();
    for model in &catalogue.models {
        data.push(entry(model.name.to_string()));
        for adapter in &model.adapters {
            data.push(entry(format!("{}/{}", model.name, adapter.name)));
        }
    }
    let list = List {
        object: "list",
        data,
    };
    let mut resp = Response::new(full(serde_json::to_vec(&list).unwrap_or_default()));
    let json = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(CONTENT_TYPE, json);
    resp
}

fn entry(id: String) -> Entry {
    Entry {
        id,
        object: "model",
        owned_by: "dandelionstair",
    }
}
