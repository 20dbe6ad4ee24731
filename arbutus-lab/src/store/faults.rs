use std::time::Duration;

use tokio::time::Instant;

use super::{Fault, KeyFilter};

/// The faults in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    slow: Option<(Instant, Duration)>,
    refuse: Option<Instant>,
    hang: Option<Instant>,
    silent_watch: Option<Instant>,
    lose_answer: Option<KeyFilter>,
    late_write: Option<(KeyFilter, Duration)>,
}

/// What becomes of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFault {
    /// It is answered.
    None,
    /// It takes effect and is not answered.
    LoseAnswer,
    /// It takes effect after a delay and is not answered.
    Late(Duration),
}

impl Faults {
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

    pub(super) fn delay(&self) -> Duration {
        let active = self.slow.filter(|(end, _)| *end > Instant::now());
        active.map(|(_, delay)| delay).unwrap_or_default()
    }

    pub(super) fn refuses(&self) -> bool {
        is_active(self.refuse)
    }

    pub(super) fn hangs(&self) -> bool {
        is_active(self.hang)
    }

    pub(super) fn silences_watches(&self) -> bool {
        is_active(self.silent_watch)
    }

    /// Takes the fault that awaits the next write to `key`.
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
