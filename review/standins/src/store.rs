//! Stand-in of the platform's metadata store, by the page on the protocol.

use crate::http::{Connection, Message};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Items of one page of a range.
const PAGE_ITEMS: usize = 500;
/// Longest wait of a watch.
const MAX_WATCH: Duration = Duration::from_secs(30);
/// Shortest lease in milliseconds.
pub const LEAST_TTL_MS: u64 = 1_000;
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Interval at which leases are checked.
const LEASE_CHECK: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Item {
    /// In base64, as written.
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A change; without an item the key was removed.
struct Change {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    history: Vec<Change>,
    /// The next answer to a watch of this prefix is lost.
    loses_watch_of: Option<String>,
    lost_at: Option<Instant>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        store.lock().next_lease = 77_000;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                expiring.expire_leases();
            }
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes an entry as the operator or an upstream does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        let revision = state.revision + 1;
        state.revision = revision;
        let value = base64(value.to_string().as_bytes());
        state.write(revision, key, value, 0);
        drop(state);
        self.state.1.notify_all();
    }

    /// Loses the next answer to a watch of that prefix. A connection on which an answer was lost
    /// says nothing further.
    pub fn lose_watch_answer(&self, prefix: &str) {
        self.lock().loses_watch_of = Some(prefix.to_owned());
    }

    /// When an answer was lost.
    pub fn lost_at(&self) -> Option<Instant> {
        self.lock().lost_at
    }

    /// Whether the answer to this request is lost.
    fn loses(&self, request: &Message) -> bool {
        let (path, query) = request.target().split_once('?').unwrap_or_default();
        let prefix = parse_query(query).remove("pathPrefix");
        let mut state = self.lock();
        let is_lost = path == "/v1/kv-watch" && prefix.is_some() && prefix == state.loses_watch_of;
        if is_lost {
            state.loses_watch_of = None;
            state.lost_at = Some(Instant::now());
        }
        is_lost
    }

    /// Removes an entry as an upstream does.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.remove(revision, key);
        drop(state);
        self.state.1.notify_all();
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended = state.leases.iter().filter(|(_, lease)| now >= lease.ends);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        drop(state);
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            if self.loses(&request) {
                let _ = connection.wait_for_end();
                return;
            }
            let answer = Message::response(status)
                .with("Content-Type", "application/json")
                .with_body(body.to_string().into_bytes());
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Value) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = parse_query(query);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match (request.method(), path) {
            ("GET", "/v1/kv-key") => self.key(&text("tlsKey")),
            ("GET", "/v1/kv-range") => self.range(&text("pathPrefix"), &text("after")),
            ("GET", "/v1/kv-watch") => {
                let after = text("after").parse().unwrap_or_default();
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or_default());
                self.watch(&text("pathPrefix"), after, wait)
            }
            ("POST", "/v1/kv-txn") => {
                let answer = self.lock().commit(&body);
                self.state.1.notify_all();
                answer
            }
            ("POST", "/v1/kv-lease") => self.grant_lease(&body),
            ("POST", path) => match id_behind(path, "/v1/kv-keep/") {
                Some(id) => self.keep_lease(id),
                None => (404, json!({})),
            },
            ("DELETE", path) => match id_behind(path, "/v1/kv-lease-end/") {
                Some(id) => {
                    let ended = self.lock().end_lease(id);
                    self.state.1.notify_all();
                    (if ended { 200 } else { 404 }, json!({}))
                }
                None => (404, json!({})),
            },
            _ => (404, json!({})),
        }
    }

    fn key(&self, key: &str) -> (u16, Value) {
        let state = self.lock();
        let Some(item) = state.items.get(key) else {
            return (404, json!({ "at": state.revision }));
        };
        let mut item = wire_item(key, item);
        item["at"] = json!(state.revision);
        (200, item)
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Value) {
        let state = self.lock();
        let all = state.items.iter();
        let mut found = all.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Value> = found
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| wire_item(key, item))
            .collect();
        let more = found.next().is_some();
        (
            200,
            json!({ "items": items, "more": more, "at": state.revision }),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait.min(MAX_WATCH);
        let mut state = self.lock();
        loop {
            let newer = state.history.iter();
            let newer =
                newer.filter(|change| change.revision > after && change.key.starts_with(prefix));
            let events: Vec<Value> = newer.map(wire_change).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "at": state.revision }));
            }
            (state, _) = self.state.1.wait_timeout(state, left).unwrap();
        }
    }

    fn grant_lease(&self, body: &Value) -> (u16, Value) {
        let ttl_ms = body["ttlMs"].as_u64().unwrap_or_default().max(LEAST_TTL_MS);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        let ends = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, ends });
        (200, json!({ "lease": id, "ttlMs": ttl_ms }))
    }

    fn keep_lease(&self, id: u64) -> (u16, Value) {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            return (404, json!({}));
        };
        lease.ends = Instant::now() + lease.ttl;
        (200, json!({ "ttlMs": lease.ttl.as_millis() as u64 }))
    }
}

impl State {
    fn write(&mut self, revision: u64, key: &str, value: String, lease: u64) {
        let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
        let item = Item {
            value,
            revision,
            created_at,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Change {
                revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(self.revision, &key);
            }
        }
        true
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&empty);
        let key_of = |row: &Value| row["tlsKey"].as_str().unwrap_or_default().to_owned();
        let known = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let conditions = rows("expectedRev");
        let holds = |row: &Value| row["revision"].as_u64() == Some(known(&key_of(row)));
        if !conditions.iter().all(holds) {
            let current = conditions.iter().filter_map(|row| {
                let key = key_of(row);
                self.items.get(&key).map(|item| wire_item(&key, item))
            });
            return (412, json!({ "items": current.collect::<Vec<Value>>() }));
        }
        let puts = rows("put").clone();
        let removals = rows("remove").clone();
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or_default();
        let is_known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !puts.iter().all(|row| is_known(lease_of(row))) {
            return (404, json!({}));
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|row| is_foreign(&key_of(row))) {
            return (403, json!({}));
        }
        let revision = self.revision + 1;
        self.revision = revision;
        for row in &puts {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.write(revision, &key_of(row), value, lease_of(row));
        }
        for key in removals.iter().filter_map(Value::as_str) {
            self.remove(revision, key);
        }
        (200, json!({ "revision": revision }))
    }
}

fn wire_item(key: &str, item: &Item) -> Value {
    json!({
        "tlsKey": key,
        "value": item.value,
        "revision": item.revision,
        "createdAt": item.created_at,
        "lease": item.lease,
    })
}

fn wire_change(change: &Change) -> Value {
    match &change.item {
        Some(item) => wire_item(&change.key, item),
        None => json!({ "tlsKey": change.key, "revision": change.revision, "gone": true }),
    }
}

fn id_behind(path: &str, prefix: &str) -> Option<u64> {
    path.strip_prefix(prefix)?.parse().ok()
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect()
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or_default());
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for sign in 0..4 {
            let index = (number >> (18 - 6 * sign) & 63) as usize;
            let is_padding = sign > group.len();
            text.push(if is_padding {
                '='
            } else {
                SIGNS[index] as char
            });
        }
    }
    text
}
