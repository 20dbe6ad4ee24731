use std::collections::BTreeMap;

use arbutus_core::{
    apply::{
        Action, ChangeId, Event, Index, Revision, Shard, ShardKey, ShardValue, StoreFailure,
        StoredConfig, SwapResult,
    },
    config::ConfigVersion,
};

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It is answered.
    None,
    /// It is refused.
    Refused,
    /// It gets lost on the way there.
    Lost,
    /// It takes effect, and the answer gets lost.
    AnswerLost,
    /// A swap takes effect later, and the answer gets lost; other calls get lost.
    Late,
}

/// A change as the store took it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Commit {
    pub id: ChangeId,
    pub version: ConfigVersion,
    /// The version that it replaced.
    pub over: ConfigVersion,
}

/// A store in memory that keeps a log of its commits.
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
    /// Performs `action` under `fault`; gives the event that it leads to.
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

    /// Lets the swaps that were under way take effect.
    pub fn deliver_late(&mut self) {
        for late in std::mem::take(&mut self.late) {
            self.swap(late.expected, &late.bytes);
        }
    }

    /// The whole configuration; every shard that the index names must be there.
    pub fn read(&self) -> StoredConfig {
        let Some(index) = &self.index else {
            return StoredConfig::default();
        };
        let decode = |key| {
            let bytes = self.shards.get(key).expect("a shard in force is stored");
            Shard::decode(key, bytes)
                .expect("a readable shard")
                .services
        };
        let services = index.shards.iter().flat_map(decode);
        StoredConfig {
            revision: Revision::new(self.revision),
            services: services.map(|it| (it.service.tag(), it)).collect(),
            index: Some(index.clone()),
        }
    }

    /// Deletes what an accepted change made obsolete.
    pub fn delete(&mut self, obsolete: &[ShardKey]) {
        for key in obsolete {
            self.shards.remove(key);
        }
    }

    /// How many shards are kept, in force or not.
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
        let index = Index::decode(bytes).expect("a readable index");
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
