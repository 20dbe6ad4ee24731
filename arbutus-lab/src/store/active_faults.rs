use std::time::Duration;

use tokio::time::Instant;

use super::{Fault, KeyFilter};

/// The faults that are currently in effect.
///
/// An `Instant` is the time at which a fault ends.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    slow: Option<(Instant, Duration)>,
    refuse: Option<Instant>,
    hang: Option<Instant>,
    silent_watch: Option<Instant>,
    lose_answer: Option<KeyFilter>,
    late_write: Option<(KeyFilter, Duration)>,
}

/// The fault that affects one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFault {
    /// The write takes effect and is answered.
    None,
    /// The write takes effect and is not answered.
    LoseAnswer,
    /// The write takes effect after this delay and is not answered.
    Late(Duration),
}

impl ActiveFaults {
    /// Starts a fault.
    pub(super) fn set(&mut self, fault: Fault) {
        let until = |for_ms| Some(Instant::now() + Duration::from_millis(for_ms));
        match fault {
            Fault::Slow { delay_ms, for_ms } => {
                self.slow = until(for_ms).map(|end| (end, Duration::from_millis(delay_ms)));
            }
            Fault::Refuse { for_ms } => self.refuse = until(for_ms),
            Fault::Hang { for_ms } => self.hang = until(for_ms),
            Fault::SilentWatch { for_ms } => self.silent_watch = until(for_ms),
            Fault::LoseAnswer { key } => self.lose_answer = Some(key),
            Fault::LateWrite { delay_ms, key } => {
                self.late_write = Some((key, Duration::from_millis(delay_ms)));
            }
            Fault::None => *self = Self::default(),
        }
    }

    /// Returns the added delay of a call.
    pub(super) fn delay(&self) -> Duration {
        let active = self.slow.filter(|(end, _)| *end > Instant::now());
        active.map(|(_, delay)| delay).unwrap_or_default()
    }

    /// Returns whether calls and connections are rejected.
    pub(super) fn refuses(&self) -> bool {
        is_active(self.refuse)
    }

    /// Returns whether calls are not answered.
    pub(super) fn hangs(&self) -> bool {
        is_active(self.hang)
    }

    /// Returns whether watches are not answered.
    pub(super) fn silences_watches(&self) -> bool {
        is_active(self.silent_watch)
    }

    /// Takes the pending fault that applies to a write to `key`, so that it affects no later write.
    pub(super) fn take_write_fault(&mut self, key: &str) -> WriteFault {
        if self.lose_answer.take_if(|part| part.matches(key)).is_some() {
            return WriteFault::LoseAnswer;
        }
        match self.late_write.take_if(|(part, _)| part.matches(key)) {
            Some((_, delay)) => WriteFault::Late(delay),
            None => WriteFault::None,
        }
    }
}

fn is_active(until: Option<Instant>) -> bool {
    until.is_some_and(|end| end > Instant::now())
}
