use std::time::Duration;

use super::{Strategy, Workload};

/// A fault of the first backend server that is injected into a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The backend server takes three times as long.
    Slow,
    /// The backend server joins halfway through the run and takes four times as long for five
    /// seconds.
    ColdStart,
    /// The backend server reports itself as healthy but sheds half of its requests at once.
    Shedding,
    /// The backend server drains halfway through the run.
    Drain,
    /// The backend server crashes halfway through the run.
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

/// Parameters of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// Number of backend servers of the service.
    pub backend_servers: usize,
    /// Number of requests that a backend server processes at the same time.
    pub slots: u32,
    /// Number of requests that may wait at a backend server.
    pub queue_limit: u32,
    /// Offered load, in percent of the capacity of all slots.
    pub load_percent: u32,
    /// Number of failure domains over which the backend servers are spread.
    pub domains: usize,
    /// One-way delay between two failure domains.
    pub inter_domain_delay: Duration,
    /// Requests that the flows carry.
    pub workload: Workload,
    /// Fault that is injected.
    pub fault: Fault,
    /// Strategy that places new flows.
    pub strategy: Strategy,
    /// Simulated time of the run, of which the first tenth is not measured.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Scenario {
    /// Creates a run of `backend_servers` equal backend servers with 5 slots each and 5 ms between
    /// failure domains.
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

    /// Sets the requests that the flows carry.
    #[must_use]
    pub const fn workload(mut self, workload: Workload) -> Self {
        self.workload = workload;
        self
    }

    /// Sets the fault that is injected.
    #[must_use]
    pub const fn fault(mut self, fault: Fault) -> Self {
        self.fault = fault;
        self
    }

    /// Sets the number of failure domains and the one-way delay between two of them.
    #[must_use]
    pub const fn domains(mut self, domains: usize, inter_domain_delay: Duration) -> Self {
        self.domains = domains;
        self.inter_domain_delay = inter_domain_delay;
        self
    }

    /// Sets the strategy that places new flows.
    #[must_use]
    pub const fn strategy(mut self, strategy: Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Sets the simulated time of the run.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the seed of all random choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the number of flows that callers open per second.
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
