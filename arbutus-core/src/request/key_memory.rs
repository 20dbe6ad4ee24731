use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use crate::time::Timestamp;

/// An idempotency key, shortened to a digest that no two keys share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct KeyDigest([u8; 16]);

impl KeyDigest {
    pub(super) fn of(key: &str) -> Self {
        let hash = Sha256::digest(key.as_bytes());
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        Self(short)
    }
}

/// What is remembered of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyState {
    /// Its request is queued or in progress.
    Pending,
    /// The backend server answered it.
    Ran,
    /// It may have run.
    Unknown,
    /// It did not run, and must not under bindings with a serial number below this one.
    Closed {
        /// The first serial number that may run it.
        below: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    state: KeyState,
    /// When it may be forgotten; pending entries never are.
    retire_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Retirement {
    at: Timestamp,
    key: KeyDigest,
}

/// The keys that this incarnation knows, bounded in number.
#[derive(Debug)]
pub(super) struct KeyMemory {
    /// Never longer than `limit`.
    entries: IndexMap<KeyDigest, Entry>,
    limit: usize,
    /// Keys that ended, in the order of retirement. One whose time differs from its entry's is
    /// out of date.
    ended: VecDeque<Retirement>,
    /// The same for closed keys.
    closed: VecDeque<Retirement>,
    /// Every key without an entry is closed for serial numbers below this one. Never falls.
    floor: u64,
    /// The longest life of any binding issued so far. Never falls.
    longest_binding: Duration,
}

impl KeyMemory {
    /// How much longer a key is kept than any binding lives.
    pub(super) const MARGIN: Duration = Duration::from_secs(60);

    pub(super) fn new(limit: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            limit,
            ended: VecDeque::new(),
            closed: VecDeque::new(),
            floor: 0,
            longest_binding: Duration::ZERO,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Notes that a binding of this life is issued.
    pub(super) fn issued(&mut self, life: Duration) {
        self.longest_binding = self.longest_binding.max(life);
    }

    /// What is known of `key` for a binding of number `serial`; nothing means it may run.
    pub(super) fn get(&self, key: KeyDigest, serial: u64) -> Option<KeyState> {
        match self.entries.get(&key).map(|entry| entry.state) {
            Some(KeyState::Closed { below }) if serial >= below => None,
            Some(state) => Some(state),
            None if serial < self.floor => Some(KeyState::Closed { below: self.floor }),
            None => None,
        }
    }

    /// Records a key whose request is admitted; false where there is no room.
    #[must_use]
    pub(super) fn begin(&mut self, key: KeyDigest) -> bool {
        while self.entries.len() >= self.limit && !self.entries.contains_key(&key) {
            if !self.drop_oldest_closed() {
                return false;
            }
        }
        let entry = Entry {
            state: KeyState::Pending,
            retire_at: Timestamp::MAX,
        };
        self.entries.insert(key, entry);
        true
    }

    /// Forgets a pending key of which nobody was told anything.
    pub(super) fn forget(&mut self, key: KeyDigest) {
        self.entries.swap_remove(&key);
    }

    /// Records that the key ran or may have run.
    pub(super) fn end(&mut self, key: KeyDigest, state: KeyState, now: Timestamp) {
        let at = self.retirement(now);
        self.put(key, state, at);
        self.ended.push_back(Retirement { at, key });
    }

    /// Replaces what is known of a key that ended, if it is still remembered.
    pub(super) fn revise(&mut self, key: KeyDigest, state: KeyState) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.state == KeyState::Unknown
        {
            entry.state = state;
        }
    }

    /// Closes the key for every binding with a serial number below `below`.
    pub(super) fn close(&mut self, key: KeyDigest, below: u64, now: Timestamp) {
        if self.entries.len() >= self.limit && !self.entries.contains_key(&key) {
            self.floor = self.floor.max(below);
            return;
        }
        let at = self.retirement(now);
        self.put(key, KeyState::Closed { below }, at);
        self.closed.push_back(Retirement { at, key });
    }

    /// Forgets the keys whose time has come.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some(first) = self.ended.front().filter(|first| first.at <= now).copied() {
            self.ended.pop_front();
            self.retire(first);
        }
        while let Some(first) = self.closed.front().filter(|first| first.at <= now).copied() {
            self.closed.pop_front();
            self.retire(first);
        }
    }

    fn put(&mut self, key: KeyDigest, state: KeyState, retire_at: Timestamp) {
        self.entries.insert(key, Entry { state, retire_at });
    }

    /// Never falls from call to call, since neither part does.
    fn retirement(&self, now: Timestamp) -> Timestamp {
        now + self.longest_binding + Self::MARGIN
    }

    fn retire(&mut self, due: Retirement) {
        let current = self.entries.get(&due.key);
        if current.is_some_and(|entry| entry.retire_at == due.at) {
            self.entries.swap_remove(&due.key);
        }
    }

    fn drop_oldest_closed(&mut self) -> bool {
        while let Some(oldest) = self.closed.pop_front() {
            let Some(entry) = self.entries.get(&oldest.key).copied() else {
                continue;
            };
            if let KeyState::Closed { below } = entry.state
                && entry.retire_at == oldest.at
            {
                self.floor = self.floor.max(below);
                self.entries.swap_remove(&oldest.key);
                return true;
            }
        }
        false
    }
}
