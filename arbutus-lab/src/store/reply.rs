use base64::{Engine, engine::general_purpose::STANDARD};
use http::StatusCode;
use serde_json::json;

use super::table::Item;

/// An answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    /// The index of the last change to the key, sent in the header `X-Consul-Index`.
    pub(super) index: Option<u64>,
    pub(super) body: String,
}

impl Reply {
    /// Creates an answer with status 200.
    pub(super) fn ok(body: impl Into<String>) -> Self {
        Self::new(StatusCode::OK, body)
    }

    /// Creates an answer without an index.
    pub(super) fn new(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            index: None,
            body: body.into(),
        }
    }

    /// Creates the answer to a read of `key`.
    pub(super) fn lookup(key: &str, item: Option<&Item>, index: u64) -> Self {
        let mut reply = match item {
            None => Self::new(StatusCode::NOT_FOUND, ""),
            Some(item) => Self::ok(entry_json(key, item)),
        };
        reply.index = Some(index);
        reply
    }
}

fn entry_json(key: &str, item: &Item) -> String {
    json!([{
        "Key": key,
        "Value": STANDARD.encode(&item.value),
        "Flags": 0,
        "LockIndex": 0,
        "CreateIndex": item.create_index,
        "ModifyIndex": item.modify_index,
    }])
    .to_string()
}
