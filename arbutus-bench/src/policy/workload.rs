use std::time::Duration;

/// What the flows of a service carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Each flow is one request of exponential length.
    Units {
        /// Mean length.
        service: Duration,
    },
    /// Each flow is a session of requests with pauses between them, all of exponential length.
    Sessions {
        /// Mean length of a request.
        service: Duration,
        /// Mean pause between an answer and the next request.
        pause: Duration,
        /// Mean number of requests; their number is geometric.
        requests: u32,
    },
}

impl Workload {
    /// Units of one second.
    pub const UNITS: Self = Self::Units {
        service: Duration::from_secs(1),
    };
    /// Sessions of some 20 s.
    pub const SESSIONS: Self = Self::Sessions {
        service: Duration::from_millis(200),
        pause: Duration::from_millis(800),
        requests: 20,
    };

    /// Mean length of a request.
    #[must_use]
    pub const fn service(&self) -> Duration {
        match self {
            Self::Units { service } | Self::Sessions { service, .. } => *service,
        }
    }

    /// Mean number of requests of a flow.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        match self {
            Self::Units { .. } => 1,
            Self::Sessions { requests, .. } => *requests,
        }
    }
}

impl std::fmt::Display for Workload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Units { service } => write!(f, "units of {} s", service.as_secs_f64()),
            Self::Sessions {
                service,
                pause,
                requests,
            } => write!(
                f,
                "sessions of {requests} requests of {} s with {} s between",
                service.as_secs_f64(),
                pause.as_secs_f64()
            ),
        }
    }
}
