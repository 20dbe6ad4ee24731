//! Listing and selection of records for the repair between two nodes.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use super::{AgentState, LeafId, LeafSet, MemberKey, Roster, Update, roster_table};
use crate::time::Timestamp;

/// Time after which a new incarnation is assumed to have reached all balancers. Repair covers those
/// it has not reached.
const INCARNATION_PROPAGATION_TIME: Duration = Duration::from_secs(10);

/// Short digests of a record and its key, exchanged during a repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The short digest of the key.
    pub key_digest: u32,
    /// The short digest of the record.
    pub record_digest: u32,
}

impl Roster {
    /// Returns the digests of the records in the given leaves, sorted.
    #[must_use]
    pub fn member_digests(&self, leaves: &LeafSet) -> Vec<MemberDigest> {
        let mut listed: Vec<MemberDigest> = self
            .members_in_digests(leaves)
            .map(|(_, listed)| listed)
            .collect();
        listed.sort_unstable();
        listed
    }

    /// Returns the members in the given leaves whose record is missing from `theirs` or differs.
    #[must_use]
    pub fn differing_from(&self, leaves: &LeafSet, theirs: &[MemberDigest]) -> Vec<MemberKey> {
        let theirs: BTreeSet<MemberDigest> = theirs.iter().copied().collect();
        self.members_in_digests(leaves)
            .filter(|(_, listed)| !theirs.contains(listed))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the members with the given short key digests.
    #[must_use]
    pub fn members_by_key_digest(&self, keys: &[u32]) -> Vec<MemberKey> {
        let leaves = keys
            .iter()
            .map(|key| LeafId::from_key_digest(u64::from(*key) << 32));
        let leaves = leaves.collect();
        let keys: BTreeSet<u32> = keys.iter().copied().collect();
        self.members_in_digests(&leaves)
            .filter(|(_, listed)| keys.contains(&listed.key_digest))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the update that carries a member's record to another node.
    ///
    /// With `compact`, the update carries only the rank (and weight) if the incarnation is widely
    /// known, because the receiver then already has the rest of the record.
    #[must_use]
    pub fn update_for(&self, key: &MemberKey, compact: bool, now: Timestamp) -> Option<Update> {
        match key {
            MemberKey::Agent(tunnel) => {
                let entry = self.agents.get(tunnel)?;
                let record = &entry.record;
                let age_s = age_s(record.state.is_live(), entry.changed_at, now);
                if compact && is_widely_known(record.state, entry.incarnation_first_seen, now) {
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
                if compact && is_widely_known(record.state, entry.incarnation_first_seen, now) {
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
                let entry = self.notices.get(name)?;
                Some(Update::Domain(entry.record.clone()))
            }
        }
    }

    /// Returns all members in the given leaves that are included in the digests.
    fn members_in_digests<'a>(
        &'a self,
        leaves: &'a LeafSet,
    ) -> impl Iterator<Item = (MemberKey, MemberDigest)> + 'a {
        let agents = self.agents.iter().filter(|(_, it)| it.in_digests);
        let agents = agents.map(|(tunnel, _)| MemberKey::Agent(*tunnel));
        let balancers = self.balancers.iter().filter(|(_, it)| it.in_digests);
        let balancers = balancers.map(|(control, _)| MemberKey::Balancer(*control));
        let domains = self.notices.keys();
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
            let notice = &self.notices.get(name)?.record;
            return Some(roster_table::notice_digest(key_digest, notice));
        }
        let rank = self.rank(key)?;
        Some(roster_table::record_digest(key_digest, rank))
    }
}

/// Returns whether other balancers already have the record's incarnation or do not need it.
fn is_widely_known(state: AgentState, incarnation_first_seen: Timestamp, now: Timestamp) -> bool {
    !state.is_live() || now.since(incarnation_first_seen) > INCARNATION_PROPAGATION_TIME
}

const fn short(digest: u64) -> u32 {
    (digest >> 32) as u32
}

fn age_s(is_live: bool, changed_at: Timestamp, now: Timestamp) -> u16 {
    if is_live {
        return 0;
    }
    u16::try_from(now.since(changed_at).as_secs()).unwrap_or(u16::MAX)
}
