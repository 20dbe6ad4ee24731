use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use serde::Deserialize;

use super::{StoreClient, StoreError};

/// The id of a session, which is the store's form of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SessionId {
    /// The id that the store assigned.
    #[serde(rename = "ID")]
    pub id: Arc<str>,
}

impl StoreClient {
    /// Creates a session that ends unless it is renewed within `ttl`.
    ///
    /// # Errors
    ///
    /// Fails if no definite response arrived.
    pub async fn create_session(&self, ttl: Duration) -> Result<SessionId, StoreError> {
        let body = serde_json::json!({ "TTL": format!("{}s", ttl.as_secs()) }).to_string();
        let response = self
            .call(
                Method::PUT,
                "/v1/session/create",
                body.into(),
                self.timeout(),
            )
            .await?;
        serde_json::from_slice(&response.body)
            .map_err(|error| StoreError::Unreadable(error.to_string()))
    }

    /// Renews a session.
    ///
    /// # Errors
    ///
    /// Fails if no definite response arrived, and with [`StoreError::NotDone`] if the session has
    /// ended.
    pub async fn renew_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/renew/{}", session.id);
        self.call(Method::PUT, &path, Bytes::new(), self.timeout())
            .await?;
        Ok(())
    }

    /// Ends a session.
    ///
    /// # Errors
    ///
    /// Fails if no definite response arrived.
    pub async fn destroy_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/destroy/{}", session.id);
        self.call(Method::PUT, &path, Bytes::new(), self.timeout())
            .await?;
        Ok(())
    }
}
