use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};

use super::{
    AgentRecord, AgentState, BalancerRecord, DigestTree, DomainNotice, MemberKey, Rank,
    RosterEntry, rendezvous,
};
use crate::{ident::ServiceTag, time::Timestamp};

/// All agents and balancers that a node knows of.
#[derive(Debug, Default)]
pub struct Roster {
    /// By tunnel address.
    pub(super) agents: IndexMap<SocketAddrV4, RosterEntry<AgentRecord>>,
    /// By control address.
    pub(super) balancers: IndexMap<SocketAddrV4, RosterEntry<BalancerRecord>>,
    /// Notices by failure domain.
    pub(super) domains: IndexMap<Arc<str>, RosterEntry<DomainNotice>>,
    /// Tunnel addresses of the agents of each service; exactly those in `agents`.
    pub(super) by_tag: IndexMap<ServiceTag, Vec<SocketAddrV4>>,
    /// The exclusive or over all entries with `in_digests`.
    pub(super) digests: DigestTree,
    /// Names of failure domains, each kept once.
    names: IndexSet<Arc<str>>,
}

impl Roster {
    /// How long a record of a member that is no longer live is kept, so that older copies of it
    /// do not come back.
    pub const TOMBSTONE_TTL: Duration = Duration::from_secs(3_600);
    /// Age from which such a record is left out of the digests.
    pub(super) const DIGEST_TTL: Duration = Duration::from_secs(1_800);

    /// Makes an empty roster.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The agent with this tunnel address.
    #[must_use]
    pub fn agent(&self, tunnel: SocketAddrV4) -> Option<&AgentRecord> {
        self.agents.get(&tunnel).map(|entry| &entry.record)
    }

    /// All agents, whatever their state.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values().map(|entry| &entry.record)
    }

    /// How many agents there are, whatever their state.
    #[must_use]
    pub fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// The agents of a service, whatever their state.
    pub fn agents_of(&self, tag: ServiceTag) -> impl Iterator<Item = &AgentRecord> {
        self.by_tag
            .get(&tag)
            .into_iter()
            .flatten()
            .filter_map(|tunnel| self.agent(*tunnel))
    }

    /// The agents of a service to which new flows may go.
    pub fn candidates(&self, tag: ServiceTag) -> impl Iterator<Item = &AgentRecord> {
        self.agents_of(tag)
            .filter(|agent| agent.state.takes_new_flows())
            .filter(|agent| !self.is_silent(&agent.failure_domain))
    }

    /// The balancer with this control address.
    #[must_use]
    pub fn balancer(&self, control: SocketAddrV4) -> Option<&BalancerRecord> {
        self.balancers.get(&control).map(|entry| &entry.record)
    }

    /// All balancers, whatever their state.
    pub fn balancers(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.balancers.values().map(|entry| &entry.record)
    }

    /// All balancers with when they were last held to be live.
    pub fn balancer_entries(&self) -> impl Iterator<Item = &RosterEntry<BalancerRecord>> {
        self.balancers.values()
    }

    /// The balancers held to be running, leaving out silent failure domains.
    pub fn live_balancers(&self) -> impl Iterator<Item = &BalancerRecord> {
        self.balancers()
            .filter(|it| it.state.is_live() && !self.is_silent(&it.failure_domain))
    }

    /// Whether the failure domain is said to be silent.
    #[must_use]
    pub fn is_silent(&self, failure_domain: &str) -> bool {
        self.domains
            .get(failure_domain)
            .is_some_and(|entry| entry.record.silent)
    }

    /// The last notice about the failure domain.
    #[must_use]
    pub fn notice(&self, failure_domain: &str) -> Option<&RosterEntry<DomainNotice>> {
        self.domains.get(failure_domain)
    }

    /// The failure domains with a notice.
    pub fn notices(&self) -> impl Iterator<Item = &RosterEntry<DomainNotice>> {
        self.domains.values()
    }

    /// The services that have agents in the failure domain.
    #[must_use]
    pub fn tags_in(&self, failure_domain: &str) -> IndexSet<ServiceTag> {
        self.agents()
            .filter(|agent| &*agent.failure_domain == failure_domain)
            .map(|agent| agent.tag)
            .collect()
    }

    /// One number for all records that have not nearly expired.
    #[must_use]
    pub fn root_digest(&self) -> u64 {
        self.digests.root()
    }

    /// The digests over all records that have not nearly expired.
    #[must_use]
    pub const fn digests(&self) -> &DigestTree {
        &self.digests
    }

    /// Drops records that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<MemberKey> = self
            .dead_entries()
            .filter(|(_, since)| now.since(*since) > Self::TOMBSTONE_TTL)
            .map(|(key, _)| key)
            .collect();
        let fading: Vec<MemberKey> = self
            .dead_entries()
            .filter(|(_, since)| now.since(*since) > Self::DIGEST_TTL)
            .map(|(key, _)| key)
            .collect();
        for key in fading {
            self.set_in_digests(&key, false);
        }
        for key in expired {
            self.remove(&key);
        }
    }

    /// The rank of a member.
    #[must_use]
    pub fn rank(&self, key: &MemberKey) -> Option<Rank> {
        match key {
            MemberKey::Agent(tunnel) => self.agent(*tunnel).map(AgentRecord::rank),
            MemberKey::Balancer(control) => self.balancer(*control).map(BalancerRecord::rank),
            MemberKey::Domain(_) => None,
        }
    }

    /// Members that are not live, and those of a failure domain that is silent for long.
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

    fn dead_since(
        &self,
        state: AgentState,
        since: Timestamp,
        failure_domain: &str,
    ) -> Option<Timestamp> {
        if !state.is_live() {
            return Some(since);
        }
        self.domains
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
                self.domains.swap_remove(name);
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
        let (index, _) = self.names.insert_full(name.clone());
        self.names[index].clone()
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
