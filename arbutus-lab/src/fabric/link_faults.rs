use serde::{Deserialize, Serialize};

/// The faults of the links between the fabric and the balancers.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: f64,
    /// Smallest added delay, in microseconds.
    pub delay_from_us: u64,
    /// Largest added delay, in microseconds; not below the smallest.
    pub delay_to_us: u64,
    /// Share of datagrams delayed further so that later ones overtake them, in percent.
    pub reorder_percent: f64,
    /// Share of datagrams that are delivered twice, in percent.
    pub duplicate_percent: f64,
}

impl LinkFaults {
    /// Returns links without faults, which deliver every datagram once and without delay.
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

    /// Sets the share of datagrams that are lost, in percent.
    #[must_use]
    pub const fn loss_percent(mut self, percent: f64) -> Self {
        self.loss_percent = percent;
        self
    }

    /// Sets the range of the added delay, in microseconds.
    #[must_use]
    pub const fn delay_us(mut self, from: u64, to: u64) -> Self {
        self.delay_from_us = from;
        self.delay_to_us = to;
        self
    }

    /// Sets the share of datagrams that are reordered, in percent.
    #[must_use]
    pub const fn reorder_percent(mut self, percent: f64) -> Self {
        self.reorder_percent = percent;
        self
    }

    /// Sets the share of datagrams that are delivered twice, in percent.
    #[must_use]
    pub const fn duplicate_percent(mut self, percent: f64) -> Self {
        self.duplicate_percent = percent;
        self
    }
}
