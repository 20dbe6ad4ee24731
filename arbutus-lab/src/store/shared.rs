use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use tokio::{sync::watch, time};

use super::{
    Call, Counts, Fault,
    faults::{Faults, WriteFault},
    query::{Query, duration},
    reply::Reply,
    table::{Table, Write},
};

/// Largest value of a key in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// How long a watch waits that names no time.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// Lease of a session that names none.
const DEFAULT_TTL: Duration = Duration::from_secs(30);

/// The state of the stand-in.
///
/// No two of its locks are held at once.
#[derive(Debug)]
pub(super) struct Shared {
    table: Mutex<Table>,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
    /// Wakes the watches after each write.
    written: watch::Sender<u64>,
}

impl Shared {
    pub(super) fn new() -> Self {
        Self {
            table: Mutex::new(Table::new()),
            faults: Mutex::new(Faults::default()),
            counts: Mutex::new(Counts::default()),
            written: watch::Sender::new(0),
        }
    }

    pub(super) fn set_fault(&self, fault: Fault) {
        self.faults.lock().set(fault);
    }

    pub(super) fn counts(&self) -> Counts {
        *self.counts.lock()
    }

    pub(super) fn refuses(&self) -> bool {
        self.faults.lock().refuses()
    }

    /// Answers one call; `None` where the store is down.
    pub(super) async fn answer(
        self: Arc<Self>,
        method: Method,
        path: String,
        query: String,
        body: Bytes,
    ) -> Option<Reply> {
        if let Some(path) = path.strip_prefix("/lab/") {
            return Some(self.lab(&method, path, &body));
        }
        let query = Query::parse(&query);
        let call = kind(&method, &path, query);
        self.counts.lock().count(call);
        self.misbehave(call).await?;
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

    /// Does what the faults in force ask for; `None` where the store is down.
    async fn misbehave(&self, call: Call) -> Option<()> {
        let delay = self.faults.lock().delay();
        if !delay.is_zero() {
            self.counts.lock().faulted += 1;
            time::sleep(delay).await;
        }
        let (refuses, hangs, silent) = {
            let faults = self.faults.lock();
            let silent = call == Call::Watch && faults.silences_watches();
            (faults.refuses(), faults.hangs(), silent)
        };
        if refuses || hangs || silent {
            self.counts.lock().faulted += 1;
        }
        if hangs || silent {
            std::future::pending::<()>().await;
        }
        (!refuses).then_some(())
    }

    async fn read(&self, key: &str, query: Query) -> Reply {
        if let Some(after) = query.index {
            let wait = query.wait.unwrap_or(DEFAULT_WAIT);
            // The time being over is no failure: the answer is then the present value.
            let _ = time::timeout(wait, self.passed(key, after)).await;
            if self.faults.lock().silences_watches() {
                self.counts.lock().faulted += 1;
                std::future::pending::<()>().await;
            }
        }
        let table = self.table.lock();
        Reply::lookup(key, table.get(key), table.index_of(key))
    }

    /// Waits until the last change to `key` is later than `after`.
    async fn passed(&self, key: &str, after: u64) {
        let mut written = self.written.subscribe();
        while self.table.lock().index_of(key) <= after {
            if written.changed().await.is_err() {
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
                let (shared, key) = (self.clone(), key.to_owned());
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    shared.commit(&key, write);
                });
                std::future::pending().await
            }
        }
    }

    fn commit(&self, key: &str, write: Write) -> bool {
        let written = self.table.lock().write(key, write);
        if written {
            self.written.send_modify(|count| *count += 1);
        } else {
            self.counts.lock().mismatches += 1;
        }
        written
    }

    fn session(&self, path: &str, body: &[u8]) -> Reply {
        let mut table = self.table.lock();
        match path.split_once('/') {
            None if path == "create" => {
                let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
                let ttl = body["TTL"].as_str().and_then(duration);
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

    fn lab(&self, method: &Method, path: &str, body: &[u8]) -> Reply {
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

fn kind(method: &Method, path: &str, query: Query) -> Call {
    if path.starts_with("/v1/session/") {
        return Call::Session;
    }
    match (method, query.index) {
        (&Method::GET, Some(_)) => Call::Watch,
        (&Method::GET, None) => Call::Read,
        _ => Call::Write,
    }
}
