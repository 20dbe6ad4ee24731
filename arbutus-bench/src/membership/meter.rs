use std::{collections::BTreeMap, time::Duration};

use arbutus_core::membership::{MessageClass, Tally};

use super::fleet::Fleet;

/// Bytes that lower layers add to each message: IP, UDP, QUIC and its share of acknowledgements.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 90;
/// Control traffic that a node may send and receive, in bytes per second.
pub const CONTROL_BUDGET_BYTES_PER_S: u64 = 20_000;

/// Counts the bytes that balancers send and receive, second by second.
#[derive(Debug, Default)]
pub(super) struct Meter {
    previous: BTreeMap<usize, Tally>,
    initial_by_class: BTreeMap<&'static str, Tally>,
    seconds: u64,
    balancers: u64,
    total: Tally,
    /// Largest number of bytes that one balancer had in one second, including the overhead.
    pub peak_bytes: u64,
    /// Largest number of seconds for which one balancer exceeded the budget.
    pub over_budget_s: u64,
    over_budget_s_by_balancer: BTreeMap<usize, u64>,
}

impl Meter {
    pub fn new(fleet: &Fleet) -> Self {
        let mut meter = Self {
            initial_by_class: by_class(fleet),
            ..Self::default()
        };
        for (number, balancer) in fleet.balancers() {
            meter.previous.insert(number, balancer.traffic().total());
        }
        meter
    }

    /// Runs the fleet for one second and adds its traffic.
    pub fn run_second(&mut self, fleet: &mut Fleet) {
        fleet.run_for(Duration::from_secs(1));
        self.seconds += 1;
        self.balancers = 0;
        for (number, balancer) in fleet.balancers() {
            let total = balancer.traffic().total();
            let previous = self.previous.insert(number, total).unwrap_or_default();
            let messages = total.messages - previous.messages;
            let bytes = total.bytes - previous.bytes + messages * MESSAGE_OVERHEAD_BYTES;
            self.total.messages += messages;
            self.total.bytes += bytes;
            self.balancers += 1;
            self.peak_bytes = self.peak_bytes.max(bytes);
            if bytes > CONTROL_BUDGET_BYTES_PER_S {
                *self.over_budget_s_by_balancer.entry(number).or_default() += 1;
            }
        }
        self.over_budget_s = self
            .over_budget_s_by_balancer
            .values()
            .copied()
            .max()
            .unwrap_or_default();
    }

    /// Returns the mean bytes per second of a balancer, including the overhead, and its messages per
    /// second.
    pub fn mean(&self) -> Tally {
        let balancer_seconds = (self.seconds * self.balancers).max(1);
        Tally {
            messages: self.total.messages / balancer_seconds,
            bytes: self.total.bytes / balancer_seconds,
        }
    }

    /// Returns the mean bytes per second of a balancer by message class, without the overhead.
    pub fn by_class(&self, fleet: &Fleet) -> Vec<(&'static str, u64)> {
        let balancer_seconds = (self.seconds * self.balancers).max(1);
        by_class(fleet)
            .into_iter()
            .map(|(name, tally)| {
                let initial = self.initial_by_class.get(name).copied().unwrap_or_default();
                (
                    name,
                    tally.bytes.saturating_sub(initial.bytes) / balancer_seconds,
                )
            })
            .collect()
    }
}

/// Returns the traffic of all balancers so far, by message class.
fn by_class(fleet: &Fleet) -> BTreeMap<&'static str, Tally> {
    let mut classes: BTreeMap<&'static str, Tally> = BTreeMap::new();
    for (_, balancer) in fleet.balancers() {
        for class in MessageClass::ALL {
            let traffic = balancer.traffic();
            let tally = classes.entry(class.name()).or_default();
            tally.bytes += traffic.sent(class).bytes + traffic.received(class).bytes;
            tally.messages += traffic.sent(class).messages + traffic.received(class).messages;
        }
    }
    classes
}
