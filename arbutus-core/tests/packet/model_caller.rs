use arbutus_core::{
    packet::{Segment, SegmentFlags},
    time::Timestamp,
};

use super::fixture::{flow, opening};

/// The retransmission timeouts of an opening segment, in milliseconds.
const OPENING_RETRY_MS: [u64; 3] = [200, 400, 800];

/// The retransmission timeouts of a request, in milliseconds.
const REQUEST_RETRY_MS: [u64; 6] = [200, 400, 800, 1_600, 1_600, 1_600];

/// The state of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// Waiting for the acceptance of its opening segment.
    Opening,
    /// Waiting for the answer to a request.
    Answer,
    /// Waiting until it sends its next request.
    Pause,
    Over(Outcome),
}

/// The outcome of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Closed,
    Reset,
    TimedOut,
}

/// A model of a caller with one flow.
#[derive(Debug)]
pub struct ModelCaller {
    pub number: u16,
    pub wait: Wait,
    pub due: Timestamp,
    pub answers: u32,
    requests: u32,
    attempts: usize,
    sequence: u32,
    received_up_to: u32,
}

impl ModelCaller {
    const REQUEST_BYTES: u16 = 100;

    pub fn new(number: u16, requests: u32, due: Timestamp) -> Self {
        Self {
            number,
            wait: Wait::Opening,
            due,
            answers: 0,
            requests,
            attempts: 0,
            sequence: 1,
            received_up_to: 0,
        }
    }

    pub fn is_over(&self) -> bool {
        matches!(self.wait, Wait::Over(_))
    }

    /// Returns the segment to send at the due time, or `None` after the last retransmission.
    pub fn on_due(&mut self, now: Timestamp) -> Option<Segment> {
        match self.wait {
            Wait::Opening => self.open(now),
            Wait::Pause => {
                self.wait = Wait::Answer;
                self.attempts = 0;
                self.request(now)
            }
            Wait::Answer => self.request(now),
            Wait::Over(_) => None,
        }
    }

    fn open(&mut self, now: Timestamp) -> Option<Segment> {
        let retransmissions = u32::try_from(self.attempts).unwrap_or(u32::MAX);
        let wait = OPENING_RETRY_MS.get(self.attempts);
        self.schedule_retry(wait.copied(), now)?;
        Some(opening(self.number, retransmissions))
    }

    fn request(&mut self, now: Timestamp) -> Option<Segment> {
        let wait = REQUEST_RETRY_MS.get(self.attempts);
        self.schedule_retry(wait.copied(), now)?;
        Some(self.segment(Self::REQUEST_BYTES))
    }

    fn schedule_retry(&mut self, wait_ms: Option<u64>, now: Timestamp) -> Option<()> {
        self.attempts += 1;
        let Some(wait_ms) = wait_ms else {
            self.wait = Wait::Over(Outcome::TimedOut);
            return None;
        };
        self.due = now + std::time::Duration::from_millis(wait_ms);
        Some(())
    }

    fn segment(&self, payload: u16) -> Segment {
        let mut segment = Segment::new(flow(self.number));
        segment = segment.with_flags(SegmentFlags::ACK);
        segment.sequence = self.sequence;
        segment.acknowledged = self.received_up_to;
        segment.payload_len = payload;
        segment
    }

    /// Handles a packet of a backend server and returns the reply. After an answer the caller waits
    /// for
    /// `pause` before its next request.
    pub fn on_packet(
        &mut self,
        segment: &Segment,
        pause: std::time::Duration,
        now: Timestamp,
    ) -> Option<Segment> {
        match self.wait {
            Wait::Opening if segment.is_accepting() => {
                self.received_up_to = segment.sequence.wrapping_add(1);
                self.wait = Wait::Answer;
                self.attempts = 0;
                self.request(now)
            }
            Wait::Answer if segment.payload_len > 0 => {
                self.received_up_to = segment
                    .sequence
                    .wrapping_add(u32::from(segment.payload_len));
                self.sequence += u32::from(Self::REQUEST_BYTES);
                self.answers += 1;
                self.after_answer(pause, now)
            }
            Wait::Opening | Wait::Answer | Wait::Pause | Wait::Over(_) => None,
        }
    }

    fn after_answer(&mut self, pause: std::time::Duration, now: Timestamp) -> Option<Segment> {
        if self.answers < self.requests {
            self.wait = Wait::Pause;
            self.due = now + pause;
            return None;
        }
        self.wait = Wait::Over(Outcome::Closed);
        let mut last = self.segment(0);
        last = last.with_flags(SegmentFlags::FIN);
        Some(last)
    }

    pub fn on_reset(&mut self) {
        if !self.is_over() {
            self.wait = Wait::Over(Outcome::Reset);
        }
    }
}
