use arbutus_core::{
    packet::{Segment, SegmentFlags},
    time::Timestamp,
};

use super::fixture::{flow, opening};

/// Waits before an opening segment's copies and before a request is sent again, in milliseconds.
const OPENING_MS: [u64; 3] = [200, 400, 800];
const REQUEST_MS: [u64; 6] = [200, 400, 800, 1_600, 1_600, 1_600];

/// What a caller waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    Opening,
    Answer,
    /// Until its next request.
    Pause,
    Over(End),
}

/// How a flow ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Closed,
    Reset,
    GaveUp,
}

/// A caller with one flow.
#[derive(Debug)]
pub struct ModelCaller {
    pub number: u16,
    pub wait: Wait,
    pub due: Timestamp,
    pub answers: u32,
    requests: u32,
    tries: usize,
    sequence: u32,
    has: u32,
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
            tries: 0,
            sequence: 1,
            has: 0,
        }
    }

    pub fn is_over(&self) -> bool {
        matches!(self.wait, Wait::Over(_))
    }

    /// What it sends now that its time has come.
    pub fn on_due(&mut self, now: Timestamp) -> Option<Segment> {
        match self.wait {
            Wait::Opening => self.open(now),
            Wait::Pause => {
                self.wait = Wait::Answer;
                self.tries = 0;
                self.request(now)
            }
            Wait::Answer => self.request(now),
            Wait::Over(_) => None,
        }
    }

    fn open(&mut self, now: Timestamp) -> Option<Segment> {
        let copies = u32::try_from(self.tries).unwrap_or(u32::MAX);
        let wait = OPENING_MS.get(self.tries);
        self.pause(wait.copied(), now)?;
        Some(opening(self.number, copies))
    }

    fn request(&mut self, now: Timestamp) -> Option<Segment> {
        let wait = REQUEST_MS.get(self.tries);
        self.pause(wait.copied(), now)?;
        Some(self.segment(Self::REQUEST_BYTES))
    }

    fn pause(&mut self, wait_ms: Option<u64>, now: Timestamp) -> Option<()> {
        self.tries += 1;
        let Some(wait_ms) = wait_ms else {
            self.wait = Wait::Over(End::GaveUp);
            return None;
        };
        self.due = now + std::time::Duration::from_millis(wait_ms);
        Some(())
    }

    fn segment(&self, payload: u16) -> Segment {
        let mut segment = Segment::new(flow(self.number));
        segment = segment.with_flags(SegmentFlags::ACK);
        segment.sequence = self.sequence;
        segment.acknowledged = self.has;
        segment.payload_len = payload;
        segment
    }

    /// Takes a packet of a backend server; `pause` is how long it thinks after an answer.
    pub fn take(
        &mut self,
        segment: &Segment,
        pause: std::time::Duration,
        now: Timestamp,
    ) -> Option<Segment> {
        match self.wait {
            Wait::Opening if segment.is_accepting() => {
                self.has = segment.sequence.wrapping_add(1);
                self.wait = Wait::Answer;
                self.tries = 0;
                self.request(now)
            }
            Wait::Answer if segment.payload_len > 0 => {
                self.has = segment
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
        self.wait = Wait::Over(End::Closed);
        let mut last = self.segment(0);
        last = last.with_flags(SegmentFlags::FIN);
        Some(last)
    }

    pub fn reset(&mut self) {
        if !self.is_over() {
            self.wait = Wait::Over(End::Reset);
        }
    }
}
