use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use super::{Response, StoreError};

/// An HTTP client for one server that reuses its connections.
///
/// Clones share their connections. The client never retries a call.
#[derive(Debug, Clone)]
pub struct Transport {
    http: Client<HttpConnector, Full<Bytes>>,
    url: Arc<str>,
}

impl Transport {
    /// Maximum size of a response body, in bytes. One megabyte of data encoded in Base64 fits.
    const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;

    /// Idle time after which a TCP connection is probed, and time between two probes.
    const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

    /// Number of unanswered probes after which a connection is closed.
    const KEEPALIVE_PROBES: u32 = 2;

    /// Creates a client for the server at `url`, which opens connections on demand.
    #[must_use]
    pub fn new(url: &str, connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(Self::KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(Self::KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(Self::KEEPALIVE_PROBES));
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            url: Arc::from(url),
        }
    }

    /// Sends a request and returns the response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within `timeout`. The error states whether the call
    /// may have taken effect.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .body(Full::new(body))
            .map_err(|error| StoreError::NotDone(error.to_string()))?;
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(response) => response,
            Err(_) => Err(StoreError::Unknown(format!(
                "no response within {timeout:?}"
            ))),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Response, StoreError> {
        let response = self.http.request(req).await.map_err(|error| {
            let reason = root_cause(&error);
            if error.is_connect() {
                StoreError::NotDone(reason)
            } else {
                StoreError::Unknown(reason)
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, Self::MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| StoreError::Unknown(error.to_string()))?;
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

/// Returns the text of the innermost source of `error`, which is the most specific one.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
