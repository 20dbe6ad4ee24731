use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, task::JoinHandle};

/// Body of a request to the backend server, held whole.
pub(super) type RequestBody = Full<Bytes>;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections kept while nothing runs on them.
const MAX_IDLE: usize = 64;

/// The connections to the agent's backend server, one request at a time on each.
///
/// A connection goes back only after its response ended whole, so that a late answer can never
/// meet another request.
#[derive(Debug)]
pub(super) struct BackendPool {
    address: SocketAddr,
    idle: Mutex<Vec<BackendConnection>>,
}

/// One connection to the backend server; dropping it closes it.
#[derive(Debug)]
pub(super) struct BackendConnection {
    sender: http1::SendRequest<RequestBody>,
    driver: JoinHandle<()>,
}

/// Why a request got no response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SendFailed {
    /// False only where no byte of the request went out.
    pub(super) sent: bool,
}

impl BackendPool {
    /// Makes the pool of the backend server at `address`.
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Takes an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails where the backend server takes no connection in time.
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

    /// Puts back a connection whose response ended whole.
    pub(super) async fn put_back(&self, mut connection: BackendConnection) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE {
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
    /// Fails where the connection ends before the head has come.
    pub(super) async fn send(
        &mut self,
        req: http::Request<RequestBody>,
    ) -> Result<http::Response<Incoming>, SendFailed> {
        self.sender.try_send_request(req).await.map_err(|mut err| {
            let sent = err.take_message().is_none();
            tracing::debug!(err = %err.error(), sent, "backend_request_failed");
            SendFailed { sent }
        })
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
