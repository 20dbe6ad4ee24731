use std::collections::BTreeMap;

use arbutus_core::{
    apply::{
        Action, ApplyMachine, Event, Index, Outcome, Revision, Shard, ShardKey, StoredConfig,
        StoredService, SwapResult,
    },
    time::Timestamp,
};

/// An in-memory store that counts calls and bytes.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    revision: u64,
    index: Vec<u8>,
    shards: BTreeMap<ShardKey, Vec<u8>>,
    /// Calls received so far.
    pub(super) calls: usize,
    /// Bytes of values read and written so far.
    pub(super) bytes: usize,
}

impl MemoryStore {
    /// Runs `apply` to completion and returns its outcome.
    pub(super) fn commit(&mut self, mut apply: ApplyMachine) -> Outcome {
        let mut event = Event::Started;
        loop {
            event = match apply.handle(event, Timestamp::ZERO) {
                Action::Read => Event::Read(Ok(self.read())),
                Action::WriteShards(shards) => {
                    for shard in shards {
                        self.count(shard.bytes.len());
                        self.shards.insert(shard.key, shard.bytes);
                    }
                    Event::ShardsWritten(Ok(()))
                }
                Action::SwapIndex { bytes, .. } => {
                    self.count(bytes.len());
                    self.index = bytes;
                    self.revision += 1;
                    Event::Swapped(Ok(SwapResult::Done))
                }
                Action::Wait => Event::Woken,
                Action::Finish(outcome) => return outcome,
            };
        }
    }

    /// Reads the complete configuration, like a process that has no cached shards.
    pub(super) fn read(&mut self) -> StoredConfig {
        self.count(self.index.len());
        let Ok(index) = Index::decode(&self.index) else {
            return StoredConfig::default();
        };
        let mut services: Vec<StoredService> = Vec::new();
        for key in &index.shards {
            let bytes = self.shards.get(key).cloned().unwrap_or_default();
            self.count(bytes.len());
            services.extend(Shard::decode(key, &bytes).unwrap_or_default().services);
        }
        StoredConfig {
            revision: Revision::new(self.revision),
            index: Some(index),
            services: services
                .into_iter()
                .map(|it| (it.service.tag(), it))
                .collect(),
        }
    }

    /// Returns the size of the index in bytes.
    pub(super) fn index_bytes(&self) -> usize {
        self.index.len()
    }

    /// Returns the size of the largest shard in bytes.
    pub(super) fn largest_shard_bytes(&self) -> usize {
        self.shards.values().map(Vec::len).max().unwrap_or(0)
    }

    fn count(&mut self, bytes: usize) {
        self.calls += 1;
        self.bytes += bytes;
    }
}
