mod openings;
mod reporting;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;

use super::{
    BackendMonitor, EarlierListing, FlowId, LookupAnswer, Question, RefusalReason, RelayHeader,
    ResetCause, Segment, TrackerAction, TrackerDropReason,
    balancer_links::BalancerLinks,
    eviction,
    flow_table::FlowTable,
    service_shares::ServiceShares,
    tracked_flow::{Phase, TrackedFlow},
};
use crate::{
    config::ConfigVersion,
    ident::{Incarnation, ServiceTag},
    time::Timestamp,
};

/// The settings of an agent's [`FlowTracker`].
#[derive(Debug, Clone)]
pub struct TrackerSettings {
    /// The address where the agent receives relayed packets.
    pub agent: SocketAddrV4,
    /// The agent's service.
    pub service: Arc<str>,
    /// The address where the agent's backend server receives packets.
    pub backend: SocketAddrV4,
    /// The agent's failure domain.
    pub failure_domain: Arc<str>,
    /// The agent's incarnation at its address: its start time, in milliseconds since the Unix
    /// epoch.
    pub incarnation: Incarnation,
    /// The interval between heartbeats of the backend server.
    pub heartbeat_interval: Duration,
    /// How long an open flow may be idle before its entry is removed.
    pub flow_idle_timeout: Duration,
}

/// The state machine that decides on packets in an agent, the authority over its backend server.
///
/// The agent sees every packet that its backend server receives or sends, so its flow table
/// contains the flows that the backend server holds. The flow table of an agent that started after
/// its backend server is incomplete. Such an agent delivers packets of unknown flows to the backend
/// server as a last resort, once no other agent owns the flow.
#[derive(Debug)]
pub struct FlowTracker {
    settings: TrackerSettings,
    tag: ServiceTag,
    backend: BackendMonitor,
    flows: FlowTable,
    /// The open flows whose last-resort delivery the backend server rejected, with the time.
    not_owned: IndexMap<FlowId, Timestamp>,
    /// The last delivery of each flow, which the backend server may still reject.
    deliveries: IndexMap<FlowId, Delivery>,
    shares: ServiceShares,
    links: BalancerLinks,
    sequence: u32,
    stopping: bool,
    /// When the process started.
    started_at: Timestamp,
    /// What the store says about the agent's process before this one.
    earlier_listing: EarlierListing,
    /// Whether a flow has been evicted from the full flow table.
    evicted_flows: bool,
    config: ConfigVersion,
    config_source: Option<SocketAddrV4>,
}

/// A packet that was delivered to the backend server, which may reject it.
#[derive(Debug)]
struct Delivery {
    header: RelayHeader,
    at: Timestamp,
}

impl FlowTracker {
    /// How long after a delivery the backend server may reject the packet.
    const REJECTION_TIMEOUT: Duration = Duration::from_secs(2);

    /// How long the agent records that the backend server does not hold a flow.
    const NOT_OWNED_TTL: Duration = Duration::from_secs(10);

    /// The maximum number of tracked flows, which take about 16 MB.
    const MAX_FLOWS: usize = 65_536;

    /// Creates a tracker without flows that has no heartbeat of its backend server yet.
    #[must_use]
    pub fn new(settings: TrackerSettings, now: Timestamp) -> Self {
        let backend = BackendMonitor::new(
            settings.service.clone(),
            settings.backend,
            settings.heartbeat_interval,
        );
        Self {
            tag: ServiceTag::of_name(&settings.service),
            settings,
            backend,
            flows: FlowTable::default(),
            not_owned: IndexMap::new(),
            deliveries: IndexMap::new(),
            shares: ServiceShares::default(),
            links: BalancerLinks::default(),
            sequence: 0,
            stopping: false,
            started_at: now,
            earlier_listing: EarlierListing::Unknown,
            evicted_flows: false,
            config: ConfigVersion::NONE,
            config_source: None,
        }
    }

    /// Decides on a caller's packet that was relayed to this agent.
    pub fn on_relayed(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        self.links.on_packet(header.balancer, now);
        if header.config > self.config {
            self.config = header.config;
            self.config_source = Some(header.balancer);
        }
        if segment.is_opening() {
            self.on_opening(header, segment, now)
        } else {
            self.on_later_segment(header, segment, now)
        }
    }

    fn on_later_segment(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        // The header's service does not matter here: an open flow stays with its backend server
        // when a configuration points the route to another service.
        let Some(tracked) = self.flows.get(&segment.flow) else {
            return self.on_unknown_flow(header, segment, now);
        };
        if !tracked.matches_stream(segment) {
            return self.on_other_stream(header, segment, now);
        }
        if tracked.begins_further_request(segment) {
            self.shares.on_request(segment.flow.service, now);
        }
        self.flows
            .update(&segment.flow, |it| it.on_caller_segment(segment, now));
        let notify_balancer = balancer_to_notify(&header);
        self.record_delivery(header, segment.flow, now);
        TrackerAction::ToBackend {
            notify_balancer,
            admitted: false,
        }
    }

    /// Decides on a packet of a stream that does not begin where the backend server's does.
    ///
    /// This proves nothing if the agent may have missed the start of the flow: the backend server may
    /// have answered a late copy of the opening segment since.
    fn on_other_stream(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        if self.tracks_all_flows() {
            return pass_on(header, segment, RefusalReason::OtherStream);
        }
        self.on_unknown_flow(header, segment, now)
    }

    fn on_unknown_flow(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        if self.tracks_all_flows() {
            return pass_on(header, segment, RefusalReason::NotHeld);
        }
        if !header.owner_confirmed && !header.last_resort {
            return pass_on(header, segment, RefusalReason::Unsure);
        }
        self.record_delivery(header, segment.flow, now);
        TrackerAction::ToBackend {
            notify_balancer: None,
            admitted: false,
        }
    }

    /// Returns the answers to a balancer's query, in the order of its questions.
    pub fn on_query(
        &mut self,
        balancer: SocketAddrV4,
        questions: &[Question],
        now: Timestamp,
    ) -> Vec<LookupAnswer> {
        self.links.on_packet(balancer, now);
        questions.iter().map(|it| self.answer(it)).collect()
    }

    fn answer(&self, question: &Question) -> LookupAnswer {
        let mut segment = Segment::new(question.flow);
        segment.acknowledged = question.acknowledged;
        let tracked = self.flows.get(&question.flow);
        if tracked.is_some_and(|it| it.matches_stream(&segment)) {
            LookupAnswer::Owned
        } else if self.tracks_all_flows() || self.not_owned.contains_key(&question.flow) {
            LookupAnswer::NotOwned
        } else {
            LookupAnswer::Unknown
        }
    }

    /// Decides on a packet that the backend server sent to a caller.
    pub fn on_backend_packet(&mut self, segment: &Segment, now: Timestamp) -> TrackerAction {
        self.backend.record_response();
        let mut notify_balancer = None;
        if !self.flows.contains(&segment.flow) {
            self.evict_if_full();
            let delivery = self.deliveries.get(&segment.flow);
            notify_balancer = delivery.map(|it| it.header.balancer);
            let phase = if segment.is_accepting() {
                Phase::Opening
            } else {
                Phase::Open
            };
            self.flows
                .insert(segment.flow, TrackedFlow::new(phase, now));
        }
        if segment.has_rst() && self.awaits_answer(&segment.flow) {
            self.backend.record_failure(now);
            self.links.mark_all_pending(now);
        }
        let answer = |it: &mut TrackedFlow| it.on_backend_segment(segment, now);
        let response_time = self.flows.update(&segment.flow, answer).flatten();
        if response_time.is_some() {
            self.backend.record_answer();
            self.shares.on_answer(segment.flow.service, now);
        }
        TrackerAction::ToCaller {
            response_time,
            notify_balancer,
        }
    }

    /// Returns whether a caller waits for the first packet of an answer on the flow.
    fn awaits_answer(&self, flow: &FlowId) -> bool {
        let tracked = self.flows.get(flow);
        tracked.is_some_and(|it| it.request_pending_since.is_some())
    }

    /// Decides on a caller's packet that the backend server rejected.
    pub fn on_bounced(&mut self, segment: &Segment, now: Timestamp) -> TrackerAction {
        self.backend.record_response();
        let delivery = self.deliveries.swap_remove(&segment.flow);
        let tracked = self.flows.get(&segment.flow).copied();
        if segment.is_opening() {
            if tracked.is_some_and(|it| it.phase == Phase::Opening) {
                self.flows.remove(&segment.flow);
            }
        } else if let Some(tracked) = tracked {
            self.flows.remove(&segment.flow);
            if tracked.is_open() {
                // The backend server held the flow and no longer does: it has been restarted.
                return TrackerAction::Reset {
                    flow: segment.flow,
                    acknowledged: segment.acknowledged,
                    cause: ResetCause::BackendForgot,
                };
            }
        }
        match delivery {
            Some(it) if now.since(it.at) < Self::REJECTION_TIMEOUT => {
                self.on_rejected(it, segment, now)
            }
            _ => TrackerAction::Drop(TrackerDropReason::UnknownBounce),
        }
    }

    fn on_rejected(
        &mut self,
        delivery: Delivery,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        if !delivery.header.last_resort {
            return pass_on(delivery.header, segment, RefusalReason::Bounced);
        }
        if self.not_owned.len() >= Self::MAX_FLOWS {
            eviction::evict_oldest(&mut self.not_owned);
        }
        self.not_owned.insert(segment.flow, now);
        TrackerAction::NotOwned {
            balancer: delivery.header.balancer,
        }
    }

    /// Removes expired flows and records.
    pub fn expire(&mut self, now: Timestamp) {
        let idle_timeout = self.settings.flow_idle_timeout;
        self.flows.expire(|it| it.is_expired(idle_timeout, now));
        self.not_owned
            .retain(|_, at| now.since(*at) < Self::NOT_OWNED_TTL);
        self.deliveries
            .retain(|_, it| now.since(it.at) < Self::REJECTION_TIMEOUT);
    }

    /// Returns the monitor of the backend server.
    #[must_use]
    pub const fn backend(&self) -> &BackendMonitor {
        &self.backend
    }

    /// Returns the number of tracked flows.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the flow table is complete: every flow of the backend server was opened
    /// through this process and none was evicted.
    #[must_use]
    pub fn tracks_all_flows(&self) -> bool {
        !self.evicted_flows
            && self.backend.may_have_started_after(self.started_at)
            && (self.backend.has_met_earlier_process() || self.is_first_agent_of_backend())
    }

    /// Returns whether no earlier process of the agent has served the backend server.
    ///
    /// Each process records in the store which process of the backend server it serves. The clocks
    /// must agree, because an earlier process may have been unable to reach the store.
    fn is_first_agent_of_backend(&self) -> bool {
        let process = self.backend.process();
        process.is_some_and(|it| self.earlier_listing.excludes(&it))
            && self
                .backend
                .seems_to_have_met_no_earlier_agent(self.settings.incarnation, self.started_at)
    }

    /// Records what the store says about the agent's process before this one.
    pub fn on_earlier_listing(&mut self, earlier: EarlierListing) {
        self.earlier_listing = earlier;
    }

    fn record_delivery(&mut self, header: RelayHeader, flow: FlowId, now: Timestamp) {
        self.deliveries.insert(flow, Delivery { header, at: now });
    }

    fn evict_if_full(&mut self) {
        if self.flows.len() >= Self::MAX_FLOWS {
            self.flows.evict();
            self.evicted_flows = true;
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Returns the balancer that relayed the packet, if it has no confirmation of the flow's owner.
fn balancer_to_notify(header: &RelayHeader) -> Option<SocketAddrV4> {
    (!header.owner_confirmed || header.hops() > 0).then_some(header.balancer)
}

/// Passes a packet on to the next candidate.
///
/// Without a next candidate the packet is dropped. The caller gets a reset instead if the candidate
/// was the confirmed owner of the open flow and the packet requires a response.
fn pass_on(mut header: RelayHeader, segment: &Segment, reason: RefusalReason) -> TrackerAction {
    if header.advance().is_some() {
        return TrackerAction::PassOn { header, reason };
    }
    if !header.owner_confirmed || segment.is_opening() || !segment.expects_answer() {
        return TrackerAction::Drop(TrackerDropReason::NobodyLeft(reason));
    }
    TrackerAction::Reset {
        flow: segment.flow,
        acknowledged: segment.acknowledged,
        cause: ResetCause::BackendReplaced,
    }
}
