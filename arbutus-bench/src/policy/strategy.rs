use arbutus_core::{config::BalanceMode, flow::FlowPolicy};

/// A way of placing new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The first candidate takes every flow that it may.
    Hashing,
    /// A candidate with work below a fixed threshold takes the flow; the last takes it anyway.
    Threshold {
        /// How many candidates are asked.
        candidates: usize,
    },
    /// As [`Strategy::Threshold`], with the agent's own recent mean as the threshold.
    Adaptive {
        /// How many candidates are asked.
        candidates: usize,
    },
    /// The product's flow admission with load reports.
    Reports {
        /// Its tunables.
        policy: FlowPolicy,
        /// What becomes of reports on their way.
        links: ReportLinks,
        /// What becomes of a request that finds no free slot.
        request_placement: RequestPlacement,
    },
    /// Every flow joins the shortest queue, known perfectly and at once.
    Oracle,
}

/// What becomes of load reports on their way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportLinks {
    /// How many of a hundred reports are lost.
    pub loss_percent: u32,
    /// How much later than a datagram a report comes, in milliseconds.
    pub extra_delay_ms: u64,
}

/// What becomes of a request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestPlacement {
    /// It waits in the queue of the agent that holds its flow.
    #[default]
    Local,
    /// It goes to a peer whose last report leaves a slot free.
    ByReport,
    /// It goes to a peer that has granted one request ahead, if there is one.
    ByCredit,
}

impl Strategy {
    /// Load reports as shipped for services whose requests stay.
    #[must_use]
    pub const fn reports() -> Self {
        Self::with_policy(FlowPolicy::new())
    }

    /// Load reports with other tunables.
    #[must_use]
    pub const fn with_policy(policy: FlowPolicy) -> Self {
        Self::Reports {
            policy,
            links: ReportLinks::new(),
            request_placement: RequestPlacement::Local,
        }
    }

    /// Load reports over other links.
    #[must_use]
    pub const fn with_links(links: ReportLinks) -> Self {
        Self::Reports {
            policy: FlowPolicy::new(),
            links,
            request_placement: RequestPlacement::Local,
        }
    }

    /// Load reports as shipped for services whose requests may be passed on, in one of the ways
    /// to do so.
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
    /// Links that lose nothing and delay reports no more than other datagrams.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            loss_percent: 0,
            extra_delay_ms: 0,
        }
    }

    /// Sets how many of a hundred reports are lost.
    #[must_use]
    pub const fn loss_percent(mut self, loss_percent: u32) -> Self {
        self.loss_percent = loss_percent;
        self
    }

    /// Sets how much later than a datagram a report comes.
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
