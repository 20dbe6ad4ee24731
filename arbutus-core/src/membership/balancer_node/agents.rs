//! Heartbeats of agents, their timeouts and the assignment of watches.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::BalancerNode;
use crate::{
    ident::ServiceTag,
    membership::{
        Heartbeat, HeartbeatAck, Message, agent_watch::WatchAction, live_balancers::LiveBalancers,
    },
    roster::{AgentRecord, MemberKey, Rank, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Minimum time between two rebuilds of the live balancers in a large system.
    const REBUILD_INTERVAL: Duration = Duration::from_secs(1);
    /// Number of live balancers up to which rebuilds are not paced by `REBUILD_INTERVAL`.
    const MAX_UNPACED_BALANCERS: usize = 64;

    pub(super) fn on_heartbeat(
        &mut self,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) {
        let (tunnel, rank) = (heartbeat.tunnel, heartbeat.rank);
        let mut conflict = false;
        if let Some(record) = heartbeat.record.clone() {
            conflict = self.is_conflict(&record);
            if record.rank() == rank && !conflict {
                self.merge(Update::Agent { record, age_s: 0 }, None, now);
            }
        }
        let known_rank = self.roster.agent(tunnel).map(AgentRecord::rank);
        if known_rank == Some(rank) && !conflict {
            self.on_matching_heartbeat(from, heartbeat, now);
        }
        let ack = self.heartbeat_ack(heartbeat, known_rank, conflict);
        self.send(from, &Message::HeartbeatAck(ack));
    }

    /// Returns whether another agent at the same address uses the record's incarnation.
    fn is_conflict(&self, record: &AgentRecord) -> bool {
        self.roster.agent(record.tunnel).is_some_and(|held| {
            held.incarnation == record.incarnation
                && (held.tag != record.tag || held.name != record.name)
        })
    }

    /// Records a heartbeat whose rank matches the record in the roster.
    fn on_matching_heartbeat(&mut self, from: SocketAddrV4, heartbeat: &Heartbeat, now: Timestamp) {
        let tunnel = heartbeat.tunnel;
        let Some(agent) = self.roster.agent(tunnel) else {
            return;
        };
        let failure_domain = agent.failure_domain.clone();
        self.on_domain_activity(&failure_domain, now);
        if !heartbeat.rank.state.is_live() {
            self.agent_watch.remove(tunnel);
        } else if heartbeat.is_home || self.is_responsible(tunnel, &failure_domain) {
            self.agent_watch
                .on_heartbeat(tunnel, from, &failure_domain, heartbeat.is_home, now);
        } else {
            self.agent_watch.remove(tunnel);
        }
    }

    fn heartbeat_ack(
        &mut self,
        heartbeat: &Heartbeat,
        known_rank: Option<Rank>,
        conflict: bool,
    ) -> HeartbeatAck {
        let tunnel = heartbeat.tunnel;
        let incarnation = heartbeat.rank.incarnation;
        let agent = self
            .roster
            .agent(tunnel)
            .filter(|agent| agent.incarnation == incarnation && !conflict);
        let tag = agent.map(|agent| agent.tag);
        let failure_domain = agent.map(|agent| agent.failure_domain.clone());
        let service = tag.and_then(|tag| {
            self.config_replica
                .service_after(tag, heartbeat.service_version)
        });
        let peers = tag
            .filter(|_| heartbeat.wants_peers)
            .map(|tag| self.sample_peers(tag, tunnel));
        let homes = failure_domain
            .filter(|_| heartbeat.wants_homes)
            .map(|domain| self.live_balancers.homes(tunnel, &domain, &self.settings));
        HeartbeatAck {
            tunnel,
            incarnation,
            known_rank,
            conflict,
            config_version: self.config_replica.version(),
            service,
            peers,
            homes,
        }
    }

    /// Returns a sample of the agents of a service that take new flows, without `except`.
    fn sample_peers(&mut self, tag: ServiceTag, except: SocketAddrV4) -> Vec<AgentRecord> {
        let peers: Vec<&AgentRecord> = self
            .roster
            .candidates(tag)
            .filter(|agent| agent.tunnel != except)
            .collect();
        let start = self.rng.random_range(0..peers.len().max(1));
        peers
            .iter()
            .cycle()
            .skip(start)
            .take(peers.len().min(self.settings.max_peer_sample))
            .map(|agent| (*agent).clone())
            .collect()
    }

    fn is_responsible(&self, tunnel: SocketAddrV4, failure_domain: &str) -> bool {
        let own = &self.record;
        self.live_balancers.is_home(
            own.control,
            &own.failure_domain,
            tunnel,
            failure_domain,
            &self.settings,
        )
    }

    /// Starts or stops watching an agent after its record changed.
    pub(super) fn update_watch(&mut self, tunnel: SocketAddrV4, now: Timestamp) {
        let Some(agent) = self.roster.agent(tunnel) else {
            return;
        };
        let silent = self.roster.is_silent(&agent.failure_domain);
        if !agent.state.is_live() || silent {
            self.agent_watch.remove(tunnel);
            return;
        }
        if !self.agent_watch.contains(tunnel) && self.is_responsible(tunnel, &agent.failure_domain)
        {
            let domain = agent.failure_domain.clone();
            self.agent_watch
                .watch(tunnel, agent.control, &domain, &self.settings, now);
        }
    }

    /// Probes agents that have been silent for a while and suspects those that do not answer.
    pub(super) fn scan_agents(&mut self, now: Timestamp) {
        let mut watch = std::mem::take(&mut self.agent_watch);
        let added_grace = |domain: &str| self.suspect_grace(domain, now);
        let actions = watch.scan(&self.settings, added_grace, now);
        self.agent_watch = watch;
        for action in actions {
            match action {
                WatchAction::Probe(tunnel) => {
                    if let Some(control) = self.agent_watch.control(tunnel) {
                        self.send(control, &Message::Probe(tunnel));
                    }
                }
                WatchAction::Suspect(tunnel) => self.suspect(&MemberKey::Agent(tunnel), now),
            }
        }
    }

    /// Returns the grace period added before an agent of the failure domain becomes suspect, so
    /// that one notice about the domain replaces a suspicion of each agent.
    fn suspect_grace(&self, failure_domain: &str, now: Timestamp) -> Duration {
        let is_own = failure_domain == &*self.record.failure_domain;
        let last_received = self
            .domain_last_received
            .get(failure_domain)
            .copied()
            .unwrap_or_default();
        if is_own || now.since(last_received) < self.settings.agent_probe_timeout {
            Duration::ZERO
        } else if self.can_publish_notice(failure_domain, now) {
            self.settings.domain_notice_grace
        } else {
            self.settings.remote_domain_grace
        }
    }

    /// Rebuilds the live balancers and starts watching agents that are now assigned to this
    /// balancer.
    pub(super) fn rebuild_live_balancers(&mut self, now: Timestamp) {
        let is_too_soon = self.live_balancers.len() > Self::MAX_UNPACED_BALANCERS
            && now.since(self.live_balancers.built_at) < Self::REBUILD_INTERVAL;
        if !self.live_balancers_outdated || is_too_soon {
            return;
        }
        self.live_balancers_outdated = false;
        self.live_balancers = LiveBalancers::new(&self.roster, now);
        let unwatched: Vec<SocketAddrV4> = self
            .roster
            .agents()
            .filter(|agent| agent.state.is_live() && !self.agent_watch.contains(agent.tunnel))
            .map(|agent| agent.tunnel)
            .collect();
        for tunnel in unwatched {
            self.update_watch(tunnel, now);
        }
    }
}
