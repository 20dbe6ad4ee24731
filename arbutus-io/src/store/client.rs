use std::{sync::Arc, time::Duration};

use arbutus_core::apply::{Revision, Swap};
use arbutus_settings::store::StoreSettings;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use super::{Entry, Lookup, StoreError, WatchIndex};

/// A client of the platform's key-value service.
///
/// Clones share their connections. No call is repeated by the client itself.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: Client<HttpConnector, Full<Bytes>>,
    url: Arc<str>,
    timeout: Duration,
}

/// An answer of the store.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl StoreClient {
    /// Largest answer that is read, in bytes: a megabyte in Base64 with room to spare.
    const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

    /// Makes a client; connections are opened when they are needed.
    #[must_use]
    pub fn new(settings: &StoreSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.timeout / 2));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            url: settings.url.clone(),
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
    ) -> Result<Swap, StoreError> {
        let path = format!("/v1/kv/{key}?cas={}", expected.get());
        let answer = self
            .call(Method::PUT, &path, value.into(), self.timeout)
            .await?;
        match answer.body.trim_ascii() {
            b"true" => Ok(Swap::Done),
            b"false" => Ok(Swap::Mismatch),
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
        let answer = self.ask(Method::GET, path, Bytes::new(), timeout).await?;
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
        let answer = self.ask(method, path, body, timeout).await?;
        answer.checked()?;
        Ok(answer)
    }

    /// The timeout of calls that do not wait.
    pub(super) const fn timeout(&self) -> Duration {
        self.timeout
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .body(Full::new(body))
            .map_err(|error| StoreError::NotDone(error.to_string()))?;
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::Unknown(format!("no answer in {timeout:?}"))),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Answer, StoreError> {
        let response = self.http.request(req).await.map_err(|error| {
            let reason = root_cause(&error);
            if error.is_connect() {
                StoreError::NotDone(reason)
            } else {
                StoreError::Unknown(reason)
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, Self::MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| StoreError::Unknown(error.to_string()))?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl Answer {
    /// Fails unless the status is a success.
    ///
    /// A refusal by the store (4xx) took no effect; after a failure inside it (5xx) nobody knows.
    fn checked(&self) -> Result<&Self, StoreError> {
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

/// The innermost cause of an error, which names what went wrong.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
