use std::{collections::BTreeMap, time::Duration};

use arbutus_core::membership::{MessageClass, Tally};

use super::fleet::Fleet;

/// Bytes that a message adds below the system's own: IP, UDP, QUIC and its share of
/// acknowledgements.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 90;
/// Bytes that a node may spend on control each second.
pub const BUDGET_BYTES_PER_S: u64 = 20_000;

/// Bytes that balancers sent and received over a time, second by second.
#[derive(Debug, Default)]
pub(super) struct Meter {
    last: BTreeMap<usize, Tally>,
    first_by_class: BTreeMap<&'static str, Tally>,
    seconds: u64,
    nodes: u64,
    total: Tally,
    /// The most that one balancer had in one second, with the overhead.
    pub peak_bytes: u64,
    /// The most seconds that one balancer was over the budget.
    pub over_budget_s: u64,
    over: BTreeMap<usize, u64>,
}

impl Meter {
    pub fn new(fleet: &Fleet) -> Self {
        let mut meter = Self {
            first_by_class: by_class(fleet),
            ..Self::default()
        };
        for (number, balancer) in fleet.balancers() {
            meter.last.insert(number, balancer.traffic().total());
        }
        meter
    }

    /// Runs the fleet for one second and takes its bytes.
    pub fn run_second(&mut self, fleet: &mut Fleet) {
        fleet.run(Duration::from_secs(1));
        self.seconds += 1;
        self.nodes = 0;
        for (number, balancer) in fleet.balancers() {
            let total = balancer.traffic().total();
            let last = self.last.insert(number, total).unwrap_or_default();
            let messages = total.messages - last.messages;
            let bytes = total.bytes - last.bytes + messages * MESSAGE_OVERHEAD_BYTES;
            self.total.messages += messages;
            self.total.bytes += bytes;
            self.nodes += 1;
            self.peak_bytes = self.peak_bytes.max(bytes);
            if bytes > BUDGET_BYTES_PER_S {
                *self.over.entry(number).or_default() += 1;
            }
        }
        self.over_budget_s = self.over.values().copied().max().unwrap_or_default();
    }

    /// Bytes of a balancer each second with the overhead, and its messages.
    pub fn mean(&self) -> Tally {
        let share = (self.seconds * self.nodes).max(1);
        Tally {
            messages: self.total.messages / share,
            bytes: self.total.bytes / share,
        }
    }

    /// Bytes of a balancer each second without the overhead, by class.
    pub fn by_class(&self, fleet: &Fleet) -> Vec<(&'static str, u64)> {
        let share = (self.seconds * self.nodes).max(1);
        by_class(fleet)
            .into_iter()
            .map(|(name, tally)| {
                let first = self.first_by_class.get(name).copied().unwrap_or_default();
                (name, tally.bytes.saturating_sub(first.bytes) / share)
            })
            .collect()
    }
}

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
