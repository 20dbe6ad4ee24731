//! What two nodes need to find and exchange the records in which they differ.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use super::{AgentState, LeafId, LeafSet, MemberKey, Roster, Update, roster_table};
use crate::time::Timestamp;

/// Time in which a new incarnation has reached all balancers; repair finds those it has not.
const SPREAD_LIMIT: Duration = Duration::from_secs(10);

/// A record in short, as nodes list them to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberDigest {
    /// A short digest of the key.
    pub key_digest: u32,
    /// A short digest of the record.
    pub record_digest: u32,
}

impl Roster {
    /// The records of the leaves in short, in the order of their digests.
    #[must_use]
    pub fn member_digests(&self, leaves: &LeafSet) -> Vec<MemberDigest> {
        let mut listed: Vec<MemberDigest> =
            self.digested(leaves).map(|(_, listed)| listed).collect();
        listed.sort_unstable();
        listed
    }

    /// The members of the leaves that are not in `theirs` as they are here.
    #[must_use]
    pub fn differing_from(&self, leaves: &LeafSet, theirs: &[MemberDigest]) -> Vec<MemberKey> {
        let theirs: BTreeSet<MemberDigest> = theirs.iter().copied().collect();
        self.digested(leaves)
            .filter(|(_, listed)| !theirs.contains(listed))
            .map(|(key, _)| key)
            .collect()
    }

    /// The members with these short key digests.
    #[must_use]
    pub fn members_by_key_digest(&self, keys: &[u32]) -> Vec<MemberKey> {
        let leaves = keys
            .iter()
            .map(|key| LeafId::from_key_digest(u64::from(*key) << 32));
        let leaves = leaves.collect();
        let keys: BTreeSet<u32> = keys.iter().copied().collect();
        self.digested(&leaves)
            .filter(|(_, listed)| keys.contains(&listed.key_digest))
            .map(|(key, _)| key)
            .collect()
    }

    /// The record of a member as it travels; with `compact`, a record whose incarnation is known
    /// for a while is sent without what the receiver has already.
    #[must_use]
    pub fn update_for(&self, key: &MemberKey, compact: bool, now: Timestamp) -> Option<Update> {
        match key {
            MemberKey::Agent(tunnel) => {
                let entry = self.agents.get(tunnel)?;
                let record = &entry.record;
                let age_s = age_s(record.state.is_live(), entry.changed_at, now);
                if compact && is_known_widely(record.state, entry.incarnation_first_seen, now) {
                    let (tunnel, rank) = (*tunnel, record.rank());
                    return Some(Update::AgentRank {
                        tunnel,
                        rank,
                        weight_percent: record.weight_percent,
                        age_s,
                    });
                }
                let record = record.clone();
                Some(Update::Agent { record, age_s })
            }
            MemberKey::Balancer(control) => {
                let entry = self.balancers.get(control)?;
                let record = &entry.record;
                let age_s = age_s(record.state.is_live(), entry.changed_at, now);
                if compact && is_known_widely(record.state, entry.incarnation_first_seen, now) {
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

    /// All that counts in the digests of the leaves.
    fn digested<'a>(
        &'a self,
        leaves: &'a LeafSet,
    ) -> impl Iterator<Item = (MemberKey, MemberDigest)> + 'a {
        let agents = self.agents.iter().filter(|(_, it)| it.in_digests);
        let agents = agents.map(|(tunnel, _)| MemberKey::Agent(*tunnel));
        let balancers = self.balancers.iter().filter(|(_, it)| it.in_digests);
        let balancers = balancers.map(|(control, _)| MemberKey::Balancer(*control));
        let domains = self.domains.keys();
        let domains = domains.map(|name| MemberKey::Domain(name.clone()));
        agents
            .chain(balancers)
            .chain(domains)
            .map(|key| (key.digest(), key))
            .filter(|(digest, _)| leaves.contains(LeafId::from_key_digest(*digest)))
            .filter_map(|(digest, key)| {
                let record = self.record_digest(&key, digest)?;
                let listed = MemberDigest {
                    key_digest: short(digest),
                    record_digest: short(record),
                };
                Some((key, listed))
            })
    }

    fn record_digest(&self, key: &MemberKey, key_digest: u64) -> Option<u64> {
        if let MemberKey::Domain(name) = key {
            let notice = &self.domains.get(name)?.record;
            return Some(roster_table::notice_digest(key_digest, notice));
        }
        let rank = self.rank(key)?;
        Some(roster_table::record_digest(key_digest, rank))
    }
}

/// Whether other balancers have the record's incarnation already, or have no use for it.
fn is_known_widely(state: AgentState, incarnation_first_seen: Timestamp, now: Timestamp) -> bool {
    !state.is_live() || now.since(incarnation_first_seen) > SPREAD_LIMIT
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
