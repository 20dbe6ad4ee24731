//! Pages of a configuration, given and taken.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    ConfigPage, ConfigPull, ConfigReplica, PageOutcome, VersionedService, staging::Staging,
};
use crate::{
    config::{ConfigVersion, Service},
    ident::ServiceTag,
};

impl ConfigReplica {
    /// Bytes of services in one page.
    const PAGE_BYTES: usize = 16 * 1_024;

    /// The first or a further page of what has changed after `pull.since`.
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

    /// Asks for what is lacking here, going on with pages that have come already.
    #[must_use]
    pub fn pull(&self) -> ConfigPull {
        match &self.staging {
            Some(staging) if staging.complete => ConfigPull {
                since: staging.first_to,
                after: None,
                full: false,
            },
            Some(staging) => ConfigPull {
                since: staging.since,
                after: staging.after,
                full: staging.reset,
            },
            None => ConfigPull {
                since: self.version(),
                after: None,
                full: self.needs_whole,
            },
        }
    }

    /// Takes in a page from another node.
    pub fn on_page(&mut self, page: ConfigPage) -> PageOutcome {
        if page.version <= self.version() {
            return PageOutcome::Ignored;
        }
        let is_whole = page.after.is_none() && !page.has_more;
        match self.staging.take() {
            Some(staging) if staging.complete && is_whole => self.finish(staging, page),
            Some(staging) if staging.continues_with(&page) => self.extend(staging, page),
            staging if page.since <= self.version() && page.after.is_none() => {
                if is_whole {
                    return self.apply(page);
                }
                let is_further = staging.is_some();
                self.staging = staging.or_else(|| Some(Staging::new(page)));
                if is_further {
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

    /// Forgets pages of which no more came.
    pub fn abandon_staging(&mut self) {
        self.staging = None;
    }

    fn extend(&mut self, mut staging: Staging, page: ConfigPage) -> PageOutcome {
        staging.add(page.services, page.has_more);
        self.staging = Some(staging);
        PageOutcome::Pull(self.pull())
    }

    fn finish(&mut self, staging: Staging, page: ConfigPage) -> PageOutcome {
        let lacks_some = page.since > staging.first_to || page.version < staging.first_to;
        if lacks_some || (page.full && !staging.reset) {
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
        self.apply(ConfigPage {
            since: staging.since,
            after: None,
            version: page.version,
            digest: page.digest,
            full: staging.reset,
            services: services.into_values().collect(),
            removed,
            has_more: false,
        })
    }

    /// Puts the page's configuration in force, if its digest is the sender's.
    ///
    /// It may not be, where one of the two has skipped versions in which a service changed and
    /// changed back.
    fn apply(&mut self, page: ConfigPage) -> PageOutcome {
        let mut removed = page.removed;
        if page.full {
            let named: BTreeSet<ServiceTag> =
                page.services.iter().map(|it| it.service.tag()).collect();
            let unnamed = self.versions.keys().filter(|tag| !named.contains(tag));
            removed.extend(unnamed.copied());
        }
        let digest = self.digest_after(&page.services, &removed);
        if digest != page.digest {
            return self.ask_whole();
        }
        if page.full {
            self.removals_after = page.version;
        }
        self.change(page.version, page.services, &removed);
        PageOutcome::Adopted
    }

    /// Asks for all services, once; who puts this off asks again by [`pull`](Self::pull).
    fn ask_whole(&mut self) -> PageOutcome {
        if std::mem::replace(&mut self.needs_whole, true) {
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
