use bytes::Bytes;
use http::Method;

/// A request that an HTTP server has received.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}
