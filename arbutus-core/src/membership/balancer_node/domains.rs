//! Whole failure domains that are silent, or heard again.

use std::sync::Arc;

use super::BalancerNode;
use crate::{
    roster::{AgentState, DomainNotice, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Least number of suspect balancers for a notice.
    const SILENT_LEAST: usize = 3;
    /// One in so many balancers of a failure domain has to be suspect for a notice.
    const SILENT_SHARE: usize = 8;
    /// How long a suspicion counts towards a notice, in seconds.
    const SUSPICION_FRESH_S: u64 = 15;

    /// Notes that a member of a failure domain was heard by this balancer itself.
    pub(super) fn on_domain_heard(&mut self, failure_domain: &Arc<str>, now: Timestamp) {
        if let Some(heard) = self.heard.get_mut(failure_domain) {
            *heard = now;
        } else {
            self.heard.insert(failure_domain.clone(), now);
        }
        if self.roster.is_silent(failure_domain) {
            self.give_notice(failure_domain, false, now);
        }
    }

    /// Refutes a notice that this balancer's own failure domain is silent.
    pub(super) fn refute_own_domain(&mut self, failure_domain: &Arc<str>, now: Timestamp) {
        let own = &self.record.failure_domain;
        if own == failure_domain && self.roster.is_silent(failure_domain) {
            self.give_notice(failure_domain, false, now);
        }
    }

    /// Gives notice of failure domains of which nothing is heard any more.
    pub(super) fn judge_domains(&mut self, now: Timestamp) {
        let fresh = |at: Timestamp| now.since(at).as_secs() < Self::SUSPICION_FRESH_S;
        self.suspected.retain(|_, at| fresh(*at));
        let domains: Vec<Arc<str>> = self.suspected.keys().cloned().collect();
        for domain in domains {
            if self.is_silence_plain(&domain, now) {
                self.give_notice(&domain, true, now);
                self.suspected.shift_remove(&domain);
            }
        }
    }

    fn is_silence_plain(&self, failure_domain: &str, now: Timestamp) -> bool {
        let is_own = &*self.record.failure_domain == failure_domain;
        if is_own || self.roster.is_silent(failure_domain) {
            return false;
        }
        if self.is_notice_paused(failure_domain, now) {
            return false;
        }
        let heard = self.heard.get(failure_domain).copied().unwrap_or_default();
        if now.since(heard) < self.settings.agent_probe_timeout {
            return false;
        }
        let (mut live, mut suspect) = (0, 0);
        for entry in self.roster.balancer_entries() {
            if &*entry.record.failure_domain != failure_domain {
                continue;
            }
            let is_fresh = now.since(entry.changed_at).as_secs() < Self::SUSPICION_FRESH_S;
            live += usize::from(entry.record.state.is_live());
            suspect += usize::from(entry.record.state == AgentState::Suspect && is_fresh);
        }
        let needed = (live + suspect).div_ceil(Self::SILENT_SHARE);
        suspect >= needed.max(Self::SILENT_LEAST)
    }

    /// Whether the failure domain has balancers enough for a notice, and none was refuted lately.
    pub(super) fn may_give_notice(&self, failure_domain: &str, now: Timestamp) -> bool {
        let balancers = self.homes.near(failure_domain).len();
        balancers >= Self::SILENT_LEAST && !self.is_notice_paused(failure_domain, now)
    }

    fn is_notice_paused(&self, failure_domain: &str, now: Timestamp) -> bool {
        let notice = self.roster.notice(failure_domain);
        notice.is_some_and(|it| now.since(it.changed_at) < self.settings.notice_cooldown)
    }

    fn give_notice(&mut self, failure_domain: &Arc<str>, silent: bool, now: Timestamp) {
        let version = self
            .roster
            .notice(failure_domain)
            .map_or(0, |it| it.record.version);
        let notice = DomainNotice {
            failure_domain: failure_domain.clone(),
            version: version + 1,
            silent,
        };
        self.merge(Update::Domain(notice), None, now);
    }
}
