use arbutus_core::request::{Answer, Outcome};
use bytes::Bytes;
use h3::error::Code;
use h3_quinn::SendStream;
use http::{Response, StatusCode, header, response};

use super::headers;

type ServerStream = h3::server::RequestStream<SendStream<Bytes>, Bytes>;

/// Sends exactly one response to the caller of a request.
pub(super) struct Responder {
    stream: ServerStream,
}

/// The caller no longer accepts the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerGone;

impl Responder {
    /// Creates the responder of a request whose body has been read.
    pub(super) const fn new(stream: ServerStream) -> Self {
        Self { stream }
    }

    /// Sends a complete response that the agent itself generated.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller no longer accepts the response.
    pub(super) async fn answer(&mut self, answer: &Answer) -> Result<(), CallerGone> {
        let mut res = Response::new(());
        *res.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let fields = res.headers_mut();
        headers::set_text(fields, headers::OUTCOME, answer.outcome.as_str());
        fields.insert(header::CONTENT_LENGTH, 0.into());
        if let Some(seconds) = answer.retry_after_s {
            fields.insert(header::RETRY_AFTER, seconds.into());
        }
        if let Some(token) = &answer.offer {
            headers::set_text(fields, headers::BINDING, token);
        }
        self.send_head(res).await?;
        self.finish().await
    }

    /// Sends the head of the response to a request that ran.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller no longer accepts the response.
    pub(super) async fn relay(
        &mut self,
        mut parts: response::Parts,
        offer: Option<&str>,
    ) -> Result<(), CallerGone> {
        headers::remove_hop_by_hop(&mut parts.headers);
        headers::set_text(&mut parts.headers, headers::OUTCOME, Outcome::Ran.as_str());
        parts.headers.remove(headers::BINDING);
        if let Some(token) = offer {
            headers::set_text(&mut parts.headers, headers::BINDING, token);
        }
        parts.version = http::Version::HTTP_3;
        self.send_head(Response::from_parts(parts, ())).await
    }

    /// Sends a chunk of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller no longer accepts the response.
    pub(super) async fn data(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        self.stream.send_data(bytes).await.map_err(|_| CallerGone)
    }

    /// Ends a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller no longer accepts the response.
    pub(super) async fn finish(&mut self) -> Result<(), CallerGone> {
        self.stream.finish().await.map_err(|_| CallerGone)
    }

    /// Resets the stream, so that the caller does not treat the response as complete.
    pub(super) fn abort(&mut self) {
        self.stream.stop_stream(Code::H3_INTERNAL_ERROR);
    }

    async fn send_head(&mut self, res: Response<()>) -> Result<(), CallerGone> {
        self.stream.send_response(res).await.map_err(|_| CallerGone)
    }
}
