use std::{future::Future, net::SocketAddrV4, pin::pin, sync::Arc, time::Duration};

use arbutus_core::request::{Action, Attempt, Event, Outcome};
use bytes::Bytes;
use http::{HeaderValue, request};
use tokio::sync::mpsc;

use super::{
    backend::BackendPool,
    headers, outgoing,
    peer_client::PeerClient,
    request_driver::{RequestDriver, RequestHandle},
    responder::{CallerGone, Responder},
    upstream::{AttemptStep, Upstream, UpstreamBody, UpstreamStep},
};

/// Capacity of the queue of attempt steps; an attempt makes one step at a time.
const STEP_QUEUE_CAPACITY: usize = 4;

/// State shared by the tasks of all requests.
#[derive(Clone)]
pub(super) struct RequestContext {
    /// The driver of the request state machine.
    pub(super) requests: Arc<RequestDriver>,
    /// The connections to the backend server.
    pub(super) backend: Arc<BackendPool>,
    /// The client for requests to peer agents.
    pub(super) peers: Arc<PeerClient>,
    /// The `host` header of requests to the backend server.
    pub(super) host: HeaderValue,
}

/// Performs the actions of one request.
pub(super) struct RequestTask {
    cx: RequestContext,
    handle: RequestHandle,
    parts: request::Parts,
    body: Bytes,
    responder: Responder,
    /// The current attempt, if any.
    upstream: Option<Upstream>,
    /// The response body that is being relayed to the caller, if any.
    relayed_body: Option<UpstreamBody>,
    steps: mpsc::Receiver<AttemptStep>,
    steps_tx: mpsc::Sender<AttemptStep>,
    /// Whether the response to the caller is complete or has been abandoned.
    completed: bool,
}

impl RequestTask {
    /// Creates the task of a registered request.
    pub(super) fn new(
        cx: RequestContext,
        handle: RequestHandle,
        parts: request::Parts,
        body: Bytes,
        responder: Responder,
    ) -> Self {
        let (steps_tx, steps) = mpsc::channel(STEP_QUEUE_CAPACITY);
        Self {
            cx,
            handle,
            parts,
            body,
            responder,
            upstream: None,
            relayed_body: None,
            steps,
            steps_tx,
            completed: false,
        }
    }

    /// Runs until the request has ended.
    ///
    /// `connection_closed` completes when the caller's connection has closed.
    pub(super) async fn run(mut self, connection_closed: impl Future<Output = ()>) {
        let mut connection_closed = pin!(connection_closed);
        let mut is_caller_gone = false;
        while !self.is_finished() {
            tokio::select! {
                biased;
                action = self.handle.actions.recv() => match action {
                    Some(action) => self.perform(action).await,
                    None => break,
                },
                () = &mut connection_closed, if !is_caller_gone => {
                    is_caller_gone = true;
                    self.on_caller_gone();
                }
                step = self.steps.recv() => {
                    if let Some(step) = step {
                        self.on_step(step);
                    }
                }
                chunk = next_chunk(&mut self.relayed_body), if self.relayed_body.is_some() => {
                    self.relay_chunk(chunk).await;
                }
            }
        }
        self.cx.requests.unregister(self.handle.id);
    }

    fn is_finished(&self) -> bool {
        self.completed && self.upstream.is_none() && self.handle.actions.is_empty()
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Connect { attempt } => {
                let backend = self.cx.backend.clone();
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
                self.complete("ran", result);
            }
            Action::Abort { .. } => {
                self.responder.abort();
                self.complete("aborted", Ok(()));
            }
            Action::Answer { answer, .. } => {
                tracing::debug!(
                    request = self.handle.id.get(),
                    status = answer.status,
                    outcome = %answer.outcome,
                    reason = ?answer.reason,
                    "answered"
                );
                let result = self.responder.answer(&answer).await;
                self.complete(answer.outcome.as_str(), result);
            }
            Action::Cancel { attempt } => self.cancel(attempt),
        }
    }

    fn send(&mut self, attempt: Attempt, time_left: Duration) {
        let cx = &self.cx;
        let req = outgoing::backend_request(&self.parts, &self.body, &cx.host, time_left);
        let tx = self.steps_tx.clone();
        let current = self.upstream.as_mut().filter(|it| it.attempt == attempt);
        let is_sending = current.is_some_and(|upstream| upstream.send(req, tx));
        if !is_sending {
            let sent = false;
            self.report(Event::UpstreamFailed { attempt, sent });
        }
    }

    fn send_to_peer(&mut self, attempt: Attempt, peer: SocketAddrV4, time_left: Duration) {
        let upstream = Upstream::send_to_peer(
            attempt,
            self.cx.peers.clone(),
            peer,
            outgoing::peer_request(&self.parts, time_left),
            self.body.clone(),
            self.steps_tx.clone(),
        );
        self.upstream = Some(upstream);
    }

    /// Handles a step of an attempt; steps of former attempts are ignored.
    fn on_step(&mut self, step: AttemptStep) {
        let AttemptStep { attempt, step } = step;
        let Some(upstream) = self.upstream.as_mut().filter(|it| it.attempt == attempt) else {
            return;
        };
        match step {
            UpstreamStep::Connected(connection) => {
                upstream.on_connected(connection);
                self.report(Event::Connected { attempt });
            }
            UpstreamStep::Head(parts, body) => {
                let head = headers::upstream_head(&parts);
                let is_shed = body.is_from_backend() && head.outcome == Some(Outcome::NotRun);
                upstream.on_response(parts, body);
                if is_shed {
                    self.cx.requests.record_shed();
                }
                self.report(Event::UpstreamHead { attempt, head });
            }
            UpstreamStep::Failed(failed) => {
                let sent = failed.sent;
                self.upstream = None;
                self.report(Event::UpstreamFailed { attempt, sent });
            }
        }
    }

    /// Sends the head of the response and starts to relay its body.
    async fn relay(&mut self, attempt: Attempt, offer: Option<&str>) {
        let current = self.upstream.as_mut().filter(|it| it.attempt == attempt);
        let Some((parts, body)) = current.and_then(Upstream::take_response) else {
            return;
        };
        self.relayed_body = Some(body);
        if self.responder.relay(*parts, offer).await.is_err() {
            self.on_caller_gone();
        }
    }

    /// Relays a chunk of the body, or handles the end of the body.
    async fn relay_chunk(&mut self, chunk: Result<Option<Bytes>, super::upstream::Truncated>) {
        let Some(attempt) = self.upstream.as_ref().map(|it| it.attempt) else {
            self.relayed_body = None;
            return;
        };
        match chunk {
            Ok(Some(bytes)) => self.send_chunk(bytes).await,
            Ok(None) => {
                if let Some(body) = self.relayed_body.take() {
                    body.release(&self.cx.backend).await;
                }
                self.upstream = None;
                self.report(Event::UpstreamEnded { attempt });
            }
            Err(_) => {
                self.relayed_body = None;
                self.upstream = None;
                let sent = true;
                self.report(Event::UpstreamFailed { attempt, sent });
            }
        }
    }

    /// Sends a chunk of the body, unless an action ends the response first.
    ///
    /// Waiting for both enforces the deadline even if the caller stops reading.
    async fn send_chunk(&mut self, bytes: Bytes) {
        let action = tokio::select! {
            biased;
            action = self.handle.actions.recv() => action,
            sent = self.responder.data(bytes) => {
                if sent.is_err() {
                    self.on_caller_gone();
                }
                return;
            }
        };
        // Every action ends a response that is being relayed, so the interrupted chunk is not
        // needed.
        if let Some(action) = action {
            self.perform(action).await;
        }
    }

    /// Cancels an attempt by closing its connection, which frees its slot.
    fn cancel(&mut self, attempt: Attempt) {
        if self
            .upstream
            .as_ref()
            .is_some_and(|it| it.attempt == attempt)
        {
            self.relayed_body = None;
            self.upstream = None;
            self.report(Event::UpstreamClosed { attempt });
        }
    }

    /// Reports that the caller has cancelled, unless the response is already complete.
    fn on_caller_gone(&mut self) {
        if !self.completed {
            self.complete("cancelled", Ok(()));
            let request = self.handle.id;
            self.report(Event::CallerCancelled { request });
        }
    }

    /// Records the outcome of the request.
    fn complete(&mut self, outcome: &'static str, result: Result<(), CallerGone>) {
        self.completed = true;
        self.cx.requests.count_outcome(outcome);
        if result.is_err() {
            tracing::debug!(request = self.handle.id.get(), "caller_gone_before_answer");
        }
    }

    /// Passes `event` to the request state machine.
    fn report(&self, event: Event) {
        self.cx.requests.handle(event);
    }
}

async fn next_chunk(
    body: &mut Option<UpstreamBody>,
) -> Result<Option<Bytes>, super::upstream::Truncated> {
    match body {
        Some(body) => body.next_chunk().await,
        None => Ok(None),
    }
}
