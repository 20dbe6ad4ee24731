use std::time::Duration;

/// What the flows of a mean_service_time carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Each flow is one request of exponential length.
    Units {
        /// Mean length.
        mean_service_time: Duration,
    },
    /// Each flow is a session of requests with pauses between them, all of exponential length.
    Sessions {
        /// Mean length of a request.
        mean_service_time: Duration,
        /// Mean pause between an answer and the next request.
        mean_pause: Duration,
        /// Mean number of requests; their number is geometric.
        mean_requests: u32,
    },
}

impl Workload {
    /// Units of one second.
    pub const UNITS: Self = Self::Units {
        mean_service_time: Duration::from_secs(1),
    };
    /// Sessions of some 20 s.
    pub const SESSIONS: Self = Self::Sessions {
        mean_service_time: Duration::from_millis(200),
        mean_pause: Duration::from_millis(800),
        mean_requests: 20,
    };

    /// Mean length of a request.
    #[must_use]
    pub const fn mean_service_time(&self) -> Duration {
        match self {
            Self::Units { mean_service_time }
            | Self::Sessions {
                mean_service_time, ..
            } => *mean_service_time,
        }
    }

    /// Mean number of requests of a flow.
    #[must_use]
    pub const fn mean_requests(&self) -> u32 {
        match self {
            Self::Units { .. } => 1,
            Self::Sessions { mean_requests, .. } => *mean_requests,
        }
    }
}

impl std::fmt::Display for Workload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Units { mean_service_time } => {
                write!(f, "units of {} s", mean_service_time.as_secs_f64())
            }
            Self::Sessions {
                mean_service_time,
                mean_pause,
                mean_requests,
            } => write!(
                f,
                "sessions of {mean_requests} requests of {} s with {} s between",
                mean_service_time.as_secs_f64(),
                mean_pause.as_secs_f64()
            ),
        }
    }
}
