use gotham::mime::{self, Mime};
use http::StatusCode;
use serde::Serialize;

/// The response of an HTTP server to a call.
#[derive(Debug, Clone)]
pub struct Reply {
    pub(super) status: StatusCode,
    pub(super) content_type: Mime,
    pub(super) body: String,
}

impl Reply {
    /// Creates a response without a body.
    #[must_use]
    pub const fn empty(status: StatusCode) -> Self {
        Self {
            status,
            content_type: mime::TEXT_PLAIN,
            body: String::new(),
        }
    }

    /// Creates a plain-text response with status 200 OK.
    #[must_use]
    pub const fn text(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: mime::TEXT_PLAIN_UTF_8,
            body,
        }
    }

    /// Creates a JSON response with status 200 OK.
    ///
    /// If `value` cannot be encoded, the response is an empty 500 Internal Server Error.
    #[must_use]
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(body) => Self {
                status: StatusCode::OK,
                content_type: mime::APPLICATION_JSON,
                body,
            },
            Err(err) => {
                tracing::warn!(%err, "reply_encoding_failed");
                Self::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}
