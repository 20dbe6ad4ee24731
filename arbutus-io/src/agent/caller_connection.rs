use std::time::Duration;

use arbutus_core::request::Origin;
use bytes::{Buf, Bytes, BytesMut};
use h3::server::{RequestResolver, RequestStream};
use h3_quinn::RecvStream;
use http::{Response, StatusCode};
use tokio::sync::watch;
use tracing::Instrument;

use super::{
    headers,
    request_task::{RequestTask, Services},
    responder::Responder,
};

/// Longest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// How long the peer may take to close a connection whose requests have all ended.
const CLOSE_GRACE: Duration = Duration::from_secs(3);
/// How often a stopping connection is asked for late requests.
const LATE_REQUEST_POLL: Duration = Duration::from_millis(20);

type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// Serves the requests of one connection until it ends.
///
/// When `stopping` turns true, the peer is told by GOAWAY, and what it has sent is still served.
pub(super) async fn serve(
    connection: quinn::Connection,
    origin: Origin,
    services: Services,
    mut stopping: watch::Receiver<bool>,
    on_request: impl Fn(),
) {
    let quic = h3_quinn::Connection::new(connection.clone());
    let mut h3 = match h3::server::builder().build::<_, Bytes>(quic).await {
        Ok(h3) => h3,
        Err(err) => {
            tracing::debug!(%err, "http_setup_failed");
            return;
        }
    };
    let mut told = false;
    loop {
        let accepted = tokio::select! {
            accepted = h3.accept() => accepted,
            () = wait_for_stop(&mut stopping), if !told => {
                told = true;
                if let Err(err) = h3.shutdown(0).await {
                    tracing::debug!(%err, "goaway_failed");
                }
                continue;
            }
        };
        match accepted {
            Ok(Some(resolver)) => {
                on_request();
                spawn_request(resolver, origin, &services, connection.clone());
            }
            // A request that crosses the GOAWAY has yet to be rejected, so that a stopping
            // connection is listened to until the peer closes it.
            Ok(None) if told && !is_closed_within(&connection, LATE_REQUEST_POLL).await => {}
            Ok(None) => break,
            Err(err) => {
                tracing::debug!(%err, "connection_ended");
                break;
            }
        }
    }
    // Closing at once would cut off what the peer has not acknowledged yet.
    let _ = tokio::time::timeout(CLOSE_GRACE, connection.closed()).await;
}

async fn is_closed_within(connection: &quinn::Connection, time: Duration) -> bool {
    tokio::time::timeout(time, connection.closed())
        .await
        .is_ok()
}

async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn spawn_request(
    resolver: Resolver,
    origin: Origin,
    services: &Services,
    connection: quinn::Connection,
) {
    let services = services.clone();
    tokio::spawn(async move {
        if let Err(err) = serve_request(resolver, origin, services, connection).await {
            tracing::debug!(%err, "request_not_read");
        }
    });
}

async fn serve_request(
    resolver: Resolver,
    origin: Origin,
    services: Services,
    connection: quinn::Connection,
) -> Result<(), h3::error::StreamError> {
    let (req, stream) = resolver.resolve_request().await?;
    let (parts, ()) = req.into_parts();
    let trace = parts
        .headers
        .get(headers::TRACEPARENT)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let span = tracing::info_span!("agent_request", trace, method = %parts.method);
    let (mut send, mut recv) = stream.split();
    let Some(body) = read_body(&mut recv).await? else {
        let mut res = Response::new(());
        *res.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
        headers::set_text(res.headers_mut(), headers::OUTCOME, "not-run");
        send.send_response(res).await?;
        return send.finish().await;
    };
    let head = headers::request_head(&parts, origin);
    let ticket = services.desk.arrive(head);
    let responder = Responder::new(send);
    let task = RequestTask::new(services, ticket, parts, body, responder);
    let gone = async move {
        connection.closed().await;
    };
    task.run(gone).instrument(span).await;
    Ok(())
}

/// Reads a request's body whole; `None` where it is too long.
async fn read_body(
    stream: &mut RequestStream<RecvStream, Bytes>,
) -> Result<Option<Bytes>, h3::error::StreamError> {
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
