//! Builds the requests that are sent to the backend server or to a peer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header, request};
use http_body_util::Full;

use super::{backend::RequestBody, headers};

/// Builds the request to the backend server.
///
/// Headers that concern only the caller's connection or the agent are removed, and the time left
/// until the deadline is set.
pub(super) fn backend_request(
    parts: &request::Parts,
    body: &Bytes,
    host: &HeaderValue,
    time_left: Duration,
) -> Request<RequestBody> {
    let mut req = Request::new(Full::new(body.clone()));
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = origin_form(&parts.uri);
    *req.headers_mut() = parts.headers.clone();
    let fields = req.headers_mut();
    headers::remove_hop_by_hop(fields);
    fields.remove(headers::BINDING);
    fields.remove(header::CONTENT_LENGTH);
    fields.insert(header::HOST, host.clone());
    headers::set_deadline(fields, time_left);
    req
}

/// Builds the head of the request to a peer, with the time left until the deadline.
pub(super) fn peer_request(parts: &request::Parts, time_left: Duration) -> Request<()> {
    let mut req = Request::new(());
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = parts.uri.clone();
    *req.headers_mut() = parts.headers.clone();
    headers::set_deadline(req.headers_mut(), time_left);
    req
}

/// Returns the origin form of `uri`: path and query alone.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}
