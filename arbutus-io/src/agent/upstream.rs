use std::{io, net::SocketAddrV4, sync::Arc};

use arbutus_core::request::Attempt;
use bytes::Bytes;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync::mpsc, task::JoinHandle};

use super::{
    backend::{BackendConnection, BackendPool, RequestBody, SendFailed},
    peer_client::{PeerClient, PeerResponse},
};

/// One attempt, from the connection to the end of the response; dropping it closes everything.
pub(super) struct Upstream {
    /// The attempt.
    pub(super) attempt: Attempt,
    state: State,
}

enum State {
    /// A task works for the attempt and will report a step.
    Busy(JoinHandle<()>),
    /// A connection waits for the request.
    Ready(BackendConnection),
    /// The head of the response has come.
    Responded(Box<response::Parts>, UpstreamBody),
    /// The body is being read by [`Upstream::take_response`]'s receiver.
    Taken,
}

/// What an attempt has come to.
pub(super) enum UpstreamStep {
    /// A connection is there.
    Connected(BackendConnection),
    /// The head of the response is there.
    Head(Box<response::Parts>, UpstreamBody),
    /// The attempt has failed, and its connection is closed.
    Failed(SendFailed),
}

/// A step with the attempt that made it.
pub(super) struct AttemptStep {
    /// The attempt.
    pub(super) attempt: Attempt,
    /// What it has come to.
    pub(super) step: UpstreamStep,
}

/// The body of a response.
pub(super) enum UpstreamBody {
    /// From the backend server, with its connection.
    Backend(Incoming, BackendConnection),
    /// From a peer agent.
    Peer(Box<PeerResponse>),
}

/// The response ended short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Truncated;

impl Upstream {
    /// Starts an attempt that gets a connection to the backend server.
    pub(super) fn connect(
        attempt: Attempt,
        backend: Arc<BackendPool>,
        tx: mpsc::Sender<AttemptStep>,
    ) -> Self {
        let task = tokio::spawn(async move {
            let step = match backend.connect().await {
                Ok(connection) => UpstreamStep::Connected(connection),
                Err(err) => not_connected(&err),
            };
            let _ = tx.send(AttemptStep { attempt, step }).await;
        });
        Self {
            attempt,
            state: State::Busy(task),
        }
    }

    /// Starts an attempt that sends the request to a peer.
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
            state: State::Busy(task),
        }
    }

    /// Keeps the connection until the request may go.
    pub(super) fn connected(&mut self, connection: BackendConnection) {
        self.state = State::Ready(connection);
    }

    /// Lets the request go; gives it back undone where there is no connection.
    pub(super) fn send(
        &mut self,
        req: http::Request<RequestBody>,
        tx: mpsc::Sender<AttemptStep>,
    ) -> bool {
        let State::Ready(mut connection) = std::mem::replace(&mut self.state, State::Taken) else {
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
        self.state = State::Busy(task);
        true
    }

    /// Keeps the response until the decisions say what becomes of it.
    pub(super) fn responded(&mut self, parts: Box<response::Parts>, body: UpstreamBody) {
        self.state = State::Responded(parts, body);
    }

    /// Takes the response out, to relay it.
    pub(super) fn take_response(&mut self) -> Option<(Box<response::Parts>, UpstreamBody)> {
        match std::mem::replace(&mut self.state, State::Taken) {
            State::Responded(parts, body) => Some((parts, body)),
            State::Busy(_) | State::Ready(_) | State::Taken => None,
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        if let State::Busy(task) = &self.state {
            task.abort();
        }
    }
}

impl UpstreamBody {
    /// Whether the response is the backend server's own.
    pub(super) const fn is_from_backend(&self) -> bool {
        matches!(self, Self::Backend(..))
    }

    /// The next piece; `None` at the clean end.
    ///
    /// # Errors
    ///
    /// Fails where the response does not end whole.
    pub(super) async fn data(&mut self) -> Result<Option<Bytes>, Truncated> {
        match self {
            Self::Backend(body, _) => next_piece(body).await,
            Self::Peer(res) => res.data().await.map_err(|_| Truncated),
        }
    }

    /// Gives the connection back after a whole response.
    pub(super) async fn put_back(self, backend: &BackendPool) {
        if let Self::Backend(_, connection) = self {
            backend.put_back(connection).await;
        }
    }
}

async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, Truncated> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(err)) => {
                tracing::info!(%err, "backend_response_truncated");
                return Err(Truncated);
            }
            Some(Ok(frame)) => {
                // Trailers do not pass through.
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}

fn not_connected(err: &io::Error) -> UpstreamStep {
    tracing::info!(%err, "backend_connect_failed");
    UpstreamStep::Failed(SendFailed { sent: false })
}
