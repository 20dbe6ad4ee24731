use std::{sync::Arc, time::Duration};

use bytes::{Buf, Bytes};
use h3::error::{Code, StreamError};
use http::{HeaderMap, Request, Response, StatusCode};
use tokio::time::{self, Instant};

use super::{
    AttemptEnd, AttemptRecord, RequestOutcome, RequestRecord,
    flow::Binding,
    session::{SelectedFlow, Session},
};
use crate::{clock, content};

/// Largest number of attempts at one request.
const MAX_ATTEMPTS: u32 = 8;
/// Pause before the next attempt after a flow or stream has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before the next attempt if the answer has no `retry-after` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after the deadline during which the final answer may still arrive.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// A request of a caller over all its attempts.
pub(super) struct CallerRequest {
    session: Arc<Session>,
    id: Arc<str>,
    /// Whether the request may run more than once, and thus needs no idempotency key.
    repeatable: bool,
    due_us: u64,
    deadline: Instant,
    attempts: u32,
    /// The binding that the idempotency key is sent with. While an earlier attempt may have run,
    /// the key is not sent with any other binding.
    binding: Option<Binding>,
    /// Whether any attempt may have run.
    may_have_run: bool,
}

/// The step after an attempt.
enum NextStep {
    /// The request ends with this outcome.
    Finish(RequestOutcome),
    /// The next attempt follows after this pause.
    Retry(Duration),
}

impl CallerRequest {
    /// Creates a request that is due now.
    pub(super) fn new(session: Arc<Session>, number: u32, repeatable: bool) -> Self {
        let deadline = Instant::now() + session.options.deadline;
        Self {
            id: Arc::from(format!("{}-r{number}", session.name)),
            repeatable,
            due_us: clock::now_micros(),
            deadline,
            attempts: 0,
            binding: None,
            may_have_run: false,
            session,
        }
    }

    /// Sends the request, with retries where they are safe, until its outcome is known.
    ///
    /// The outcome is recorded in the journal.
    pub(super) async fn run(mut self) {
        let outcome = loop {
            match self.attempt().await {
                NextStep::Finish(outcome) => break outcome,
                NextStep::Retry(_) if self.attempts >= MAX_ATTEMPTS => break self.final_outcome(),
                NextStep::Retry(pause) if Instant::now() + pause >= self.deadline => {
                    break self.final_outcome();
                }
                NextStep::Retry(pause) => time::sleep(pause).await,
            }
        };
        let record = RequestRecord {
            id: self.id,
            service: Arc::clone(&self.session.options.service),
            due_us: self.due_us,
            end_us: clock::now_micros(),
            outcome,
        };
        self.session.journal.lock().requests.push(record);
    }

    /// Returns the outcome of a request that is not attempted again.
    const fn final_outcome(&self) -> RequestOutcome {
        if self.may_have_run {
            RequestOutcome::Unknown
        } else {
            RequestOutcome::NotRun
        }
    }

    /// Makes one attempt and records it.
    async fn attempt(&mut self) -> NextStep {
        self.attempts += 1;
        let Ok(selected) = self.session.select_flow().await else {
            return NextStep::Retry(RETRY_PAUSE);
        };
        self.choose_binding(&selected);
        let mut record = self.new_record(&selected);
        let limit = self.deadline + ANSWER_GRACE_PERIOD;
        let exchanged = time::timeout_at(limit, self.exchange(&selected, &mut record)).await;
        record.end_us = clock::now_micros();
        let next = match exchanged {
            Ok(Ok(head)) => self.classify_answer(&head, &selected, &record),
            Ok(Err(error)) => self.on_stream_error(&error, &selected, &mut record),
            Err(_) => {
                record.end = AttemptEnd::TimedOut;
                self.may_have_run = true;
                NextStep::Finish(RequestOutcome::Unknown)
            }
        };
        if record.backend.is_none() {
            record.backend = selected.flow.backend();
        }
        self.session.journal.lock().attempts.push(record);
        drop(selected.in_progress);
        next
    }

    /// Sends the attempt and reads its answer.
    ///
    /// On an error, `record.end` shows whether the request may have been sent.
    async fn exchange(
        &mut self,
        selected: &SelectedFlow,
        record: &mut AttemptRecord,
    ) -> Result<Response<()>, StreamError> {
        let req = self.build_head(&record.id);
        let mut sender = selected.sender.clone();
        // If the request stream cannot be opened, nothing has been sent.
        record.end = AttemptEnd::NotSent;
        let mut stream = sender.send_request(req).await?;
        record.end = AttemptEnd::Cut;
        if !self.repeatable {
            stream.send_data(Bytes::from_static(b"confirm")).await?;
        }
        stream.finish().await?;
        let head = stream.recv_response().await?;
        record.status = Some(head.status().as_u16());
        record.reported_outcome =
            header(head.headers(), "arbutus-outcome").and_then(RequestOutcome::parse);
        if let Some(backend) = header(head.headers(), "x-backend-server") {
            let backend = Arc::from(backend);
            selected.flow.set_backend(&backend);
            record.backend = Some(backend);
        }
        let mut body = Vec::new();
        while let Some(mut data) = stream.recv_data().await? {
            body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
        }
        record.end = self.check_answer(head.status(), &body, &record.id);
        Ok(head)
    }

    /// Compares a complete answer with the expected one.
    ///
    /// The body of a repeatable request is derived from the attempt, that of any other request from
    /// its idempotency key.
    fn check_answer(&self, status: StatusCode, body: &[u8], attempt: &str) -> AttemptEnd {
        if status != StatusCode::OK {
            return AttemptEnd::Refused;
        }
        let body_id = if self.repeatable { attempt } else { &self.id };
        let expected = content::body(&self.session.options.service, body_id);
        if body == expected.as_bytes() {
            AttemptEnd::Right
        } else {
            AttemptEnd::Wrong
        }
    }

    fn build_head(&self, attempt: &str) -> Request<()> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let options = &self.session.options;
        let mut builder = Request::builder()
            .uri(format!("https://{}.arbutus.internal/work", options.service))
            .header("x-request-id", attempt)
            .header("x-lab-service", &*options.service)
            .header("arbutus-deadline-ms", remaining.as_millis().to_string());
        if self.repeatable {
            builder = builder.method("GET");
        } else {
            builder = builder.method("POST").header("idempotency-key", &*self.id);
            if let Some(binding) = &self.binding {
                builder = builder.header("arbutus-binding", &*binding.token);
            }
        }
        builder.body(()).unwrap_or_default()
    }

    /// Uses the flow's binding, unless the idempotency key may have run under an earlier one.
    fn choose_binding(&mut self, selected: &SelectedFlow) {
        let keeps_binding = self.may_have_run && self.binding.is_some();
        if !self.repeatable && !keeps_binding {
            self.binding = selected.flow.binding();
        }
    }

    fn classify_answer(
        &mut self,
        head: &Response<()>,
        selected: &SelectedFlow,
        record: &AttemptRecord,
    ) -> NextStep {
        if let Some(token) = header(head.headers(), "arbutus-binding") {
            selected.flow.set_binding(token);
        }
        if record.reported_outcome == Some(RequestOutcome::Unknown) {
            selected.flow.clear_binding();
        }
        let is_answered = matches!(record.end, AttemptEnd::Right | AttemptEnd::Wrong);
        if is_answered || record.reported_outcome == Some(RequestOutcome::Ran) {
            return NextStep::Finish(RequestOutcome::Ran);
        }
        match record.reported_outcome {
            Some(RequestOutcome::NotRun) if self.may_have_run && !self.repeatable => {
                NextStep::Finish(RequestOutcome::Unknown)
            }
            Some(RequestOutcome::NotRun) => NextStep::Retry(retry_after(head)),
            _ => {
                self.may_have_run = true;
                NextStep::Finish(RequestOutcome::Unknown)
            }
        }
    }

    fn on_stream_error(
        &mut self,
        error: &StreamError,
        selected: &SelectedFlow,
        record: &mut AttemptRecord,
    ) -> NextStep {
        // HTTP/3 lets a server reject only requests that it has not processed.
        let is_rejected = matches!(
            error,
            StreamError::RemoteClosing { .. }
                | StreamError::RemoteTerminate {
                    code: Code::H3_REQUEST_REJECTED,
                    ..
                }
        );
        if is_rejected || record.end == AttemptEnd::NotSent {
            record.end = AttemptEnd::NotSent;
            selected.flow.retire();
            return NextStep::Retry(Duration::ZERO);
        }
        record.end = AttemptEnd::Cut;
        self.may_have_run = true;
        if matches!(error, StreamError::ConnectionError { .. }) {
            selected.flow.retire();
        }
        // A repeatable request may be sent again, and so may an idempotency key with the same
        // binding.
        NextStep::Retry(RETRY_PAUSE)
    }

    fn new_record(&self, selected: &SelectedFlow) -> AttemptRecord {
        let now = clock::now_micros();
        let key = (!self.repeatable).then(|| Arc::clone(&self.id));
        AttemptRecord {
            id: Arc::from(format!("{}-a{}", self.id, self.attempts)),
            request: Arc::clone(&self.id),
            service: Arc::clone(&self.session.options.service),
            key,
            flow: Arc::clone(&selected.flow.id),
            binding_flow: self.binding.as_ref().map(|it| Arc::clone(&it.flow)),
            start_us: now,
            end_us: now,
            status: None,
            reported_outcome: None,
            backend: None,
            end: AttemptEnd::Cut,
        }
    }
}

fn retry_after(head: &Response<()>) -> Duration {
    if head.status() == StatusCode::PRECONDITION_REQUIRED {
        return Duration::ZERO;
    }
    header(head.headers(), "retry-after")
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
