use arbutus_core::request::{Origin, Outcome};
use bytes::{Buf, Bytes, BytesMut};
use h3::{
    error::StreamError,
    server::{RequestResolver, RequestStream},
};
use h3_quinn::RecvStream;
use http::{HeaderMap, Response, StatusCode};

use super::{
    headers,
    request_task::{RequestContext, RequestTask},
    responder::Responder,
};
use crate::trace::{HopSpan, TraceContext};

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A request whose head has yet to be read.
pub(super) type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// A request of a caller or peer, about to be read and served.
pub(super) struct CallerRequest {
    /// Whether a caller or a peer sent it.
    pub(super) origin: Origin,
    /// Shared state for serving requests.
    pub(super) cx: RequestContext,
    /// The connection that the request arrived on.
    pub(super) connection: quinn::Connection,
    /// The name of the caller's flow in log lines; `None` for a peer's request.
    pub(super) flow: Option<String>,
}

impl CallerRequest {
    /// Reads the request and serves it until it ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be read completely; it has not run then.
    pub(super) async fn serve(self, resolver: Resolver) -> Result<(), StreamError> {
        let (req, stream) = resolver.resolve_request().await?;
        let (mut parts, ()) = req.into_parts();
        let span = self.begin_span(&mut parts.headers);
        let (mut send, mut recv) = stream.split();
        let Some(body) = read_body(&mut recv).await? else {
            send.send_response(too_large()).await?;
            return send.finish().await;
        };
        let head = headers::request_head(&parts, self.origin);
        let handle = self.cx.requests.register(head);
        let responder = Responder::new(send);
        let task = RequestTask::new(self.cx, handle, parts, body, responder);
        let connection = self.connection;
        task.run(async move {
            connection.closed().await;
        })
        .await;
        drop(span);
        Ok(())
    }

    /// Begins the agent's span and sets it as the parent for the next hop.
    fn begin_span(&self, fields: &mut HeaderMap) -> HopSpan {
        let parent = fields
            .get(headers::TRACEPARENT)
            .and_then(|value| value.to_str().ok())
            .and_then(TraceContext::parse);
        let span = HopSpan::begin("agent", parent, self.flow.clone().unwrap_or_default());
        let context = span.context().to_string();
        headers::set_text(fields, headers::TRACEPARENT, &context);
        span
    }
}

/// Returns the response to a request whose body exceeds [`MAX_BODY_BYTES`].
fn too_large() -> Response<()> {
    let mut res = Response::new(());
    *res.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    headers::set_text(
        res.headers_mut(),
        headers::OUTCOME,
        Outcome::NotRun.as_str(),
    );
    res
}

/// Reads a request's body; `None` if it exceeds [`MAX_BODY_BYTES`].
async fn read_body(
    stream: &mut RequestStream<RecvStream, Bytes>,
) -> Result<Option<Bytes>, StreamError> {
    let mut body = BytesMut::new();
    while let Some(mut piece) = stream.recv_data().await? {
        if body.len() + piece.remaining() > MAX_BODY_BYTES {
            return Ok(None);
        }
        while piece.has_remaining() {
            let chunk = piece.chunk();
            body.extend_from_slice(chunk);
            let read = chunk.len();
            piece.advance(read);
        }
    }
    Ok(Some(body.freeze()))
}
