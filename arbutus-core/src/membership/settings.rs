use std::time::Duration;

/// Settings of the control plane, the same for all nodes of a system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Minimum time between two rounds of a balancer. Changes are sent once per round.
    pub round_interval: Duration,
    /// Time between two heartbeats of an agent to each of its home balancers.
    pub heartbeat_interval: Duration,
    /// Silence after which a balancer probes an agent.
    pub agent_probe_timeout: Duration,
    /// Silence after which an agent becomes suspect; greater than `agent_probe_timeout`.
    pub agent_suspect_timeout: Duration,
    /// Grace period added to `agent_suspect_timeout` if the agent is in another failure domain,
    /// from which the balancer receives nothing at all.
    pub remote_domain_grace: Duration,
    /// Grace period used instead of `remote_domain_grace` if a notice about the whole failure
    /// domain may be published first.
    pub domain_notice_grace: Duration,
    /// Silence after which an agent replaces a home balancer.
    pub home_timeout: Duration,
    /// Number of home balancers of an agent in its own failure domain.
    pub local_homes: usize,
    /// Number of home balancers of an agent in other failure domains.
    pub remote_homes: usize,
    /// Time between two requests of an agent for a sample of its peers.
    pub peer_refresh_interval: Duration,
    /// Time between two requests of an agent for balancers to use as homes.
    pub home_refresh_interval: Duration,
    /// Maximum number of peers reported to an agent.
    pub max_peer_sample: usize,
    /// Time between two keepalives on a link between balancers.
    pub keepalive_interval: Duration,
    /// Silence after which a balancer becomes suspect.
    pub balancer_suspect_timeout: Duration,
    /// Number of links that a balancer opens within its failure domain.
    pub local_links: usize,
    /// Number of links that a balancer opens to other failure domains.
    pub remote_links: usize,
    /// Maximum number of links of a balancer, including those opened by others.
    pub max_links: usize,
    /// Mean time between two attempts to reach balancers without a link.
    pub reconnect_interval: Duration,
    /// Size of the changes sent over one link in a round, in bytes. The record that reaches the
    /// limit is still sent.
    pub max_push_bytes: usize,
    /// Maximum number of branches compared in one repair.
    pub max_repair_branches: usize,
    /// Minimum time between two repairs that a balancer starts.
    pub repair_interval: Duration,
    /// Number of balancers per failure domain that hold a watch on the store.
    pub store_readers: usize,
    /// Mean time between two reads of the store by the other balancers.
    pub store_poll_interval: Duration,
    /// Minimum time for which a joining balancer does not read the store as a store reader, because
    /// it may not have received the records of other readers yet. The actual time is random, up to
    /// twice as long.
    pub store_start_delay: Duration,
    /// Time after a change of a notice about a failure domain in which no new notice is published.
    pub notice_cooldown: Duration,
}

impl Settings {
    /// Returns the default settings.
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
