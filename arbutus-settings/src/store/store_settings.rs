use std::{sync::Arc, time::Duration};

use crate::{document::Node, findings::Findings, scalar};

/// The settings for access to the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// The service's URL, `http://host:port` without a path or a trailing slash.
    pub url: Arc<str>,
    /// The prefix of all keys of this deployment; ends in a slash.
    pub prefix: Arc<str>,
    /// The timeout of a call.
    pub timeout: Duration,
    /// The interval at which the configuration is read when no watch reports changes.
    pub poll_interval: Duration,
}

impl StoreSettings {
    /// The key prefix when the settings don't set one.
    pub const DEFAULT_PREFIX: &'static str = "arbutus/";
    /// The timeout of a call when the settings don't set one.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
    /// The poll interval when the settings don't set one.
    pub const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(30);

    /// Creates settings for the service at `url` with the default values.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self {
            url: Arc::from(url),
            prefix: Arc::from(Self::DEFAULT_PREFIX),
            timeout: Self::DEFAULT_TIMEOUT,
            poll_interval: Self::DEFAULT_POLL_INTERVAL,
        }
    }

    /// Sets the prefix of all keys.
    #[must_use]
    pub fn prefix(mut self, prefix: &str) -> Self {
        self.prefix = Arc::from(prefix);
        self
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    pub(crate) fn read(_key: &str, node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut reader = node.reader(findings)?;
        let url = reader.required("url", url);
        let prefix = reader.optional_or("prefix", Arc::from(Self::DEFAULT_PREFIX), prefix);
        let timeout = reader.optional_or(
            "timeout_ms",
            Self::DEFAULT_TIMEOUT,
            scalar::duration_ms(10..=60_000),
        );
        let poll_interval = reader.optional_or(
            "poll_ms",
            Self::DEFAULT_POLL_INTERVAL,
            scalar::duration_ms(100..=3_600_000),
        );
        reader.finish();
        Some(Self {
            url: url?,
            prefix: prefix?,
            timeout: timeout?,
            poll_interval: poll_interval?,
        })
    }
}

/// Parses an `http` URL that consists of a host and a port.
fn url(key: &str, node: &Node, findings: &mut Findings) -> Option<Arc<str>> {
    let written = scalar::text(key, node, findings)?;
    let trimmed = written.strip_suffix('/').unwrap_or(&written);
    let authority = trimmed.strip_prefix("http://").unwrap_or_default();
    let plain = |c: char| c.is_ascii_alphanumeric() || ".-:[]".contains(c);
    if authority.is_empty() || !authority.chars().all(plain) {
        let message = format!("`{key}` must be like http://192.0.2.1:8500, found `{written}`");
        findings.add(&node.location, message);
        return None;
    }
    Some(Arc::from(trimmed))
}

/// Parses a key prefix, which must end in a slash.
fn prefix(key: &str, node: &Node, findings: &mut Findings) -> Option<Arc<str>> {
    let written = scalar::text(key, node, findings)?;
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_/".contains(c);
    if !written.ends_with('/') || written.starts_with('/') || !written.chars().all(plain) {
        let message = format!(
            "`{key}` must consist of letters, digits, `-`, `_` and `/`, not start with `/` and end \
             in `/`, found `{written}`"
        );
        findings.add(&node.location, message);
        return None;
    }
    Some(written)
}
