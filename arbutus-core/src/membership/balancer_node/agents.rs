//! Agents: their heartbeats, their silence, and who watches them.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::BalancerNode;
use crate::{
    ident::ServiceTag,
    membership::{Heartbeat, HeartbeatAck, Message, agent_watch::Silence, home_list::HomeList},
    roster::{AgentRecord, MemberKey, Rank, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Time between two changes of who watches which agents.
    const HOMES_PACE: Duration = Duration::from_secs(1);
    /// Balancers up to which `HOMES_PACE` is not waited for.
    const SMALL_SYSTEM: usize = 64;

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
            self.on_heard(from, heartbeat, now);
        }
        let ack = self.heartbeat_ack(heartbeat, known_rank, conflict);
        self.send(from, &Message::HeartbeatAck(ack));
    }

    /// Whether the record has the incarnation of another agent at the same address.
    fn is_conflict(&self, record: &AgentRecord) -> bool {
        self.roster.agent(record.tunnel).is_some_and(|held| {
            held.incarnation == record.incarnation
                && (held.tag != record.tag || held.name != record.name)
        })
    }

    /// Notes that an agent runs whose record is the one held here.
    fn on_heard(&mut self, from: SocketAddrV4, heartbeat: &Heartbeat, now: Timestamp) {
        let tunnel = heartbeat.tunnel;
        let Some(agent) = self.roster.agent(tunnel) else {
            return;
        };
        let failure_domain = agent.failure_domain.clone();
        self.on_domain_heard(&failure_domain, now);
        if !heartbeat.rank.state.is_live() {
            self.watch.forget(tunnel);
        } else if heartbeat.is_home || self.is_responsible(tunnel, &failure_domain) {
            self.watch
                .heard(tunnel, from, &failure_domain, heartbeat.is_home, now);
        } else {
            self.watch.forget(tunnel);
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
        let service = tag.and_then(|tag| self.book.service_after(tag, heartbeat.service_version));
        let peers = tag
            .filter(|_| heartbeat.wants_peers)
            .map(|tag| self.sample_peers(tag, tunnel));
        let homes = failure_domain
            .filter(|_| heartbeat.wants_homes)
            .map(|domain| self.homes.homes(tunnel, &domain, &self.settings));
        HeartbeatAck {
            tunnel,
            incarnation,
            known_rank,
            conflict,
            config_version: self.book.version(),
            service,
            peers,
            homes,
        }
    }

    /// Some agents of a service that take flows, leaving out `but`.
    fn sample_peers(&mut self, tag: ServiceTag, but: SocketAddrV4) -> Vec<AgentRecord> {
        let peers: Vec<&AgentRecord> = self
            .roster
            .candidates(tag)
            .filter(|agent| agent.tunnel != but)
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
        self.homes.is_home(
            own.control,
            &own.failure_domain,
            tunnel,
            failure_domain,
            &self.settings,
        )
    }

    /// Begins or ends the watch of an agent whose record changed.
    pub(super) fn review_watch(&mut self, tunnel: SocketAddrV4, now: Timestamp) {
        let Some(agent) = self.roster.agent(tunnel) else {
            return;
        };
        let silent = self.roster.is_silent(&agent.failure_domain);
        if !agent.state.is_live() || silent {
            self.watch.forget(tunnel);
            return;
        }
        if !self.watch.contains(tunnel) && self.is_responsible(tunnel, &agent.failure_domain) {
            let domain = agent.failure_domain.clone();
            self.watch
                .watch(tunnel, agent.control, &domain, &self.settings, now);
        }
    }

    /// Probes agents that were silent for a while and suspects those that stay so.
    pub(super) fn scan_agents(&mut self, now: Timestamp) {
        let mut watch = std::mem::take(&mut self.watch);
        let extra = |domain: &str| self.patience_with(domain, now);
        let silences = watch.scan(&self.settings, extra, now);
        self.watch = watch;
        for silence in silences {
            match silence {
                Silence::Probe(tunnel) => {
                    if let Some(control) = self.watch.control(tunnel) {
                        self.send(control, &Message::Probe(tunnel));
                    }
                }
                Silence::Suspect(tunnel) => self.suspect(&MemberKey::Agent(tunnel), now),
            }
        }
    }

    /// Time added before an agent of the failure domain becomes suspect, so that a notice about
    /// the domain takes the place of a suspicion of each agent.
    fn patience_with(&self, failure_domain: &str, now: Timestamp) -> Duration {
        let is_own = failure_domain == &*self.record.failure_domain;
        let heard = self.heard.get(failure_domain).copied().unwrap_or_default();
        if is_own || now.since(heard) < self.settings.agent_probe_timeout {
            Duration::ZERO
        } else if self.may_give_notice(failure_domain, now) {
            self.settings.domain_notice_grace
        } else {
            self.settings.remote_domain_grace
        }
    }

    /// Takes up the watch of agents whose responsible balancers changed.
    pub(super) fn renew_homes(&mut self, now: Timestamp) {
        let is_paced = self.homes.len() > Self::SMALL_SYSTEM
            && now.since(self.homes.made_at) < Self::HOMES_PACE;
        if !self.homes_outdated || is_paced {
            return;
        }
        self.homes_outdated = false;
        self.homes = HomeList::new(&self.roster, now);
        let unwatched: Vec<SocketAddrV4> = self
            .roster
            .agents()
            .filter(|agent| agent.state.is_live() && !self.watch.contains(agent.tunnel))
            .map(|agent| agent.tunnel)
            .collect();
        for tunnel in unwatched {
            self.review_watch(tunnel, now);
        }
    }
}
