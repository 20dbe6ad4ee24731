//! Faults and planned changes.

use std::time::Duration;

use arbutus_core::{
    ident::{Incarnation, ServiceTag},
    packet::{AgentListing, EarlierListing, Steering, SteeringSettings},
};
use rand::Rng;

use super::{
    super::{
        fixture::{self, SERVICE},
        model_backend::ModelBackend,
        model_caller::ModelCaller,
    },
    AGENT_TICK, Agent, BALANCER_TICK, Balancer, Event, INTRODUCTION_INTERVAL, LISTING_TTL, SEEDS,
    World,
};

impl World {
    pub fn start_balancer(&mut self, index: usize) {
        self.record_fault(("start balancer", index));
        let generation = self.next_generation();
        let settings = SteeringSettings {
            balancer: fixture::balancer(index),
            failure_domain: fixture::failure_domain(index),
            cross_domain_cost: 1.0,
            seeds: (0..SEEDS).map(fixture::balancer).collect(),
        };
        let mut steering = Steering::new(settings, self.now);
        steering.on_config(fixture::config(1, &[(SERVICE, 1)]));
        self.balancers[index] = Some(Balancer {
            steering,
            generation,
            started_at: self.now,
            reaches_store: true,
        });
        self.schedule(BALANCER_TICK, Event::BalancerTick(index, generation));
        self.schedule(
            Duration::from_millis(10),
            Event::Listings(index, generation),
        );
        self.schedule(
            Duration::from_millis(250),
            Event::PollPeers(index, generation),
        );
    }

    pub fn kill_balancer(&mut self, index: usize) {
        self.record_fault(("kill balancer", index));
        self.balancers[index] = None;
    }

    pub fn balancer_runs(&self, index: usize) -> bool {
        self.balancers[index].is_some()
    }

    /// Sets whether a balancer can reach the store.
    pub fn set_balancer_reaches_store(&mut self, index: usize, reaches: bool) {
        self.record_fault(("balancer reaches store", index, reaches));
        let Some(balancer) = &mut self.balancers[index] else {
            return;
        };
        balancer.reaches_store = reaches;
        if !reaches {
            balancer.steering.on_store_status(false, self.now);
        }
    }

    pub fn add_backend(&mut self) -> usize {
        self.add_backend_with_clock_ahead(0)
    }

    /// Adds a VM with a backend server and its agent. Its wall clock is ahead.
    pub fn add_backend_with_clock_ahead(&mut self, clock_ahead_ms: u64) -> usize {
        let index = self.agents.len();
        self.agents.push(Agent {
            tracker: None,
            backend: None,
            generation: 0,
            started_at: self.now,
            listed_until: None,
            listed_process: None,
            has_read_listing: false,
            clock_ahead_ms,
            listing: None,
            reaches_store: true,
        });
        self.start_agent(index);
        let start = self.rng.random();
        let started_at_ms = self.wall_ms(index) + 1;
        let backend = ModelBackend::new(index, &format!("i-{index}"), started_at_ms, start);
        self.agents[index].backend = Some(backend);
        self.schedule(Duration::from_millis(5), Event::Heartbeat(index));
        index
    }

    pub fn start_agent(&mut self, index: usize) {
        self.record_fault(("start agent", index));
        let generation = self.next_generation();
        let incarnation = self.wall_ms(index);
        let mut tracker = fixture::tracker(index, incarnation, self.now);
        tracker.on_earlier_listing(EarlierListing::Unknown);
        let agent = &mut self.agents[index];
        agent.tracker = Some(tracker);
        agent.generation = generation;
        agent.started_at = self.now;
        agent.has_read_listing = false;
        agent.listing = Some(AgentListing {
            agent: fixture::agent(index),
            service: ServiceTag::of_name(SERVICE),
            failure_domain: fixture::failure_domain(index),
            incarnation: Incarnation::new(incarnation),
        });
        self.schedule(AGENT_TICK, Event::AgentTick(index, generation));
        self.schedule(INTRODUCTION_INTERVAL, Event::Introduce(index, generation));
    }

    /// Kills an agent while its backend server keeps running.
    pub fn kill_agent(&mut self, index: usize) {
        self.record_fault(("kill agent", index));
        let agent = &mut self.agents[index];
        agent.tracker = None;
        agent.listed_until = agent.listed_until.map(|_| self.now + LISTING_TTL);
    }

    pub fn agent_runs(&self, index: usize) -> bool {
        self.agents[index].tracker.is_some()
    }

    pub fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Sets whether an agent can reach the store. An agent that cannot loses its listing.
    pub fn set_agent_reaches_store(&mut self, index: usize, reaches: bool) {
        self.record_fault(("agent reaches store", index, reaches));
        self.agents[index].reaches_store = reaches;
        if !reaches {
            self.agents[index].listed_until = None;
            self.notify_listings();
        }
    }

    pub fn drain_backend(&mut self, index: usize) {
        self.record_fault(("drain", index));
        if let Some(backend) = &mut self.agents[index].backend {
            backend.draining = true;
        }
        self.heartbeat(index);
    }

    /// Ends a backend server as planned.
    pub fn end_backend(&mut self, index: usize) {
        self.record_fault(("leave", index));
        let now = self.now;
        let agent = &mut self.agents[index];
        let Some(backend) = agent.backend.take() else {
            return;
        };
        agent.listed_until = None;
        let generation = agent.generation;
        if let Some(tracker) = &mut agent.tracker {
            tracker.on_backend_left(&backend.id, now);
        }
        self.schedule(
            Duration::from_millis(250),
            Event::ResetFlows(index, generation, now),
        );
        self.notify_listings();
    }

    /// Replaces a backend server at its address by a new process without flows.
    pub fn crash_backend(&mut self, index: usize) {
        self.record_fault(("crash backend server", index));
        let start = self.rng.random();
        let started_at_ms = self.wall_ms(index);
        let agent = &mut self.agents[index];
        if agent.backend.is_some() {
            agent.backend = Some(ModelBackend::new(
                index,
                &format!("i-{index}"),
                started_at_ms,
                start,
            ));
            self.schedule(Duration::from_millis(5), Event::Heartbeat(index));
        }
    }

    /// Sets how far the wall clock of an agent's VM is ahead.
    pub fn set_clock_ahead(&mut self, index: usize, ms: u64) {
        self.record_fault(("clock ahead", index, ms));
        self.agents[index].clock_ahead_ms = ms;
    }

    pub fn has_backend(&self, index: usize) -> bool {
        self.agents[index].backend.is_some()
    }

    pub fn open_flow(&mut self, number: u16, requests: u32) {
        self.callers
            .insert(number, ModelCaller::new(number, requests, self.now));
        self.schedule(Duration::ZERO, Event::CallerDue(number));
    }
}
