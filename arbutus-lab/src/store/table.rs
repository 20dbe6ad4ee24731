use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// The keys and sessions of the store.
#[derive(Debug)]
pub(super) struct Table {
    /// Rises with each change.
    index: u64,
    keys: IndexMap<String, Item>,
    /// The index at which each deleted key went.
    deleted: IndexMap<String, u64>,
    sessions: IndexMap<String, Session>,
}

/// The value of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) value: Vec<u8>,
    pub(super) create_index: u64,
    pub(super) modify_index: u64,
}

#[derive(Debug)]
struct Session {
    ttl: Duration,
    expires: Instant,
}

/// What a write asks for.
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

    /// The index of the last change to `key`.
    pub(super) fn index_of(&self, key: &str) -> u64 {
        let present = self.keys.get(key).map(|item| item.modify_index);
        let gone = self.deleted.get(key).copied();
        present.or(gone).unwrap_or(1)
    }

    /// Writes `key`; false where its index is not the expected one.
    pub(super) fn write(&mut self, key: &str, write: Write) -> bool {
        let present = self.keys.get(key).map(|item| item.modify_index);
        let (Write::Put { cas, .. } | Write::Delete { cas }) = &write;
        if cas.is_some_and(|expected| expected != present.unwrap_or(0)) {
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

    pub(super) fn create_session(&mut self, ttl: Duration) -> String {
        self.index += 1;
        let id = format!("session-{}", self.index);
        let expires = Instant::now() + ttl;
        self.sessions.insert(id.clone(), Session { ttl, expires });
        id
    }

    /// Renews a session; false where it has ended.
    pub(super) fn renew_session(&mut self, id: &str) -> bool {
        let now = Instant::now();
        self.sessions.retain(|_, session| session.expires > now);
        let session = self.sessions.get_mut(id);
        session.map(|it| it.expires = now + it.ttl).is_some()
    }

    pub(super) fn destroy_session(&mut self, id: &str) {
        self.sessions.shift_remove(id);
    }
}
