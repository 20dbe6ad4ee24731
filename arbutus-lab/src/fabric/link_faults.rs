use serde::{Deserialize, Serialize};

/// How the links between fabric and balancers misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Share of datagrams that vanish, in percent.
    pub loss_percent: f64,
    /// Least added delay, in microseconds.
    pub delay_from_us: u64,
    /// Most added delay, in microseconds; not below the least.
    pub delay_to_us: u64,
    /// Share of datagrams held back so that later ones overtake them, in percent.
    pub reorder_percent: f64,
    /// Share of datagrams that arrive twice, in percent.
    pub duplicate_percent: f64,
}

impl LinkFaults {
    /// Links that deliver everything at once.
    #[must_use]
    pub const fn none() -> Self {
        Self {
            loss_percent: 0.0,
            delay_from_us: 0,
            delay_to_us: 0,
            reorder_percent: 0.0,
            duplicate_percent: 0.0,
        }
    }

    /// Sets the share of datagrams that vanish.
    #[must_use]
    pub const fn loss_percent(mut self, percent: f64) -> Self {
        self.loss_percent = percent;
        self
    }

    /// Sets the range of the added delay.
    #[must_use]
    pub const fn delay_us(mut self, from: u64, to: u64) -> Self {
        self.delay_from_us = from;
        self.delay_to_us = to;
        self
    }

    /// Sets the share of datagrams that are overtaken.
    #[must_use]
    pub const fn reorder_percent(mut self, percent: f64) -> Self {
        self.reorder_percent = percent;
        self
    }

    /// Sets the share of datagrams that arrive twice.
    #[must_use]
    pub const fn duplicate_percent(mut self, percent: f64) -> Self {
        self.duplicate_percent = percent;
        self
    }
}
