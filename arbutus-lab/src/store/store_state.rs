use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use tokio::{sync::watch, time};

use super::{
    CallKind, Counts, Fault,
    active_faults::{ActiveFaults, WriteFault},
    query::{Query, parse_duration},
    reply::Reply,
    table::{Table, Write},
};

/// Largest size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// How long a watch waits if it names no time.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// TTL of a session that names none.
const DEFAULT_TTL: Duration = Duration::from_secs(30);

/// The shared state of the stand-in.
///
/// No two of its locks are held at once.
#[derive(Debug)]
pub(super) struct StoreState {
    table: Mutex<Table>,
    faults: Mutex<ActiveFaults>,
    counts: Mutex<Counts>,
    /// The number of writes; a change wakes the watches.
    write_count: watch::Sender<u64>,
}

impl StoreState {
    pub(super) fn new() -> Self {
        Self {
            table: Mutex::new(Table::new()),
            faults: Mutex::new(ActiveFaults::default()),
            counts: Mutex::new(Counts::default()),
            write_count: watch::Sender::new(0),
        }
    }

    pub(super) fn set_fault(&self, fault: Fault) {
        self.faults.lock().set(fault);
    }

    pub(super) fn copy(&self) -> Table {
        self.table.lock().clone()
    }

    /// Replaces the contents by an older copy, and wakes the watches.
    pub(super) fn restore(&self, copy: Table) {
        *self.table.lock() = copy;
        self.write_count.send_modify(|count| *count += 1);
    }

    pub(super) fn counts(&self) -> Counts {
        *self.counts.lock()
    }

    pub(super) fn refuses(&self) -> bool {
        self.faults.lock().refuses()
    }

    /// Answers one call; returns `None` if a fault rejects it.
    pub(super) async fn answer(
        self: Arc<Self>,
        method: Method,
        path: String,
        query: String,
        body: Bytes,
    ) -> Option<Reply> {
        if let Some(path) = path.strip_prefix("/lab/") {
            return Some(self.handle_lab_request(&method, path, &body));
        }
        let query = Query::parse(&query);
        let kind = classify(&method, &path, query);
        self.counts.lock().count(kind);
        self.apply_faults(kind).await?;
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match method {
                Method::GET => Some(self.read(key, query).await),
                Method::PUT => self.put(key, query, body).await,
                Method::DELETE => self.write(key, Write::Delete { cas: query.cas }).await,
                _ => Some(Reply::new(StatusCode::METHOD_NOT_ALLOWED, "")),
            };
        }
        match path.strip_prefix("/v1/session/") {
            Some(path) => Some(self.session(path, &body)),
            None => Some(Reply::new(StatusCode::NOT_FOUND, "")),
        }
    }

    /// Applies the active faults to a call; returns `None` if the call is rejected.
    async fn apply_faults(&self, kind: CallKind) -> Option<()> {
        let delay = self.faults.lock().delay();
        if !delay.is_zero() {
            self.counts.lock().faulted += 1;
            time::sleep(delay).await;
        }
        let (refuses, hangs, is_silenced) = {
            let faults = self.faults.lock();
            let is_silenced = kind == CallKind::Watch && faults.silences_watches();
            (faults.refuses(), faults.hangs(), is_silenced)
        };
        if refuses || hangs || is_silenced {
            self.counts.lock().faulted += 1;
        }
        if hangs || is_silenced {
            std::future::pending::<()>().await;
        }
        (!refuses).then_some(())
    }

    async fn read(&self, key: &str, query: Query) -> Reply {
        if let Some(after) = query.index {
            let wait = query.wait.unwrap_or(DEFAULT_WAIT);
            // If the time runs out, the answer is the current value, so this is not an error.
            let _ = time::timeout(wait, self.wait_for_change(key, after)).await;
            if self.faults.lock().silences_watches() {
                self.counts.lock().faulted += 1;
                std::future::pending::<()>().await;
            }
        }
        let table = self.table.lock();
        Reply::lookup(key, table.get(key), table.index_of(key))
    }

    /// Waits until the index of the last change to `key` is greater than `after`.
    async fn wait_for_change(&self, key: &str, after: u64) {
        let mut write_count = self.write_count.subscribe();
        while self.table.lock().index_of(key) <= after {
            if write_count.changed().await.is_err() {
                return;
            }
        }
    }

    async fn put(self: Arc<Self>, key: &str, query: Query, body: Bytes) -> Option<Reply> {
        if body.len() > MAX_VALUE_BYTES {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Some(Reply::new(status, "the value is too large"));
        }
        let value = body.to_vec();
        let cas = query.cas;
        self.write(key, Write::Put { value, cas }).await
    }

    async fn write(self: Arc<Self>, key: &str, write: Write) -> Option<Reply> {
        let fault = self.faults.lock().take_write_fault(key);
        match fault {
            WriteFault::None => Some(Reply::ok(self.commit(key, write).to_string())),
            WriteFault::LoseAnswer => {
                self.counts.lock().faulted += 1;
                self.commit(key, write);
                std::future::pending().await
            }
            WriteFault::Late(delay) => {
                self.counts.lock().faulted += 1;
                let (state, key) = (self.clone(), key.to_owned());
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    state.commit(&key, write);
                });
                std::future::pending().await
            }
        }
    }

    /// Applies a write and wakes the watches; returns whether the write took effect.
    fn commit(&self, key: &str, write: Write) -> bool {
        let is_written = self.table.lock().write(key, write);
        if is_written {
            self.write_count.send_modify(|count| *count += 1);
        } else {
            self.counts.lock().mismatches += 1;
        }
        is_written
    }

    fn session(&self, path: &str, body: &[u8]) -> Reply {
        let mut table = self.table.lock();
        match path.split_once('/') {
            None if path == "create" => {
                let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
                let ttl = body["TTL"].as_str().and_then(parse_duration);
                let id = table.create_session(ttl.unwrap_or(DEFAULT_TTL));
                Reply::ok(json!({ "ID": id }).to_string())
            }
            Some(("renew", id)) if table.renew_session(id) => {
                Reply::ok(json!([{ "ID": id }]).to_string())
            }
            Some(("destroy", id)) => {
                table.destroy_session(id);
                Reply::ok("true")
            }
            _ => Reply::new(StatusCode::NOT_FOUND, ""),
        }
    }

    fn handle_lab_request(&self, method: &Method, path: &str, body: &[u8]) -> Reply {
        match (method, path) {
            (&Method::GET, "counts") => Reply::ok(json!(self.counts()).to_string()),
            (&Method::PUT | &Method::POST, "fault") => match serde_json::from_slice(body) {
                Ok(fault) => {
                    self.set_fault(fault);
                    Reply::ok("{}")
                }
                Err(error) => Reply::new(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => Reply::new(StatusCode::NOT_FOUND, ""),
        }
    }
}

fn classify(method: &Method, path: &str, query: Query) -> CallKind {
    if path.starts_with("/v1/session/") {
        return CallKind::Session;
    }
    match (method, query.index) {
        (&Method::GET, Some(_)) => CallKind::Watch,
        (&Method::GET, None) => CallKind::Read,
        _ => CallKind::Write,
    }
}
