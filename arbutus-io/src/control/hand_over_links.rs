use std::{future::Future, net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

/// How long a process that could not be reached is not tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Connections for handing requests over, one for each control address.
///
/// Lock order: `links`, held for a look-up only; then one link, held while it connects, so that
/// requests for one process share one attempt.
#[derive(Debug, Default)]
pub(super) struct HandOverLinks {
    links: Mutex<IndexMap<SocketAddrV4, Arc<tokio::sync::Mutex<Link>>>>,
}

/// What is known of one process.
#[derive(Debug, Default)]
enum Link {
    /// Nothing, or its connection has ended.
    #[default]
    Idle,
    /// It is connected.
    Open(quinn::Connection),
    /// It was tried in vain.
    Unreachable {
        /// Why.
        error: quinn::ConnectionError,
        /// When it may be tried again.
        retry_at: Instant,
    },
}

impl HandOverLinks {
    /// The open connection to `address`, or one that `connect` makes.
    ///
    /// # Errors
    ///
    /// Fails as `connect` does, and for a pause after it did.
    pub(super) async fn get(
        &self,
        address: SocketAddrV4,
        connect: impl Future<Output = Result<quinn::Connection, quinn::ConnectionError>>,
    ) -> Result<quinn::Connection, quinn::ConnectionError> {
        let link = self.links.lock().entry(address).or_default().clone();
        let mut link = link.lock().await;
        match &*link {
            Link::Open(connection) if connection.close_reason().is_none() => {
                return Ok(connection.clone());
            }
            Link::Unreachable { error, retry_at } if Instant::now() < *retry_at => {
                return Err(error.clone());
            }
            Link::Idle | Link::Open(_) | Link::Unreachable { .. } => {}
        }
        match connect.await {
            Ok(connection) => {
                *link = Link::Open(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                let retry_at = Instant::now() + RETRY_PAUSE;
                *link = Link::Unreachable {
                    error: error.clone(),
                    retry_at,
                };
                Err(error)
            }
        }
    }
}
