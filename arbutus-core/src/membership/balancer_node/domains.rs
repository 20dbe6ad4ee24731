//! Notices about failure domains that became silent or reachable again.

use std::sync::Arc;

use super::BalancerNode;
use crate::{
    roster::{AgentState, DomainNotice, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Minimum number of suspect balancers in a failure domain for a notice.
    const MIN_SUSPECT_BALANCERS: usize = 3;
    /// A notice requires at least one in this many balancers of the failure domain to be suspect.
    const SUSPECT_SHARE_DIVISOR: usize = 8;
    /// How long a suspicion counts towards a notice, in seconds.
    const SUSPICION_WINDOW_S: u64 = 15;

    /// Records that this balancer received a message from a member of the failure domain, and
    /// refutes a notice that the domain is silent.
    pub(super) fn on_domain_activity(&mut self, failure_domain: &Arc<str>, now: Timestamp) {
        if let Some(last_received) = self.domain_last_received.get_mut(failure_domain) {
            *last_received = now;
        } else {
            self.domain_last_received
                .insert(failure_domain.clone(), now);
        }
        if self.roster.is_silent(failure_domain) {
            self.publish_notice(failure_domain, false, now);
        }
    }

    /// Refutes a notice that this balancer's own failure domain is silent.
    pub(super) fn refute_own_domain(&mut self, failure_domain: &Arc<str>, now: Timestamp) {
        let own = &self.record.failure_domain;
        if own == failure_domain && self.roster.is_silent(failure_domain) {
            self.publish_notice(failure_domain, false, now);
        }
    }

    /// Publishes notices about failure domains from which no messages arrive anymore.
    pub(super) fn detect_silent_domains(&mut self, now: Timestamp) {
        let fresh = |at: Timestamp| now.since(at).as_secs() < Self::SUSPICION_WINDOW_S;
        self.domain_last_suspected.retain(|_, at| fresh(*at));
        let domains: Vec<Arc<str>> = self.domain_last_suspected.keys().cloned().collect();
        for domain in domains {
            if self.should_report_silent(&domain, now) {
                self.publish_notice(&domain, true, now);
                self.domain_last_suspected.shift_remove(&domain);
            }
        }
    }

    /// Returns whether this balancer receives nothing from another failure domain, and enough of
    /// that domain's balancers became suspect for a notice that the domain is silent.
    fn should_report_silent(&self, failure_domain: &str, now: Timestamp) -> bool {
        let is_own = &*self.record.failure_domain == failure_domain;
        if is_own || self.roster.is_silent(failure_domain) {
            return false;
        }
        if self.is_notice_on_cooldown(failure_domain, now) {
            return false;
        }
        let last_received = self
            .domain_last_received
            .get(failure_domain)
            .copied()
            .unwrap_or_default();
        if now.since(last_received) < self.settings.agent_probe_timeout {
            return false;
        }
        let (mut live, mut suspect) = (0, 0);
        for entry in self.roster.balancer_entries() {
            if &*entry.record.failure_domain != failure_domain {
                continue;
            }
            let is_fresh = now.since(entry.changed_at).as_secs() < Self::SUSPICION_WINDOW_S;
            live += usize::from(entry.record.state.is_live());
            suspect += usize::from(entry.record.state == AgentState::Suspect && is_fresh);
        }
        let needed = (live + suspect).div_ceil(Self::SUSPECT_SHARE_DIVISOR);
        suspect >= needed.max(Self::MIN_SUSPECT_BALANCERS)
    }

    /// Returns whether the failure domain has enough balancers for a notice, and no notice about it
    /// was changed recently.
    pub(super) fn can_publish_notice(&self, failure_domain: &str, now: Timestamp) -> bool {
        let balancers = self.live_balancers.in_domain(failure_domain).len();
        balancers >= Self::MIN_SUSPECT_BALANCERS && !self.is_notice_on_cooldown(failure_domain, now)
    }

    fn is_notice_on_cooldown(&self, failure_domain: &str, now: Timestamp) -> bool {
        let notice = self.roster.notice(failure_domain);
        notice.is_some_and(|it| now.since(it.changed_at) < self.settings.notice_cooldown)
    }

    fn publish_notice(&mut self, failure_domain: &Arc<str>, silent: bool, now: Timestamp) {
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
