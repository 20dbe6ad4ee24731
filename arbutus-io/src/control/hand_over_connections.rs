use std::{future::Future, net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

/// Time after a failed connection attempt before the next one.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The connections for handing requests over, one per control address.
///
/// Lock order: `peers`, held for lookups only; then the state of one peer, held while a connection
/// is being opened, so that requests to one process share one attempt.
#[derive(Debug, Default)]
pub(super) struct HandOverConnections {
    peers: Mutex<IndexMap<SocketAddrV4, Arc<tokio::sync::Mutex<PeerState>>>>,
}

/// The state of the connection to one process.
#[derive(Debug, Default)]
enum PeerState {
    /// No connection has been opened yet.
    #[default]
    Disconnected,
    /// A connection was opened; it may have closed since.
    Open(quinn::Connection),
    /// The last attempt to connect failed.
    Unreachable {
        /// The error of the attempt.
        error: quinn::ConnectionError,
        /// The earliest time of the next attempt.
        retry_at: Instant,
    },
}

impl HandOverConnections {
    /// Returns the open connection to `address`, or else opens one with `connect`.
    ///
    /// # Errors
    ///
    /// Returns the error of `connect`, and the same error again during [`RETRY_PAUSE`] after it.
    pub(super) async fn get(
        &self,
        address: SocketAddrV4,
        connect: impl Future<Output = Result<quinn::Connection, quinn::ConnectionError>>,
    ) -> Result<quinn::Connection, quinn::ConnectionError> {
        let peer = self.peers.lock().entry(address).or_default().clone();
        let mut peer = peer.lock().await;
        match &*peer {
            PeerState::Open(connection) if connection.close_reason().is_none() => {
                return Ok(connection.clone());
            }
            PeerState::Unreachable { error, retry_at } if Instant::now() < *retry_at => {
                return Err(error.clone());
            }
            PeerState::Disconnected | PeerState::Open(_) | PeerState::Unreachable { .. } => {}
        }
        match connect.await {
            Ok(connection) => {
                *peer = PeerState::Open(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                let retry_at = Instant::now() + RETRY_PAUSE;
                *peer = PeerState::Unreachable {
                    error: error.clone(),
                    retry_at,
                };
                Err(error)
            }
        }
    }
}
