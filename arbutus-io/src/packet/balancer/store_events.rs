use std::net::SocketAddrV4;

use arbutus_core::{
    packet::{AgentListing, PacketConfig, PeerSnapshot},
    time::Timestamp,
};

use super::PacketBalancer;
use crate::{clock, packet::PacketCodec};

/// What the store and other balancers tell a balancer.
impl<C: PacketCodec> PacketBalancer<C> {
    /// Applies a configuration from `source` if it is newer than the one in force.
    pub fn on_config(&self, config: PacketConfig, source: &'static str) {
        let (version, routes) = (config.version, config.routes.len());
        let mut state = self.state.lock();
        let before = state.steering.config_version();
        let newer = state.steering.on_config(config);
        drop(state);
        if newer {
            tracing::info!(%version, %before, routes, source, "config_in_force");
        } else {
            tracing::debug!(%version, %before, source, "config_not_newer");
        }
    }

    /// Replaces the set of listed agents with the agents that the store lists now.
    pub fn on_listing(&self, listings: &[AgentListing]) {
        self.state
            .lock()
            .steering
            .on_full_listing(listings, clock::now());
        tracing::info!(agents = listings.len(), "agents_listed");
    }

    /// Records that the store lists an agent.
    pub fn on_listed(&self, listing: &AgentListing) {
        let now = clock::now();
        let change = self.state.lock().steering.on_listed(listing, now);
        let AgentListing {
            agent, incarnation, ..
        } = listing;
        tracing::info!(%agent, %incarnation, ?change, source = "store", "agent_listed");
    }

    /// Records that the store no longer lists an agent.
    pub fn on_unlisted(&self, agent: SocketAddrV4) {
        let change = self.state.lock().steering.on_unlisted(agent);
        tracing::info!(%agent, ?change, source = "store", "agent_unlisted");
    }

    /// Applies the snapshot of another balancer.
    pub fn on_snapshot(&self, snapshot: PeerSnapshot) {
        let now = clock::now();
        let (agents, settled) = (snapshot.agents.len(), snapshot.settled);
        if let Some(config) = snapshot.config {
            self.on_config(config, "peer");
        }
        let mut state = self.state.lock();
        state
            .steering
            .on_peer_agents(&snapshot.agents, snapshot.settled, now);
        drop(state);
        tracing::info!(agents, settled, "peer_snapshot_taken");
    }

    /// Applies a seed's answer about agents that the store does not list, and continues the lookups
    /// that waited for it.
    pub(super) fn on_unlisted_answer(
        &self,
        seed: SocketAddrV4,
        number: u32,
        agents: &[AgentListing],
        all: bool,
        now: Timestamp,
    ) {
        let mut state = self.state.lock();
        state
            .steering
            .on_unlisted_answer(seed, number, agents, all, now);
        drop(state);
        if !agents.is_empty() {
            tracing::info!(%seed, agents = agents.len(), all, "unlisted_agents_told");
        }
        self.expire_lookups(now);
    }

    /// Replaces the balancers that agents introduce themselves to.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        self.state.lock().steering.set_seeds(seeds);
    }

    /// Records whether the store is reachable.
    pub fn on_store_status(&self, reachable: bool) {
        self.state
            .lock()
            .steering
            .on_store_status(reachable, clock::now());
    }

    /// Records that all changes of the store have been applied that it had made before a call that
    /// began at `asked_at`, and continues the lookups that waited for them.
    pub fn on_store_synced(&self, asked_at: Timestamp) {
        let now = clock::now();
        let mut state = self.state.lock();
        state.steering.on_store_synced(asked_at, now);
        drop(state);
        self.expire_lookups(now);
    }

    /// Records that the store has come back from an older copy.
    pub fn on_store_restored(&self) {
        self.state.lock().steering.on_store_restored(clock::now());
    }
}
