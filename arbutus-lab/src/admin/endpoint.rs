use http::{Method, StatusCode};

/// What an admin port answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The status of the answer.
    pub status: StatusCode,
    /// A JSON text.
    pub body: String,
}

impl Reply {
    /// Answers with `value` as JSON.
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

    /// Answers that a request cannot be served.
    #[must_use]
    pub fn error(status: StatusCode, reason: &str) -> Self {
        Self {
            status,
            body: serde_json::json!({ "error": reason }).to_string(),
        }
    }
}

/// A stand-in as its admin port sees it.
pub trait Endpoint: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> Reply;
}
