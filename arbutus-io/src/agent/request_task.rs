use std::{future::Future, net::SocketAddrV4, pin::pin, sync::Arc, time::Duration};

use arbutus_core::request::{Action, Attempt, Event, Outcome};
use bytes::Bytes;
use http::{HeaderValue, request};
use tokio::sync::mpsc;

use super::{
    backend::BackendPool,
    headers, outgoing,
    peer_client::PeerClient,
    request_desk::{RequestDesk, Ticket},
    responder::{CallerGone, Responder},
    upstream::{AttemptStep, Upstream, UpstreamBody, UpstreamStep},
};

/// Steps that wait until the task takes them; an attempt makes one at a time.
const STEP_QUEUE: usize = 4;

/// What the tasks of all requests share.
#[derive(Clone)]
pub(super) struct Services {
    /// The decisions.
    pub(super) desk: Arc<RequestDesk>,
    /// Connections to the backend server.
    pub(super) backend: Arc<BackendPool>,
    /// Requests to peer agents.
    pub(super) peers: Arc<PeerClient>,
    /// The `host` header for the backend server.
    pub(super) host: HeaderValue,
}

/// Carries one request out, as the decisions say.
pub(super) struct RequestTask {
    services: Services,
    ticket: Ticket,
    parts: request::Parts,
    body: Bytes,
    responder: Responder,
    /// The attempt that holds a connection or a response, if any.
    upstream: Option<Upstream>,
    /// The body that is being relayed.
    relayed: Option<UpstreamBody>,
    steps: mpsc::Receiver<AttemptStep>,
    steps_tx: mpsc::Sender<AttemptStep>,
    /// Whether the caller has all that it will get.
    settled: bool,
}

impl RequestTask {
    /// Makes the task of a request that the desk has taken in.
    pub(super) fn new(
        services: Services,
        ticket: Ticket,
        parts: request::Parts,
        body: Bytes,
        responder: Responder,
    ) -> Self {
        let (steps_tx, steps) = mpsc::channel(STEP_QUEUE);
        Self {
            services,
            ticket,
            parts,
            body,
            responder,
            upstream: None,
            relayed: None,
            steps,
            steps_tx,
            settled: false,
        }
    }

    /// Runs until the request is over; `gone` ends when the caller's connection does.
    pub(super) async fn run(mut self, gone: impl Future<Output = ()>) {
        let mut gone = pin!(gone);
        let mut is_gone = false;
        while !self.is_over() {
            tokio::select! {
                biased;
                action = self.ticket.actions.recv() => match action {
                    Some(action) => self.act(action).await,
                    None => break,
                },
                () = &mut gone, if !is_gone => {
                    is_gone = true;
                    self.caller_gone();
                }
                step = self.steps.recv() => {
                    if let Some(step) = step {
                        self.take_step(step);
                    }
                }
                piece = next_piece(&mut self.relayed), if self.relayed.is_some() => {
                    self.relay_piece(piece).await;
                }
            }
        }
        self.services.desk.leave(self.ticket.id);
    }

    fn is_over(&self) -> bool {
        self.settled && self.upstream.is_none() && self.ticket.actions.is_empty()
    }

    async fn act(&mut self, action: Action) {
        match action {
            Action::Connect { attempt } => {
                let backend = self.services.backend.clone();
                let upstream = Upstream::connect(attempt, backend, self.steps_tx.clone());
                self.upstream = Some(upstream);
            }
            Action::Send { attempt, time_left } => self.send(attempt, time_left),
            Action::HandOver {
                attempt,
                peer,
                time_left,
            }
            | Action::PassOn {
                attempt,
                peer,
                time_left,
            } => self.send_to_peer(attempt, peer, time_left),
            Action::Relay { attempt, offer } => self.relay(attempt, offer.as_deref()).await,
            Action::Finish { .. } => {
                let result = self.responder.finish().await;
                self.settle("ran", result);
            }
            Action::Abort { .. } => {
                self.responder.abort();
                self.settle("aborted", Ok(()));
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
                self.settle(answer.outcome.as_str(), result);
            }
            Action::Cancel { attempt } => self.cancel(attempt),
        }
    }

    fn send(&mut self, attempt: Attempt, deadline: Duration) {
        let services = &self.services;
        let req = outgoing::to_backend(&self.parts, &self.body, &services.host, deadline);
        let tx = self.steps_tx.clone();
        let current = self.upstream.as_mut().filter(|it| it.attempt == attempt);
        let went = current.is_some_and(|upstream| upstream.send(req, tx));
        if !went {
            let sent = false;
            self.tell(Event::UpstreamFailed { attempt, sent });
        }
    }

    fn send_to_peer(&mut self, attempt: Attempt, peer: SocketAddrV4, deadline: Duration) {
        let upstream = Upstream::send_to_peer(
            attempt,
            self.services.peers.clone(),
            peer,
            outgoing::to_peer(&self.parts, deadline),
            self.body.clone(),
            self.steps_tx.clone(),
        );
        self.upstream = Some(upstream);
    }

    /// Takes in what an attempt has come to; one that is over is not listened to.
    fn take_step(&mut self, step: AttemptStep) {
        let AttemptStep { attempt, step } = step;
        let Some(upstream) = self.upstream.as_mut().filter(|it| it.attempt == attempt) else {
            return;
        };
        match step {
            UpstreamStep::Connected(connection) => {
                upstream.connected(connection);
                self.tell(Event::Connected { attempt });
            }
            UpstreamStep::Head(parts, body) => {
                let head = headers::upstream_head(&parts);
                let is_shed = body.is_from_backend() && head.outcome == Some(Outcome::NotRun);
                upstream.responded(parts, body);
                if is_shed {
                    self.services.desk.note_shed();
                }
                self.tell(Event::UpstreamHead { attempt, head });
            }
            UpstreamStep::Failed(failed) => {
                let sent = failed.sent;
                self.upstream = None;
                self.tell(Event::UpstreamFailed { attempt, sent });
            }
        }
    }

    async fn relay(&mut self, attempt: Attempt, offer: Option<&str>) {
        let current = self.upstream.as_mut().filter(|it| it.attempt == attempt);
        let Some((parts, body)) = current.and_then(Upstream::take_response) else {
            return;
        };
        self.relayed = Some(body);
        if self.responder.relay(*parts, offer).await.is_err() {
            self.caller_gone();
        }
    }

    async fn relay_piece(&mut self, piece: Result<Option<Bytes>, super::upstream::Truncated>) {
        let Some(attempt) = self.upstream.as_ref().map(|it| it.attempt) else {
            self.relayed = None;
            return;
        };
        match piece {
            Ok(Some(bytes)) => self.send_piece(bytes).await,
            Ok(None) => {
                if let Some(body) = self.relayed.take() {
                    body.put_back(&self.services.backend).await;
                }
                self.upstream = None;
                self.tell(Event::UpstreamEnded { attempt });
            }
            Err(_) => {
                self.relayed = None;
                self.upstream = None;
                let sent = true;
                self.tell(Event::UpstreamFailed { attempt, sent });
            }
        }
    }

    /// Sends a piece of the body, unless the decisions end the response first.
    ///
    /// A caller that stops reading must not keep the deadline from being kept.
    async fn send_piece(&mut self, bytes: Bytes) {
        let action = tokio::select! {
            biased;
            action = self.ticket.actions.recv() => action,
            sent = self.responder.data(bytes) => {
                if sent.is_err() {
                    self.caller_gone();
                }
                return;
            }
        };
        // While a response is relayed, every action ends it, so that a piece cut off here is not
        // missed.
        if let Some(action) = action {
            self.act(action).await;
        }
    }

    /// Closes what the attempt holds; a connection that is closed frees its slot.
    fn cancel(&mut self, attempt: Attempt) {
        if self
            .upstream
            .as_ref()
            .is_some_and(|it| it.attempt == attempt)
        {
            self.relayed = None;
            self.upstream = None;
            self.tell(Event::UpstreamClosed { attempt });
        }
    }

    fn caller_gone(&mut self) {
        if !self.settled {
            self.settle("cancelled", Ok(()));
            let request = self.ticket.id;
            self.tell(Event::CallerCancelled { request });
        }
    }

    fn settle(&mut self, outcome: &'static str, result: Result<(), CallerGone>) {
        self.settled = true;
        self.services.desk.count(outcome);
        if result.is_err() {
            tracing::debug!(request = self.ticket.id.get(), "caller_gone_before_answer");
        }
    }

    fn tell(&self, event: Event) {
        self.services.desk.handle(event);
    }
}

async fn next_piece(
    body: &mut Option<UpstreamBody>,
) -> Result<Option<Bytes>, super::upstream::Truncated> {
    match body {
        Some(body) => body.data().await,
        None => Ok(None),
    }
}
