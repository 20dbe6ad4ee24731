use std::time::Duration;

use super::Segment;
use crate::time::Timestamp;

/// The phase of a flow at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The backend server got the opening segment.
    Opening,
    /// The backend server has accepted the flow; its stream starts at this position.
    Accepted(u32),
    /// The caller has confirmed the acceptance, or the backend server has sent data.
    Open,
}

/// A flow of the agent's backend server.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrackedFlow {
    pub(super) phase: Phase,
    /// When the agent first saw a packet of the flow.
    pub(super) first_seen_at: Timestamp,
    pub(super) last_packet_at: Timestamp,
    /// When the oldest unanswered data of the caller arrived.
    pub(super) request_pending_since: Option<Timestamp>,
    /// Whether the backend server has answered a request on the flow.
    pub(super) answered: bool,
    /// The caller's last acknowledgement number.
    pub(super) acknowledged: u32,
    pub(super) caller_finished: bool,
    pub(super) backend_finished: bool,
    /// When both ends had finished or one had reset the flow.
    pub(super) ended_at: Option<Timestamp>,
}

impl TrackedFlow {
    /// The maximum distance of a first acknowledgement from the start of the stream it confirms.
    const MAX_CONFIRMATION_OFFSET: u32 = 2;

    /// How long an ended flow stays tracked, so that its last packets still pass.
    const ENDED_FLOW_LINGER: Duration = Duration::from_secs(5);

    /// How long a flow that is not open yet stays tracked after its last packet.
    const OPENING_TIMEOUT: Duration = Duration::from_secs(3);

    pub(super) const fn new(phase: Phase, now: Timestamp) -> Self {
        Self {
            phase,
            first_seen_at: now,
            last_packet_at: now,
            request_pending_since: None,
            answered: false,
            acknowledged: 0,
            caller_finished: false,
            backend_finished: false,
            ended_at: None,
        }
    }

    /// Returns whether a later packet of the caller belongs to the stream of this backend server.
    ///
    /// Transmissions of one opening segment may have reached several backend servers. The caller
    /// confirms one of them by acknowledging the start of its stream.
    pub(super) const fn matches_stream(&self, segment: &Segment) -> bool {
        match self.phase {
            Phase::Opening => false,
            Phase::Accepted(start) => {
                segment.acknowledged.wrapping_sub(start) <= Self::MAX_CONFIRMATION_OFFSET
            }
            Phase::Open => true,
        }
    }

    /// Returns whether a further request begins with a packet of the caller, after an answer on the
    /// same flow.
    pub(super) const fn begins_further_request(&self, segment: &Segment) -> bool {
        self.answered && segment.payload_len > 0 && self.request_pending_since.is_none()
    }

    /// Records a packet of the caller.
    pub(super) fn on_caller_segment(&mut self, segment: &Segment, now: Timestamp) {
        self.last_packet_at = now;
        if segment.is_opening() {
            return;
        }
        self.phase = Phase::Open;
        if segment.has_ack() {
            self.acknowledged = segment.acknowledged;
        }
        if segment.payload_len > 0 {
            self.request_pending_since.get_or_insert(now);
        }
        self.caller_finished |= segment.has_fin();
        self.record_end(segment, now);
    }

    /// Records a packet of the backend server, and returns the response time if it is the first one
    /// of an answer.
    pub(super) fn on_backend_segment(
        &mut self,
        segment: &Segment,
        now: Timestamp,
    ) -> Option<Duration> {
        self.last_packet_at = now;
        match self.phase {
            Phase::Opening | Phase::Accepted(_) if segment.is_accepting() => {
                self.phase = Phase::Accepted(segment.sequence);
            }
            Phase::Accepted(_) if segment.payload_len == 0 => {}
            Phase::Opening | Phase::Accepted(_) => self.phase = Phase::Open,
            Phase::Open => {}
        }
        let requested_at = if segment.payload_len > 0 {
            self.request_pending_since.take()
        } else {
            None
        };
        self.answered |= requested_at.is_some();
        self.backend_finished |= segment.has_fin();
        self.record_end(segment, now);
        requested_at.map(|at| now.since(at))
    }

    fn record_end(&mut self, segment: &Segment, now: Timestamp) {
        if segment.has_rst() || (self.caller_finished && self.backend_finished) {
            self.ended_at.get_or_insert(now);
            self.request_pending_since = None;
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.phase == Phase::Open && self.ended_at.is_none()
    }

    /// Returns whether a request is in flight on the flow, or expected because the flow is opening.
    pub(super) const fn has_request_in_flight(&self) -> bool {
        match self.phase {
            Phase::Opening | Phase::Accepted(_) => self.ended_at.is_none(),
            Phase::Open => self.request_pending_since.is_some(),
        }
    }

    /// Returns whether the flow's entry may be removed.
    pub(super) fn is_expired(&self, idle_timeout: Duration, now: Timestamp) -> bool {
        if let Some(at) = self.ended_at {
            return now.since(at) >= Self::ENDED_FLOW_LINGER;
        }
        let limit = match self.phase {
            Phase::Open => idle_timeout,
            Phase::Opening | Phase::Accepted(_) => Self::OPENING_TIMEOUT,
        };
        now.since(self.last_packet_at) >= limit
    }
}
