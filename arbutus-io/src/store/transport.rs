use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use super::{Answer, StoreError};

/// HTTP calls to one server, on connections that are kept.
///
/// Clones share their connections. No call is repeated by the client itself.
#[derive(Debug, Clone)]
pub struct Transport {
    http: Client<HttpConnector, Full<Bytes>>,
    url: Arc<str>,
}

impl Transport {
    /// Largest answer that is read, in bytes: a megabyte in Base64 with room to spare.
    const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

    /// Silence after which a connection is probed, and time between two probes.
    const KEEPALIVE: Duration = Duration::from_secs(1);

    /// Probes that may go unanswered.
    const KEEPALIVE_PROBES: u32 = 2;

    /// Makes a client of the server at `url`; connections are opened when they are needed.
    #[must_use]
    pub fn new(url: &str, connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(Self::KEEPALIVE));
        connector.set_keepalive_interval(Some(Self::KEEPALIVE));
        connector.set_keepalive_retries(Some(Self::KEEPALIVE_PROBES));
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            url: Arc::from(url),
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Fails where no whole answer comes within `timeout`; the error tells whether the call may
    /// have taken effect.
    pub async fn ask(
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
/// The innermost cause of an error, which names what went wrong.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
