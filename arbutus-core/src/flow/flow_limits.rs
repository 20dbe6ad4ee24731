use crate::config::{RequestPolicy, Service};

const PERCENT: u32 = 100;

/// The capacity limits of one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLimits {
    /// Maximum number of admitted flows, including those that have not opened yet.
    pub connections: u32,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: u32,
    /// The agent's share of new flows, in percent of an equal share.
    pub weight_percent: u32,
    /// Time over which the share ramps up to full weight after a start, in milliseconds.
    pub ramp_ms: u64,
}

impl FlowLimits {
    /// Creates the limits of a service whose configuration sets none.
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

    /// Creates the limits of the agent in front of backend server `name` of `service`.
    ///
    /// The weight is the product of the agent's own `weight_percent` and the weight that the
    /// service configures for the backend server.
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

    /// Sets the maximum number of admitted flows.
    #[must_use]
    pub const fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the maximum number of requests that run at the same time.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the maximum number of requests that wait for a slot.
    #[must_use]
    pub const fn queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the share of new flows, in percent of an equal share.
    #[must_use]
    pub const fn weight_percent(mut self, weight_percent: u32) -> Self {
        self.weight_percent = weight_percent;
        self
    }

    /// Sets the time over which the share ramps up after a start, in milliseconds.
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
