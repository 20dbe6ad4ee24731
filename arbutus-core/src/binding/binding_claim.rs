use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    ident::{Incarnation, ServiceTag},
    time::Timestamp,
};

/// The contents of a binding: which agent may run the requests that carry it, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BindingClaim {
    /// The agent's tunnel address.
    pub tunnel: SocketAddrV4,
    /// The address at which the agent receives requests that peers hand over.
    pub control: SocketAddrV4,
    /// The service.
    pub tag: ServiceTag,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Random number drawn at the start of the issuing process.
    pub instance: u64,
    /// Serial number; increases with each binding that one process issues.
    pub serial: u64,
    /// Expiry, in microseconds of the issuing process's monotonic clock.
    expires_micros: u64,
}

impl BindingClaim {
    /// Creates a claim with instance, serial number and expiry set to zero.
    #[must_use]
    pub const fn new(
        tunnel: SocketAddrV4,
        control: SocketAddrV4,
        tag: ServiceTag,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            tunnel,
            control,
            tag,
            incarnation,
            instance: 0,
            serial: 0,
            expires_micros: 0,
        }
    }

    /// Sets the random number of the issuing process.
    #[must_use]
    pub const fn instance(mut self, instance: u64) -> Self {
        self.instance = instance;
        self
    }

    /// Sets the serial number.
    #[must_use]
    pub const fn serial(mut self, serial: u64) -> Self {
        self.serial = serial;
        self
    }

    /// Sets the expiry on the issuing process's monotonic clock.
    #[must_use]
    pub const fn expires(mut self, expires: Timestamp) -> Self {
        self.expires_micros = expires.as_micros();
        self
    }

    /// Returns the first time, on the issuing process's monotonic clock, at which the binding is no
    /// longer accepted.
    #[must_use]
    pub const fn expires_at(&self) -> Timestamp {
        Timestamp::from_micros(self.expires_micros)
    }
}
