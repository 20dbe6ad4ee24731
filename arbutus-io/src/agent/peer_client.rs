use std::net::SocketAddrV4;

use bytes::{Buf, Bytes};
use h3::client::{RequestStream, SendRequest};
use h3_quinn::{BidiStream, OpenStreams};
use indexmap::IndexMap;
use parking_lot::Mutex;

use super::backend::SendFailed;
use crate::control::ControlEndpoint;

type Sender = SendRequest<OpenStreams, Bytes>;
type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Requests to peer agents, over HTTP/3 on the control endpoint.
pub(super) struct PeerClient {
    control: ControlEndpoint,
    /// An open connection for each peer; the lock is held for a look-up only.
    senders: Mutex<IndexMap<SocketAddrV4, Sender>>,
}

/// A response of a peer, its body still to come.
pub(super) struct PeerResponse {
    /// Status and headers.
    pub(super) parts: http::response::Parts,
    stream: Stream,
}

impl PeerClient {
    /// Makes the client over `control`.
    pub(super) fn new(control: ControlEndpoint) -> Self {
        Self {
            control,
            senders: Mutex::default(),
        }
    }

    /// Sends a request to the peer with the control address `peer`.
    ///
    /// # Errors
    ///
    /// Fails where the peer cannot be reached, or its response does not come.
    pub(super) async fn send(
        &self,
        peer: SocketAddrV4,
        req: http::Request<()>,
        body: Bytes,
    ) -> Result<PeerResponse, SendFailed> {
        let mut sender = self.sender(peer).await?;
        let stream = match sender.send_request(req).await {
            Ok(stream) => stream,
            Err(err) => {
                tracing::debug!(%err, %peer, "hand_over_failed");
                self.senders.lock().swap_remove(&peer);
                return Err(SendFailed { sent: true });
            }
        };
        let result = Self::exchange(stream, body).await;
        if result.is_err() {
            self.senders.lock().swap_remove(&peer);
        }
        result.map_err(|err| {
            tracing::debug!(%err, %peer, "hand_over_failed");
            SendFailed { sent: true }
        })
    }

    async fn exchange(
        mut stream: Stream,
        body: Bytes,
    ) -> Result<PeerResponse, h3::error::StreamError> {
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await?;
        let (parts, ()) = stream.recv_response().await?.into_parts();
        Ok(PeerResponse { parts, stream })
    }

    async fn sender(&self, peer: SocketAddrV4) -> Result<Sender, SendFailed> {
        let known = self.senders.lock().get(&peer).cloned();
        if let Some(sender) = known {
            return Ok(sender);
        }
        let unreachable = SendFailed { sent: false };
        let connection = self.control.hand_over(peer).await.map_err(|err| {
            tracing::info!(%err, %peer, "peer_unreachable");
            unreachable
        })?;
        let (mut driver, sender) = h3::client::new(h3_quinn::Connection::new(connection))
            .await
            .map_err(|_| unreachable)?;
        tokio::spawn(async move {
            let reason = driver.wait_idle().await;
            tracing::debug!(%reason, %peer, "peer_connection_ended");
        });
        self.senders.lock().insert(peer, sender.clone());
        Ok(sender)
    }
}

impl PeerResponse {
    /// The next piece of the body; `None` at its clean end.
    ///
    /// # Errors
    ///
    /// Fails where the response does not end whole.
    pub(super) async fn data(&mut self) -> Result<Option<Bytes>, h3::error::StreamError> {
        let piece = self.stream.recv_data().await?;
        Ok(piece.map(|mut piece| piece.copy_to_bytes(piece.remaining())))
    }
}
