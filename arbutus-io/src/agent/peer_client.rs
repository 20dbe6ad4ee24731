use std::{net::SocketAddrV4, sync::Arc};

use bytes::{Buf, Bytes};
use h3::{
    client::{RequestStream, SendRequest},
    error::StreamError,
};
use h3_quinn::{BidiStream, OpenStreams};
use indexmap::IndexMap;
use parking_lot::Mutex;

use super::backend::SendError;
use crate::control::ControlEndpoint;

type Sender = SendRequest<OpenStreams, Bytes>;
type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Sends requests to peer agents, over HTTP/3 on the control endpoint.
pub(super) struct PeerClient {
    control: ControlEndpoint,
    /// By control address. The outer lock is held for lookups only.
    peers: Mutex<IndexMap<SocketAddrV4, Arc<tokio::sync::Mutex<Peer>>>>,
}

/// The HTTP/3 client of one peer, locked while the connection is set up.
#[derive(Default)]
struct Peer {
    /// `None` before the first request and after the connection has failed.
    sender: Option<Sender>,
}

/// A response of a peer whose body has yet to be read.
pub(super) struct PeerResponse {
    /// The status and headers.
    pub(super) parts: http::response::Parts,
    stream: Stream,
}

impl PeerClient {
    /// Creates a client that connects through `control`.
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
    /// Returns an error if the peer cannot be reached or its response does not arrive.
    pub(super) async fn send(
        &self,
        peer: SocketAddrV4,
        req: http::Request<()>,
        body: Bytes,
    ) -> Result<PeerResponse, SendError> {
        let slot = self.peers.lock().entry(peer).or_default().clone();
        let mut sender = self.sender(peer, &slot).await?;
        let result = match sender.send_request(req).await {
            Ok(stream) => Self::exchange(stream, body).await,
            Err(err) => Err(err),
        };
        if let Err(err) = &result {
            tracing::debug!(%err, %peer, "hand_over_failed");
            // A connection has exactly one HTTP/3 client, so the client is kept unless the
            // connection itself has failed.
            if matches!(err, StreamError::ConnectionError { .. }) {
                slot.lock().await.sender = None;
            }
        }
        result.map_err(|err| SendError {
            sent: !matches!(err, StreamError::RemoteClosing { .. }),
        })
    }

    /// Sends the body and reads the head of the response.
    async fn exchange(mut stream: Stream, body: Bytes) -> Result<PeerResponse, StreamError> {
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await?;
        let (parts, ()) = stream.recv_response().await?.into_parts();
        Ok(PeerResponse { parts, stream })
    }

    /// Returns the client of `peer`, connecting first if necessary.
    ///
    /// Requests that arrive during the setup wait for it.
    async fn sender(
        &self,
        peer: SocketAddrV4,
        slot: &tokio::sync::Mutex<Peer>,
    ) -> Result<Sender, SendError> {
        let mut slot = slot.lock().await;
        if let Some(sender) = &slot.sender {
            return Ok(sender.clone());
        }
        let unreachable = SendError { sent: false };
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
    /// Returns the next chunk of the body, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the response ends before it is complete.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>, StreamError> {
        let chunk = self.stream.recv_data().await?;
        Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining())))
    }
}
