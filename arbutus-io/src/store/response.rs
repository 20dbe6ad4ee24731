use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::StoreError;

/// A whole answer to an HTTP call.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Fails unless the status is a success.
    ///
    /// A refusal by the store (4xx) took no effect; after a failure inside it (5xx) nobody knows.
    pub(super) fn checked(&self) -> Result<&Self, StoreError> {
        let status = self.status;
        if status.is_success() {
            return Ok(self);
        }
        let text = String::from_utf8_lossy(&self.body);
        let reason = format!("{status}: {}", text.chars().take(200).collect::<String>());
        Err(if status.is_client_error() {
            StoreError::NotDone(reason)
        } else {
            StoreError::Unknown(reason)
        })
    }
}
