use std::{sync::Arc, time::Duration};

use bytes::{Buf, Bytes};
use h3::error::{Code, StreamError};
use http::{HeaderMap, Request, Response, StatusCode};
use tokio::time::{self, Instant};

use super::{
    AttemptEnd, AttemptRecord, RequestOutcome, RequestRecord,
    flow::Binding,
    session::{Chosen, Session},
};
use crate::{clock, content};

const MAX_ATTEMPTS: u32 = 8;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long after the deadline the final answer may still be on its way.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// One request that a caller wants answered.
pub(super) struct CallerRequest {
    session: Arc<Session>,
    id: Arc<str>,
    repeatable: bool,
    due_us: u64,
    deadline: Instant,
    attempts: u32,
    /// The binding that the key was first sent with. While an earlier attempt may have run, the key
    /// goes with no other.
    binding: Option<Binding>,
    /// Whether some attempt may have run.
    may_have_run: bool,
}

/// What to do after an attempt.
enum Next {
    Finish(RequestOutcome),
    Again(Duration),
}

impl CallerRequest {
    /// Makes a request that is due now.
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

    /// Sends the request, again where that is right, until its outcome is known.
    pub(super) async fn run(mut self) {
        let outcome = loop {
            match self.attempt().await {
                Next::Finish(outcome) => break outcome,
                Next::Again(_) if self.attempts >= MAX_ATTEMPTS => break self.given_up(),
                Next::Again(pause) if Instant::now() + pause >= self.deadline => {
                    break self.given_up();
                }
                Next::Again(pause) => time::sleep(pause).await,
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

    const fn given_up(&self) -> RequestOutcome {
        if self.may_have_run {
            RequestOutcome::Unknown
        } else {
            RequestOutcome::NotRun
        }
    }

    async fn attempt(&mut self) -> Next {
        self.attempts += 1;
        let Ok(chosen) = self.session.choose().await else {
            return Next::Again(RECONNECT_PAUSE);
        };
        self.bind(&chosen);
        let mut record = self.record(&chosen);
        let limit = self.deadline + ANSWER_GRACE;
        let exchanged = time::timeout_at(limit, self.exchange(&chosen, &mut record)).await;
        record.end_us = clock::now_micros();
        let next = match exchanged {
            Ok(Ok(head)) => self.judge(&head, &chosen, &record),
            Ok(Err(error)) => self.failed(&error, &chosen, &mut record),
            Err(_) => {
                record.end = AttemptEnd::TimedOut;
                self.may_have_run = true;
                Next::Finish(RequestOutcome::Unknown)
            }
        };
        if record.backend.is_none() {
            record.backend = chosen.flow.backend();
        }
        self.session.journal.lock().attempts.push(record);
        drop(chosen.in_progress);
        next
    }

    /// Sends the attempt and reads its answer; the end in `record` is set only by a whole one.
    async fn exchange(
        &mut self,
        chosen: &Chosen,
        record: &mut AttemptRecord,
    ) -> Result<Response<()>, StreamError> {
        let req = self.head(&record.id);
        let mut requests = chosen.requests.clone();
        // A request that cannot be opened has not left the caller.
        record.end = AttemptEnd::NotSent;
        let mut stream = requests.send_request(req).await?;
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
            chosen.flow.answered_by(&backend);
            record.backend = Some(backend);
        }
        let mut body = Vec::new();
        while let Some(mut data) = stream.recv_data().await? {
            body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
        }
        record.end = self.compare(head.status(), &body, &record.id);
        Ok(head)
    }

    fn compare(&self, status: StatusCode, body: &[u8], attempt: &str) -> AttemptEnd {
        if status != StatusCode::OK {
            return AttemptEnd::Refused;
        }
        let named = if self.repeatable { attempt } else { &self.id };
        let right = content::body(&self.session.options.service, named);
        if body == right.as_bytes() {
            AttemptEnd::Right
        } else {
            AttemptEnd::Wrong
        }
    }

    fn head(&self, attempt: &str) -> Request<()> {
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

    /// Takes the flow's binding, unless the key may have run under another.
    fn bind(&mut self, chosen: &Chosen) {
        let tied = self.may_have_run && self.binding.is_some();
        if !self.repeatable && !tied {
            self.binding = chosen.flow.binding();
        }
    }

    fn judge(&mut self, head: &Response<()>, chosen: &Chosen, record: &AttemptRecord) -> Next {
        if let Some(token) = header(head.headers(), "arbutus-binding") {
            chosen.flow.set_binding(token);
        }
        if record.reported_outcome == Some(RequestOutcome::Unknown) {
            chosen.flow.forget_binding();
        }
        let answered = matches!(record.end, AttemptEnd::Right | AttemptEnd::Wrong);
        if answered || record.reported_outcome == Some(RequestOutcome::Ran) {
            return Next::Finish(RequestOutcome::Ran);
        }
        match record.reported_outcome {
            Some(RequestOutcome::NotRun) if self.may_have_run && !self.repeatable => {
                Next::Finish(RequestOutcome::Unknown)
            }
            Some(RequestOutcome::NotRun) => Next::Again(retry_after(head)),
            _ => {
                self.may_have_run = true;
                Next::Finish(RequestOutcome::Unknown)
            }
        }
    }

    fn failed(&mut self, error: &StreamError, chosen: &Chosen, record: &mut AttemptRecord) -> Next {
        // The protocol lets a server reject only requests that it did not process.
        let rejected = matches!(
            error,
            StreamError::RemoteClosing { .. }
                | StreamError::RemoteTerminate {
                    code: Code::H3_REQUEST_REJECTED,
                    ..
                }
        );
        if rejected || record.end == AttemptEnd::NotSent {
            record.end = AttemptEnd::NotSent;
            chosen.flow.leave();
            return Next::Again(Duration::ZERO);
        }
        record.end = AttemptEnd::Cut;
        self.may_have_run = true;
        if matches!(error, StreamError::ConnectionError { .. }) {
            chosen.flow.leave();
        }
        // A repeatable request may be asked again, and so may a key under the same binding.
        Next::Again(RECONNECT_PAUSE)
    }

    fn record(&self, chosen: &Chosen) -> AttemptRecord {
        let now = clock::now_micros();
        let key = (!self.repeatable).then(|| Arc::clone(&self.id));
        AttemptRecord {
            id: Arc::from(format!("{}-a{}", self.id, self.attempts)),
            request: Arc::clone(&self.id),
            service: Arc::clone(&self.session.options.service),
            key,
            flow: Arc::clone(&chosen.flow.id),
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
