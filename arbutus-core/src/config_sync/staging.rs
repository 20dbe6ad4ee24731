use indexmap::IndexMap;

use super::{ConfigPage, VersionedService};
use crate::{config::ConfigVersion, ident::ServiceTag};

/// Pages of a configuration that is not yet whole, and so not in force.
#[derive(Debug)]
pub(super) struct Staging {
    /// The version that the pages start from; equals the one in force.
    pub since: ConfigVersion,
    /// The version of the sender at the first page; later pages may be newer.
    pub first_to: ConfigVersion,
    /// Whether services not named are to be dropped.
    pub reset: bool,
    pub services: IndexMap<ServiceTag, VersionedService>,
    pub removed: Vec<ServiceTag>,
    /// The last tag taken in.
    pub after: Option<ServiceTag>,
    /// Whether all pages are there, so that only changes after `first_to` are lacking.
    pub complete: bool,
}

impl Staging {
    pub fn new(page: ConfigPage) -> Self {
        let mut staging = Self {
            since: page.since,
            first_to: page.version,
            reset: page.full,
            services: IndexMap::new(),
            removed: page.removed,
            after: None,
            complete: false,
        };
        staging.add(page.services, page.has_more);
        staging
    }

    pub fn add(&mut self, services: Vec<VersionedService>, more: bool) {
        self.after = services.last().map(|it| it.service.tag()).or(self.after);
        let services = services.into_iter().map(|it| (it.service.tag(), it));
        self.services.extend(services);
        self.complete = !more;
    }

    /// Whether the page is the next one after those taken in.
    pub fn continues_with(&self, page: &ConfigPage) -> bool {
        !self.complete
            && page.after.is_some()
            && page.since == self.since
            && page.after == self.after
            && page.full == self.reset
            && page.version >= self.first_to
    }
}
