use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;

use super::Settings;
use crate::time::Timestamp;

/// An agent watched by a balancer.
#[derive(Debug)]
pub(super) struct WatchedAgent {
    pub control: SocketAddrV4,
    pub failure_domain: Arc<str>,
    /// When the last heartbeat was received, or the watch began.
    pub last_received: Timestamp,
    /// When the agent was last probed.
    last_probe: Timestamp,
    /// Grace period before the silence counts towards a probe.
    grace: Duration,
}

/// The action due for an agent that has been silent for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchAction {
    Probe(SocketAddrV4),
    Suspect(SocketAddrV4),
}

/// The agents watched by a balancer: those that use the balancer as a home, and those that
/// rendezvous hashing assigns to the balancer.
#[derive(Debug, Default)]
pub(super) struct AgentWatch {
    /// By tunnel address.
    agents: IndexMap<SocketAddrV4, WatchedAgent>,
    /// Grace periods for agents that were suspected here while other balancers received their
    /// heartbeats.
    grace: IndexMap<SocketAddrV4, Duration>,
}

impl AgentWatch {
    /// Minimum time between two probes of an agent.
    const PROBE_INTERVAL: Duration = Duration::from_millis(200);
    /// Grace period for an agent whose home is another balancer.
    const SECONDARY_GRACE: Duration = Duration::from_secs(10);
    /// Limit on the grace period of an agent that is suspected repeatedly.
    const MAX_GRACE: Duration = Duration::from_secs(300);
    /// Limit on remembered grace periods; the oldest is evicted first.
    const MAX_GRACE_ENTRIES: usize = 256;

    pub fn contains(&self, tunnel: SocketAddrV4) -> bool {
        self.agents.contains_key(&tunnel)
    }

    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns the control address of a watched agent.
    pub fn control(&self, tunnel: SocketAddrV4) -> Option<SocketAddrV4> {
        self.agents.get(&tunnel).map(|agent| agent.control)
    }

    /// Records a heartbeat; an agent whose home is another balancer gets a longer grace period.
    pub fn on_heartbeat(
        &mut self,
        tunnel: SocketAddrV4,
        control: SocketAddrV4,
        failure_domain: &Arc<str>,
        is_home: bool,
        now: Timestamp,
    ) {
        self.grace.swap_remove(&tunnel);
        let grace = if is_home {
            Duration::ZERO
        } else {
            Self::SECONDARY_GRACE
        };
        self.insert(tunnel, control, failure_domain, grace, now);
    }

    /// Begins to watch an agent from which no heartbeat was received, and makes its first probe due
    /// at once unless a grace period is remembered.
    pub fn watch(
        &mut self,
        tunnel: SocketAddrV4,
        control: SocketAddrV4,
        failure_domain: &Arc<str>,
        settings: &Settings,
        now: Timestamp,
    ) {
        let grace = self.grace.get(&tunnel).copied().unwrap_or_default();
        let silent_from = now
            .as_micros()
            .saturating_sub(micros(settings.agent_probe_timeout));
        let silent_from = Timestamp::from_micros(silent_from);
        self.insert(tunnel, control, failure_domain, grace, silent_from);
    }

    pub fn remove(&mut self, tunnel: SocketAddrV4) {
        self.agents.swap_remove(&tunnel);
    }

    /// Makes a probe due for agents at a control address to which the transport lost the
    /// connection.
    pub fn on_unreachable(&mut self, control: SocketAddrV4, settings: &Settings, now: Timestamp) {
        let silent_from_micros = now
            .as_micros()
            .saturating_sub(micros(settings.agent_probe_timeout));
        for agent in self.agents.values_mut() {
            if agent.control == control && agent.grace.is_zero() {
                let silent_from = Timestamp::from_micros(silent_from_micros);
                agent.last_received = agent.last_received.min(silent_from);
            }
        }
    }

    /// Restarts the timeouts of all agents.
    pub fn reset_timeouts(&mut self, now: Timestamp) {
        for agent in self.agents.values_mut() {
            agent.last_received = now;
        }
    }

    /// Returns the actions due at `now`, and stops watching suspected agents.
    ///
    /// `added_grace` returns the grace period added to the suspect timeout for a failure domain.
    pub fn scan(
        &mut self,
        settings: &Settings,
        added_grace: impl Fn(&str) -> Duration,
        now: Timestamp,
    ) -> Vec<WatchAction> {
        let mut actions = Vec::new();
        for (tunnel, agent) in &mut self.agents {
            let silence = now.since(agent.last_received).saturating_sub(agent.grace);
            if silence < settings.agent_probe_timeout {
                continue;
            }
            if silence >= settings.agent_suspect_timeout + added_grace(&agent.failure_domain) {
                actions.push(WatchAction::Suspect(*tunnel));
            } else if now.since(agent.last_probe) >= Self::PROBE_INTERVAL {
                agent.last_probe = now;
                actions.push(WatchAction::Probe(*tunnel));
            }
        }
        for action in &actions {
            if let WatchAction::Suspect(tunnel) = action {
                self.extend_grace(*tunnel);
            }
        }
        actions
    }

    /// Stops watching a suspected agent and extends its grace period, so that an agent whose
    /// heartbeats reach only other balancers is not suspected repeatedly.
    ///
    /// The grace period starts at two seconds and grows fourfold each time.
    fn extend_grace(&mut self, tunnel: SocketAddrV4) {
        self.agents.swap_remove(&tunnel);
        if self.grace.len() >= Self::MAX_GRACE_ENTRIES {
            self.grace.shift_remove_index(0);
        }
        let grace = self.grace.entry(tunnel).or_insert(Duration::ZERO);
        let next = (*grace * 4).max(Duration::from_secs(2));
        *grace = next.min(Self::MAX_GRACE);
    }

    fn insert(
        &mut self,
        tunnel: SocketAddrV4,
        control: SocketAddrV4,
        failure_domain: &Arc<str>,
        grace: Duration,
        last_received: Timestamp,
    ) {
        let agent = WatchedAgent {
            control,
            failure_domain: failure_domain.clone(),
            last_received,
            last_probe: Timestamp::ZERO,
            grace,
        };
        self.agents.insert(tunnel, agent);
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
