use crate::config::{RequestPolicy, Service};

const PERCENT: u32 = 100;

/// How much one agent may take on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLimits {
    /// Open flows.
    pub connections: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
    /// Its share of new flows, in percent of an equal one.
    pub weight_percent: u32,
    /// How long its share grows to full weight after a start, in milliseconds.
    pub ramp_ms: u64,
}

impl FlowLimits {
    /// The limits of a service whose files set none.
    #[must_use]
    pub fn new() -> Self {
        let defaults = RequestPolicy::new();
        Self {
            connections: defaults.connections,
            slots: defaults.slots,
            queue: defaults.queue,
            weight_percent: PERCENT,
            ramp_ms: defaults.ramp_ms,
        }
    }

    /// The limits of the backend server `name` of `service`, whose agent claims `weight_percent`.
    #[must_use]
    pub fn for_service(service: &Service, name: &str, weight_percent: u32) -> Self {
        let share = service.backend_override(name).weight_percent;
        Self {
            connections: service.requests.connections,
            slots: service.requests.slots,
            queue: service.requests.queue,
            weight_percent: weight_percent.saturating_mul(share.unwrap_or(PERCENT)) / PERCENT,
            ramp_ms: service.requests.ramp_ms,
        }
    }

    /// Sets the most open flows.
    #[must_use]
    pub const fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the most requests that run at once.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the most requests that wait.
    #[must_use]
    pub const fn queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the share of new flows.
    #[must_use]
    pub const fn weight_percent(mut self, weight_percent: u32) -> Self {
        self.weight_percent = weight_percent;
        self
    }

    /// Sets how long the share grows after a start.
    #[must_use]
    pub const fn ramp_ms(mut self, ramp_ms: u64) -> Self {
        self.ramp_ms = ramp_ms;
        self
    }
}

impl Default for FlowLimits {
    fn default() -> Self {
        Self::new()
    }
}
