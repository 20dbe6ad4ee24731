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
    /// The configuration in force; its version never falls.
    pub(super) snapshot: Arc<Snapshot>,
    /// Version that last changed each service of `snapshot`; none is above its version.
    pub(super) versions: BTreeMap<ServiceTag, ConfigVersion>,
    /// Versions in which services were removed, oldest first; complete for all versions after
    /// `removals_after`.
    pub(super) removals: IndexMap<ServiceTag, ConfigVersion>,
    /// Version up to which removals may be missing from `removals`.
    pub(super) removals_after: ConfigVersion,
    /// XOR of the digests of all services of `snapshot`.
    pub(super) digest: u64,
    /// Whether the next pull requests all services, because applying the received changes did not
    /// yield the sender's configuration.
    pub(super) needs_full_pull: bool,
    /// Pages of a newer configuration that is not complete yet.
    pub(super) staging: Option<Staging>,
    invariant_violations: u64,
}

impl ConfigReplica {
    /// Maximum number of recorded removals.
    const MAX_REMOVALS: usize = 1_024;

    /// Creates a replica without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.snapshot.version
    }

    /// Returns the number of attempts to install a version that is not above the one in force, or
    /// different contents under the same version.
    #[must_use]
    pub const fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    /// Returns the service with `tag` if it changed after `since`.
    #[must_use]
    pub fn service_after(&self, tag: ServiceTag, since: ConfigVersion) -> Option<VersionedService> {
        let version = *self.versions.get(&tag)?;
        let service = self.snapshot.services.get(&tag)?;
        (version > since).then(|| VersionedService {
            version,
            service: service.clone(),
        })
    }

    /// Installs a complete configuration read from the store; returns whether it is now in force.
    ///
    /// An older configuration, which a lagging store may return, is ignored.
    pub fn adopt_snapshot(&mut self, read: &Snapshot) -> bool {
        if read.version < self.version() {
            return false;
        }
        if read.version == self.version() {
            self.check_same_contents(read);
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
        self.install(read.version, changed, &removed);
        true
    }

    /// Returns the digest of the configuration after a change.
    pub(super) fn digest_after(&self, changed: &[VersionedService], removed: &[ServiceTag]) -> u64 {
        let mut digest = self.digest;
        let changed_tags = changed.iter().map(|it| it.service.tag());
        let affected: BTreeSet<ServiceTag> = removed.iter().copied().chain(changed_tags).collect();
        for tag in affected {
            if let Some(service) = self.snapshot.services.get(&tag) {
                digest ^= config_digest::of_service(service);
            }
        }
        for it in changed {
            digest ^= config_digest::of_service(&it.service);
        }
        digest
    }

    /// Puts version `to` in force.
    pub(super) fn install(
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
        self.needs_full_pull = false;
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
        while self.removals.len() > Self::MAX_REMOVALS {
            if let Some((_, version)) = self.removals.shift_remove_index(0) {
                self.removals_after = self.removals_after.max(version);
            }
        }
        self.snapshot = Arc::new(Snapshot {
            version: to,
            services,
        });
    }

    fn check_same_contents(&mut self, read: &Snapshot) {
        if read.services != self.snapshot.services {
            self.invariant_violations += 1;
        }
    }
}
