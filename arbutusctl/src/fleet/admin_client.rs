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

/// Asks admin ports.
#[derive(Debug, Clone)]
pub(crate) struct AdminClient {
    http: Client<HttpConnector, Empty<Bytes>>,
}

impl AdminClient {
    /// How long one answer may take.
    const TIMEOUT: Duration = Duration::from_secs(2);
    /// Largest answer that is read: a roster of the planned size with room to spare.
    const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

    /// Makes a client.
    pub(crate) fn new() -> Self {
        Self {
            // A fleet has more nodes than a process may have open connections.
            http: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build_http(),
        }
    }

    /// Gets the JSON at `path` of the admin port `address`.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Report<CtlError>> {
        let place = format!("http://{address}{path}");
        let uri: Uri = place.parse().change_context(CtlError::Admin)?;
        let body = tokio::time::timeout(Self::TIMEOUT, self.body(uri))
            .await
            .change_context(CtlError::Admin)
            .attach_with(|| place.clone())??;
        serde_json::from_slice(&body)
            .change_context(CtlError::Admin)
            .attach(place)
    }

    async fn body(&self, uri: Uri) -> Result<Bytes, Report<CtlError>> {
        let place = uri.to_string();
        let response = self
            .http
            .get(uri)
            .await
            .change_context(CtlError::Admin)
            .attach_with(|| place.clone())?;
        let status = response.status();
        if !status.is_success() {
            return Err(Report::new(CtlError::Admin).attach(format!("{place}: {status}")));
        }
        let body = Limited::new(response.into_body(), Self::MAX_ANSWER_BYTES);
        match body.collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => Err(Report::new(CtlError::Admin).attach(format!("{place}: {error}"))),
        }
    }
}
