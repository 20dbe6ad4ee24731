use std::time::Duration;

use super::{Strategy, Workload};

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The first backend server takes three times as long.
    Slow,
    /// The first backend server joins anew in mid-run and is four times as slow for five seconds.
    Cold,
    /// The first backend server says that it is well, and sheds half of its requests at once.
    Lying,
    /// The first backend server drains in mid-run and leaves when it is idle.
    Leaving,
    /// The first backend server dies in mid-run.
    Dying,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::None => "no fault",
            Self::Slow => "one slow",
            Self::Cold => "one joins cold",
            Self::Lying => "one sheds half and says that it is well",
            Self::Leaving => "one drains",
            Self::Dying => "one dies",
        })
    }
}

/// One run of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// Backend servers of the service.
    pub servers: usize,
    /// Requests that one runs at once.
    pub slots: u32,
    /// Requests that wait at one.
    pub queue: u32,
    /// Work offered, in percent of all slots.
    pub load_percent: u32,
    /// Failure domains over which the backend servers are spread.
    pub domains: usize,
    /// One way between two failure domains.
    pub between_domains: Duration,
    /// What the flows carry.
    pub workload: Workload,
    /// What goes wrong.
    pub fault: Fault,
    /// How new flows are placed.
    pub strategy: Strategy,
    /// Length of the run, of which the first tenth is not measured.
    pub length: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Scenario {
    /// A run of `servers` equal backend servers with 5 slots, 5 ms between failure domains.
    #[must_use]
    pub const fn new(servers: usize, load_percent: u32, strategy: Strategy) -> Self {
        Self {
            servers,
            slots: 5,
            queue: 20,
            load_percent,
            domains: 4,
            between_domains: Duration::from_millis(5),
            workload: Workload::UNITS,
            fault: Fault::None,
            strategy,
            length: Duration::from_secs(600),
            seed: 1,
        }
    }

    /// Sets what the flows carry.
    #[must_use]
    pub const fn workload(mut self, workload: Workload) -> Self {
        self.workload = workload;
        self
    }

    /// Sets what goes wrong.
    #[must_use]
    pub const fn fault(mut self, fault: Fault) -> Self {
        self.fault = fault;
        self
    }

    /// Sets the failure domains and the way between two.
    #[must_use]
    pub const fn domains(mut self, domains: usize, between: Duration) -> Self {
        self.domains = domains;
        self.between_domains = between;
        self
    }

    /// Sets how new flows are placed.
    #[must_use]
    pub const fn strategy(mut self, strategy: Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Sets the length of the run.
    #[must_use]
    pub const fn length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Flows that callers open each second.
    #[must_use]
    pub fn flows_per_s(&self) -> f64 {
        let slots = f64::from(self.slots) * f64::from(u32::try_from(self.servers).unwrap_or(1));
        let work = self.workload.service().as_secs_f64() * f64::from(self.workload.requests());
        slots * f64::from(self.load_percent) / 100.0 / work
    }
}

impl std::fmt::Display for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} backend servers, {} slots, {} % load, {} ms between {} failure domains, {}, {}",
            self.servers,
            self.slots,
            self.load_percent,
            self.between_domains.as_millis(),
            self.domains,
            self.workload,
            self.fault
        )
    }
}
