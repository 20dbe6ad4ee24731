use serde::{Deserialize, Serialize};

/// How the store misbehaves.
///
/// # Examples
///
/// ```
/// use arbutus_lab::store::Fault;
///
/// let fault: Fault = serde_json::from_str(r#"{ "kind": "hang", "for_ms": 500 }"#).unwrap();
/// assert_eq!(fault, Fault::Hang { for_ms: 500 });
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Every call takes longer.
    Slow {
        /// By how much, in milliseconds.
        delay_ms: u64,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Connections are closed and calls answered with 500; nothing takes effect.
    Refuse {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Calls get no answer and take no effect.
    Hang {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Watches get no answer; other calls do.
    SilentWatch {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// The next write takes effect and gets no answer.
    LoseAnswer {
        /// To which keys.
        #[serde(default)]
        key: KeyFilter,
    },
    /// The next write gets no answer and takes effect after a delay.
    LateWrite {
        /// The delay in milliseconds.
        delay_ms: u64,
        /// To which keys.
        #[serde(default)]
        key: KeyFilter,
    },
    /// All faults end.
    None,
}

/// Which keys a fault touches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyFilter {
    /// Every key.
    #[default]
    Any,
    /// Keys that end in `index`.
    Index,
}

impl KeyFilter {
    /// Whether `key` is one of them.
    #[must_use]
    pub fn matches(self, key: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Index => key.ends_with("index"),
        }
    }
}
