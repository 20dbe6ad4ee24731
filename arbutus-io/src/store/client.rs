use std::time::Duration;

use arbutus_core::apply::{Revision, SwapResult};
use arbutus_settings::store::StoreSettings;
use bytes::Bytes;
use http::{Method, StatusCode};

use super::{Entry, Lookup, Response, StoreError, Transport, WatchIndex};

/// A client of the platform's key-value service.
///
/// Clones share their connections. The client never retries a call.
#[derive(Debug, Clone)]
pub struct StoreClient {
    transport: Transport,
    timeout: Duration,
}

impl StoreClient {
    /// Creates a client, which opens connections on demand.
    #[must_use]
    pub fn new(settings: &StoreSettings) -> Self {
        Self {
            transport: Transport::new(&settings.url, settings.timeout / 2),
            timeout: settings.timeout,
        }
    }

    /// Reads `key`.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or its response cannot be decoded.
    pub async fn get(&self, key: &str) -> Result<Lookup, StoreError> {
        self.lookup(&format!("/v1/kv/{key}?consistent"), self.timeout)
            .await
    }

    /// Reads `key` as soon as its watch index is greater than `after`, or once `wait` has passed.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, its response cannot be decoded, or no response arrives
    /// soon after `wait`.
    pub async fn watch(
        &self,
        key: &str,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<Lookup, StoreError> {
        let (after, wait_ms) = (after.get(), wait.as_millis());
        let path = format!("/v1/kv/{key}?index={after}&wait={wait_ms}ms");
        // The published interface adds a random delay of up to one sixteenth of the wait.
        self.lookup(&path, wait + wait / 16 + self.timeout).await
    }

    /// Writes `key` if its revision is still `expected`.
    ///
    /// # Errors
    ///
    /// Fails if no definite response arrived. The error states whether the write may have taken
    /// effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<SwapResult, StoreError> {
        let path = format!("/v1/kv/{key}?cas={}", expected.get());
        let response = self
            .call(Method::PUT, &path, value.into(), self.timeout)
            .await?;
        match response.body.trim_ascii() {
            b"true" => Ok(SwapResult::Done),
            b"false" => Ok(SwapResult::Mismatch),
            _ => Err(StoreError::Unknown(
                "the body is neither true nor false".into(),
            )),
        }
    }

    /// Writes `key` unconditionally.
    ///
    /// # Errors
    ///
    /// Fails if no definite response arrived.
    pub async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), StoreError> {
        let path = format!("/v1/kv/{key}");
        self.call(Method::PUT, &path, value.into(), self.timeout)
            .await?;
        Ok(())
    }

    /// Deletes `key`.
    ///
    /// # Errors
    ///
    /// Fails if no definite response arrived.
    pub async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let path = format!("/v1/kv/{key}");
        self.call(Method::DELETE, &path, Bytes::new(), self.timeout)
            .await?;
        Ok(())
    }

    async fn lookup(&self, path: &str, timeout: Duration) -> Result<Lookup, StoreError> {
        let response = self
            .transport
            .request(Method::GET, path, Bytes::new(), timeout)
            .await?;
        let entry = match response.status {
            StatusCode::NOT_FOUND => None,
            _ => Entry::decode(&response.error_for_status()?.body)?,
        };
        let index = response.headers.get("x-consul-index");
        let index = index.and_then(|it| it.to_str().ok()?.parse().ok());
        Ok(Lookup {
            entry,
            index: WatchIndex::new(index.unwrap_or_default()),
        })
    }

    /// Makes a call and returns its response, which must have a success status.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let response = self.transport.request(method, path, body, timeout).await?;
        response.error_for_status()?;
        Ok(response)
    }

    /// Returns the timeout of calls that are not watches.
    pub(super) const fn timeout(&self) -> Duration {
        self.timeout
    }
}
