use prometheus_client::encoding::EncodeLabelSet;

/// Why something was dropped or refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The reason's name.
    pub reason: &'static str,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The outcome's name.
    pub outcome: &'static str,
}

/// Which way bytes went.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Buckets of the time that a store call takes, in seconds.
pub(super) const STORE_BUCKETS_S: [f64; 7] = [0.005, 0.01, 0.025, 0.1, 0.25, 0.5, 1.0];

/// Buckets of the time until a caller is answered, in seconds.
pub(super) const ANSWER_BUCKETS_S: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];
