use std::time::Duration;

use super::Segment;
use crate::time::Timestamp;

/// How far a flow has come at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The backend server was given the opening segment.
    Asked,
    /// It has agreed; its stream starts at this position.
    Accepted(u32),
    /// The caller has confirmed, or the backend server speaks on it.
    Open,
}

/// A flow that the agent's backend server holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldFlow {
    pub(super) phase: Phase,
    /// When the flow became known here.
    pub(super) known_at: Timestamp,
    pub(super) used_at: Timestamp,
    /// When the oldest data of the caller came that the backend server has not answered.
    pub(super) waiting_since: Option<Timestamp>,
    /// The position up to which the caller has the backend server's stream.
    pub(super) acknowledged: u32,
    pub(super) caller_finished: bool,
    pub(super) backend_finished: bool,
    /// When both ends had finished, or one had reset the flow.
    pub(super) ended_at: Option<Timestamp>,
}

impl HeldFlow {
    /// How far a first acknowledgement may be from the start of the stream that it confirms.
    const CONFIRMS_WITHIN: u32 = 2;

    /// How long an ended flow's last packets are still taken.
    const LINGER: Duration = Duration::from_secs(5);

    /// How long an opening segment may stay unanswered.
    const OPENING: Duration = Duration::from_secs(3);

    pub(super) const fn new(phase: Phase, now: Timestamp) -> Self {
        Self {
            phase,
            known_at: now,
            used_at: now,
            waiting_since: None,
            acknowledged: 0,
            caller_finished: false,
            backend_finished: false,
            ended_at: None,
        }
    }

    /// Whether a packet of the caller, other than an opening one, belongs to this backend server.
    ///
    /// Copies of an opening segment may have reached several; the caller confirms one of them by
    /// the start of its stream.
    pub(super) const fn confirms(&self, segment: &Segment) -> bool {
        match self.phase {
            Phase::Asked => false,
            Phase::Accepted(start) => {
                segment.acknowledged.wrapping_sub(start) <= Self::CONFIRMS_WITHIN
            }
            Phase::Open => true,
        }
    }

    /// Takes in a packet of the caller that goes to the backend server.
    pub(super) fn on_caller_segment(&mut self, segment: &Segment, now: Timestamp) {
        self.used_at = now;
        if segment.is_opening() {
            return;
        }
        self.phase = Phase::Open;
        if segment.has_ack() {
            self.acknowledged = segment.acknowledged;
        }
        if segment.payload_len > 0 {
            self.waiting_since.get_or_insert(now);
        }
        self.caller_finished |= segment.has_fin();
        self.note_end(segment, now);
    }

    /// Takes in a packet of the backend server; gives how long the caller has waited, where it is
    /// the first of an answer.
    pub(super) fn on_backend_segment(
        &mut self,
        segment: &Segment,
        now: Timestamp,
    ) -> Option<Duration> {
        self.used_at = now;
        match self.phase {
            Phase::Asked | Phase::Accepted(_) if segment.is_accepting() => {
                self.phase = Phase::Accepted(segment.sequence);
            }
            Phase::Accepted(_) | Phase::Open => {}
            Phase::Asked => self.phase = Phase::Open,
        }
        let answered = if segment.payload_len > 0 {
            self.waiting_since.take()
        } else {
            None
        };
        self.backend_finished |= segment.has_fin();
        self.note_end(segment, now);
        answered.map(|since| now.since(since))
    }

    fn note_end(&mut self, segment: &Segment, now: Timestamp) {
        if segment.has_rst() || (self.caller_finished && self.backend_finished) {
            self.ended_at.get_or_insert(now);
            self.waiting_since = None;
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.phase == Phase::Open && self.ended_at.is_none()
    }

    /// Whether a request is under way on it, or about to be.
    pub(super) const fn is_in_hand(&self) -> bool {
        match self.phase {
            Phase::Asked | Phase::Accepted(_) => self.ended_at.is_none(),
            Phase::Open => self.waiting_since.is_some(),
        }
    }

    pub(super) fn is_over(&self, idle: Duration, now: Timestamp) -> bool {
        if let Some(at) = self.ended_at {
            return now.since(at) >= Self::LINGER;
        }
        let limit = match self.phase {
            Phase::Open => idle,
            Phase::Asked | Phase::Accepted(_) => Self::OPENING,
        };
        now.since(self.used_at) >= limit
    }
}
