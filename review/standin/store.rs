//! A stand-in for the platform's metadata store.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::Json,
    record::Record,
};

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Table>, Condvar)>,
}

#[derive(Default)]
struct Table {
    items: BTreeMap<String, Item>,
    /// Each change as a revision and its event.
    history: Vec<(u64, String)>,
    revision: u64,
    /// The end and the TTL of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Store {
    pub fn start(address: SocketAddrV4, record: Record) -> std::io::Result<Self> {
        let table = Table {
            revision: 100,
            ..Table::default()
        };
        let this = Self {
            shared: Arc::new((Mutex::new(table), Condvar::new())),
        };
        let store = this.clone();
        http::serve(address, move |req| store.answer(&req, &record))?;
        Ok(this)
    }

    /// Writes an item as the operator.
    pub fn write(&self, key: &str, value: &str) {
        let mut table = self.shared.0.lock().unwrap();
        table.set(key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn answer(&self, req: &Request, record: &Record) -> (u16, String) {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let path = path.strip_prefix("/arbutusstage/").unwrap_or_default();
        let (name, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        if name == "kv-watch" {
            return self.watch(query);
        }
        let mut table = self.shared.0.lock().unwrap();
        table.expire();
        let reply = match name {
            "kv-range" => (
                200,
                table.range(parameter(query, "prefix"), parameter(query, "after")),
            ),
            "kv-txn" => {
                let reply = table.transact(&body);
                record.line(&format!("store: kv-txn answered {}", reply.0));
                reply
            }
            "kv-lease" => table.grant(&body),
            "kv-keep" => table.keep(id),
            "kv-lease-end" => table.end(id),
            _ => (404, "{}".to_owned()),
        };
        self.shared.1.notify_all();
        reply
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let number = |name| parameter(query, name).parse::<u64>().unwrap_or(0);
        let prefix = parameter(query, "prefix").to_owned();
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let after = number("after");
        let mut table = self.shared.0.lock().unwrap();
        loop {
            table.expire();
            let newer = table
                .history
                .iter()
                .filter(|(revision, _)| *revision > after);
            let marker = format!("\"key\":\"{prefix}");
            let events: Vec<&str> = newer
                .filter(|(_, event)| event.contains(&marker))
                .map(|(_, event)| event.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let as_of = table.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")),
                );
            }
            let wait = (until - now).min(Duration::from_millis(100));
            table = self.shared.1.wait_timeout(table, wait).unwrap().0;
        }
    }
}

impl Table {
    fn set(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.history.push((revision, row(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}");
            self.history.push((revision, event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, it)| it.0 <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) -> (u16, String) {
        if self.leases.remove(&lease).is_none() {
            return (404, "{}".to_owned());
        }
        let under = self.items.iter().filter(|(_, it)| it.lease == lease);
        let keys: Vec<String> = under.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        (200, "{}".to_owned())
    }

    fn grant(&mut self, body: &Json) -> (u16, String) {
        let ttl_ms = body
            .get("ttl_ms")
            .map_or(0, Json::number)
            .clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&mut self, lease: u64) -> (u16, String) {
        match self.leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let rows = |name| body.get(name).map_or(&[] as &[Json], Json::list);
        let key = |row: &Json| row.get("key").map_or("", Json::text).to_owned();
        let number = |row: &Json, name| row.get(name).map_or(0, Json::number);
        let holds = |row: &Json| {
            let present = self.items.get(&key(row)).map_or(0, |it| it.revision);
            present == number(row, "revision")
        };
        if !rows("expected_revision").iter().all(holds) {
            let found = rows("expected_revision").iter();
            let found = found.filter_map(|it| Some(row(&key(it), self.items.get(&key(it))?)));
            let found: Vec<String> = found.collect();
            return (412, format!("{{\"items\":[{}]}}", found.join(",")));
        }
        let known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !rows("set_keys").iter().all(|it| known(number(it, "lease"))) {
            return (404, "{}".to_owned());
        }
        for item in rows("set_keys") {
            let value = item.get("value").map_or("", Json::text).to_owned();
            self.set(&key(item), &value, number(item, "lease"));
        }
        for removed in rows("remove") {
            self.remove(removed.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, it)| row(key, it)).collect();
        let as_of = self.revision;
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"as_of\":{as_of}}}",
            items.join(",")
        )
    }
}

fn row(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
