use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::StoreError;

/// The complete response to an HTTP call.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Returns an error unless the status code is a success.
    ///
    /// A call that the store rejected (4xx) had no effect. After a failure inside the store (5xx) it
    /// is unknown whether the call took effect.
    pub(super) fn error_for_status(&self) -> Result<&Self, StoreError> {
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
