//! The HTTP headers that the agent reads, writes and forwards.

use std::{sync::Arc, time::Duration};

use arbutus_core::request::{Method, Origin, Outcome, RequestHead, UpstreamHead};
use http::{HeaderMap, HeaderName, HeaderValue, header};

/// The outcome of a request: `ran`, `not-run` or `unknown`.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("arbutus-outcome");
/// The token that binds a caller's requests to a backend server.
pub(super) const BINDING: HeaderName = HeaderName::from_static("arbutus-binding");
/// Time left until a request's deadline, in milliseconds.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("arbutus-deadline-ms");
/// The caller's key for a request that must run at most once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// W3C trace context.
pub(super) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Hop-by-hop headers (RFC 9110, section 7.6.1), which are never forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the parts of a request's head that the request state machine uses.
pub(super) fn request_head(parts: &http::request::Parts, origin: Origin) -> RequestHead {
    let method = match parts.method {
        http::Method::GET => Method::Get,
        http::Method::HEAD => Method::Head,
        _ => Method::Other,
    };
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let mut head = RequestHead::new(method, path).origin(origin);
    head.idempotency_key = text_value(&parts.headers, &IDEMPOTENCY_KEY);
    head.binding = text_value(&parts.headers, &BINDING);
    head.time_left = number_value(&parts.headers, &DEADLINE_MS).map(Duration::from_millis);
    head
}

/// Returns the parts of a response's head that the request state machine uses.
pub(super) fn upstream_head(parts: &http::response::Parts) -> UpstreamHead {
    let mut head = UpstreamHead::new(parts.status.as_u16());
    head.outcome = text_value(&parts.headers, &OUTCOME).and_then(|it| Outcome::parse(&it));
    head.retry_after_s = number_value(&parts.headers, &header::RETRY_AFTER)
        .and_then(|seconds| u32::try_from(seconds).ok());
    head
}

/// Removes the hop-by-hop headers, including those that the `connection` header lists.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Sets the header with the time left until the deadline.
pub(super) fn set_deadline(headers: &mut HeaderMap, time_left: Duration) {
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MS, HeaderValue::from(millis));
}

/// Sets a text header, or omits it if `value` is not a valid header value.
pub(super) fn set_text(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn text_value(headers: &HeaderMap, name: &HeaderName) -> Option<Arc<str>> {
    headers.get(name)?.to_str().ok().map(Arc::from)
}

fn number_value(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
