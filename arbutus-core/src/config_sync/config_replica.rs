use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use indexmap::IndexMap;

use super::{VersionedService, config_digest, staging::Staging};
use crate::{
    config::{ConfigVersion, Snapshot},
    ident::ServiceTag,
};

/// The configuration in force at a node, with the version that last changed each service.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    /// Its version never falls.
    pub(super) snapshot: Arc<Snapshot>,
    /// Has the tags of `snapshot`; none is above its version.
    pub(super) versions: BTreeMap<ServiceTag, ConfigVersion>,
    /// When services were removed, as far back as `removals_after`.
    pub(super) removals: IndexMap<ServiceTag, ConfigVersion>,
    pub(super) removals_after: ConfigVersion,
    /// The exclusive or over the services of `snapshot`.
    pub(super) digest: u64,
    /// Whether changes did not add up to the sender's configuration, so that all of it is asked
    /// for.
    pub(super) needs_whole: bool,
    pub(super) staging: Option<Staging>,
    invariant_violations: u64,
}

impl ConfigReplica {
    /// Removals remembered.
    const REMOVALS: usize = 1_024;

    /// Makes a book without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force.
    #[must_use]
    pub const fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.snapshot.version
    }

    /// Attempts to put a lower version in force, or another content under the same version.
    #[must_use]
    pub const fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    /// The service, if it changed after `since`.
    #[must_use]
    pub fn service_after(&self, tag: ServiceTag, since: ConfigVersion) -> Option<VersionedService> {
        let version = *self.versions.get(&tag)?;
        let service = self.snapshot.services.get(&tag)?;
        (version > since).then(|| VersionedService {
            version,
            service: service.clone(),
        })
    }

    /// Takes in a whole configuration read from the store; tells whether it is now in force.
    ///
    /// An older one, as a lagging store may answer, is left aside.
    pub fn adopt_snapshot(&mut self, read: &Snapshot) -> bool {
        if read.version < self.version() {
            return false;
        }
        if read.version == self.version() {
            self.check_same(read);
            return false;
        }
        let changed: Vec<VersionedService> = read
            .services
            .iter()
            .filter(|(tag, service)| self.snapshot.services.get(*tag) != Some(*service))
            .map(|(_, service)| VersionedService {
                version: read.version,
                service: service.clone(),
            })
            .collect();
        let removed: Vec<ServiceTag> = self
            .snapshot
            .services
            .keys()
            .filter(|tag| !read.services.contains_key(*tag))
            .copied()
            .collect();
        self.change(read.version, changed, &removed);
        true
    }

    /// The digest of the configuration after a change.
    pub(super) fn digest_after(&self, changed: &[VersionedService], removed: &[ServiceTag]) -> u64 {
        let mut digest = self.digest;
        let changed_tags = changed.iter().map(|it| it.service.tag());
        let touched: BTreeSet<ServiceTag> = removed.iter().copied().chain(changed_tags).collect();
        for tag in touched {
            if let Some(service) = self.snapshot.services.get(&tag) {
                digest ^= config_digest::of_service(service);
            }
        }
        for it in changed {
            digest ^= config_digest::of_service(&it.service);
        }
        digest
    }

    /// Puts the next version in force.
    pub(super) fn change(
        &mut self,
        to: ConfigVersion,
        changed: Vec<VersionedService>,
        removed: &[ServiceTag],
    ) {
        if to <= self.version() {
            self.invariant_violations += 1;
            return;
        }
        self.staging = None;
        self.needs_whole = false;
        self.digest = self.digest_after(&changed, removed);
        let mut services = self.snapshot.services.clone();
        for tag in removed {
            services.swap_remove(tag);
            self.versions.remove(tag);
            self.removals.shift_remove(tag);
            self.removals.insert(*tag, to);
        }
        for it in changed {
            let tag = it.service.tag();
            self.versions.insert(tag, it.version.min(to));
            self.removals.shift_remove(&tag);
            services.insert(tag, it.service);
        }
        while self.removals.len() > Self::REMOVALS {
            if let Some((_, version)) = self.removals.shift_remove_index(0) {
                self.removals_after = self.removals_after.max(version);
            }
        }
        self.snapshot = Arc::new(Snapshot {
            version: to,
            services,
        });
    }

    fn check_same(&mut self, read: &Snapshot) {
        if read.services != self.snapshot.services {
            self.invariant_violations += 1;
        }
    }
}
