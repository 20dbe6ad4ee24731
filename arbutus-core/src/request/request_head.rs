use std::{sync::Arc, time::Duration};

use crate::config::RequestPolicy;

/// The HTTP methods that admission distinguishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// Any other method.
    Other,
}

/// The sender of a request to this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A caller, over its own connection.
    Caller,
    /// A peer agent that handed the request over or passed it on.
    Peer,
}

/// The parts of a request that admission depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The sender.
    pub origin: Origin,
    /// The method.
    pub method: Method,
    /// The path including the query.
    pub path: Arc<str>,
    /// Value of the `idempotency-key` header.
    pub idempotency_key: Option<Arc<str>>,
    /// Value of the `arbutus-binding` header.
    pub binding: Option<Arc<str>>,
    /// Time until the deadline, from the `arbutus-deadline-ms` header.
    pub time_left: Option<Duration>,
}

impl RequestHead {
    /// Creates the head of a caller's request.
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

    /// Sets the sender.
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

    /// Sets the time until the deadline.
    #[must_use]
    pub const fn time_left(mut self, left: Duration) -> Self {
        self.time_left = Some(left);
        self
    }

    /// Returns whether the request may run more than once under `policy`.
    #[must_use]
    pub fn is_repeatable(&self, policy: &RequestPolicy) -> bool {
        match self.method {
            Method::Get | Method::Head => true,
            Method::Other => policy
                .repeatable_paths
                .iter()
                .any(|prefix| is_at_or_under(&self.path, prefix)),
        }
    }
}

/// Returns whether `path` is `prefix` or lies below it.
///
/// Returns `false` for a path with dot segments, empty segments or escapes, since the backend
/// server may resolve it to another path.
fn is_at_or_under(path: &str, prefix: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let is_ambiguous = path.contains('%') || path.contains("//") || path.contains("/.");
    if is_ambiguous || prefix.is_empty() {
        return false;
    }
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}
