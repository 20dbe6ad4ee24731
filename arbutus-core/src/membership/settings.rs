use std::time::Duration;

/// Tunables of the control plane; one value for all nodes of a system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time between two rounds of a balancer, in which it sends what is new.
    pub round: Duration,
    /// Time between two heartbeats of an agent to each of its home balancers.
    pub heartbeat: Duration,
    /// Silence after which a balancer probes an agent.
    pub agent_probe: Duration,
    /// Silence after which an agent becomes suspect; above `agent_probe`.
    pub agent_suspect: Duration,
    /// Time added to `agent_suspect` where nothing else of the agent's failure domain is heard.
    pub foreign_patience: Duration,
    /// The same where a notice about the whole failure domain may come first.
    pub notice_patience: Duration,
    /// Silence after which an agent takes another home balancer.
    pub home_silence: Duration,
    /// Home balancers of an agent in its own failure domain.
    pub homes_near: usize,
    /// Home balancers of an agent in other failure domains.
    pub homes_far: usize,
    /// Time between two requests of an agent for a sample of its peers.
    pub peer_refresh: Duration,
    /// Time between two requests of an agent for balancers it may use.
    pub home_refresh: Duration,
    /// Peers of its service that an agent is told of.
    pub peer_sample: usize,
    /// Time between two keepalives on a link between balancers.
    pub keepalive: Duration,
    /// Silence after which a balancer becomes suspect.
    pub balancer_suspect: Duration,
    /// Links that a balancer opens within its failure domain.
    pub links_near: usize,
    /// Links that a balancer opens to other failure domains.
    pub links_far: usize,
    /// Links that a balancer keeps at most, those opened by others included.
    pub links_max: usize,
    /// Time between two attempts to reach a balancer that was lost.
    pub reconnect: Duration,
    /// Bytes of changes sent over one link in a round.
    pub push_bytes: usize,
    /// Branches of the digests that are compared in one repair.
    pub repair_branches: usize,
    /// Time between two repairs that a balancer begins.
    pub repair_pause: Duration,
    /// Balancers of a failure domain that hold a watch on the store.
    pub readers: usize,
    /// Mean time between two reads of the store by other balancers.
    pub store_poll: Duration,
    /// Time in which a new balancer leaves the store to others until it knows them; up to twice as
    /// long by chance.
    pub store_start: Duration,
    /// Time from a refuted notice about a failure domain to the next one.
    pub notice_pause: Duration,
}

impl Settings {
    /// The tunables of a system whose settings name none.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            round: Duration::from_millis(100),
            heartbeat: Duration::from_millis(500),
            agent_probe: Duration::from_secs(1),
            agent_suspect: Duration::from_millis(1_500),
            foreign_patience: Duration::from_secs(1),
            notice_patience: Duration::from_millis(2_500),
            home_silence: Duration::from_millis(1_500),
            homes_near: 2,
            homes_far: 1,
            peer_refresh: Duration::from_secs(5),
            home_refresh: Duration::from_secs(10),
            peer_sample: 10,
            keepalive: Duration::from_millis(750),
            balancer_suspect: Duration::from_secs(2),
            links_near: 3,
            links_far: 1,
            links_max: 12,
            reconnect: Duration::from_secs(5),
            push_bytes: 4 * 1_024,
            repair_branches: 8,
            repair_pause: Duration::from_millis(400),
            readers: 2,
            store_poll: Duration::from_secs(600),
            store_start: Duration::from_secs(2),
            notice_pause: Duration::from_secs(30),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}
