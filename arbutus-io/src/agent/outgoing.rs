//! Requests as they go on to the backend server or a peer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header, request};
use http_body_util::Full;

use super::{backend::RequestBody, headers};

/// The request for the backend server: without what belongs to the caller's connection or to the
/// agent, and with the time left.
pub(super) fn to_backend(
    parts: &request::Parts,
    body: &Bytes,
    host: &HeaderValue,
    deadline: Duration,
) -> Request<RequestBody> {
    let mut req = Request::new(Full::new(body.clone()));
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = origin_form(&parts.uri);
    *req.headers_mut() = parts.headers.clone();
    let fields = req.headers_mut();
    headers::strip(fields);
    fields.remove(headers::BINDING);
    fields.remove(header::CONTENT_LENGTH);
    fields.insert(header::HOST, host.clone());
    headers::set_deadline(fields, deadline);
    req
}

/// The head of the request for a peer, with the time left; its body follows.
pub(super) fn to_peer(parts: &request::Parts, deadline: Duration) -> Request<()> {
    let mut req = Request::new(());
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = parts.uri.clone();
    *req.headers_mut() = parts.headers.clone();
    headers::set_deadline(req.headers_mut(), deadline);
    req
}

/// The path and query alone, as a request to a server carries them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}
