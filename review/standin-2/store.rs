//! A stand-in of the platform's metadata store. It follows PROTOCOL.md: items with revisions, leases,
//! conditional transactions, watches that return all changes after a revision, and a history of a
//! limited time.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Call},
    json::{self, Json},
};

const HISTORY: Duration = Duration::from_secs(20);
const MAX_RANGE_ITEMS: usize = 500;
const MAX_RANGE_BYTES: usize = 1_000_000;

#[derive(Debug, Clone)]
struct Item {
    /// The value in Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Event {
    revision: u64,
    at: Instant,
    body: String,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// The revision of the latest change that the history no longer has.
    discarded: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// The length of the largest answer to a watch.
    largest_watch: usize,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// The length from which on an answer to a watch takes no further change, if it has one.
    watch_limit: Option<usize>,
}

impl Store {
    pub fn start(address: SocketAddrV4, watch_limit: Option<usize>) -> std::io::Result<Arc<Store>> {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                revision: 1,
                items: BTreeMap::new(),
                events: Vec::new(),
                discarded: 1,
                leases: BTreeMap::new(),
                last_lease: 100,
                largest_watch: 0,
            }),
            changed: Condvar::new(),
            watch_limit,
        });
        let this = store.clone();
        http::serve(address, move |call| this.answer(&call))?;
        let this = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                this.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator does. The write is acknowledged when this returns.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.set(key, json::to_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns the keys with this prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state
            .items
            .keys()
            .filter(|it| it.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn largest_watch(&self) -> usize {
        self.state.lock().unwrap().largest_watch
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, it)| it.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
        }
        let old = state
            .events
            .iter()
            .take_while(|it| now - it.at > HISTORY)
            .count();
        if let Some(last) = state.events.drain(..old).last() {
            state.discarded = last.revision;
        }
        self.changed.notify_all();
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/arbutusstage/kv-key") => self.key(call),
            ("GET", "/arbutusstage/kv-range") => self.range(call),
            ("GET", "/arbutusstage/kv-watch") => self.watch(call),
            ("POST", "/arbutusstage/kv-txn") => self.transact(call),
            ("POST", "/arbutusstage/kv-lease") => self.grant(call),
            ("POST", path) if path.starts_with("/arbutusstage/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/arbutusstage/kv-lease-end/") => self.end(path),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, call: &Call) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let key = call.param("key");
        match state.items.get(key) {
            Some(item) => {
                let body = item_body(key, item);
                (
                    200,
                    format!("{},\"as_of\":{}}}", &body[..body.len() - 1], state.revision),
                )
            }
            None => (404, format!("{{\"as_of\":{}}}", state.revision)),
        }
    }

    fn range(&self, call: &Call) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (call.param("prefix"), call.param("after"));
        let (mut bodies, mut length, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in &state.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if bodies.len() >= MAX_RANGE_ITEMS || length >= MAX_RANGE_BYTES {
                has_more = true;
                break;
            }
            let body = item_body(key, item);
            length += body.len();
            bodies.push(body);
        }
        let (items, as_of) = (bodies.join(","), state.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"as_of\":{as_of}}}"),
        )
    }

    fn watch(&self, call: &Call) -> (u16, String) {
        let prefix = call.param("prefix").to_owned();
        let after: u64 = call.param("after").parse().unwrap_or(0);
        let wait_ms: u64 = call.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.discarded || after > state.revision {
                return (410, "{}".to_owned());
            }
            let key = format!("{{\"key\":\"{prefix}");
            let newer = state.events.iter().filter(|it| it.revision > after);
            let (mut bodies, mut length, mut as_of) = (Vec::new(), 0, state.revision);
            for event in newer.filter(|it| it.body.starts_with(&key)) {
                if self.watch_limit.is_some_and(|limit| length >= limit) {
                    as_of = bodies.last().map_or(after, |(revision, _)| *revision);
                    break;
                }
                length += event.body.len();
                bodies.push((event.revision, event.body.clone()));
            }
            let now = Instant::now();
            if !bodies.is_empty() || now >= until {
                let events: Vec<String> = bodies.into_iter().map(|(_, body)| body).collect();
                let body = format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(","));
                state.largest_watch = state.largest_watch.max(body.len());
                return (200, body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, call: &Call) -> (u16, String) {
        let Some(body) = Json::parse(&call.body) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let field = |row: &Json, name: &str| row.get(name).cloned().unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let (mut met, mut present) = (true, Vec::new());
        for row in rows("expected_revision") {
            let key = field(&row, "key").text().to_owned();
            let item = state.items.get(&key);
            met &= item.map_or(0, |it| it.revision) == field(&row, "revision").number();
            present.extend(item.map(|it| item_body(&key, it)));
        }
        if !met {
            return (412, format!("{{\"items\":[{}]}}", present.join(",")));
        }
        let sets = rows("set_keys");
        let known = |it: &Json| {
            let lease = field(it, "lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !sets.iter().all(known) {
            return (404, "{}".to_owned());
        }
        for row in sets {
            let (key, value) = (field(&row, "key"), field(&row, "value"));
            state.set(
                key.text(),
                value.text().to_owned(),
                field(&row, "lease").number(),
            );
        }
        for key in rows("remove") {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, call: &Call) -> (u16, String) {
        let asked = Json::parse(&call.body).and_then(|it| it.get("ttl_ms").map(Json::number));
        let ttl = Duration::from_millis(asked.unwrap_or(0).clamp(1_000, 600_000));
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(
            lease,
            Lease {
                ttl,
                ends_at: Instant::now() + ttl,
            },
        );
        (
            200,
            format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()),
        )
    }

    fn keep(&self, path: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let lease = path
            .rsplit('/')
            .next()
            .and_then(|it| it.parse::<u64>().ok());
        match lease.and_then(|it| state.leases.get_mut(&it)) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&self, path: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if let Some(lease) = path.rsplit('/').next().and_then(|it| it.parse().ok()) {
            state.end_lease(lease);
        }
        self.changed.notify_all();
        (200, "{}".to_owned())
    }
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let body = item_body(key, &item);
        self.events.push(Event {
            revision,
            at: Instant::now(),
            body,
        });
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let body = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}");
            self.events.push(Event {
                revision,
                at: Instant::now(),
                body,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, it)| it.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_body(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}
