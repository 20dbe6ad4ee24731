//! Merging of records, and their inclusion in the digests.

use std::{net::SocketAddrV4, time::Duration};

use super::{
    AgentRecord, AgentState, BalancerRecord, DomainNotice, LeafId, MemberKey, MergeOutcome, Rank,
    Roster, RosterEntry, Update,
    roster_table::{notice_digest, record_digest},
};
use crate::time::Timestamp;

impl Roster {
    /// Merges an update into the roster.
    pub fn merge(&mut self, update: Update, now: Timestamp) -> MergeOutcome {
        match update {
            Update::Agent { record, age_s } => self.merge_agent(record, age_s, now),
            Update::AgentRank {
                tunnel,
                rank,
                weight_percent,
                age_s,
            } => {
                let merge = self.merge_rank(&MemberKey::Agent(tunnel), rank, age_s, now);
                if merge == MergeOutcome::Changed {
                    self.set_weight(tunnel, weight_percent);
                }
                merge
            }
            Update::BalancerRank {
                control,
                rank,
                age_s,
            } => self.merge_rank(&MemberKey::Balancer(control), rank, age_s, now),
            Update::Balancer { record, age_s } => self.merge_balancer(record, age_s, now),
            Update::Domain(notice) => self.merge_notice(notice, now),
        }
    }

    fn merge_agent(&mut self, mut record: AgentRecord, age_s: u16, now: Timestamp) -> MergeOutcome {
        let changed_at = time_before(now, age_s);
        let fresh = is_fresh(record.state, changed_at, now);
        let key = MemberKey::Agent(record.tunnel);
        match self.agents.get(&record.tunnel) {
            None if !fresh => return MergeOutcome::Ignored,
            Some(held) if is_conflict(&record, &held.record) => return MergeOutcome::Conflict,
            _ => {}
        }
        if let Some(merge) = self.compare(&key, record.rank()) {
            return merge;
        }
        record.failure_domain = self.intern(&record.failure_domain);
        let known = self.agents.get(&record.tunnel);
        let incarnation_first_seen = known
            .filter(|held| held.record.incarnation == record.incarnation)
            .map_or(now, |held| held.incarnation_first_seen);
        self.remove(&key);
        self.by_tag
            .entry(record.tag)
            .or_default()
            .push(record.tunnel);
        let entry = RosterEntry {
            record,
            changed_at,
            incarnation_first_seen,
            in_digests: false,
        };
        self.agents.insert(entry.record.tunnel, entry);
        self.set_in_digests(&key, fresh);
        MergeOutcome::Changed
    }

    fn merge_rank(
        &mut self,
        key: &MemberKey,
        rank: Rank,
        age_s: u16,
        now: Timestamp,
    ) -> MergeOutcome {
        let Some(held) = self.rank(key) else {
            return MergeOutcome::Ignored;
        };
        if held.incarnation < rank.incarnation {
            return MergeOutcome::Ignored;
        }
        if let Some(merge) = self.compare(key, rank) {
            return merge;
        }
        let changed_at = time_before(now, age_s);
        self.set_in_digests(key, false);
        self.set_rank(key, rank, changed_at);
        self.set_in_digests(key, is_fresh(rank.state, changed_at, now));
        MergeOutcome::Changed
    }

    fn set_weight(&mut self, tunnel: SocketAddrV4, weight_percent: u32) {
        if let Some(entry) = self.agents.get_mut(&tunnel) {
            entry.record.weight_percent = weight_percent;
        }
    }

    fn set_rank(&mut self, key: &MemberKey, rank: Rank, changed_at: Timestamp) {
        match key {
            MemberKey::Agent(tunnel) => {
                if let Some(entry) = self.agents.get_mut(tunnel) {
                    entry.record.version = rank.version;
                    entry.record.state = rank.state;
                    entry.changed_at = changed_at;
                }
            }
            MemberKey::Balancer(control) => {
                if let Some(entry) = self.balancers.get_mut(control) {
                    entry.record.version = rank.version;
                    entry.record.state = rank.state;
                    entry.changed_at = changed_at;
                }
            }
            MemberKey::Domain(_) => {}
        }
    }

    fn merge_balancer(
        &mut self,
        mut record: BalancerRecord,
        age_s: u16,
        now: Timestamp,
    ) -> MergeOutcome {
        let changed_at = time_before(now, age_s);
        let fresh = is_fresh(record.state, changed_at, now);
        let key = MemberKey::Balancer(record.control);
        if !fresh && !self.balancers.contains_key(&record.control) {
            return MergeOutcome::Ignored;
        }
        if let Some(merge) = self.compare(&key, record.rank()) {
            return merge;
        }
        record.failure_domain = self.intern(&record.failure_domain);
        let known = self.balancers.get(&record.control);
        let incarnation_first_seen = known
            .filter(|held| held.record.incarnation == record.incarnation)
            .map_or(now, |held| held.incarnation_first_seen);
        self.remove(&key);
        let entry = RosterEntry {
            record,
            changed_at,
            incarnation_first_seen,
            in_digests: false,
        };
        self.balancers.insert(entry.record.control, entry);
        self.set_in_digests(&key, fresh);
        MergeOutcome::Changed
    }

    fn merge_notice(&mut self, mut notice: DomainNotice, now: Timestamp) -> MergeOutcome {
        if let Some(held) = self.notices.get(&notice.failure_domain) {
            if held.record == notice {
                return MergeOutcome::Unchanged;
            }
            if held.record.supersedes(&notice) {
                return MergeOutcome::Stale;
            }
        }
        notice.failure_domain = self.intern(&notice.failure_domain);
        let key = MemberKey::Domain(notice.failure_domain.clone());
        self.remove(&key);
        let entry = RosterEntry {
            record: notice,
            changed_at: now,
            incarnation_first_seen: now,
            in_digests: false,
        };
        self.notices
            .insert(entry.record.failure_domain.clone(), entry);
        self.set_in_digests(&key, true);
        MergeOutcome::Changed
    }

    /// Compares a rank with the one held, and returns `None` if the new rank is higher or there is
    /// no record yet.
    fn compare(&self, key: &MemberKey, rank: Rank) -> Option<MergeOutcome> {
        let held = self.rank(key)?;
        match rank.cmp(&held) {
            std::cmp::Ordering::Less => Some(MergeOutcome::Stale),
            std::cmp::Ordering::Equal => Some(MergeOutcome::Unchanged),
            std::cmp::Ordering::Greater => None,
        }
    }

    /// Includes the record in the digests or removes it from them.
    pub(super) fn set_in_digests(&mut self, key: &MemberKey, included: bool) {
        let Some((digest, in_digests)) = self.digest_of(key) else {
            return;
        };
        if in_digests == included {
            return;
        }
        self.digests
            .toggle(LeafId::from_key_digest(key.digest()), digest);
        let flag = match key {
            MemberKey::Agent(it) => self.agents.get_mut(it).map(|it| &mut it.in_digests),
            MemberKey::Balancer(it) => self.balancers.get_mut(it).map(|it| &mut it.in_digests),
            MemberKey::Domain(it) => self.notices.get_mut(it).map(|it| &mut it.in_digests),
        };
        if let Some(flag) = flag {
            *flag = included;
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
                let entry = self.notices.get(it)?;
                Some((notice_digest(key.digest(), &entry.record), entry.in_digests))
            }
        }
    }
}

/// Returns whether two different agents use the same address and incarnation.
fn is_conflict(record: &AgentRecord, held: &AgentRecord) -> bool {
    record.incarnation == held.incarnation && (record.tag != held.tag || record.name != held.name)
}

/// Returns the time `age_s` seconds before `now`, or the origin of the clock.
fn time_before(now: Timestamp, age_s: u16) -> Timestamp {
    let age = Duration::from_secs(u64::from(age_s));
    Timestamp::from_micros(
        now.as_micros()
            .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
    )
}

/// Returns whether a record is recent enough to be included in the digests.
fn is_fresh(state: AgentState, changed_at: Timestamp, now: Timestamp) -> bool {
    state.is_live() || now.since(changed_at) <= Roster::DIGEST_TTL
}
