use prometheus_client::encoding::EncodeLabelSet;

/// A label with the reason for a decision or a drop.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The name of the reason.
    pub reason: &'static str,
}

/// A label with the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The name of the outcome.
    pub outcome: &'static str,
}

/// A label with the direction of transferred bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Histogram buckets for the duration of a store call, in seconds.
pub(super) const STORE_BUCKETS_S: [f64; 7] = [0.005, 0.01, 0.025, 0.1, 0.25, 0.5, 1.0];

/// Histogram buckets for the time until a caller gets an answer, in seconds.
pub(super) const ANSWER_BUCKETS_S: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];
