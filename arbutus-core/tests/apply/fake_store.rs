use std::collections::BTreeMap;

use arbutus_core::{
    apply::{
        Action, ChangeId, Event, Index, Revision, Shard, ShardKey, ShardValue, StoreFailure,
        StoredConfig, SwapResult,
    },
    config::ConfigVersion,
};

/// Fault injected into one call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The store rejects the call without any effect.
    Refused,
    /// The request is lost.
    Lost,
    /// The call takes effect, and the response is lost.
    AnswerLost,
    /// A swap takes effect later, and its response is lost; other requests are lost.
    Late,
}

/// A swap of the index that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Commit {
    pub id: ChangeId,
    pub version: ConfigVersion,
    /// Version that the commit replaced.
    pub over: ConfigVersion,
}

/// In-memory store with a log of its commits.
#[derive(Debug, Default)]
pub struct FakeStore {
    revision: u64,
    index: Option<Index>,
    shards: BTreeMap<ShardKey, Vec<u8>>,
    late: Vec<LateSwap>,
    pub log: Vec<Commit>,
}

#[derive(Debug)]
struct LateSwap {
    expected: Revision,
    bytes: Vec<u8>,
}

impl FakeStore {
    /// Performs `action` under `fault` and returns the resulting event.
    pub fn perform(&mut self, action: &Action, fault: Fault) -> Event {
        match action {
            Action::Read => Event::Read(answer(fault, || self.read())),
            Action::WriteShards(shards) => {
                Event::ShardsWritten(answer(fault, || self.write_shards(shards)))
            }
            Action::SwapIndex { expected, bytes } => {
                if fault == Fault::Late {
                    let (expected, bytes) = (*expected, bytes.clone());
                    self.late.push(LateSwap { expected, bytes });
                }
                Event::Swapped(answer(fault, || self.swap(*expected, bytes)))
            }
            Action::Wait | Action::Finish(_) => Event::Woken,
        }
    }

    /// Applies the delayed swaps.
    pub fn deliver_late(&mut self) {
        for late in std::mem::take(&mut self.late) {
            self.swap(late.expected, &late.bytes);
        }
    }

    /// Returns the stored configuration.
    ///
    /// # Panics
    ///
    /// Panics if a shard that the index lists is missing or cannot be decoded.
    pub fn read(&self) -> StoredConfig {
        let Some(index) = &self.index else {
            return StoredConfig::default();
        };
        let decode = |key| {
            let bytes = self.shards.get(key).expect("shards in force are stored");
            Shard::decode(key, bytes)
                .expect("stored shards can be decoded")
                .services
        };
        let services = index.shards.iter().flat_map(decode);
        StoredConfig {
            revision: Revision::new(self.revision),
            services: services.map(|it| (it.service.tag(), it)).collect(),
            index: Some(index.clone()),
        }
    }

    /// Deletes obsolete shards.
    pub fn delete(&mut self, obsolete: &[ShardKey]) {
        for key in obsolete {
            self.shards.remove(key);
        }
    }

    /// Returns the number of stored shards, in force or not.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    fn write_shards(&mut self, shards: &[ShardValue]) {
        for shard in shards {
            self.shards.insert(shard.key.clone(), shard.bytes.clone());
        }
    }

    fn swap(&mut self, expected: Revision, bytes: &[u8]) -> SwapResult {
        if expected.get() != self.revision {
            return SwapResult::Mismatch;
        }
        let over = self.read().version();
        let index = Index::decode(bytes).expect("written indexes can be decoded");
        self.log.push(Commit {
            id: index.change.id,
            version: index.version,
            over,
        });
        self.revision += 1;
        self.index = Some(index);
        SwapResult::Done
    }
}

fn answer<T>(fault: Fault, mut effect: impl FnMut() -> T) -> Result<T, StoreFailure> {
    match fault {
        Fault::None => Ok(effect()),
        Fault::Refused => Err(StoreFailure::NotApplied("refused".into())),
        Fault::Lost | Fault::Late => Err(StoreFailure::Unknown("no answer".into())),
        Fault::AnswerLost => {
            effect();
            Err(StoreFailure::Unknown("no answer".into()))
        }
    }
}
