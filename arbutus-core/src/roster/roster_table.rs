use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};

use super::{
    AgentRecord, AgentState, BalancerRecord, DigestTree, DomainNotice, MemberKey, Rank,
    RosterEntry, rendezvous,
};
use crate::{ident::ServiceTag, time::Timestamp};

/// The records of all agents, balancers and failure domains known to a node.
#[derive(Debug, Default)]
pub struct Roster {
    /// By tunnel address.
    pub(super) agents: IndexMap<SocketAddrV4, RosterEntry<AgentRecord>>,
    /// By control address.
    pub(super) balancers: IndexMap<SocketAddrV4, RosterEntry<BalancerRecord>>,
    /// Notices by failure domain.
    pub(super) notices: IndexMap<Arc<str>, RosterEntry<DomainNotice>>,
    /// Tunnel addresses of the agents of each service; always consistent with `agents`.
    pub(super) by_tag: IndexMap<ServiceTag, Vec<SocketAddrV4>>,
    /// Digests of all entries with `in_digests`.
    pub(super) digests: DigestTree,
    /// Interned names of failure domains.
    domain_names: IndexSet<Arc<str>>,
}

impl Roster {
    /// Time for which the record of a member that is no longer live is kept as a tombstone, so that
    /// older copies of the record are not accepted again.
    pub const TOMBSTONE_TTL: Duration = Duration::from_secs(3_600);
    /// Age at which such a record is excluded from the digests.
    pub(super) const DIGEST_TTL: Duration = Duration::from_secs(1_800);

    /// Creates an empty roster.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the agent with this tunnel address.
    #[must_use]
    pub fn agent(&self, tunnel: SocketAddrV4) -> Option<&AgentRecord> {
        self.agents.get(&tunnel).map(|entry| &entry.record)
    }

    /// Returns all agents in any state.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values().map(|entry| &entry.record)
    }

    /// Returns the number of agents in any state.
    #[must_use]
    pub fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Returns the agents of a service in any state.
    pub fn agents_of(&self, tag: ServiceTag) -> impl Iterator<Item = &AgentRecord> {
        self.by_tag
            .get(&tag)
            .into_iter()
            .flatten()
            .filter_map(|tunnel| self.agent(*tunnel))
    }

    /// Returns the agents of a service that may receive new flows.
    pub fn candidates(&self, tag: ServiceTag) -> impl Iterator<Item = &AgentRecord> {
        self.agents_of(tag)
            .filter(|agent| agent.state.takes_new_flows())
            .filter(|agent| !self.is_silent(&agent.failure_domain))
    }

    /// Returns the balancer with this control address.
    #[must_use]
    pub fn balancer(&self, control: SocketAddrV4) -> Option<&BalancerRecord> {
        self.balancers.get(&control).map(|entry| &entry.record)
    }

    /// Returns all balancers in any state.
    pub fn balancers(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.balancers.values().map(|entry| &entry.record)
    }

    /// Returns the entries of all balancers, which include when each record last changed.
    pub fn balancer_entries(&self) -> impl Iterator<Item = &RosterEntry<BalancerRecord>> {
        self.balancers.values()
    }

    /// Returns the balancers considered to be running, without those in silent failure domains.
    pub fn live_balancers(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.balancers()
            .filter(|it| it.state.is_live() && !self.is_silent(&it.failure_domain))
    }

    /// Returns whether a notice reports the failure domain as silent.
    #[must_use]
    pub fn is_silent(&self, failure_domain: &str) -> bool {
        self.notices
            .get(failure_domain)
            .is_some_and(|entry| entry.record.silent)
    }

    /// Returns the latest notice about the failure domain.
    #[must_use]
    pub fn notice(&self, failure_domain: &str) -> Option<&RosterEntry<DomainNotice>> {
        self.notices.get(failure_domain)
    }

    /// Returns the notices about all failure domains.
    pub fn notices(&self) -> impl Iterator<Item = &RosterEntry<DomainNotice>> {
        self.notices.values()
    }

    /// Returns the services that have agents in the failure domain.
    #[must_use]
    pub fn tags_in(&self, failure_domain: &str) -> IndexSet<ServiceTag> {
        self.agents()
            .filter(|agent| &*agent.failure_domain == failure_domain)
            .map(|agent| agent.tag)
            .collect()
    }

    /// Returns a single digest of all records that are included in the digests.
    #[must_use]
    pub fn root_digest(&self) -> u64 {
        self.digests.root()
    }

    /// Returns the digests of all records that do not expire soon.
    #[must_use]
    pub const fn digests(&self) -> &DigestTree {
        &self.digests
    }

    /// Removes expired records, and excludes those that expire soon from the digests.
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<MemberKey> = self
            .dead_entries()
            .filter(|(_, since)| now.since(*since) > Self::TOMBSTONE_TTL)
            .map(|(key, _)| key)
            .collect();
        let expiring: Vec<MemberKey> = self
            .dead_entries()
            .filter(|(_, since)| now.since(*since) > Self::DIGEST_TTL)
            .map(|(key, _)| key)
            .collect();
        for key in expiring {
            self.set_in_digests(&key, false);
        }
        for key in expired {
            self.remove(&key);
        }
    }

    /// Returns the rank of a member.
    #[must_use]
    pub fn rank(&self, key: &MemberKey) -> Option<Rank> {
        match key {
            MemberKey::Agent(tunnel) => self.agent(*tunnel).map(AgentRecord::rank),
            MemberKey::Balancer(control) => self.balancer(*control).map(BalancerRecord::rank),
            MemberKey::Domain(_) => None,
        }
    }

    /// Returns the members that are not live or whose failure domain is silent, each with the time
    /// since when this is so.
    fn dead_entries(&self) -> impl Iterator<Item = (MemberKey, Timestamp)> {
        let agents = self.agents.iter().filter_map(|(tunnel, entry)| {
            let record = &entry.record;
            let since = self.dead_since(record.state, entry.changed_at, &record.failure_domain)?;
            Some((MemberKey::Agent(*tunnel), since))
        });
        let balancers = self.balancers.iter().filter_map(|(control, entry)| {
            let record = &entry.record;
            let since = self.dead_since(record.state, entry.changed_at, &record.failure_domain)?;
            Some((MemberKey::Balancer(*control), since))
        });
        agents.chain(balancers)
    }

    /// Returns since when a member has not been considered live, or `None` if the member is live.
    fn dead_since(
        &self,
        state: AgentState,
        since: Timestamp,
        failure_domain: &str,
    ) -> Option<Timestamp> {
        if !state.is_live() {
            return Some(since);
        }
        self.notices
            .get(failure_domain)
            .filter(|entry| entry.record.silent)
            .map(|entry| entry.changed_at)
    }

    pub(super) fn remove(&mut self, key: &MemberKey) {
        self.set_in_digests(key, false);
        match key {
            MemberKey::Agent(tunnel) => {
                if let Some(entry) = self.agents.swap_remove(tunnel) {
                    self.remove_tag(entry.record.tag, *tunnel);
                }
            }
            MemberKey::Balancer(control) => {
                self.balancers.swap_remove(control);
            }
            MemberKey::Domain(name) => {
                self.notices.swap_remove(name);
            }
        }
    }

    fn remove_tag(&mut self, tag: ServiceTag, tunnel: SocketAddrV4) {
        let Some(tunnels) = self.by_tag.get_mut(&tag) else {
            return;
        };
        tunnels.retain(|it| *it != tunnel);
        if tunnels.is_empty() {
            self.by_tag.swap_remove(&tag);
        }
    }

    pub(super) fn intern(&mut self, name: &Arc<str>) -> Arc<str> {
        let (index, _) = self.domain_names.insert_full(name.clone());
        self.domain_names[index].clone()
    }
}

pub(super) const fn record_digest(key_digest: u64, rank: Rank) -> u64 {
    let rank_number = (rank.version as u64) << 2 | rank.state as u64;
    rendezvous::mix(rendezvous::score(key_digest, rank.incarnation.get()) ^ rank_number)
}

pub(super) const fn notice_digest(key_digest: u64, notice: &DomainNotice) -> u64 {
    rendezvous::score(
        key_digest,
        (notice.version as u64) << 1 | notice.silent as u64,
    )
}
