use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, task::JoinHandle};

/// A fully buffered body of a request to the backend server.
pub(super) type RequestBody = Full<Bytes>;

/// Maximum time to open a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A pool of connections to the agent's backend server, each used by one request at a time.
///
/// A connection returns to the pool only after a complete response, so that a late response can
/// never be read as the answer to another request.
#[derive(Debug)]
pub(super) struct BackendPool {
    address: SocketAddr,
    idle: Mutex<Vec<BackendConnection>>,
}

/// A connection to the backend server; dropping it closes it.
#[derive(Debug)]
pub(super) struct BackendConnection {
    sender: http1::SendRequest<RequestBody>,
    driver: JoinHandle<()>,
}

/// A request failed before the head of its response arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SendError {
    /// False only if no byte of the request was sent.
    pub(super) sent: bool,
}

impl BackendPool {
    /// Creates an empty pool for the backend server at `address`.
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if the backend server does not accept a connection within
    /// [`CONNECT_TIMEOUT`].
    pub(super) async fn connect(self: &Arc<Self>) -> std::io::Result<BackendConnection> {
        while let Some(connection) = self.take_idle() {
            if !connection.sender.is_closed() && connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| std::io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!(%err, "backend_connection_failed");
            }
        });
        Ok(BackendConnection { sender, driver })
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) async fn release(&self, mut connection: BackendConnection) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn take_idle(&self) -> Option<BackendConnection> {
        self.idle.lock().pop()
    }
}

impl BackendConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the head has arrived.
    pub(super) async fn send(
        &mut self,
        req: http::Request<RequestBody>,
    ) -> Result<http::Response<Incoming>, SendError> {
        self.sender.try_send_request(req).await.map_err(|mut err| {
            let sent = err.take_message().is_none();
            tracing::debug!(err = %err.error(), sent, "backend_request_failed");
            SendError { sent }
        })
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
