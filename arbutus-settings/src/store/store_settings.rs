use std::{sync::Arc, time::Duration};

use crate::{document::Node, findings::Findings, scalar};

/// How to reach the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// `http://host:port` without a path or a final slash.
    pub url: Arc<str>,
    /// What all keys of this deployment begin with; ends in a slash.
    pub prefix: Arc<str>,
    /// How long a call may take.
    pub timeout: Duration,
    /// How often the configuration is read where no watch tells of changes.
    pub poll_interval: Duration,
}

impl StoreSettings {
    /// Keys of a deployment that names no prefix begin with this.
    pub const DEFAULT_PREFIX: &'static str = "arbutus/";
    /// Timeout of a call where the settings name none.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
    /// Poll interval where the settings name none.
    pub const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(30);

    /// Makes settings with the defaults.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self {
            url: Arc::from(url),
            prefix: Arc::from(Self::DEFAULT_PREFIX),
            timeout: Self::DEFAULT_TIMEOUT,
            poll_interval: Self::DEFAULT_POLL_INTERVAL,
        }
    }

    /// Sets what all keys begin with.
    #[must_use]
    pub fn prefix(mut self, prefix: &str) -> Self {
        self.prefix = Arc::from(prefix);
        self
    }

    /// Sets how long a call may take.
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

/// An `http` URL of a host and port.
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

fn prefix(key: &str, node: &Node, findings: &mut Findings) -> Option<Arc<str>> {
    let written = scalar::text(key, node, findings)?;
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_/".contains(c);
    if !written.ends_with('/') || written.starts_with('/') || !written.chars().all(plain) {
        let message = format!(
            "`{key}` must be letters, digits, `-`, `_` and `/` and end in `/`, found `{written}`"
        );
        findings.add(&node.location, message);
        return None;
    }
    Some(written)
}
