use std::{io, net::SocketAddrV4, sync::Arc};

use arbutus_core::request::Attempt;
use bytes::Bytes;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync::mpsc, task::JoinHandle};

use super::{
    backend::{BackendConnection, BackendPool, RequestBody, SendError},
    peer_client::{PeerClient, PeerResponse},
};

/// One attempt to run a request, from the connection to the end of the response.
///
/// Dropping it aborts its task and closes its connection.
pub(super) struct Upstream {
    /// The attempt.
    pub(super) attempt: Attempt,
    state: State,
}

enum State {
    /// A task is connecting or sending and will report an [`AttemptStep`].
    InFlight(JoinHandle<()>),
    /// The connection is open and the request has yet to be sent.
    Connected(BackendConnection),
    /// The head of the response has arrived.
    Responded(Box<response::Parts>, UpstreamBody),
    /// The connection or the response has been taken out.
    Taken,
}

/// The result of a step of an attempt.
pub(super) enum UpstreamStep {
    /// The connection is open.
    Connected(BackendConnection),
    /// The head of the response has arrived.
    Head(Box<response::Parts>, UpstreamBody),
    /// The attempt failed, and its connection is closed.
    Failed(SendError),
}

/// A step together with its attempt.
pub(super) struct AttemptStep {
    /// The attempt.
    pub(super) attempt: Attempt,
    /// The result of the step.
    pub(super) step: UpstreamStep,
}

/// The body of a response.
pub(super) enum UpstreamBody {
    /// From the backend server, with its connection.
    Backend(Incoming, BackendConnection),
    /// From a peer agent.
    Peer(Box<PeerResponse>),
}

/// The response ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Truncated;

impl Upstream {
    /// Starts an attempt by connecting to the backend server.
    pub(super) fn connect(
        attempt: Attempt,
        backend: Arc<BackendPool>,
        tx: mpsc::Sender<AttemptStep>,
    ) -> Self {
        let task = tokio::spawn(async move {
            let step = match backend.connect().await {
                Ok(connection) => UpstreamStep::Connected(connection),
                Err(err) => connect_failure(&err),
            };
            let _ = tx.send(AttemptStep { attempt, step }).await;
        });
        Self {
            attempt,
            state: State::InFlight(task),
        }
    }

    /// Starts an attempt by sending the request to a peer.
    pub(super) fn send_to_peer(
        attempt: Attempt,
        peers: Arc<PeerClient>,
        peer: SocketAddrV4,
        req: http::Request<()>,
        body: Bytes,
        tx: mpsc::Sender<AttemptStep>,
    ) -> Self {
        let task = tokio::spawn(async move {
            let step = match peers.send(peer, req, body).await {
                Ok(res) => {
                    let parts = Box::new(res.parts.clone());
                    UpstreamStep::Head(parts, UpstreamBody::Peer(Box::new(res)))
                }
                Err(failed) => UpstreamStep::Failed(failed),
            };
            let _ = tx.send(AttemptStep { attempt, step }).await;
        });
        Self {
            attempt,
            state: State::InFlight(task),
        }
    }

    /// Stores the connection until the request may be sent.
    pub(super) fn on_connected(&mut self, connection: BackendConnection) {
        self.state = State::Connected(connection);
    }

    /// Starts to send the request; returns false if there is no connection.
    pub(super) fn send(
        &mut self,
        req: http::Request<RequestBody>,
        tx: mpsc::Sender<AttemptStep>,
    ) -> bool {
        let State::Connected(mut connection) = std::mem::replace(&mut self.state, State::Taken)
        else {
            return false;
        };
        let attempt = self.attempt;
        let task = tokio::spawn(async move {
            let step = match connection.send(req).await {
                Ok(res) => {
                    let (parts, body) = res.into_parts();
                    UpstreamStep::Head(Box::new(parts), UpstreamBody::Backend(body, connection))
                }
                Err(failed) => {
                    drop(connection);
                    UpstreamStep::Failed(failed)
                }
            };
            let _ = tx.send(AttemptStep { attempt, step }).await;
        });
        self.state = State::InFlight(task);
        true
    }

    /// Stores the response until the request state machine decides what to do with it.
    pub(super) fn on_response(&mut self, parts: Box<response::Parts>, body: UpstreamBody) {
        self.state = State::Responded(parts, body);
    }

    /// Takes the response out, to be relayed.
    pub(super) fn take_response(&mut self) -> Option<(Box<response::Parts>, UpstreamBody)> {
        match std::mem::replace(&mut self.state, State::Taken) {
            State::Responded(parts, body) => Some((parts, body)),
            State::InFlight(_) | State::Connected(_) | State::Taken => None,
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        if let State::InFlight(task) = &self.state {
            task.abort();
        }
    }
}

impl UpstreamBody {
    /// Returns whether the response comes from the agent's own backend server.
    pub(super) const fn is_from_backend(&self) -> bool {
        matches!(self, Self::Backend(..))
    }

    /// Returns the next chunk, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the response ends before it is complete.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>, Truncated> {
        match self {
            Self::Backend(body, _) => next_data_frame(body).await,
            Self::Peer(res) => res.next_chunk().await.map_err(|_| Truncated),
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub(super) async fn release(self, backend: &BackendPool) {
        if let Self::Backend(_, connection) = self {
            backend.release(connection).await;
        }
    }
}

async fn next_data_frame(body: &mut Incoming) -> Result<Option<Bytes>, Truncated> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(err)) => {
                tracing::info!(%err, "backend_response_truncated");
                return Err(Truncated);
            }
            Some(Ok(frame)) => {
                // Trailers are not forwarded.
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}

fn connect_failure(err: &io::Error) -> UpstreamStep {
    tracing::info!(%err, "backend_connect_failed");
    UpstreamStep::Failed(SendError { sent: false })
}
