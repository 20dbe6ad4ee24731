use std::time::Duration;

/// Requests that the flows of a service carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Each flow is one request with an exponential service time.
    Units {
        /// Mean service time.
        mean_service_time: Duration,
    },
    /// Each flow is a session of requests with pauses between them. Service times and pauses are
    /// exponential.
    Sessions {
        /// Mean service time of a request.
        mean_service_time: Duration,
        /// Mean pause between an answer and the next request.
        mean_pause: Duration,
        /// Mean of the geometrically distributed number of requests.
        mean_requests: u32,
    },
}

impl Workload {
    /// Single requests with a mean service time of one second.
    pub const UNITS: Self = Self::Units {
        mean_service_time: Duration::from_secs(1),
    };
    /// Sessions with a mean duration of about 20 s.
    pub const SESSIONS: Self = Self::Sessions {
        mean_service_time: Duration::from_millis(200),
        mean_pause: Duration::from_millis(800),
        mean_requests: 20,
    };

    /// Returns the mean service time of a request.
    #[must_use]
    pub const fn mean_service_time(&self) -> Duration {
        match self {
            Self::Units { mean_service_time }
            | Self::Sessions {
                mean_service_time, ..
            } => *mean_service_time,
        }
    }

    /// Returns the mean number of requests of a flow.
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
