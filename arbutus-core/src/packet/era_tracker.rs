use super::StoreEra;

/// What the era of an answer says about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// The answer belongs to the present era, or names none.
    Unchanged,
    /// The store has come back from an older copy since the answers before.
    Restored {
        /// The era of the answers before.
        before: StoreEra,
    },
    /// The answer was sent before the store came back, and must not be used.
    Outdated,
}

/// The latest era of the store that a process has seen in an answer. It never falls.
#[derive(Debug, Default)]
pub struct EraTracker {
    current: Option<StoreEra>,
}

impl EraTracker {
    /// Records the era that an answer names, if any.
    pub fn on_answer(&mut self, era: Option<StoreEra>) -> EraChange {
        let (Some(era), before) = (era, self.current) else {
            return EraChange::Unchanged;
        };
        match before {
            Some(before) if era < before => EraChange::Outdated,
            Some(before) if era > before => {
                self.current = Some(era);
                EraChange::Restored { before }
            }
            Some(_) | None => {
                self.current = Some(era);
                EraChange::Unchanged
            }
        }
    }

    /// Returns the latest era, or `None` if no answer has named one.
    #[must_use]
    pub const fn current(&self) -> Option<StoreEra> {
        self.current
    }
}
