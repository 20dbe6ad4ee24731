use std::{net::SocketAddrV4, sync::Arc};

use bytes::{Buf, Bytes};
use h3::{
    client::{RequestStream, SendRequest},
    error::StreamError,
};
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
    /// One for each peer; the lock is held for a look-up only.
    peers: Mutex<IndexMap<SocketAddrV4, Arc<tokio::sync::Mutex<Peer>>>>,
}

/// The HTTP/3 client of one peer, locked while it is being set up.
#[derive(Default)]
struct Peer {
    /// Absent before the first request and after a failed one.
    sender: Option<Sender>,
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
            peers: Mutex::default(),
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
        let slot = self.peers.lock().entry(peer).or_default().clone();
        let mut sender = self.sender(peer, &slot).await?;
        let result = match sender.send_request(req).await {
            Ok(stream) => Self::exchange(stream, body).await,
            Err(err) => Err(err),
        };
        if let Err(err) = &result {
            tracing::debug!(%err, %peer, "hand_over_failed");
            // A connection has one HTTP/3 client, so that this one stays while its connection does.
            if matches!(err, StreamError::ConnectionError { .. }) {
                slot.lock().await.sender = None;
            }
        }
        result.map_err(|err| SendFailed {
            sent: !matches!(err, StreamError::RemoteClosing { .. }),
        })
    }

    async fn exchange(mut stream: Stream, body: Bytes) -> Result<PeerResponse, StreamError> {
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await?;
        let (parts, ()) = stream.recv_response().await?.into_parts();
        Ok(PeerResponse { parts, stream })
    }

    /// The peer's client; requests that come while it is set up wait for it.
    async fn sender(
        &self,
        peer: SocketAddrV4,
        slot: &tokio::sync::Mutex<Peer>,
    ) -> Result<Sender, SendFailed> {
        let mut slot = slot.lock().await;
        if let Some(sender) = &slot.sender {
            return Ok(sender.clone());
        }
        let unreachable = SendFailed { sent: false };
        let connection = self.control.hand_over(peer).await.map_err(|err| {
            tracing::debug!(%err, %peer, "peer_unreachable");
            unreachable
        })?;
        let (mut driver, sender) = h3::client::new(h3_quinn::Connection::new(connection))
            .await
            .map_err(|_| unreachable)?;
        tokio::spawn(async move {
            let reason = driver.wait_idle().await;
            tracing::debug!(%reason, %peer, "peer_connection_ended");
        });
        slot.sender = Some(sender.clone());
        Ok(sender)
    }
}

impl PeerResponse {
    /// The next piece of the body; `None` at its clean end.
    ///
    /// # Errors
    ///
    /// Fails where the response does not end whole.
    pub(super) async fn data(&mut self) -> Result<Option<Bytes>, StreamError> {
        let piece = self.stream.recv_data().await?;
        Ok(piece.map(|mut piece| piece.copy_to_bytes(piece.remaining())))
    }
}
