//! The platform's store, as `PROTOCOL.md` describes it. Watches return all events since the given revision.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{self, Json};

/// Time for which the store keeps its history (`history-s`).
pub const HISTORY: Duration = Duration::from_secs(20);
/// Largest value (`value-bytes`).
pub const MAX_VALUE_BYTES: usize = 1_048_576;
/// Items and bytes of one page of a range.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Entries of one transaction.
const MAX_ENTRIES: usize = 32;
/// Time after which a transaction without an answer is carried out, if its conditions hold then.
const LATE_TIME: Duration = Duration::from_secs(2);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    at: Instant,
    key: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    events: Vec<Event>,
    /// Revision up to which the history is discarded.
    discarded: u64,
    largest_watch: usize,
    refused_values: u64,
    largest_refused: usize,
    /// Prefix of a key; the next transaction that writes it gets no answer and is carried out late.
    late_prefix: Option<String>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn encode_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create-revision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let text = encode_item(key, &item);
        self.items.insert(key.to_owned(), item);
        self.record(key, text);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let text = format!(
                "{{\"key\":\"{key}\",\"revision\":{},\"removed\":true}}",
                self.revision
            );
            self.record(key, text);
        }
    }

    fn record(&mut self, key: &str, text: String) {
        let event = Event {
            revision: self.revision,
            at: Instant::now(),
            key: key.to_owned(),
            text,
        };
        self.events.push(event);
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
        let old = self
            .events
            .iter()
            .take_while(|event| event.at + HISTORY < now)
            .count();
        if old > 0 {
            self.discarded = self.events[old - 1].revision;
            self.events.drain(..old);
        }
    }

    fn transact(&mut self, body: &Json) -> Response {
        let (expected, puts, deletes) = (
            body.get("expected").list(),
            body.get("puts").list(),
            body.get("delete").list(),
        );
        if expected.len() + puts.len() + deletes.len() > MAX_ENTRIES {
            return (400, "{\"reason\":\"entries\"}".to_owned());
        }
        let is_current = |row: &Json| {
            let found = self
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            Some(found as i64) == row.get("revision").int()
        };
        if !expected.iter().all(is_current) {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                self.items.get(key).map(|item| encode_item(key, item))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |put: &Json| put.get("lease").int().unwrap_or(0) as u64;
        if puts
            .iter()
            .any(|put| lease_of(put) > 0 && !self.leases.contains_key(&lease_of(put)))
        {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let size = put.get("value").text().len() / 4 * 3;
            if size > MAX_VALUE_BYTES {
                self.refused_values += 1;
                self.largest_refused = self.largest_refused.max(size);
                return (400, "{\"reason\":\"value-bytes\"}".to_owned());
            }
        }
        self.revision += 1;
        for put in puts {
            self.put(
                put.get("key").text(),
                put.get("value").text().to_owned(),
                lease_of(put),
            );
        }
        for key in deletes {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn range(&self, prefix: &str, after: &str) -> Response {
        let (mut rows, mut bytes, mut is_truncated) = (Vec::new(), 0, false);
        for (key, item) in self.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            let row = encode_item(key, item);
            if !rows.is_empty() && (rows.len() >= MAX_PAGE_ITEMS || bytes + row.len() > MAX_PAGE_BYTES) {
                is_truncated = true;
                break;
            }
            bytes += row.len();
            rows.push(row);
        }
        let rows = rows.join(",");
        (
            200,
            format!(
                "{{\"items\":[{rows}],\"truncated\":{is_truncated},\"as-of\":{}}}",
                self.revision
            ),
        )
    }
}

impl Store {
    /// Starts the store and returns it with its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.lock().revision = 1;
        let shared = store.clone();
        let address = http::serve(move |request| {
            if shared.takes_delay(&request) {
                return None;
            }
            Some(shared.handle(&request))
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            expiring.change(State::expire);
        });
        (store, address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("state")
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.shared.1.notify_all();
        }
        result
    }

    /// Writes a key as the operator or a runner does, and returns the revision.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        let value = json::base64(value.as_bytes());
        self.change(|state| {
            state.revision += 1;
            state.put(key, value, 0);
            state.revision
        })
    }

    /// The value of a key.
    pub fn read(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|item| json::unbase64(&item.value))
    }

    /// Size of the largest answer to a watch, in bytes.
    pub fn largest_watch(&self) -> usize {
        self.lock().largest_watch
    }

    /// Number of transactions refused for a value over `value-bytes`, and the size of the largest.
    pub fn refused_values(&self) -> (u64, usize) {
        let state = self.lock();
        (state.refused_values, state.largest_refused)
    }

    /// Leaves the next transaction that writes a key with this prefix without an answer, and carries it out late.
    pub fn delay_write(&self, prefix: &str) {
        self.lock().late_prefix = Some(prefix.to_owned());
    }

    /// Whether the request is the transaction that gets no answer.
    fn takes_delay(&self, request: &Request) -> bool {
        let Some(prefix) = self
            .lock()
            .late_prefix
            .clone()
            .filter(|_| request.path == "/kv-txn")
        else {
            return false;
        };
        let body = request.json();
        let is_late = body
            .get("puts")
            .list()
            .iter()
            .any(|put| put.get("key").text().starts_with(&prefix));
        if is_late {
            self.lock().late_prefix = None;
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(LATE_TIME);
                store.change(|state| state.transact(&body))
            });
        }
        is_late
    }

    fn handle(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let body = request.json();
        let empty = || "{}".to_owned();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                let key = request.query("key");
                let state = self.lock();
                match state.items.get(key) {
                    Some(item) => {
                        let text = encode_item(key, item);
                        (
                            200,
                            format!("{},\"as-of\":{}}}", &text[..text.len() - 1], state.revision),
                        )
                    }
                    None => (404, empty()),
                }
            }
            ("GET", "/kv-range") => self.lock().range(request.query("prefix"), request.query("after")),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => {
                let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
                let puts = body.get("puts").list().iter().map(|put| put.get("key").text());
                let deletes = body.get("delete").list().iter().map(Json::text);
                if puts.chain(deletes).any(is_foreign) {
                    return (403, empty());
                }
                self.change(|state| state.transact(&body))
            }
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl-ms").int().unwrap_or(1_000).clamp(1_000, 600_000) as u64;
                self.change(|state| {
                    state.revision += 1;
                    let (id, time) = (state.revision, Duration::from_millis(ttl));
                    state.leases.insert(id, (Instant::now() + time, time));
                    (200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl}}}"))
                })
            }
            (method, path) => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                self.change(|state| match (method, state.leases.get_mut(&id)) {
                    (_, None) => (404, empty()),
                    ("DELETE", Some(_)) => {
                        state.end_lease(id);
                        (200, empty())
                    }
                    (_, Some((end, ttl))) => {
                        *end = Instant::now() + *ttl;
                        (200, empty())
                    }
                })
            }
        }
    }

    fn watch(&self, request: &Request) -> Response {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait-ms").parse().unwrap_or(0);
        let prefix = request.query("prefix");
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            if after < state.discarded {
                return (410, "{}".to_owned());
            }
            let events = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix));
            let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let text = format!(
                    "{{\"events\":[{}],\"as-of\":{}}}",
                    events.join(","),
                    state.revision
                );
                state.largest_watch = state.largest_watch.max(text.len());
                return (200, text);
            }
            state = self.shared.1.wait_timeout(state, end - now).expect("state").0;
        }
    }
}
