use std::time::Duration;

use super::{Fault, Links, Scenario, Spread, Strategy, Workload};

/// Some scenarios with the ways to compare in them.
#[derive(Debug, Clone)]
pub struct Section {
    /// What is compared.
    pub title: &'static str,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The ways, to which the oracle is added.
    pub ways: Vec<Strategy>,
}

const LOADS: [u32; 3] = [50, 80, 95];
const MONTEVIDEO: Duration = Duration::from_millis(4);

impl Section {
    /// All sections, with runs of `length` and `seed`.
    #[must_use]
    pub fn all(length: Duration, seed: u64) -> Vec<Self> {
        let mut sections = vec![
            ways_at_seven(),
            users_sizes(),
            fleet_sizes(),
            report_quality(),
            unit_lengths(),
            faults(),
            passing_requests(),
        ];
        for scenario in sections.iter_mut().flat_map(|it| &mut it.scenarios) {
            // Larger services have more flows in the same time.
            let servers = u32::try_from(scenario.servers).unwrap_or(u32::MAX);
            let shorter = (servers / 10).clamp(1, 10);
            *scenario = scenario.length(length / shorter).seed(seed);
        }
        sections
    }
}

fn ways_at_seven() -> Section {
    Section {
        title: "Ways of placing flows",
        scenarios: base(7).collect(),
        ways: vec![
            Strategy::Hashing,
            Strategy::Threshold { candidates: 2 },
            Strategy::Threshold { candidates: 3 },
            Strategy::Adaptive { candidates: 2 },
            Strategy::Adaptive { candidates: 3 },
            Strategy::reports(),
        ],
    }
}

fn users_sizes() -> Section {
    let montevideo = |servers| base(servers).map(|it| it.domains(3, MONTEVIDEO));
    Section {
        title: "The users' other services",
        scenarios: base(4).chain(montevideo(7)).chain(montevideo(3)).collect(),
        ways: few_ways(),
    }
}

fn fleet_sizes() -> Section {
    Section {
        title: "Sizes of a service",
        scenarios: [3, 30, 100, 300].into_iter().flat_map(base).collect(),
        ways: few_ways(),
    }
}

fn report_quality() -> Section {
    let links = [
        Links::new(),
        Links::new().late_ms(100),
        Links::new().late_ms(500),
        Links::new().loss_percent(20),
        Links::new().loss_percent(50),
        Links::new().loss_percent(100),
    ];
    Section {
        title: "Late and missing reports",
        scenarios: base(7).collect(),
        ways: links.into_iter().map(Strategy::with_links).collect(),
    }
}

fn unit_lengths() -> Section {
    let lengths = [200, 500, 5_000].map(Duration::from_millis);
    let units = lengths.map(|service| Workload::Units { service });
    Section {
        title: "Length of the units",
        scenarios: units
            .into_iter()
            .flat_map(|workload| base(7).map(move |it| it.workload(workload)))
            .collect(),
        ways: few_ways(),
    }
}

fn faults() -> Section {
    let faults = [
        Fault::Slow,
        Fault::Cold,
        Fault::Lying,
        Fault::Leaving,
        Fault::Dying,
    ];
    let with_fault = |fault| Scenario::new(7, 80, Strategy::Oracle).fault(fault);
    Section {
        title: "One backend server in trouble",
        scenarios: faults.into_iter().map(with_fault).collect(),
        ways: few_ways(),
    }
}

fn passing_requests() -> Section {
    Section {
        title: "Passing requests to a peer with a free slot",
        scenarios: base(7).map(|it| it.workload(Workload::SESSIONS)).collect(),
        ways: vec![
            Strategy::Hashing,
            Strategy::reports(),
            Strategy::with_spread(Spread::ByReport),
            Strategy::with_spread(Spread::ByCredit),
        ],
    }
}

fn few_ways() -> Vec<Strategy> {
    vec![
        Strategy::Hashing,
        Strategy::Adaptive { candidates: 3 },
        Strategy::reports(),
    ]
}

fn base(servers: usize) -> impl Iterator<Item = Scenario> {
    LOADS
        .into_iter()
        .map(move |load| Scenario::new(servers, load, Strategy::Oracle))
}
