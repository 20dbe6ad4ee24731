use indexmap::IndexMap;

use super::{ConfigPage, VersionedService};
use crate::{config::ConfigVersion, ident::ServiceTag};

/// Pages of a configuration that is not complete and therefore not in force.
#[derive(Debug)]
pub(super) struct Staging {
    /// Version that the pages start from; not above the version in force.
    pub since: ConfigVersion,
    /// Version of the sender on the first page; later pages may be newer.
    pub first_version: ConfigVersion,
    /// Whether the pages list all services, so that a service on none of them is removed.
    pub full: bool,
    pub services: IndexMap<ServiceTag, VersionedService>,
    pub removed: Vec<ServiceTag>,
    /// Last tag received.
    pub after: Option<ServiceTag>,
    /// Whether all pages have been received, so that only changes after `first_version` are
    /// missing.
    pub complete: bool,
}

impl Staging {
    pub fn new(page: ConfigPage) -> Self {
        let mut staging = Self {
            since: page.since,
            first_version: page.version,
            full: page.full,
            services: IndexMap::new(),
            removed: page.removed,
            after: None,
            complete: false,
        };
        staging.add(page.services, page.has_more);
        staging
    }

    pub fn add(&mut self, services: Vec<VersionedService>, has_more: bool) {
        self.after = services.last().map(|it| it.service.tag()).or(self.after);
        let services = services.into_iter().map(|it| (it.service.tag(), it));
        self.services.extend(services);
        self.complete = !has_more;
    }

    /// Returns whether `page` is the next one after the pages received so far.
    pub fn continues_with(&self, page: &ConfigPage) -> bool {
        !self.complete
            && page.after.is_some()
            && page.since == self.since
            && page.after == self.after
            && page.full == self.full
            && page.version >= self.first_version
    }
}
