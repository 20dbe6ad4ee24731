use super::StoreEra;
use crate::apply::Revision;

/// The next call that keeps a balancer in sync with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncStep {
    /// Read the complete state.
    ReadAll,
    /// Wait for changes after this revision.
    Watch(Revision),
}

/// The state machine that decides up to which revision a balancer knows the store's state.
///
/// A revision is only valid in the era in which it was received. In a later era the state is read
/// again in full.
#[derive(Debug, Default)]
pub struct StoreSync {
    era: Option<StoreEra>,
    position: Option<Revision>,
}

impl StoreSync {
    /// Returns the next call.
    #[must_use]
    pub fn next_step(&self) -> SyncStep {
        self.position.map_or(SyncStep::ReadAll, SyncStep::Watch)
    }

    /// Records that the state is known up to `as_of`. `era` is the latest era of the store that an
    /// answer has named.
    ///
    /// Returns whether the store has come back from an older copy since the call before.
    pub fn on_synced(&mut self, as_of: Revision, era: Option<StoreEra>) -> bool {
        let restored = self.on_era(era);
        self.position = (!restored).then_some(as_of);
        restored
    }

    /// Records that the store no longer has the history after the position.
    ///
    /// Returns whether the store has come back from an older copy since the call before.
    pub fn on_history_gone(&mut self, era: Option<StoreEra>) -> bool {
        self.position = None;
        self.on_era(era)
    }

    /// Records that a call failed. Its answer may have named an era all the same.
    ///
    /// Returns whether the store has come back from an older copy since the call before.
    pub fn on_failure(&mut self, era: Option<StoreEra>) -> bool {
        let restored = self.on_era(era);
        if restored {
            self.position = None;
        }
        restored
    }

    fn on_era(&mut self, era: Option<StoreEra>) -> bool {
        let restored = self.era.is_some() && era > self.era;
        self.era = self.era.max(era);
        restored
    }
}
