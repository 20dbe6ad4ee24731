use std::time::Duration;

use arbutus_core::apply::{Revision, SwapResult};
use arbutus_settings::store::StoreSettings;
use bytes::Bytes;
use http::{Method, StatusCode};

use super::{Answer, Entry, Lookup, StoreError, Transport, WatchIndex};

/// A client of the platform's key-value service.
///
/// Clones share their connections. No call is repeated by the client itself.
#[derive(Debug, Clone)]
pub struct StoreClient {
    transport: Transport,
    timeout: Duration,
}

impl StoreClient {
    /// Makes a client; connections are opened when they are needed.
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
    /// Fails where the store cannot be asked or its answer cannot be read.
    pub async fn get(&self, key: &str) -> Result<Lookup, StoreError> {
        self.lookup(&format!("/v1/kv/{key}?consistent"), self.timeout)
            .await
    }

    /// Reads `key` once the store has passed `after` with it, or after `wait`.
    ///
    /// # Errors
    ///
    /// Fails where the store cannot be asked, its answer cannot be read, or none comes soon after
    /// `wait`.
    pub async fn watch(
        &self,
        key: &str,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<Lookup, StoreError> {
        let (after, wait_ms) = (after.get(), wait.as_millis());
        let path = format!("/v1/kv/{key}?index={after}&wait={wait_ms}ms");
        // The published interface adds a random delay of up to a sixteenth of the wait.
        self.lookup(&path, wait + wait / 16 + self.timeout).await
    }

    /// Writes `key` if it still has the revision `expected`.
    ///
    /// # Errors
    ///
    /// Fails where no definite answer came; the error tells whether it may have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<SwapResult, StoreError> {
        let path = format!("/v1/kv/{key}?cas={}", expected.get());
        let answer = self
            .call(Method::PUT, &path, value.into(), self.timeout)
            .await?;
        match answer.body.trim_ascii() {
            b"true" => Ok(SwapResult::Done),
            b"false" => Ok(SwapResult::Mismatch),
            _ => Err(StoreError::Unknown("neither true nor false".into())),
        }
    }

    /// Writes `key` whatever it holds.
    ///
    /// # Errors
    ///
    /// Fails where no definite answer came.
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
    /// Fails where no definite answer came.
    pub async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let path = format!("/v1/kv/{key}");
        self.call(Method::DELETE, &path, Bytes::new(), self.timeout)
            .await?;
        Ok(())
    }

    async fn lookup(&self, path: &str, timeout: Duration) -> Result<Lookup, StoreError> {
        let answer = self
            .transport
            .ask(Method::GET, path, Bytes::new(), timeout)
            .await?;
        let entry = match answer.status {
            StatusCode::NOT_FOUND => None,
            _ => Entry::decode(&answer.checked()?.body)?,
        };
        let index = answer.headers.get("x-consul-index");
        let index = index.and_then(|it| it.to_str().ok()?.parse().ok());
        Ok(Lookup {
            entry,
            index: WatchIndex::new(index.unwrap_or_default()),
        })
    }

    /// Makes a call whose answer must be a success.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, StoreError> {
        let answer = self.transport.ask(method, path, body, timeout).await?;
        answer.checked()?;
        Ok(answer)
    }

    /// The timeout of calls that do not wait.
    pub(super) const fn timeout(&self) -> Duration {
        self.timeout
    }
}
