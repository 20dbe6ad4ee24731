use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};

use super::{
    AgentRecord, AgentState, BalancerRecord, DigestTree, DomainNotice, LeafId, MemberKey, Merge,
    Rank, RosterEntry, Update, rendezvous,
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
    by_tag: IndexMap<ServiceTag, Vec<SocketAddrV4>>,
    /// The exclusive or over all entries with `in_digests`.
    pub(super) digests: DigestTree,
    /// Names of failure domains, each kept once.
    names: IndexSet<Arc<str>>,
}

impl Roster {
    /// How long a record of a member that is no longer live is kept, so that older copies of it
    /// do not come back.
    pub const TOMBSTONE_LIFE: Duration = Duration::from_secs(3_600);
    /// Age from which such a record is left out of the digests.
    const DIGEST_LIFE: Duration = Duration::from_secs(1_800);

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
    pub fn root(&self) -> u64 {
        self.digests.root()
    }

    /// The digests over all records that have not nearly expired.
    #[must_use]
    pub const fn digests(&self) -> &DigestTree {
        &self.digests
    }

    /// Merges a record that another node sent.
    pub fn merge(&mut self, update: Update, now: Timestamp) -> Merge {
        match update {
            Update::Agent { record, age_s } => self.merge_agent(record, age_s, now),
            Update::AgentRank {
                tunnel,
                rank,
                age_s,
            } => self.merge_rank(&MemberKey::Agent(tunnel), rank, age_s, now),
            Update::BalancerRank {
                control,
                rank,
                age_s,
            } => self.merge_rank(&MemberKey::Balancer(control), rank, age_s, now),
            Update::Balancer { record, age_s } => self.merge_balancer(record, age_s, now),
            Update::Domain(notice) => self.merge_notice(notice, now),
        }
    }

    /// Drops records that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<MemberKey> = self
            .dead_entries()
            .filter(|(_, since)| now.since(*since) > Self::TOMBSTONE_LIFE)
            .map(|(key, _)| key)
            .collect();
        let fading: Vec<MemberKey> = self
            .dead_entries()
            .filter(|(_, since)| now.since(*since) > Self::DIGEST_LIFE)
            .map(|(key, _)| key)
            .collect();
        for key in fading {
            self.set_in_digests(&key, false);
        }
        for key in expired {
            self.remove(&key);
        }
    }

    fn merge_agent(&mut self, mut record: AgentRecord, age_s: u16, now: Timestamp) -> Merge {
        let since = since(now, age_s);
        let fresh = is_fresh(record.state, since, now);
        let key = MemberKey::Agent(record.tunnel);
        match self.agents.get(&record.tunnel) {
            None if !fresh => return Merge::Ignored,
            Some(held) if is_conflict(&record, &held.record) => return Merge::Conflict,
            _ => {}
        }
        if let Some(merge) = self.compare(&key, record.rank()) {
            return merge;
        }
        record.failure_domain = self.intern(&record.failure_domain);
        self.remove(&key);
        self.by_tag
            .entry(record.tag)
            .or_default()
            .push(record.tunnel);
        let entry = RosterEntry {
            record,
            since,
            in_digests: false,
        };
        self.agents.insert(entry.record.tunnel, entry);
        self.set_in_digests(&key, fresh);
        Merge::Changed
    }

    fn merge_rank(&mut self, key: &MemberKey, rank: Rank, age_s: u16, now: Timestamp) -> Merge {
        let Some(held) = self.rank(key) else {
            return Merge::Ignored;
        };
        if held.incarnation < rank.incarnation {
            return Merge::Ignored;
        }
        if let Some(merge) = self.compare(key, rank) {
            return merge;
        }
        let since = since(now, age_s);
        self.set_in_digests(key, false);
        self.set_rank(key, rank, since);
        self.set_in_digests(key, is_fresh(rank.state, since, now));
        Merge::Changed
    }

    fn set_rank(&mut self, key: &MemberKey, rank: Rank, since: Timestamp) {
        match key {
            MemberKey::Agent(tunnel) => {
                if let Some(entry) = self.agents.get_mut(tunnel) {
                    entry.record.version = rank.version;
                    entry.record.state = rank.state;
                    entry.since = since;
                }
            }
            MemberKey::Balancer(control) => {
                if let Some(entry) = self.balancers.get_mut(control) {
                    entry.record.version = rank.version;
                    entry.record.state = rank.state;
                    entry.since = since;
                }
            }
            MemberKey::Domain(_) => {}
        }
    }

    fn merge_balancer(&mut self, mut record: BalancerRecord, age_s: u16, now: Timestamp) -> Merge {
        let since = since(now, age_s);
        let fresh = is_fresh(record.state, since, now);
        let key = MemberKey::Balancer(record.control);
        if !fresh && !self.balancers.contains_key(&record.control) {
            return Merge::Ignored;
        }
        if let Some(merge) = self.compare(&key, record.rank()) {
            return merge;
        }
        record.failure_domain = self.intern(&record.failure_domain);
        self.remove(&key);
        let entry = RosterEntry {
            record,
            since,
            in_digests: false,
        };
        self.balancers.insert(entry.record.control, entry);
        self.set_in_digests(&key, fresh);
        Merge::Changed
    }

    fn merge_notice(&mut self, mut notice: DomainNotice, now: Timestamp) -> Merge {
        if let Some(held) = self.domains.get(&notice.failure_domain) {
            if held.record == notice {
                return Merge::Known;
            }
            if held.record.supersedes(&notice) {
                return Merge::Stale;
            }
        }
        notice.failure_domain = self.intern(&notice.failure_domain);
        let key = MemberKey::Domain(notice.failure_domain.clone());
        self.remove(&key);
        let entry = RosterEntry {
            record: notice,
            since: now,
            in_digests: false,
        };
        self.domains
            .insert(entry.record.failure_domain.clone(), entry);
        self.set_in_digests(&key, true);
        Merge::Changed
    }

    /// What becomes of a record of this rank, unless it is news.
    fn compare(&self, key: &MemberKey, rank: Rank) -> Option<Merge> {
        let held = self.rank(key)?;
        match rank.cmp(&held) {
            std::cmp::Ordering::Less => Some(Merge::Stale),
            std::cmp::Ordering::Equal => Some(Merge::Known),
            std::cmp::Ordering::Greater => None,
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
            let since = self.dead_since(record.state, entry.since, &record.failure_domain)?;
            Some((MemberKey::Agent(*tunnel), since))
        });
        let balancers = self.balancers.iter().filter_map(|(control, entry)| {
            let record = &entry.record;
            let since = self.dead_since(record.state, entry.since, &record.failure_domain)?;
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
            .map(|entry| entry.since)
    }

    fn remove(&mut self, key: &MemberKey) {
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

    fn intern(&mut self, name: &Arc<str>) -> Arc<str> {
        let (index, _) = self.names.insert_full(name.clone());
        self.names[index].clone()
    }

    /// Puts the record into the digests or takes it out.
    fn set_in_digests(&mut self, key: &MemberKey, wanted: bool) {
        let Some((digest, in_digests)) = self.digest_of(key) else {
            return;
        };
        if in_digests == wanted {
            return;
        }
        self.digests.toggle(LeafId::of(key.digest()), digest);
        let flag = match key {
            MemberKey::Agent(it) => self.agents.get_mut(it).map(|it| &mut it.in_digests),
            MemberKey::Balancer(it) => self.balancers.get_mut(it).map(|it| &mut it.in_digests),
            MemberKey::Domain(it) => self.domains.get_mut(it).map(|it| &mut it.in_digests),
        };
        if let Some(flag) = flag {
            *flag = wanted;
        }
    }

    fn digest_of(&self, key: &MemberKey) -> Option<(u64, bool)> {
        match key {
            MemberKey::Agent(it) => {
                let entry = self.agents.get(it)?;
                Some((
                    record_digest(key.digest(), entry.record.rank()),
                    entry.in_digests,
                ))
            }
            MemberKey::Balancer(it) => {
                let entry = self.balancers.get(it)?;
                Some((
                    record_digest(key.digest(), entry.record.rank()),
                    entry.in_digests,
                ))
            }
            MemberKey::Domain(it) => {
                let entry = self.domains.get(it)?;
                Some((notice_digest(key.digest(), &entry.record), entry.in_digests))
            }
        }
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

/// Whether two agents at one address have the same incarnation.
fn is_conflict(record: &AgentRecord, held: &AgentRecord) -> bool {
    record.incarnation == held.incarnation && (record.tag != held.tag || record.name != held.name)
}

fn since(now: Timestamp, age_s: u16) -> Timestamp {
    let age = Duration::from_secs(u64::from(age_s));
    Timestamp::from_micros(
        now.as_micros()
            .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
    )
}

/// Whether a record is young enough to be in the digests.
fn is_fresh(state: AgentState, since: Timestamp, now: Timestamp) -> bool {
    state.is_live() || now.since(since) <= Roster::DIGEST_LIFE
}
