use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use crate::time::Timestamp;

/// The digest of an idempotency key: 128 bits of its SHA-256 hash, so that two keys do not collide
/// in practice.
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

/// The remembered state of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyState {
    /// The key's request is queued or in progress.
    Pending,
    /// The backend server responded to the key's request.
    Ran,
    /// The key's request may have run.
    Unknown,
    /// The key's request did not run, and must not run under bindings with a serial number below
    /// `below`.
    Closed {
        /// The first serial number under which the key may run.
        below: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    state: KeyState,
    /// Time at which the entry may be removed; [`Timestamp::MAX`] for pending keys.
    expires_at: Timestamp,
}

/// An element of an expiry queue.
#[derive(Debug, Clone, Copy)]
struct Expiry {
    at: Timestamp,
    key: KeyDigest,
}

/// The keys that this incarnation remembers, bounded in number.
#[derive(Debug)]
pub(super) struct KeyMemory {
    /// Never longer than `max_entries`.
    entries: IndexMap<KeyDigest, Entry>,
    max_entries: usize,
    /// Ended keys in order of expiry. An element whose time differs from that of its entry is
    /// outdated.
    ended_expiries: VecDeque<Expiry>,
    /// Closed keys in order of expiry, as in `ended_expiries`.
    closed_expiries: VecDeque<Expiry>,
    /// Every key without an entry is closed for serial numbers below this one. Never decreases.
    closed_below: u64,
    /// The longest TTL of any binding issued so far. Never decreases.
    longest_binding_ttl: Duration,
}

impl KeyMemory {
    /// Time for which an ended key is kept beyond the longest binding TTL.
    pub(super) const RETENTION_MARGIN: Duration = Duration::from_secs(60);

    pub(super) fn new(max_entries: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            max_entries,
            ended_expiries: VecDeque::new(),
            closed_expiries: VecDeque::new(),
            closed_below: 0,
            longest_binding_ttl: Duration::ZERO,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records that a binding with this TTL is issued.
    pub(super) fn record_issued(&mut self, ttl: Duration) {
        self.longest_binding_ttl = self.longest_binding_ttl.max(ttl);
    }

    /// Returns the state of `key` for a binding with the serial number `serial`, or `None` if the
    /// key may run.
    pub(super) fn get(&self, key: KeyDigest, serial: u64) -> Option<KeyState> {
        match self.entries.get(&key).map(|entry| entry.state) {
            Some(KeyState::Closed { below }) if serial >= below => None,
            Some(state) => Some(state),
            None if serial < self.closed_below => Some(KeyState::Closed {
                below: self.closed_below,
            }),
            None => None,
        }
    }

    /// Records the key of an admitted request as pending. Returns `false` if the memory is full.
    ///
    /// Closed keys are dropped to make space, oldest first.
    #[must_use]
    pub(super) fn begin(&mut self, key: KeyDigest) -> bool {
        while self.entries.len() >= self.max_entries && !self.entries.contains_key(&key) {
            if !self.drop_oldest_closed() {
                return false;
            }
        }
        let entry = Entry {
            state: KeyState::Pending,
            expires_at: Timestamp::MAX,
        };
        self.entries.insert(key, entry);
        true
    }

    /// Removes a pending key for which no answer was sent.
    pub(super) fn forget(&mut self, key: KeyDigest) {
        self.entries.swap_remove(&key);
    }

    /// Records that the key has run or may have run.
    pub(super) fn end(&mut self, key: KeyDigest, state: KeyState, now: Timestamp) {
        let at = self.expiry(now);
        self.put(key, state, at);
        self.ended_expiries.push_back(Expiry { at, key });
    }

    /// Sets the state of a key that ended as [`KeyState::Unknown`], if it is still remembered.
    pub(super) fn resolve_unknown(&mut self, key: KeyDigest, state: KeyState) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.state == KeyState::Unknown
        {
            entry.state = state;
        }
    }

    /// Closes the key for every binding with a serial number below `below`.
    ///
    /// If the memory is full, every key without an entry is closed for these bindings instead.
    pub(super) fn close(&mut self, key: KeyDigest, below: u64, now: Timestamp) {
        if self.entries.len() >= self.max_entries && !self.entries.contains_key(&key) {
            self.closed_below = self.closed_below.max(below);
            return;
        }
        let at = self.expiry(now);
        self.put(key, KeyState::Closed { below }, at);
        self.closed_expiries.push_back(Expiry { at, key });
    }

    /// Removes the keys that have expired.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some(first) = self
            .ended_expiries
            .front()
            .filter(|first| first.at <= now)
            .copied()
        {
            self.ended_expiries.pop_front();
            self.remove_expired(first);
        }
        while let Some(first) = self
            .closed_expiries
            .front()
            .filter(|first| first.at <= now)
            .copied()
        {
            self.closed_expiries.pop_front();
            self.remove_expired(first);
        }
    }

    fn put(&mut self, key: KeyDigest, state: KeyState, expires_at: Timestamp) {
        self.entries.insert(key, Entry { state, expires_at });
    }

    /// Returns the expiry of a key that ends at `now`. Never decreases from call to call, since
    /// neither term does, so the expiry queues stay ordered.
    fn expiry(&self, now: Timestamp) -> Timestamp {
        now + self.longest_binding_ttl + Self::RETENTION_MARGIN
    }

    fn remove_expired(&mut self, due: Expiry) {
        let current = self.entries.get(&due.key);
        if current.is_some_and(|entry| entry.expires_at == due.at) {
            self.entries.swap_remove(&due.key);
        }
    }

    /// Drops the oldest closed key and raises `closed_below` so that it stays closed. Returns
    /// `false` if there is none.
    fn drop_oldest_closed(&mut self) -> bool {
        while let Some(oldest) = self.closed_expiries.pop_front() {
            let Some(entry) = self.entries.get(&oldest.key).copied() else {
                continue;
            };
            if let KeyState::Closed { below } = entry.state
                && entry.expires_at == oldest.at
            {
                self.closed_below = self.closed_below.max(below);
                self.entries.swap_remove(&oldest.key);
                return true;
            }
        }
        false
    }
}
