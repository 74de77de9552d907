//! Stand-in of the platform's store. Each node has an address of its own, so that the store knows the sender.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{self, Json, map, number, text};
use crate::record::Record;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Largest number of items on one page of a range.
const PAGE_ITEMS: usize = 500;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    events: Vec<(u64, String, Json)>,
    /// Node that last wrote a key under a condition, by the key.
    writers: BTreeMap<String, usize>,
    writes: u64,
    lost_writes: u64,
}

/// Decides for a write whether its answer is lost, and after which time it is then executed. It gets the keys and
/// values that the write puts.
pub type LossRule = Box<dyn FnMut(&[(String, String)]) -> Option<Duration> + Send>;

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    loss_rule: Arc<Mutex<Option<LossRule>>>,
    record: Record,
}

impl State {
    fn item_json(&self, key: &str) -> Option<Json> {
        let item = self.items.get(key)?;
        Some(map(&[
            ("key", text(key)),
            ("value", text(item.value.as_str())),
            ("revision", number(item.revision)),
            ("create-revision", number(item.created)),
            ("lease", number(item.lease)),
            ("as-of", number(self.revision)),
        ]))
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let event = self.item_json(key).expect("item");
        self.events.push((self.revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = map(&[
                ("key", text(key)),
                ("revision", number(self.revision)),
                ("removed", Json::Bool(true)),
            ]);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.revision += 1;
            self.remove(&key);
        }
        is_known
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn commit(&mut self, node: usize, body: &Json) -> (u16, Json) {
        self.expire_leases();
        let conditions = body.get("expected").list();
        let holds = conditions.iter().all(|row| {
            let item = self.items.get(row.get("key").text());
            Some(item.map_or(0, |item| item.revision)) == row.get("revision").number()
        });
        if !holds {
            let items = conditions.iter();
            let items = items.filter_map(|row| self.item_json(row.get("key").text()));
            let items = Json::List(items.collect());
            return (412, map(&[("items", items)]));
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts
            .iter()
            .any(|put| lease(put) > 0 && !self.leases.contains_key(&lease(put)))
        {
            return (404, map(&[]));
        }
        self.revision += 1;
        for put in puts {
            self.put(put.get("key").text(), put.get("value").text(), lease(put));
        }
        for key in body.get("delete").list() {
            self.remove(key.text());
        }
        for row in conditions {
            self.writers.insert(row.get("key").text().to_owned(), node);
        }
        (200, map(&[("revision", number(self.revision))]))
    }
}

fn query<'a>(request: &'a Request, name: &str) -> &'a str {
    request.query.get(name).map_or("", String::as_str)
}

impl Store {
    pub fn new(record: Record) -> Self {
        Self {
            state: Arc::default(),
            loss_rule: Arc::default(),
            record,
        }
    }

    /// Serves one node.
    pub fn serve(&self, node: usize, listener: TcpListener) {
        let store = self.clone();
        http::serve(listener, Arc::new(move |request| store.handle(node, request)));
    }

    /// Writes a key as the operator or a runner does.
    pub fn write(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().expect("state");
        state.revision += 1;
        state.put(key, &json::encode_base64(value.to_string().as_bytes()), 0);
    }

    /// Node that last wrote a key that contains `name` under a condition.
    pub fn last_writer(&self, name: &str) -> Option<usize> {
        let state = self.state.lock().expect("state");
        let keys = state.writers.iter().filter(|(key, _)| key.contains(name));
        let last = keys.max_by_key(|(key, _)| state.items.get(*key).map_or(0, |item| item.revision));
        last.map(|(_, node)| *node)
    }

    pub fn set_loss_rule(&self, rule: Option<LossRule>) {
        *self.loss_rule.lock().expect("rule") = rule;
        let mut state = self.state.lock().expect("state");
        state.writes = 0;
        state.lost_writes = 0;
    }

    /// Writes since the loss rule was set, and how many of them were lost.
    pub fn write_counts(&self) -> (u64, u64) {
        let state = self.state.lock().expect("state");
        (state.writes, state.lost_writes)
    }

    fn handle(&self, node: usize, request: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        match request.path.as_str() {
            "/kv-watch" => return self.watch(request),
            "/kv-txn" => return self.commit(node, &request.body),
            _ => {}
        }
        let mut state = self.state.lock().expect("state");
        state.expire_leases();
        let (status, body) = match request.path.as_str() {
            "/kv-key" => match state.item_json(query(request, "key")) {
                None => (404, map(&[])),
                Some(item) => (200, item),
            },
            "/kv-range" => {
                let (prefix, after) = (query(request, "prefix"), query(request, "after"));
                let keys = state.items.keys();
                let keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
                let keys: Vec<String> = keys.take(PAGE_ITEMS + 1).cloned().collect();
                let items = keys.iter().take(PAGE_ITEMS);
                let items = items.filter_map(|key| state.item_json(key)).collect();
                let body = map(&[
                    ("items", Json::List(items)),
                    ("truncated", Json::Bool(keys.len() > PAGE_ITEMS)),
                    ("as-of", number(state.revision)),
                ]);
                (200, body)
            }
            "/kv-lease" => {
                let ttl = request.body.get("ttl-ms").number().unwrap_or(1_000).max(1_000);
                state.revision += 1;
                let lease = state.revision;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + ttl_time, ttl_time));
                (200, map(&[("lease", number(lease)), ("ttl-ms", number(ttl))]))
            }
            path => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let is_known = if path.starts_with("/kv-lease-end/") {
                    state.end_lease(lease)
                } else if let Some((end, ttl)) = state.leases.get_mut(&lease) {
                    *end = Instant::now() + *ttl;
                    true
                } else {
                    false
                };
                (if is_known { 200 } else { 404 }, map(&[]))
            }
        };
        Reply::Answer(status, body)
    }

    fn commit(&self, node: usize, body: &Json) -> Reply {
        let puts: Vec<(String, String)> = body
            .get("puts")
            .list()
            .iter()
            .map(|put| {
                let value = json::decode_base64(put.get("value").text());
                let value = String::from_utf8_lossy(&value).into_owned();
                (put.get("key").text().to_owned(), value)
            })
            .collect();
        let late = {
            let mut rule = self.loss_rule.lock().expect("rule");
            rule.as_mut().and_then(|rule| rule(&puts))
        };
        let mut state = self.state.lock().expect("state");
        state.writes += 1;
        if let Some(late) = late {
            state.lost_writes += 1;
            let keys: Vec<&str> = puts.iter().map(|(key, _)| key.as_str()).collect();
            self.record.line(format!(
                "store: no answer to the write of {} by node {node}; it is executed {late:?} later",
                keys.join(", ")
            ));
            let (store, body) = (self.clone(), body.clone());
            std::thread::spawn(move || {
                std::thread::sleep(late);
                let (status, _) = store.state.lock().expect("state").commit(node, &body);
                store.record.line(format!("store: the late write of node {node} ends with status {status}"));
            });
            return Reply::Silence;
        }
        let (status, body) = state.commit(node, body);
        Reply::Answer(status, body)
    }

    fn watch(&self, request: &Request) -> Reply {
        let after: u64 = query(request, "after").parse().unwrap_or(0);
        let wait = query(request, "wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let prefix = query(request, "prefix");
        loop {
            {
                let mut state = self.state.lock().expect("state");
                state.expire_leases();
                let first = state.events.partition_point(|(revision, ..)| *revision <= after);
                let events = state.events[first..].iter();
                let events = events.filter(|(_, key, _)| key.starts_with(prefix));
                let events: Vec<Json> = events.map(|(.., event)| event.clone()).collect();
                if !events.is_empty() || Instant::now() >= end {
                    let as_of = number(state.revision);
                    let body = map(&[("events", Json::List(events)), ("as-of", as_of)]);
                    return Reply::Answer(200, body);
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
