use std::net::SocketAddrV4;

use super::Steering;
use crate::{
    packet::{AgentListing, AgentReport, MemberChange, Message, PeerSnapshot, member::Member},
    time::Timestamp,
};

/// The view of the agents, from the store, from reports and from other balancers.
impl Steering {
    /// Records that the store lists an agent.
    pub fn on_listed(&mut self, listing: &AgentListing, now: Timestamp) -> MemberChange {
        self.members.on_listed(listing, now)
    }

    /// Records that the store no longer lists an agent.
    pub fn on_unlisted(&mut self, agent: SocketAddrV4) -> MemberChange {
        self.members.on_unlisted(agent)
    }

    /// Records that the store lists exactly these agents.
    pub fn on_full_listing(&mut self, listings: &[AgentListing], now: Timestamp) {
        for member in self.members.iter_mut() {
            member.listed = false;
        }
        for listing in listings {
            self.members.on_listed(listing, now);
        }
    }

    /// Records a report of an agent.
    pub fn on_report(&mut self, report: AgentReport, now: Timestamp) -> MemberChange {
        self.record_missed_config(&report, now);
        self.members.on_report(report, now)
    }

    /// Returns the agents that introduce `newcomer` to other balancers, if the store does not list
    /// it.
    #[must_use]
    pub fn introducers(&self, newcomer: SocketAddrV4) -> Vec<SocketAddrV4> {
        if self.members.get(newcomer).is_none_or(|it| it.listed) {
            return Vec::new();
        }
        let others = self.members.iter().filter(|it| it.agent != newcomer);
        let others = others.filter(|it| it.last_received_at.is_some());
        others
            .map(|it| it.agent)
            .take(Self::MAX_INTRODUCERS)
            .collect()
    }

    /// Records whether the store is reachable.
    pub fn on_store_status(&mut self, reachable: bool, now: Timestamp) {
        self.view.on_store_status(reachable, now);
    }

    /// Records that all changes of the store have been applied that it had made before a call that
    /// began at `asked_at`.
    pub fn on_store_synced(&mut self, asked_at: Timestamp, now: Timestamp) {
        self.view.on_store_synced(asked_at, now);
    }

    /// Returns when the store is to be asked for the agents that it lists at that time, because a
    /// lookup can end with a reset only after that, or `None` if no lookup waits for it.
    #[must_use]
    pub fn store_check_due(&self) -> Option<Timestamp> {
        let useful_from = self.view.lists_agents_from()?;
        let wanted = !self.view.has_listings_of(self.latest_suspended?);
        wanted.then(|| useful_from.max(self.last_store_check_at + Self::STORE_CHECK_INTERVAL))
    }

    /// Records that the store is asked for the agents that it lists now.
    pub const fn on_store_check(&mut self, now: Timestamp) {
        self.last_store_check_at = now;
    }

    /// Replaces the balancers that agents introduce themselves to.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds.set_seeds(self.settings.balancer, seeds);
        self.view.set_introduced(self.seeds.is_seed());
    }

    /// Returns the query to send to seeds now for the agents that the store does not list, and the
    /// seeds, if a lookup can end with a reset only after their answers.
    pub fn take_seed_queries(&mut self, now: Timestamp) -> Option<(Message, Vec<SocketAddrV4>)> {
        let latest = self.latest_suspended;
        let wanted = latest.is_some_and(|at| !self.seeds.is_known_for(at));
        let (number, seeds) = self.seeds.take_due(wanted, now)?;
        let query = Message::UnlistedQuery {
            balancer: self.settings.balancer,
            number,
        };
        Some((query, seeds))
    }

    /// Returns the answer to another balancer's query `number` for the agents that the store does
    /// not list.
    #[must_use]
    pub fn on_unlisted_query(&self, number: u32) -> Message {
        let unlisted = self
            .members
            .iter()
            .filter(|it| !it.listed && it.may_own_flows());
        let mut agents: Vec<_> = unlisted.map(Member::listing).collect();
        let all = agents.len() <= Self::MAX_UNLISTED;
        agents.truncate(Self::MAX_UNLISTED);
        Message::UnlistedAnswer {
            seed: self.settings.balancer,
            number,
            agents,
            all,
        }
    }

    /// Records the answer of a seed to the query `number`.
    pub fn on_unlisted_answer(
        &mut self,
        seed: SocketAddrV4,
        number: u32,
        agents: &[AgentListing],
        all: bool,
        now: Timestamp,
    ) {
        for agent in agents {
            self.members.on_peer_listing(agent, now);
        }
        self.seeds.on_answer(seed, number, all);
    }

    /// Records that the store has come back from an older copy: it may list agents that have ended,
    /// and miss agents that run. No flow is reset for it until the agents are listed again.
    pub fn on_store_restored(&mut self, now: Timestamp) {
        self.view.on_store_restored(now);
    }

    /// Returns whether a snapshot of another balancer arrived late enough after the start, or is
    /// not required.
    #[must_use]
    pub fn is_synced_with_peers(&self, now: Timestamp) -> bool {
        self.view.is_synced_with_peers(now)
    }

    /// Returns whether snapshots of other balancers are needed.
    #[must_use]
    pub fn needs_peer_sync(&self, now: Timestamp) -> bool {
        self.view.needs_peer_sync(now)
    }

    /// Records the agents in another balancer's view, and whether that view is complete.
    pub fn on_peer_agents(&mut self, agents: &[AgentListing], settled: bool, now: Timestamp) {
        for agent in agents {
            self.members.on_peer_listing(agent, now);
        }
        self.view.on_peer(settled, now);
    }

    /// Returns the agents to probe for a report now.
    ///
    /// Callers invoke this a few times a second.
    pub fn take_probes(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let idle = self
            .members
            .iter_mut()
            .filter(|it| it.idle_for(now) >= Self::PROBE_IDLE_TIME)
            .take(Self::MAX_PROBES);
        idle.map(|member| {
            member.on_sent(now);
            member.agent
        })
        .collect()
    }

    /// Returns whether no agent responds, so that other balancers should serve the callers.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let mut silent = 0_usize;
        for member in self.members.iter() {
            if member.idle_for(now) < Self::ISOLATION_TIMEOUT {
                return false;
            }
            silent += usize::from(member.is_silent(Self::ISOLATION_TIMEOUT, now));
        }
        // A single silent agent may have failed itself.
        silent >= 2
    }

    /// Returns the state from which a balancer that cannot reach the store may start.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp) -> PeerSnapshot {
        let owners = self.members.iter().filter(|it| it.may_own_flows());
        PeerSnapshot {
            settled: self.view.is_complete(now),
            config: self.config.clone(),
            agents: owners.map(Member::listing).collect(),
        }
    }

    /// Returns the number of agents in the view.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }
}
