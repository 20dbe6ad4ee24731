mod standing;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;

use super::{
    BackendMonitor, BackendState, FlowId, LookupAnswer, Question, RefusalReason, RelayHeader,
    ResetCause, Segment, TrackerAction, TrackerDropReason,
    balancer_links::BalancerLinks,
    held_flow::{HeldFlow, Phase},
};
use crate::{
    config::ConfigVersion,
    ident::{Incarnation, ServiceTag},
    time::Timestamp,
};

/// What distinguishes one agent from another.
#[derive(Debug, Clone)]
pub struct TrackerSettings {
    /// Where the agent takes relayed packets.
    pub agent: SocketAddrV4,
    /// The service that the agent is for.
    pub service: Arc<str>,
    /// Where its backend server takes packets.
    pub backend: SocketAddrV4,
    /// The agent's failure domain.
    pub failure_domain: Arc<str>,
    /// Its life at its address: its start, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Time between two heartbeats of the backend server.
    pub heartbeat_interval: Duration,
    /// Age past which an idle flow is forgotten.
    pub flow_idle_timeout: Duration,
}

/// An agent's decisions on packets, and its authority over its backend server.
///
/// The agent sees every packet that its backend server gets or sends, so that it knows the flows
/// that the backend server holds; an agent that started after its backend server does not, and
/// lets the backend server decide once nobody else holds the flow.
#[derive(Debug)]
pub struct FlowTracker {
    settings: TrackerSettings,
    tag: ServiceTag,
    backend: BackendMonitor,
    flows: IndexMap<FlowId, HeldFlow>,
    /// Open flows that the backend server turned away, and when.
    denied: IndexMap<FlowId, Timestamp>,
    /// Headers of packets that the backend server may turn away.
    under_way: IndexMap<FlowId, UnderWay>,
    links: BalancerLinks,
    sequence: u32,
    stopping: bool,
    /// When the process started.
    started_at: Timestamp,
    /// Whether a flow had to make room for another.
    forgot_flows: bool,
    config: ConfigVersion,
    config_source: Option<SocketAddrV4>,
}

/// A packet that was given to the backend server, which may turn it away.
#[derive(Debug)]
struct UnderWay {
    header: RelayHeader,
    at: Timestamp,
}

impl FlowTracker {
    /// How long the backend server may take to turn a packet away.
    const UNDER_WAY: Duration = Duration::from_secs(2);

    /// Requests in hand for each slot from which a new flow is passed on.
    const IN_HAND_FIRST: u32 = 2;

    /// The same for a caller that has waited and sent its opening segment again.
    const IN_HAND_COPY: u32 = 4;

    /// How long it is remembered that the backend server does not hold a flow.
    const DENIED: Duration = Duration::from_secs(10);

    /// Most flows that are known: some 16 MB.
    const MAX_FLOWS: usize = 65_536;

    /// Makes an agent that knows nothing of its backend server.
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
            flows: IndexMap::new(),
            denied: IndexMap::new(),
            under_way: IndexMap::new(),
            links: BalancerLinks::default(),
            sequence: 0,
            stopping: false,
            started_at: now,
            forgot_flows: false,
            config: ConfigVersion::NONE,
            config_source: None,
        }
    }

    /// Decides on a packet of a caller that was relayed here.
    pub fn on_relayed(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        self.links.note(header.balancer, now);
        if header.config > self.config {
            self.config = header.config;
            self.config_source = Some(header.balancer);
        }
        if segment.is_opening() {
            self.on_opening(header, segment, now)
        } else {
            self.on_later(header, segment, now)
        }
    }

    fn on_opening(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        let held = self.flows.get(&segment.flow).copied();
        let copy = held.filter(|it| it.ended_at.is_none());
        if copy.is_none() {
            if let Some(reason) = self.refuses(&header, segment, now) {
                return pass_on(header, segment, reason);
            }
            self.make_room();
            let flow = HeldFlow::new(Phase::Asked, now);
            self.flows.insert(segment.flow, flow);
        }
        self.backend.record_opening(now);
        let notify_balancer = balancer_to_notify(&header);
        self.note_under_way(header, segment.flow, now);
        TrackerAction::ToBackend {
            notify_balancer,
            admitted: copy.is_none(),
        }
    }

    /// Why a new flow is not taken.
    fn refuses(
        &self,
        header: &RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> Option<RefusalReason> {
        if header.service != self.tag {
            return Some(RefusalReason::OtherService);
        }
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        if self.backend.state(now) != BackendState::Ready {
            return Some(RefusalReason::NotReady);
        }
        if !self.backend.accepts_new_flows(now) {
            return Some(RefusalReason::Unresponsive);
        }
        // The caller sends copies: by then others have been asked too.
        let copies = segment.acknowledged;
        let limit = if copies == 0 {
            Self::IN_HAND_FIRST
        } else {
            Self::IN_HAND_COPY
        };
        (self.in_hand() >= self.slots().saturating_mul(limit)).then_some(RefusalReason::Busy)
    }

    /// Requests that the backend server works on or that wait there, with those that new flows are
    /// about to bring.
    fn in_hand(&self) -> u32 {
        count(self.flows.values().filter(|it| it.is_in_hand()).count())
    }

    fn slots(&self) -> u32 {
        self.backend
            .last_heartbeat()
            .map_or(1, |it| it.slots.max(1))
    }

    fn on_later(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        // A configuration that gives the route to another service leaves open flows where they are.
        let Some(held) = self.flows.get_mut(&segment.flow) else {
            return self.on_unknown(header, segment, now);
        };
        if !held.confirms(segment) {
            return pass_on(header, segment, RefusalReason::OtherStream);
        }
        held.on_caller_segment(segment, now);
        let notify_balancer = balancer_to_notify(&header);
        self.note_under_way(header, segment.flow, now);
        TrackerAction::ToBackend {
            notify_balancer,
            admitted: false,
        }
    }

    fn on_unknown(
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
        self.note_under_way(header, segment.flow, now);
        TrackerAction::ToBackend {
            notify_balancer: None,
            admitted: false,
        }
    }

    /// Answers a balancer that asks for flows, in the order of its questions.
    pub fn on_query(
        &mut self,
        balancer: SocketAddrV4,
        questions: &[Question],
        now: Timestamp,
    ) -> Vec<LookupAnswer> {
        self.links.note(balancer, now);
        questions.iter().map(|it| self.answer(it)).collect()
    }

    fn answer(&self, question: &Question) -> LookupAnswer {
        let mut segment = Segment::new(question.flow);
        segment.acknowledged = question.acknowledged;
        match self.flows.get(&question.flow) {
            Some(held) if held.confirms(&segment) => LookupAnswer::Owned,
            Some(_) => LookupAnswer::NotOwned,
            None if self.tracks_all_flows() || self.denied.contains_key(&question.flow) => {
                LookupAnswer::NotOwned
            }
            None => LookupAnswer::Unknown,
        }
    }

    /// Decides on a packet that the backend server sent to a caller.
    pub fn on_backend_packet(&mut self, segment: &Segment, now: Timestamp) -> TrackerAction {
        self.backend.record_response();
        let mut notify_balancer = None;
        if !self.flows.contains_key(&segment.flow) {
            self.make_room();
            let tried = self.under_way.get(&segment.flow);
            notify_balancer = tried.map(|it| it.header.balancer);
        }
        let phase = if segment.is_accepting() {
            Phase::Asked
        } else {
            Phase::Open
        };
        let held = self.flows.entry(segment.flow);
        let held = held.or_insert_with(|| HeldFlow::new(phase, now));
        let response_time = held.on_backend_segment(segment, now);
        TrackerAction::ToCaller {
            response_time,
            notify_balancer,
        }
    }

    /// Decides on a caller's packet that the backend server turned away.
    pub fn on_bounced(&mut self, segment: &Segment, now: Timestamp) -> TrackerAction {
        self.backend.record_response();
        let under_way = self.under_way.swap_remove(&segment.flow);
        let held = self.flows.get(&segment.flow).copied();
        if segment.is_opening() {
            if held.is_some_and(|it| it.phase == Phase::Asked) {
                self.flows.swap_remove(&segment.flow);
            }
        } else if let Some(held) = held {
            self.flows.swap_remove(&segment.flow);
            if held.is_open() {
                // The backend server held the flow and no longer does: it has started anew.
                return TrackerAction::Reset {
                    flow: segment.flow,
                    acknowledged: segment.acknowledged,
                    cause: ResetCause::BackendForgot,
                };
            }
        }
        match under_way {
            Some(it) if now.since(it.at) < Self::UNDER_WAY => self.turned_away(it, segment, now),
            _ => TrackerAction::Drop(TrackerDropReason::UnknownBounce),
        }
    }

    fn turned_away(&mut self, it: UnderWay, segment: &Segment, now: Timestamp) -> TrackerAction {
        if !it.header.last_resort {
            return pass_on(it.header, segment, RefusalReason::Bounced);
        }
        if self.denied.len() >= Self::MAX_FLOWS {
            self.denied.swap_remove_index(0);
        }
        self.denied.insert(segment.flow, now);
        TrackerAction::NotOwned {
            balancer: it.header.balancer,
        }
    }

    /// Forgets flows that are over.
    pub fn expire(&mut self, now: Timestamp) {
        let idle = self.settings.flow_idle_timeout;
        self.flows.retain(|_, it| !it.is_over(idle, now));
        self.denied.retain(|_, at| now.since(*at) < Self::DENIED);
        self.under_way
            .retain(|_, it| now.since(it.at) < Self::UNDER_WAY);
    }

    /// What is known of the backend server.
    #[must_use]
    pub const fn backend(&self) -> &BackendMonitor {
        &self.backend
    }

    /// How many flows are held.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Whether every flow of the backend server was opened through this process.
    #[must_use]
    pub fn tracks_all_flows(&self) -> bool {
        !self.forgot_flows
            && self
                .backend
                .started_after(self.settings.incarnation, self.started_at)
    }

    fn note_under_way(&mut self, header: RelayHeader, flow: FlowId, now: Timestamp) {
        self.under_way.insert(flow, UnderWay { header, at: now });
    }

    fn make_room(&mut self) {
        if self.flows.len() >= Self::MAX_FLOWS {
            self.flows.swap_remove_index(0);
            self.forgot_flows = true;
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// The balancer that does not know that the flow is here.
fn balancer_to_notify(header: &RelayHeader) -> Option<SocketAddrV4> {
    (!header.owner_confirmed || header.hops() > 0).then_some(header.balancer)
}

/// Sends a packet to the next candidate; where the only one was known to hold an open flow, its
/// caller is told.
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
