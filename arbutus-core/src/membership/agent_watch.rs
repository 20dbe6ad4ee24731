use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;

use super::Settings;
use crate::time::Timestamp;

/// An agent that a balancer watches.
#[derive(Debug)]
pub(super) struct WatchedAgent {
    pub control: SocketAddrV4,
    pub failure_domain: Arc<str>,
    /// When it was heard, or when the watch began.
    pub last_heard: Timestamp,
    /// When it was last asked for a heartbeat.
    last_probe: Timestamp,
    /// Silence taken for granted before it is probed.
    patience: Duration,
}

/// What follows from an agent's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    Probe(SocketAddrV4),
    Suspect(SocketAddrV4),
}

/// The agents that a balancer watches: those that named it their home, and those that it is
/// responsible for.
#[derive(Debug, Default)]
pub(super) struct AgentWatch {
    /// By tunnel address.
    agents: IndexMap<SocketAddrV4, WatchedAgent>,
    /// Patience with agents that are heard by others and not here.
    patience: IndexMap<SocketAddrV4, Duration>,
}

impl AgentWatch {
    /// Time between two probes.
    const PROBE_PAUSE: Duration = Duration::from_millis(200);
    /// Patience with an agent that has another home.
    const VOUCHED: Duration = Duration::from_secs(10);
    const PATIENCE_MAX: Duration = Duration::from_secs(300);
    /// Agents heard by others and not here that are remembered.
    const PATIENCE_ENTRIES: usize = 256;

    pub fn contains(&self, tunnel: SocketAddrV4) -> bool {
        self.agents.contains_key(&tunnel)
    }

    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// The control address of a watched agent.
    pub fn control(&self, tunnel: SocketAddrV4) -> Option<SocketAddrV4> {
        self.agents.get(&tunnel).map(|agent| agent.control)
    }

    /// Notes a heartbeat of an agent; one with another home is left in peace for longer.
    pub fn heard(
        &mut self,
        tunnel: SocketAddrV4,
        control: SocketAddrV4,
        failure_domain: &Arc<str>,
        is_home: bool,
        now: Timestamp,
    ) {
        self.patience.swap_remove(&tunnel);
        let patience = if is_home {
            Duration::ZERO
        } else {
            Self::VOUCHED
        };
        self.insert(tunnel, control, failure_domain, patience, now);
    }

    /// Begins to watch an agent that was not heard here; it is probed at once.
    pub fn watch(
        &mut self,
        tunnel: SocketAddrV4,
        control: SocketAddrV4,
        failure_domain: &Arc<str>,
        settings: &Settings,
        now: Timestamp,
    ) {
        let patience = self.patience.get(&tunnel).copied().unwrap_or_default();
        let silent_from = now
            .as_micros()
            .saturating_sub(micros(settings.agent_probe_timeout));
        let silent_from = Timestamp::from_micros(silent_from);
        self.insert(tunnel, control, failure_domain, patience, silent_from);
    }

    pub fn forget(&mut self, tunnel: SocketAddrV4) {
        self.agents.swap_remove(&tunnel);
    }

    /// Notes that the transport lost the connection to this control address.
    pub fn unreachable(&mut self, control: SocketAddrV4, settings: &Settings, now: Timestamp) {
        let probe_from = now
            .as_micros()
            .saturating_sub(micros(settings.agent_probe_timeout));
        for agent in self.agents.values_mut() {
            if agent.control == control && agent.patience.is_zero() {
                let silent_from = Timestamp::from_micros(probe_from);
                agent.last_heard = agent.last_heard.min(silent_from);
            }
        }
    }

    /// Counts the silence of all agents from now on.
    pub fn restart(&mut self, now: Timestamp) {
        for agent in self.agents.values_mut() {
            agent.last_heard = now;
        }
    }

    /// What follows from silence; `extra` is the patience added for a failure domain.
    pub fn scan(
        &mut self,
        settings: &Settings,
        extra: impl Fn(&str) -> Duration,
        now: Timestamp,
    ) -> Vec<Silence> {
        let mut silences = Vec::new();
        for (tunnel, agent) in &mut self.agents {
            let silence = now.since(agent.last_heard).saturating_sub(agent.patience);
            if silence < settings.agent_probe_timeout {
                continue;
            }
            if silence >= settings.agent_suspect_timeout + extra(&agent.failure_domain) {
                silences.push(Silence::Suspect(*tunnel));
            } else if now.since(agent.last_probe) >= Self::PROBE_PAUSE {
                agent.last_probe = now;
                silences.push(Silence::Probe(*tunnel));
            }
        }
        for silence in &silences {
            if let Silence::Suspect(tunnel) = silence {
                self.lose_patience_later(*tunnel);
            }
        }
        silences
    }

    /// An agent that others hear is not suspected over and over.
    fn lose_patience_later(&mut self, tunnel: SocketAddrV4) {
        self.agents.swap_remove(&tunnel);
        if self.patience.len() >= Self::PATIENCE_ENTRIES {
            self.patience.shift_remove_index(0);
        }
        let patience = self.patience.entry(tunnel).or_insert(Duration::ZERO);
        let next = (*patience * 4).max(Duration::from_secs(2));
        *patience = next.min(Self::PATIENCE_MAX);
    }

    fn insert(
        &mut self,
        tunnel: SocketAddrV4,
        control: SocketAddrV4,
        failure_domain: &Arc<str>,
        patience: Duration,
        last_heard: Timestamp,
    ) {
        let agent = WatchedAgent {
            control,
            failure_domain: failure_domain.clone(),
            last_heard,
            last_probe: Timestamp::ZERO,
            patience,
        };
        self.agents.insert(tunnel, agent);
    }
}

fn micros(it: Duration) -> u64 {
    u64::try_from(it.as_micros()).unwrap_or(u64::MAX)
}
