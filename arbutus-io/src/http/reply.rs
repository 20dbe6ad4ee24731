use gotham::mime::{self, Mime};
use http::StatusCode;
use serde::Serialize;

/// What a server answers to a call.
#[derive(Debug, Clone)]
pub struct Reply {
    pub(super) status: StatusCode,
    pub(super) kind: Mime,
    pub(super) body: String,
}

impl Reply {
    /// Makes an answer without a body.
    #[must_use]
    pub const fn empty(status: StatusCode) -> Self {
        Self {
            status,
            kind: mime::TEXT_PLAIN,
            body: String::new(),
        }
    }

    /// Makes an answer of plain text.
    #[must_use]
    pub const fn text(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            kind: mime::TEXT_PLAIN_UTF_8,
            body,
        }
    }

    /// Makes a JSON answer; one that says that the server failed where `value` cannot be encoded.
    #[must_use]
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(body) => Self {
                status: StatusCode::OK,
                kind: mime::APPLICATION_JSON,
                body,
            },
            Err(err) => {
                tracing::warn!(%err, "reply_encoding_failed");
                Self::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}
