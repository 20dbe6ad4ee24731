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
    ColdStart,
    /// The first backend server says that it is well, and sheds half of its requests at once.
    Shedding,
    /// The first backend server drains in mid-run and leaves when it is idle.
    Drain,
    /// The first backend server dies in mid-run.
    Crash,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::None => "no fault",
            Self::Slow => "one slow",
            Self::ColdStart => "one joins cold",
            Self::Shedding => "one sheds half and says that it is well",
            Self::Drain => "one drains",
            Self::Crash => "one dies",
        })
    }
}

/// One run of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// Backend servers of the service.
    pub backend_servers: usize,
    /// Requests that one runs at once.
    pub slots: u32,
    /// Requests that wait at one.
    pub queue_limit: u32,
    /// Work offered, in percent of all slots.
    pub load_percent: u32,
    /// Failure domains over which the backend servers are spread.
    pub domains: usize,
    /// One way between two failure domains.
    pub inter_domain_delay: Duration,
    /// What the flows carry.
    pub workload: Workload,
    /// What goes wrong.
    pub fault: Fault,
    /// How new flows are placed.
    pub strategy: Strategy,
    /// Length of the run, of which the first tenth is not measured.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Scenario {
    /// A run of `servers` equal backend servers with 5 slots, 5 ms between failure domains.
    #[must_use]
    pub const fn new(backend_servers: usize, load_percent: u32, strategy: Strategy) -> Self {
        Self {
            backend_servers,
            slots: 5,
            queue_limit: 20,
            load_percent,
            domains: 4,
            inter_domain_delay: Duration::from_millis(5),
            workload: Workload::UNITS,
            fault: Fault::None,
            strategy,
            duration: Duration::from_secs(600),
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
    pub const fn domains(mut self, domains: usize, inter_domain_delay: Duration) -> Self {
        self.domains = domains;
        self.inter_domain_delay = inter_domain_delay;
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
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
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
        let slots =
            f64::from(self.slots) * f64::from(u32::try_from(self.backend_servers).unwrap_or(1));
        let work_per_flow = self.workload.mean_service_time().as_secs_f64()
            * f64::from(self.workload.mean_requests());
        slots * f64::from(self.load_percent) / 100.0 / work_per_flow
    }
}

impl std::fmt::Display for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} backend servers, {} slots, {} % load, {} ms between {} failure domains, {}, {}",
            self.backend_servers,
            self.slots,
            self.load_percent,
            self.inter_domain_delay.as_millis(),
            self.domains,
            self.workload,
            self.fault
        )
    }
}
