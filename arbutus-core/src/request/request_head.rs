use std::{sync::Arc, time::Duration};

use crate::config::RequestPolicy;

/// The methods that the decisions tell apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// Any other.
    Other,
}

/// Who sent a request to this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A caller, over its own connection.
    Caller,
    /// A peer agent, which handed it over or passed it on.
    Peer,
}

/// What the decisions need of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Who sent it.
    pub origin: Origin,
    /// Its method.
    pub method: Method,
    /// Its path, with the query.
    pub path: Arc<str>,
    /// The `idempotency-key` header.
    pub idempotency_key: Option<Arc<str>>,
    /// The `arbutus-binding` header.
    pub binding: Option<Arc<str>>,
    /// Time left, from the `arbutus-deadline-ms` header.
    pub time_left: Option<Duration>,
}

impl RequestHead {
    /// Makes the head of a caller's request.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            origin: Origin::Caller,
            method,
            path: Arc::from(path),
            idempotency_key: None,
            binding: None,
            time_left: None,
        }
    }

    /// Sets who sent it.
    #[must_use]
    pub const fn origin(mut self, origin: Origin) -> Self {
        self.origin = origin;
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(Arc::from(key));
        self
    }

    /// Sets the binding's token.
    #[must_use]
    pub fn binding(mut self, token: &str) -> Self {
        self.binding = Some(Arc::from(token));
        self
    }

    /// Sets the time left.
    #[must_use]
    pub const fn time_left(mut self, left: Duration) -> Self {
        self.time_left = Some(left);
        self
    }

    /// Whether the request may run more than once under `policy`.
    #[must_use]
    pub fn is_repeatable(&self, policy: &RequestPolicy) -> bool {
        match self.method {
            Method::Get | Method::Head => true,
            Method::Other => policy
                .repeatable_paths
                .iter()
                .any(|prefix| lies_under(&self.path, prefix)),
        }
    }
}

/// Whether `path` is `prefix` or lies below it.
///
/// A path with dot segments, empty segments or escapes lies under nothing, since the backend
/// server may read it as another one.
fn lies_under(path: &str, prefix: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let ambiguous = path.contains('%') || path.contains("//") || path.contains("/.");
    if ambiguous || prefix.is_empty() {
        return false;
    }
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}
