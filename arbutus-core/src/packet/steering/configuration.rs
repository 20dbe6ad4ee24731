use std::net::SocketAddrV4;

use super::{MissedConfig, Steering};
use crate::{
    config::ConfigVersion,
    packet::{AgentReport, PacketConfig},
    time::Timestamp,
};

/// The configuration in force, and the one that the store has not delivered yet.
impl Steering {
    /// Puts a configuration in force, or returns `false` if it is not newer than the present one.
    pub fn on_config(&mut self, config: PacketConfig) -> bool {
        if config.version <= self.config_version() {
            return false;
        }
        self.config = Some(config);
        self.missed_config = None;
        true
    }

    /// Returns whether a missed configuration is due to be fetched from another balancer.
    #[must_use]
    pub fn is_config_fetch_due(&self, now: Timestamp) -> bool {
        self.missed_config.is_some_and(|it| it.fetch_at <= now)
    }

    /// Returns whether a configuration is in force.
    #[must_use]
    pub const fn has_config(&self) -> bool {
        self.config.is_some()
    }

    /// Returns the balancer to fetch a missed configuration from, if a fetch is due, and schedules
    /// the next fetch.
    pub fn take_config_source(&mut self, now: Timestamp) -> Option<SocketAddrV4> {
        let missed = self
            .missed_config
            .as_mut()
            .filter(|it| it.fetch_at <= now)?;
        missed.fetch_at = now + Self::CONFIG_FETCH_DELAY;
        Some(missed.source)
    }

    pub(super) fn record_missed_config(&mut self, report: &AgentReport, now: Timestamp) {
        let Some(source) = report.config_source else {
            return;
        };
        let known = self
            .missed_config
            .map_or(self.config_version(), |it| it.version);
        if report.config > known {
            let fetch_at = now + Self::CONFIG_FETCH_DELAY;
            self.missed_config = Some(MissedConfig {
                version: report.config,
                source,
                fetch_at: self.missed_config.map_or(fetch_at, |it| it.fetch_at),
            });
        }
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::NONE, |it| it.version)
    }
}
