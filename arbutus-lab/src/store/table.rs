use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// The keys and sessions of the store.
#[derive(Debug, Clone)]
pub(super) struct Table {
    /// The index of the last change; it increases with each change.
    index: u64,
    keys: IndexMap<String, Item>,
    /// The index at which each deleted key was deleted.
    deleted: IndexMap<String, u64>,
    sessions: IndexMap<String, Session>,
}

/// The value of a key and the indexes of its changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) value: Vec<u8>,
    pub(super) create_index: u64,
    pub(super) modify_index: u64,
}

/// A session and its lease.
#[derive(Debug, Clone)]
struct Session {
    ttl: Duration,
    expires_at: Instant,
}

/// A requested write, with the index that a compare-and-swap expects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Write {
    Put { value: Vec<u8>, cas: Option<u64> },
    Delete { cas: Option<u64> },
}

impl Table {
    pub(super) fn new() -> Self {
        Self {
            index: 1,
            keys: IndexMap::new(),
            deleted: IndexMap::new(),
            sessions: IndexMap::new(),
        }
    }

    pub(super) fn get(&self, key: &str) -> Option<&Item> {
        self.keys.get(key)
    }

    /// Returns the index of the last change to `key`, or 1 if it has never been written.
    pub(super) fn index_of(&self, key: &str) -> u64 {
        let modify_index = self.keys.get(key).map(|item| item.modify_index);
        let deleted_index = self.deleted.get(key).copied();
        modify_index.or(deleted_index).unwrap_or(1)
    }

    /// Writes `key`; returns `false` if its index is not the expected one.
    pub(super) fn write(&mut self, key: &str, write: Write) -> bool {
        let modify_index = self.keys.get(key).map(|item| item.modify_index);
        let (Write::Put { cas, .. } | Write::Delete { cas }) = &write;
        if cas.is_some_and(|expected| expected != modify_index.unwrap_or(0)) {
            return false;
        }
        self.index += 1;
        match write {
            Write::Put { value, .. } => self.put(key, value),
            Write::Delete { .. } => {
                self.keys.shift_remove(key);
                self.deleted.insert(key.to_owned(), self.index);
            }
        }
        true
    }

    fn put(&mut self, key: &str, value: Vec<u8>) {
        let index = self.index;
        let created = self.keys.get(key).map(|item| item.create_index);
        let item = Item {
            value,
            create_index: created.unwrap_or(index),
            modify_index: index,
        };
        self.keys.insert(key.to_owned(), item);
        self.deleted.shift_remove(key);
    }

    /// Creates a session and returns its ID.
    pub(super) fn create_session(&mut self, ttl: Duration) -> String {
        self.index += 1;
        let id = format!("session-{}", self.index);
        let expires_at = Instant::now() + ttl;
        self.sessions
            .insert(id.clone(), Session { ttl, expires_at });
        id
    }

    /// Renews a session; returns `false` if it has expired or been destroyed.
    pub(super) fn renew_session(&mut self, id: &str) -> bool {
        let now = Instant::now();
        self.sessions.retain(|_, session| session.expires_at > now);
        let session = self.sessions.get_mut(id);
        session.map(|it| it.expires_at = now + it.ttl).is_some()
    }

    pub(super) fn destroy_session(&mut self, id: &str) {
        self.sessions.shift_remove(id);
    }
}
