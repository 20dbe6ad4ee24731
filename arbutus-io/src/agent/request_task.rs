use std::{sync::Arc, time::Duration};

use arbutus_core::request::{Action, Attempt, Event, Outcome};
use bytes::Bytes;
use http::{HeaderValue, Uri, request};
use http_body_util::Full;
use tokio::sync::mpsc;

use super::{
    backend::{BackendConnection, BackendPool},
    headers,
    peer_client::PeerClient,
    request_desk::{RequestDesk, Ticket},
    responder::{CallerGone, Responder},
    upstream::{Upstream, UpstreamBody, UpstreamStep},
};

/// What the tasks of all requests share.
#[derive(Clone)]
pub(super) struct Services {
    pub(super) desk: Arc<RequestDesk>,
    pub(super) backend: Arc<BackendPool>,
    pub(super) peers: Arc<PeerClient>,
    /// The host name for the backend server.
    pub(super) host: HeaderValue,
}

/// Carries one request out, as the decisions say.
pub(super) struct RequestTask {
    services: Services,
    ticket: Ticket,
    parts: request::Parts,
    body: Bytes,
    responder: Responder,
    /// The attempt that has a connection, a request on its way or a response, if any.
    upstream: Option<Upstream>,
    steps: mpsc::Receiver<UpstreamStep>,
    steps_tx: mpsc::Sender<UpstreamStep>,
    /// Whether the caller has all that it will get.
    settled: bool,
}

impl RequestTask {
    /// Makes the task of an admitted request.
    pub(super) fn new(
        services: Services,
        ticket: Ticket,
        parts: request::Parts,
        body: Bytes,
        responder: Responder,
    ) -> Self {
        let (steps_tx, steps) = mpsc::channel(4);
        Self {
            services,
            ticket,
            parts,
            body,
            responder,
            upstream: None,
            steps,
            steps_tx,
            settled: false,
        }
    }

    /// Runs until the request is over; `gone` ends when the caller's connection does.
    pub(super) async fn run(mut self, gone: impl Future<Output = ()>) {
        tokio::pin!(gone);
        let mut caller_gone = false;
        while !(self.settled && self.upstream.is_none()) {
            tokio::select! {
                biased;
                action = self.ticket.actions.recv() => match action {
                    Some(action) => self.act(action).await,
                    None => break,
                },
                step = self.steps.recv() => {
                    if let Some(step) = step {
                        self.step(step).await;
                    }
                }
                () = &mut gone, if !caller_gone => {
                    caller_gone = true;
                    self.cancelled();
                }
            }
        }
        self.services.desk.leave(self.ticket.id);
    }

    async fn act(&mut self, action: Action) {
        match action {
            Action::Connect { attempt } => self.connect(attempt),
            Action::Send { attempt, deadline } => self.send(attempt, deadline),
            Action::HandOver {
                attempt,
                peer,
                deadline,
            }
            | Action::PassOn {
                attempt,
                peer,
                deadline,
            } => {
                let req = self.peer_request(deadline);
                let peers = self.services.peers.clone();
                let body = self.body.clone();
                self.upstream = Some(Upstream::start_peer(
                    attempt,
                    self.steps_tx.clone(),
                    async move { peers.send(peer, req, body).await },
                ));
            }
            Action::Relay { attempt, offer } => self.relay(attempt, offer.as_deref()).await,
            Action::Finish { .. } => {
                let result = self.responder.finish().await;
                self.settle(result, Outcome::Ran.as_str());
            }
            Action::Abort { .. } => {
                self.responder.abort();
                self.settle(Ok(()), "aborted");
            }
            Action::Answer { answer, .. } => {
                tracing::debug!(
                    request = self.ticket.id.get(),
                    status = answer.status,
                    outcome = %answer.outcome,
                    reason = ?answer.reason,
                    "answered"
                );
                let result = self.responder.answer(&answer).await;
                self.settle(result, answer.outcome.as_str());
            }
            Action::Cancel { attempt } => self.cancel(attempt),
        }
    }

    fn connect(&mut self, attempt: Attempt) {
        let backend = self.services.backend.clone();
        let connecting = async move { backend.connect().await };
        self.upstream = Some(Upstream::connect(
            attempt,
            self.steps_tx.clone(),
            connecting,
        ));
    }

    fn send(&mut self, attempt: Attempt, deadline: Duration) {
        let req = self.backend_request(deadline);
        let tx = self.steps_tx.clone();
        match &mut self.upstream {
            Some(upstream) if upstream.attempt() == attempt => upstream.send(req, tx),
            _ => self.tell(Event::UpstreamFailed {
                attempt,
                sent: false,
            }),
        }
    }

    /// Takes in what the attempt's own task has come to.
    async fn step(&mut self, step: UpstreamStep) {
        let current = self.upstream.as_ref().map(Upstream::attempt);
        if current != Some(step.attempt()) {
            return;
        }
        match step {
            UpstreamStep::Connected {
                attempt,
                connection,
            } => {
                self.keep(connection);
                self.tell(Event::Connected { attempt });
            }
            UpstreamStep::Head {
                attempt,
                parts,
                body,
            } => {
                let head = headers::upstream_head(&parts);
                if let Some(upstream) = &mut self.upstream {
                    upstream.responded(parts, body);
                }
                self.tell(Event::UpstreamHead { attempt, head });
                self.discard_unless_relayed(attempt).await;
            }
            UpstreamStep::Failed { attempt, sent } => {
                self.upstream = None;
                self.tell(Event::UpstreamFailed { attempt, sent });
            }
        }
    }

    /// Reads a response that the decisions do not relay to its end, to free its connection.
    async fn discard_unless_relayed(&mut self, attempt: Attempt) {
        let wanted = self.peek_relay(attempt).await;
        if wanted {
            return;
        }
        let Some(mut upstream) = self.upstream.take() else {
            return;
        };
        match upstream.discard().await {
            Ok(connection) => {
                self.put_back(connection).await;
                self.tell(Event::UpstreamEnded { attempt });
            }
            Err(_) => self.tell(Event::UpstreamFailed {
                attempt,
                sent: true,
            }),
        }
    }
}
