use std::time::Duration;

use super::{Fault, ReportLinks, RequestPlacement, Scenario, Strategy, Workload};

/// A group of scenarios with the strategies that are compared in them.
#[derive(Debug, Clone)]
pub struct Section {
    /// Heading of the section.
    pub title: &'static str,
    /// Scenarios of the section.
    pub scenarios: Vec<Scenario>,
    /// Strategies to compare. The oracle is added to them.
    pub strategies: Vec<Strategy>,
}

const LOADS_PERCENT: [u32; 3] = [50, 80, 95];
/// One-way delay between the failure domains of Montevideo.
const MONTEVIDEO_INTER_DOMAIN_DELAY: Duration = Duration::from_millis(4);

impl Section {
    /// Returns all sections, with the given duration and seed for their runs.
    ///
    /// Runs of large services are shortened.
    #[must_use]
    pub fn all(duration: Duration, seed: u64) -> Vec<Self> {
        let mut sections = vec![
            placement_strategies(),
            user_services(),
            service_sizes(),
            report_quality(),
            unit_durations(),
            faults(),
            passing_requests(),
        ];
        for scenario in sections.iter_mut().flat_map(|it| &mut it.scenarios) {
            // Larger services have more flows in the same time, so shorter runs suffice.
            let servers = u32::try_from(scenario.backend_servers).unwrap_or(u32::MAX);
            let divisor = (servers / 10).clamp(1, 10);
            *scenario = scenario.duration(duration / divisor).seed(seed);
        }
        sections
    }
}

fn placement_strategies() -> Section {
    Section {
        title: "Ways of placing flows",
        scenarios: scenarios_per_load(7).collect(),
        strategies: vec![
            Strategy::Hashing,
            Strategy::Threshold { candidates: 2 },
            Strategy::Threshold { candidates: 3 },
            Strategy::Adaptive { candidates: 2 },
            Strategy::Adaptive { candidates: 3 },
            Strategy::reports(),
        ],
    }
}

fn user_services() -> Section {
    let montevideo = |backend_servers| {
        scenarios_per_load(backend_servers).map(|it| it.domains(3, MONTEVIDEO_INTER_DOMAIN_DELAY))
    };
    Section {
        title: "The users' other services",
        scenarios: scenarios_per_load(4)
            .chain(montevideo(7))
            .chain(montevideo(3))
            .collect(),
        strategies: main_strategies(),
    }
}

fn service_sizes() -> Section {
    Section {
        title: "Sizes of a service",
        scenarios: [3, 30, 100, 300]
            .into_iter()
            .flat_map(scenarios_per_load)
            .collect(),
        strategies: main_strategies(),
    }
}

fn report_quality() -> Section {
    let report_links = [
        ReportLinks::new(),
        ReportLinks::new().extra_delay_ms(100),
        ReportLinks::new().extra_delay_ms(500),
        ReportLinks::new().loss_percent(20),
        ReportLinks::new().loss_percent(50),
        ReportLinks::new().loss_percent(100),
    ];
    Section {
        title: "Late and missing reports",
        scenarios: scenarios_per_load(7).collect(),
        strategies: report_links.into_iter().map(Strategy::with_links).collect(),
    }
}

fn unit_durations() -> Section {
    let mean_service_times = [200, 500, 5_000].map(Duration::from_millis);
    let units = mean_service_times.map(|mean_service_time| Workload::Units { mean_service_time });
    Section {
        title: "Length of the units",
        scenarios: units
            .into_iter()
            .flat_map(|workload| scenarios_per_load(7).map(move |it| it.workload(workload)))
            .collect(),
        strategies: main_strategies(),
    }
}

fn faults() -> Section {
    let faults = [
        Fault::Slow,
        Fault::ColdStart,
        Fault::Shedding,
        Fault::Drain,
        Fault::Crash,
    ];
    let with_fault = |fault| Scenario::new(7, 80, Strategy::Oracle).fault(fault);
    Section {
        title: "One backend server in trouble",
        scenarios: faults.into_iter().map(with_fault).collect(),
        strategies: main_strategies(),
    }
}

fn passing_requests() -> Section {
    Section {
        title: "Passing requests to a peer with a free slot",
        scenarios: scenarios_per_load(7)
            .map(|it| it.workload(Workload::SESSIONS))
            .collect(),
        strategies: vec![
            Strategy::Hashing,
            Strategy::reports(),
            Strategy::with_request_placement(RequestPlacement::ByReport),
            Strategy::with_request_placement(RequestPlacement::ByCredit),
        ],
    }
}

fn main_strategies() -> Vec<Strategy> {
    vec![
        Strategy::Hashing,
        Strategy::Adaptive { candidates: 3 },
        Strategy::reports(),
    ]
}

fn scenarios_per_load(backend_servers: usize) -> impl Iterator<Item = Scenario> {
    LOADS_PERCENT
        .into_iter()
        .map(move |load_percent| Scenario::new(backend_servers, load_percent, Strategy::Oracle))
}
