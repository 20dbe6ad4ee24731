use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::Uri;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

use crate::CtlError;

/// An HTTP client for admin ports.
#[derive(Debug, Clone)]
pub(crate) struct AdminClient {
    http: Client<HttpConnector, Empty<Bytes>>,
}

impl AdminClient {
    /// The timeout of a request.
    const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
    /// The maximum size of a response: well above a roster of the planned size.
    const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

    /// Creates a client.
    pub(crate) fn new() -> Self {
        Self {
            // Connections are not kept open, since a fleet may have more nodes than a process may
            // have open connections.
            http: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build_http(),
        }
    }

    /// Requests `path` from the admin port `address` and parses the JSON response.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Report<CtlError>> {
        let url = format!("http://{address}{path}");
        let uri: Uri = url.parse().change_context(CtlError::Admin)?;
        let body = tokio::time::timeout(Self::REQUEST_TIMEOUT, self.body(uri))
            .await
            .change_context(CtlError::Admin)
            .attach_with(|| url.clone())??;
        serde_json::from_slice(&body)
            .change_context(CtlError::Admin)
            .attach(url)
    }

    async fn body(&self, uri: Uri) -> Result<Bytes, Report<CtlError>> {
        let url = uri.to_string();
        let response = self
            .http
            .get(uri)
            .await
            .change_context(CtlError::Admin)
            .attach_with(|| url.clone())?;
        let status = response.status();
        if !status.is_success() {
            return Err(Report::new(CtlError::Admin).attach(format!("{url}: {status}")));
        }
        let body = Limited::new(response.into_body(), Self::MAX_RESPONSE_BYTES);
        match body.collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => Err(Report::new(CtlError::Admin).attach(format!("{url}: {error}"))),
        }
    }
}
