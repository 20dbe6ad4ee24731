use serde::{Deserialize, Serialize};

/// A fault of the store.
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
    /// Every call is delayed.
    Slow {
        /// The delay of each call, in milliseconds.
        delay_ms: u64,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// New connections are closed and calls are answered with status 500; nothing takes effect.
    Refuse {
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// Calls are not answered and do not take effect.
    Hang {
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// Watches are not answered; other calls are.
    SilentWatch {
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// The next write takes effect but is not answered.
    LoseAnswer {
        /// The keys to which the fault applies.
        #[serde(default)]
        key: KeyFilter,
    },
    /// The next write is not answered and takes effect after a delay.
    LateWrite {
        /// The delay until the write takes effect, in milliseconds.
        delay_ms: u64,
        /// The keys to which the fault applies.
        #[serde(default)]
        key: KeyFilter,
    },
    /// All faults end at once.
    None,
}

/// The keys that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyFilter {
    /// All keys.
    #[default]
    Any,
    /// Keys that end in `index`.
    Index,
}

impl KeyFilter {
    /// Returns whether the fault affects `key`.
    #[must_use]
    pub fn matches(self, key: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Index => key.ends_with("index"),
        }
    }
}
