//! Exchange of configuration pages with other nodes.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    ConfigPage, ConfigPull, ConfigReplica, PageOutcome, VersionedService, staging::Staging,
};
use crate::{
    config::{ConfigVersion, Service},
    ident::ServiceTag,
};

impl ConfigReplica {
    /// Maximum encoded size of the services on one page, in bytes; a larger single service still
    /// gets a page of its own.
    const PAGE_BYTES: usize = 16 * 1_024;

    /// Returns the page of the changes after `pull.since` that `pull` requests.
    #[must_use]
    pub fn page(&self, pull: ConfigPull) -> ConfigPage {
        let full = pull.full || pull.since < self.removals_after;
        let since = if full {
            ConfigVersion::NONE
        } else {
            pull.since
        };
        let mut services = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (tag, version) in self.versions_after(pull.after) {
            if version <= since {
                continue;
            }
            let Some(service) = self.snapshot.services.get(&tag) else {
                continue;
            };
            let size = encoded_bytes(service);
            if bytes + size > Self::PAGE_BYTES && !services.is_empty() {
                has_more = true;
                break;
            }
            bytes += size;
            let service = service.clone();
            services.push(VersionedService { version, service });
        }
        ConfigPage {
            since: pull.since,
            after: pull.after,
            version: self.version(),
            digest: self.digest,
            full,
            services,
            removed: self.removed_after(pull),
            has_more,
        }
    }

    /// Returns the request for missing changes, which continues after the pages received so far.
    #[must_use]
    pub fn pull(&self) -> ConfigPull {
        match &self.staging {
            Some(staging) if staging.complete => ConfigPull {
                since: staging.first_version,
                after: None,
                full: false,
            },
            Some(staging) => ConfigPull {
                since: staging.since,
                after: staging.after,
                full: staging.full,
            },
            None => ConfigPull {
                since: self.version(),
                after: None,
                full: self.needs_full_pull,
            },
        }
    }

    /// Handles a page from another node.
    pub fn on_page(&mut self, page: ConfigPage) -> PageOutcome {
        if page.version <= self.version() {
            return PageOutcome::Ignored;
        }
        let is_single_page = page.after.is_none() && !page.has_more;
        match self.staging.take() {
            Some(staging) if staging.complete && is_single_page => {
                self.finish_staging(staging, page)
            }
            Some(staging) if staging.continues_with(&page) => self.extend_staging(staging, page),
            staging if page.since <= self.version() && page.after.is_none() => {
                if is_single_page {
                    return self.apply_page(page);
                }
                let had_staging = staging.is_some();
                self.staging = staging.or_else(|| Some(Staging::new(page)));
                if had_staging {
                    return PageOutcome::Ignored;
                }
                PageOutcome::Pull(self.pull())
            }
            staging => {
                self.staging = staging;
                PageOutcome::Ignored
            }
        }
    }

    /// Discards the pages of an incomplete configuration.
    pub fn abandon_staging(&mut self) {
        self.staging = None;
    }

    fn extend_staging(&mut self, mut staging: Staging, page: ConfigPage) -> PageOutcome {
        staging.add(page.services, page.has_more);
        self.staging = Some(staging);
        PageOutcome::Pull(self.pull())
    }

    fn finish_staging(&mut self, staging: Staging, page: ConfigPage) -> PageOutcome {
        let misses_changes =
            page.since > staging.first_version || page.version < staging.first_version;
        if misses_changes || (page.full && !staging.full) {
            self.staging = Some(staging);
            return PageOutcome::Ignored;
        }
        let mut services = staging.services;
        let mut removed = staging.removed;
        for tag in &page.removed {
            services.swap_remove(tag);
        }
        for it in page.services {
            removed.retain(|tag| *tag != it.service.tag());
            services.insert(it.service.tag(), it);
        }
        removed.extend(page.removed);
        self.apply_page(ConfigPage {
            since: staging.since,
            after: None,
            version: page.version,
            digest: page.digest,
            full: staging.full,
            services: services.into_values().collect(),
            removed,
            has_more: false,
        })
    }

    /// Puts the configuration of `page` in force if the resulting digest equals the sender's.
    ///
    /// The digests can differ if one of the two nodes has skipped versions in which a service
    /// changed and changed back; all services are requested then.
    fn apply_page(&mut self, page: ConfigPage) -> PageOutcome {
        let mut removed = page.removed;
        if page.full {
            let listed: BTreeSet<ServiceTag> =
                page.services.iter().map(|it| it.service.tag()).collect();
            let unlisted = self.versions.keys().filter(|tag| !listed.contains(tag));
            removed.extend(unlisted.copied());
        }
        let digest = self.digest_after(&page.services, &removed);
        if digest != page.digest {
            return self.request_full_pull();
        }
        if page.full {
            self.removals_after = page.version;
        }
        self.install(page.version, page.services, &removed);
        PageOutcome::Adopted
    }

    /// Requests all services, once; later requests for them come from [`pull`](Self::pull).
    fn request_full_pull(&mut self) -> PageOutcome {
        if std::mem::replace(&mut self.needs_full_pull, true) {
            return PageOutcome::Ignored;
        }
        PageOutcome::Pull(self.pull())
    }

    fn versions_after(
        &self,
        after: Option<ServiceTag>,
    ) -> impl Iterator<Item = (ServiceTag, ConfigVersion)> {
        let from = match after {
            Some(tag) => std::ops::Bound::Excluded(tag),
            None => std::ops::Bound::Unbounded,
        };
        self.versions
            .range((from, std::ops::Bound::Unbounded))
            .map(|(tag, version)| (*tag, *version))
    }

    fn removed_after(&self, pull: ConfigPull) -> Vec<ServiceTag> {
        if pull.after.is_some() {
            return Vec::new();
        }
        self.removals
            .iter()
            .filter(|(_, version)| **version > pull.since)
            .map(|(tag, _)| *tag)
            .collect()
    }
}

fn encoded_bytes(service: &Arc<Service>) -> usize {
    postcard::to_stdvec(&**service).map_or(ConfigReplica::PAGE_BYTES, |bytes| bytes.len())
}
