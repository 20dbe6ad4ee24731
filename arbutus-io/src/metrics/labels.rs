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
