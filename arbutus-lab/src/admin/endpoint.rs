use http::{Method, StatusCode};

/// The response of an admin port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response body as JSON text.
    pub body: String,
}

impl Reply {
    /// Creates a success response with `value` as JSON.
    #[must_use]
    pub fn json(value: &impl serde::Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(body) => Self {
                status: StatusCode::OK,
                body,
            },
            Err(error) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Creates an error response with `reason` as the `error` field of its JSON body.
    #[must_use]
    pub fn error(status: StatusCode, reason: &str) -> Self {
        Self {
            status,
            body: serde_json::json!({ "error": reason }).to_string(),
        }
    }
}

/// The request handler behind an admin port.
pub trait Endpoint: Send + Sync + 'static {
    /// Handles one request and returns the response.
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> Reply;
}
