use arbutus_core::{config::BalanceMode, flow::FlowPolicy};

/// A strategy that places new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The first candidate accepts every flow.
    Hashing,
    /// A candidate accepts the flow if its in-flight requests are below a fixed threshold. The last
    /// candidate accepts it in any case.
    Threshold {
        /// Number of candidates that are tried.
        candidates: usize,
    },
    /// Like [`Strategy::Threshold`], with the moving mean of the agent's own in-flight requests as
    /// the threshold.
    Adaptive {
        /// Number of candidates that are tried.
        candidates: usize,
    },
    /// The flow admission of the agents, with load reports.
    Reports {
        /// Parameters of the flow admission.
        policy: FlowPolicy,
        /// Loss and delay of load reports.
        links: ReportLinks,
        /// Placement of requests that find no free slot.
        request_placement: RequestPlacement,
    },
    /// Every flow joins the shortest queue, based on exact and current load.
    Oracle,
}

/// Loss and delay of load reports between agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportLinks {
    /// Lost reports, in percent.
    pub loss_percent: u32,
    /// Delay of a report in addition to that of other datagrams, in milliseconds.
    pub extra_delay_ms: u64,
}

/// Placement of a request that finds no free slot at the agent of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestPlacement {
    /// The request waits in the queue of the agent that owns its flow.
    #[default]
    Local,
    /// The request is passed on to a peer whose last report leaves a free slot.
    ByReport,
    /// The request is passed on to a peer that has granted a credit in advance, if there is one.
    ByCredit,
}

impl Strategy {
    /// Load reports with the default policy of services whose requests stay at one agent.
    #[must_use]
    pub const fn reports() -> Self {
        Self::with_policy(FlowPolicy::new())
    }

    /// Load reports with a given policy.
    #[must_use]
    pub const fn with_policy(policy: FlowPolicy) -> Self {
        Self::Reports {
            policy,
            links: ReportLinks::new(),
            request_placement: RequestPlacement::Local,
        }
    }

    /// Load reports with a given loss and delay.
    #[must_use]
    pub const fn with_links(links: ReportLinks) -> Self {
        Self::Reports {
            policy: FlowPolicy::new(),
            links,
            request_placement: RequestPlacement::Local,
        }
    }

    /// Load reports with the default policy of services whose requests may be passed on, and a
    /// given placement of requests.
    #[must_use]
    pub const fn with_request_placement(request_placement: RequestPlacement) -> Self {
        Self::Reports {
            policy: FlowPolicy::for_balance(BalanceMode::Spread),
            links: ReportLinks::new(),
            request_placement,
        }
    }
}

impl ReportLinks {
    /// Creates links that lose no reports and delay them no more than other datagrams.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            loss_percent: 0,
            extra_delay_ms: 0,
        }
    }

    /// Sets the percentage of reports that are lost.
    #[must_use]
    pub const fn loss_percent(mut self, loss_percent: u32) -> Self {
        self.loss_percent = loss_percent;
        self
    }

    /// Sets the delay of a report in addition to that of other datagrams.
    #[must_use]
    pub const fn extra_delay_ms(mut self, extra_delay_ms: u64) -> Self {
        self.extra_delay_ms = extra_delay_ms;
        self
    }
}

impl std::fmt::Display for Strategy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Hashing => f.write_str("hashing only"),
            Self::Threshold { candidates } => write!(f, "{candidates} candidates, fixed"),
            Self::Adaptive { candidates } => write!(f, "{candidates} candidates, adaptive"),
            Self::Reports {
                links,
                request_placement,
                ..
            } => {
                f.write_str("load reports")?;
                if links.loss_percent > 0 {
                    write!(f, ", {} % lost", links.loss_percent)?;
                }
                if links.extra_delay_ms > 0 {
                    write!(f, ", {} ms late", links.extra_delay_ms)?;
                }
                match request_placement {
                    RequestPlacement::Local => Ok(()),
                    RequestPlacement::ByReport => f.write_str(", requests by report"),
                    RequestPlacement::ByCredit => f.write_str(", requests by credit"),
                }
            }
            Self::Oracle => f.write_str("oracle"),
        }
    }
}
