//! What two nodes need to find and exchange the records in which they differ.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{LeafId, MemberKey, Roster, Update, roster_table};
use crate::time::Timestamp;

/// A record in short, as nodes list them to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedMember {
    /// A short digest of the key.
    pub key: u32,
    /// A short digest of the record.
    pub record: u32,
}

impl Roster {
    /// The records of the leaves in short, in the order of their digests.
    #[must_use]
    pub fn list(&self, leaves: &BTreeSet<LeafId>) -> Vec<ListedMember> {
        let mut listed: Vec<ListedMember> = self
            .digested()
            .filter(|(key, _)| leaves.contains(&LeafId::of(key.digest())))
            .map(|(key, record)| listed(&key, record))
            .collect();
        listed.sort_unstable();
        listed
    }

    /// The members of the leaves that are not in `theirs` as they are here.
    #[must_use]
    pub fn missing_from(
        &self,
        leaves: &BTreeSet<LeafId>,
        theirs: &[ListedMember],
    ) -> Vec<MemberKey> {
        let theirs: BTreeSet<ListedMember> = theirs.iter().copied().collect();
        self.digested()
            .filter(|(key, _)| leaves.contains(&LeafId::of(key.digest())))
            .filter(|(key, record)| !theirs.contains(&listed(key, *record)))
            .map(|(key, _)| key)
            .collect()
    }

    /// The members with these short key digests.
    #[must_use]
    pub fn members_of(&self, keys: &[u32]) -> Vec<MemberKey> {
        let keys: BTreeSet<u32> = keys.iter().copied().collect();
        self.digested()
            .map(|(key, _)| key)
            .filter(|key| keys.contains(&short(key.digest())))
            .collect()
    }

    /// The record of a member as it travels; with `compact`, a record of a member that is no
    /// longer live is sent without what the receiver knows already.
    #[must_use]
    pub fn update(&self, key: &MemberKey, compact: bool, now: Timestamp) -> Option<Update> {
        match key {
            MemberKey::Agent(tunnel) => {
                let entry = self.agents.get(tunnel)?;
                let record = &entry.record;
                let age_s = age_s(record.state.is_live(), entry.since, now);
                if compact && !record.state.is_live() {
                    let (tunnel, rank) = (*tunnel, record.rank());
                    return Some(Update::AgentRank {
                        tunnel,
                        rank,
                        age_s,
                    });
                }
                let record = record.clone();
                Some(Update::Agent { record, age_s })
            }
            MemberKey::Balancer(control) => {
                let entry = self.balancers.get(control)?;
                let record = &entry.record;
                let age_s = age_s(record.state.is_live(), entry.since, now);
                if compact && !record.state.is_live() {
                    let (control, rank) = (*control, record.rank());
                    return Some(Update::BalancerRank {
                        control,
                        rank,
                        age_s,
                    });
                }
                let record = record.clone();
                Some(Update::Balancer { record, age_s })
            }
            MemberKey::Domain(name) => {
                let entry = self.domains.get(name)?;
                Some(Update::Domain(entry.record.clone()))
            }
        }
    }

    /// Keys and record digests of all that counts in the digests.
    fn digested(&self) -> impl Iterator<Item = (MemberKey, u64)> {
        let agents = self.agents.iter().filter(|(_, it)| it.in_digests);
        let agents = agents.map(|(tunnel, entry)| {
            let key = MemberKey::Agent(*tunnel);
            let digest = roster_table::record_digest(key.digest(), entry.record.rank());
            (key, digest)
        });
        let balancers = self.balancers.iter().filter(|(_, it)| it.in_digests);
        let balancers = balancers.map(|(control, entry)| {
            let key = MemberKey::Balancer(*control);
            let digest = roster_table::record_digest(key.digest(), entry.record.rank());
            (key, digest)
        });
        let domains = self.domains.iter().map(|(name, entry)| {
            let key = MemberKey::Domain(name.clone());
            let digest = roster_table::notice_digest(key.digest(), &entry.record);
            (key, digest)
        });
        agents.chain(balancers).chain(domains)
    }
}

fn listed(key: &MemberKey, record: u64) -> ListedMember {
    ListedMember {
        key: short(key.digest()),
        record: short(record),
    }
}

const fn short(digest: u64) -> u32 {
    (digest >> 32) as u32
}

fn age_s(is_live: bool, since: Timestamp, now: Timestamp) -> u16 {
    if is_live {
        return 0;
    }
    u16::try_from(now.since(since).as_secs()).unwrap_or(u16::MAX)
}
