use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    time,
};

use super::{
    BackendOptions, BackendState, Behaviour, BehaviourCommand, RunOutcome, RunRecord,
    injecting_stream::{InjectedResponses, InjectingStream},
};
use crate::{
    admin::{self, Endpoint, Reply},
    clock, content,
    error::LabError,
};

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Delay of an answer past the request's deadline while the behaviour is `Late`, in milliseconds.
const LATE_ANSWER_DELAY_MS: u64 = 300;
/// The request ID in the body of responses that belong to no request.
const UNSOLICITED_REQUEST_ID: &str = "nobody";
/// Deadline of requests that name none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 2_000;
/// Time for the first part of a truncated answer to be sent before its connection breaks.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// The addresses of a started backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAddresses {
    /// The address on which it serves requests.
    pub listen: SocketAddrV4,
    /// The address of the admin port.
    pub admin: SocketAddrV4,
}

/// A running backend server.
#[derive(Debug)]
pub struct Backend {
    name: Arc<str>,
    service: Arc<str>,
    slots: Arc<Semaphore>,
    state: Mutex<BackendState>,
}

/// Records a request as cancelled if it is dropped before it has started to run or been rejected.
struct CancelGuard<'a> {
    backend: &'a Backend,
    index: usize,
    disarmed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.disarmed {
            let mut state = self.backend.state.lock();
            state.record_end(self.index, RunOutcome::Cancelled, clock::now_micros());
        }
    }
}

impl Backend {
    /// Binds both sockets and starts serving in background tasks.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub async fn start(options: &BackendOptions) -> Result<BackendAddresses, Report<LabError>> {
        let listener = TcpListener::bind(options.listen)
            .await
            .change_context(LabError::Socket)?;
        let admin = TcpListener::bind(options.admin)
            .await
            .change_context(LabError::Socket)?;
        let addresses = BackendAddresses {
            listen: local_address(&listener)?,
            admin: local_address(&admin)?,
        };
        let backend = Arc::new(Self {
            name: Arc::clone(&options.name),
            service: Arc::clone(&options.service),
            slots: Arc::new(Semaphore::new(options.slots)),
            state: Mutex::new(BackendState::new(options.service_time, options.seed)),
        });
        tokio::spawn(Arc::clone(&backend).accept(listener));
        tokio::spawn(admin::serve(admin, backend));
        Ok(addresses)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(Arc::clone(&self).serve(stream));
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let injected = InjectedResponses::default();
        let service = service_fn(|req| Arc::clone(&self).answer(req, injected.clone()));
        let stream = InjectingStream::new(stream, injected.clone());
        // A broken connection is handled by the client, so its error is ignored here.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(
        self: Arc<Self>,
        req: Request<Incoming>,
        injected: InjectedResponses,
    ) -> Result<Response<Body>, std::io::Error> {
        match req.uri().path() {
            "/health" => Ok(self.health()),
            "/load" => Ok(self.load()),
            _ => self.handle_work(req, &injected).await,
        }
    }

    async fn handle_work(
        self: Arc<Self>,
        req: Request<Incoming>,
        injected: &InjectedResponses,
    ) -> Result<Response<Body>, std::io::Error> {
        let (parts, body) = req.into_parts();
        let arrived = clock::now_micros();
        let key = header(&parts.headers, "idempotency-key");
        let request = header(&parts.headers, "x-request-id").unwrap_or_default();
        let target_service = header(&parts.headers, "x-lab-service").unwrap_or_default();
        let record = RunRecord::new(request, target_service, arrived).key(key);
        let index = self.state.lock().record_arrival(record);
        let mut cancel_guard = CancelGuard {
            backend: &self,
            index,
            disarmed: false,
        };
        body.collect().await.map_err(std::io::Error::other)?;

        let behaviour = self.state.lock().behaviour(clock::now_micros());
        if matches!(behaviour, Behaviour::Shed | Behaviour::Draining) {
            cancel_guard.disarmed = true;
            let mut state = self.state.lock();
            state.record_end(index, RunOutcome::Shed, clock::now_micros());
            return Ok(shed_response());
        }
        let permit = Arc::clone(&self.slots)
            .acquire_owned()
            .await
            .map_err(std::io::Error::other)?;
        cancel_guard.disarmed = true;
        let done = self.run(index, permit);
        done.await.map_err(std::io::Error::other)?;
        if behaviour == Behaviour::Late {
            let deadline = header(&parts.headers, "arbutus-deadline-ms");
            let deadline_ms = deadline.and_then(|text| text.parse().ok());
            let wait = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS) + LATE_ANSWER_DELAY_MS;
            time::sleep(Duration::from_millis(wait)).await;
        }
        let content = content::body(&self.service, key.unwrap_or(request));
        if behaviour == Behaviour::Crossed {
            injected.add(&content::body(&self.service, UNSOLICITED_REQUEST_ID));
        }
        Ok(self.work_response(content, behaviour))
    }

    /// Runs a request to its end, even if its connection closes meanwhile.
    fn run(self: &Arc<Self>, index: usize, permit: OwnedSemaphorePermit) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let backend = Arc::clone(self);
        let service_time = {
            let now = clock::now_micros();
            let mut state = self.state.lock();
            state.record_start(index, now);
            state.service_time(now)
        };
        tokio::spawn(async move {
            time::sleep(service_time).await;
            let mut state = backend.state.lock();
            state.record_end(index, RunOutcome::Ran, clock::now_micros());
            drop(state);
            drop(permit);
            let _ = tx.send(());
        });
        rx
    }

    fn work_response(&self, content: String, behaviour: Behaviour) -> Response<Body> {
        let length = content.len();
        let mut bytes = Bytes::from(content);
        let body = if behaviour == Behaviour::Short {
            bytes.truncate(length / 2);
            truncated_body(bytes)
        } else {
            full_body(bytes)
        };
        Response::builder()
            .header("content-length", length)
            .header("content-type", "text/plain")
            .header("x-backend-server", &*self.name)
            .body(body)
            .unwrap_or_default()
    }

    fn health(&self) -> Response<Body> {
        let behaviour = self.state.lock().behaviour(clock::now_micros());
        let (status, state) = match behaviour {
            Behaviour::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
            Behaviour::Shed => (StatusCode::OK, "shedding"),
            _ => (StatusCode::OK, "ready"),
        };
        text_response(status, &serde_json::json!({ "state": state }).to_string())
    }

    fn load(&self) -> Response<Body> {
        let mut state = self.state.lock();
        let reports_idle = state.behaviour(clock::now_micros()) == Behaviour::Lying;
        let in_flight = if reports_idle { 0 } else { state.in_flight() };
        text_response(
            StatusCode::OK,
            &serde_json::json!({ "in_hand": in_flight }).to_string(),
        )
    }
}

impl Endpoint for Backend {
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> Reply {
        match (method, path) {
            (&Method::GET, "/lab/journal") => Reply::json(&self.state.lock().journal()),
            (&Method::POST, "/lab/behaviour") => match serde_json::from_slice(body) {
                Ok(command) => {
                    let command: BehaviourCommand = command;
                    self.state.lock().apply(command, clock::now_micros());
                    Reply::json(&command)
                }
                Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => Reply::error(StatusCode::NOT_FOUND, "the path does not exist"),
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn shed_response() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
    let headers = response.headers_mut();
    headers.insert("arbutus-outcome", http::HeaderValue::from_static("not-run"));
    headers.insert("retry-after", http::HeaderValue::from_static("1"));
    response
}

fn text_response(status: StatusCode, content: &str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(content.as_bytes())));
    *response.status_mut() = status;
    response
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body that fails after `bytes`, which breaks the connection.
fn truncated_body(bytes: Bytes) -> Body {
    let start = stream::iter([Ok(Frame::data(bytes))]);
    let end = stream::once(async {
        time::sleep(TRUNCATION_DELAY).await;
        Err(std::io::Error::other("the answer is truncated on command"))
    });
    StreamBody::new(start.chain(end)).boxed_unsync()
}

fn local_address(listener: &TcpListener) -> Result<SocketAddrV4, Report<LabError>> {
    match listener.local_addr().change_context(LabError::Socket)? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(Report::new(LabError::Socket)),
    }
}
