use std::time::Duration;

/// Tunables of the control plane; one value for all nodes of a system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time between two rounds of a balancer, in which it sends what is new.
    pub round_interval: Duration,
    /// Time between two heartbeats of an agent to each of its home balancers.
    pub heartbeat_interval: Duration,
    /// Silence after which a balancer probes an agent.
    pub agent_probe_timeout: Duration,
    /// Silence after which an agent becomes suspect; above `agent_probe_timeout`.
    pub agent_suspect_timeout: Duration,
    /// Time added to `agent_suspect_timeout` where nothing else of the agent's failure domain is heard.
    pub remote_domain_grace: Duration,
    /// The same where a notice about the whole failure domain may come first.
    pub domain_notice_grace: Duration,
    /// Silence after which an agent takes another home balancer.
    pub home_timeout: Duration,
    /// Home balancers of an agent in its own failure domain.
    pub local_homes: usize,
    /// Home balancers of an agent in other failure domains.
    pub remote_homes: usize,
    /// Time between two requests of an agent for a sample of its peers.
    pub peer_refresh_interval: Duration,
    /// Time between two requests of an agent for balancers it may use.
    pub home_refresh_interval: Duration,
    /// Peers of its service that an agent is told of.
    pub max_peer_sample: usize,
    /// Time between two keepalives on a link between balancers.
    pub keepalive_interval: Duration,
    /// Silence after which a balancer becomes suspect.
    pub balancer_suspect_timeout: Duration,
    /// Links that a balancer opens within its failure domain.
    pub local_links: usize,
    /// Links that a balancer opens to other failure domains.
    pub remote_links: usize,
    /// Links that a balancer keeps at most, those opened by others included.
    pub max_links: usize,
    /// Time between two attempts to reach a balancer that was lost.
    pub reconnect_interval: Duration,
    /// Bytes of changes sent over one link in a round.
    pub max_push_bytes: usize,
    /// Branches of the digests that are compared in one repair.
    pub max_repair_branches: usize,
    /// Time between two repairs that a balancer begins.
    pub repair_interval: Duration,
    /// Balancers of a failure domain that hold a watch on the store.
    pub store_readers: usize,
    /// Mean time between two reads of the store by other balancers.
    pub store_poll_interval: Duration,
    /// Time in which a new balancer leaves the store to others until it knows them; up to twice as
    /// long by chance.
    pub store_start_delay: Duration,
    /// Time from a refuted notice about a failure domain to the next one.
    pub notice_cooldown: Duration,
}

impl Settings {
    /// The tunables of a system whose settings name none.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            round_interval: Duration::from_millis(100),
            heartbeat_interval: Duration::from_millis(500),
            agent_probe_timeout: Duration::from_secs(1),
            agent_suspect_timeout: Duration::from_millis(1_500),
            remote_domain_grace: Duration::from_secs(1),
            domain_notice_grace: Duration::from_millis(2_500),
            home_timeout: Duration::from_millis(1_500),
            local_homes: 2,
            remote_homes: 1,
            peer_refresh_interval: Duration::from_secs(5),
            home_refresh_interval: Duration::from_secs(10),
            max_peer_sample: 10,
            keepalive_interval: Duration::from_millis(750),
            balancer_suspect_timeout: Duration::from_secs(2),
            local_links: 3,
            remote_links: 1,
            max_links: 12,
            reconnect_interval: Duration::from_secs(5),
            max_push_bytes: 4 * 1_024,
            max_repair_branches: 8,
            repair_interval: Duration::from_millis(400),
            store_readers: 2,
            store_poll_interval: Duration::from_secs(600),
            store_start_delay: Duration::from_secs(2),
            notice_cooldown: Duration::from_secs(30),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}
