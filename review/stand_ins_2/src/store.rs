//! Stand-in of the platform's store, as PROTOCOL.md describes it: linearizable, 20 s of history, values of at most
//! 1 MiB, transactions of at most 32 entries, pages of at most 500 items or 1 MB.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::http_io::{self, Answer};
use crate::record::Record;

const HISTORY: Duration = Duration::from_secs(20);
const VALUE_BYTES: usize = 1_048_576;
const MAX_ENTRIES: usize = 32;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

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
    body: Value,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    events: VecDeque<Event>,
    /// Revision up to which the history has been dropped.
    dropped: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    record: Record,
}

fn item_body(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "create-revision": item.created,
        "lease": item.lease})
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
        let body = item_body(key, &item);
        self.items.insert(key.to_owned(), item);
        self.push_event(key, body);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let body = json!({"key": key, "revision": self.revision, "removed": true});
            self.push_event(key, body);
        }
    }

    fn push_event(&mut self, key: &str, body: Value) {
        let event = Event {
            revision: self.revision,
            at: Instant::now(),
            key: key.to_owned(),
            body,
        };
        self.events.push_back(event);
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn advance(&mut self) {
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
        while let Some(event) = self.events.front()
            && now.duration_since(event.at) > HISTORY
        {
            self.dropped = event.revision;
            self.events.pop_front();
        }
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, puts, deletes) = (rows("expected"), rows("puts"), rows("delete"));
        if expected.len() + puts.len() + deletes.len() > MAX_ENTRIES {
            return (400, json!({"reason": "entries"}));
        }
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let written = puts.iter().map(|put| text(put, "key"));
        let deleted = deletes
            .iter()
            .map(|key| key.as_str().unwrap_or_default().to_owned());
        if written
            .chain(deleted)
            .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
        {
            return (403, json!({}));
        }
        let sizes = puts.iter().map(|put| {
            STANDARD
                .decode(text(put, "value"))
                .map_or(usize::MAX, |v| v.len())
        });
        if sizes.max().unwrap_or(0) > VALUE_BYTES {
            return (400, json!({"reason": "value"}));
        }
        let holds = expected.iter().all(|row| {
            let found = self.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            found == row["revision"].as_u64().unwrap_or(0)
        });
        if !holds {
            let items = expected.iter().filter_map(|row| {
                let key = text(row, "key");
                self.items.get(&key).map(|item| item_body(&key, item))
            });
            return (412, json!({"items": items.collect::<Vec<_>>()}));
        }
        let has_lease = |put: &Value| match put["lease"].as_u64().unwrap_or(0) {
            0 => true,
            lease => self.leases.contains_key(&lease),
        };
        if !puts.iter().all(has_lease) {
            return (404, json!({}));
        }
        self.revision += 1;
        for put in &puts {
            self.put(
                &text(put, "key"),
                text(put, "value"),
                put["lease"].as_u64().unwrap_or(0),
            );
        }
        for key in &deletes {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"revision": self.revision}))
    }
}

impl Store {
    pub async fn start(record: &Record) -> (Self, SocketAddr) {
        let store = Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            record: record.clone(),
        };
        let shared = store.clone();
        let address = http_io::serve(move |request| {
            let store = shared.clone();
            async move { store.handle(request).await }
        })
        .await;
        let timer = store.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                timer.with_state(State::advance);
            }
        });
        (store, address)
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().expect("state");
        let before = state.revision;
        let result = change(&mut state);
        if state.revision > before {
            self.changed.send_replace(state.revision);
        }
        result
    }

    /// Writes a key as the operator or a runner does.
    pub fn write(&self, key: &str, value: &Value) {
        let text = STANDARD.encode(value.to_string());
        self.with_state(|state| {
            state.revision += 1;
            state.put(key, text, 0);
        });
    }

    /// Deletes a key as a runner that leaves does.
    pub fn delete(&self, key: &str) {
        self.with_state(|state| {
            state.revision += 1;
            state.remove(key);
        });
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let query: BTreeMap<String, String> = request
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| {
                let value = percent_encoding::percent_decode_str(value).decode_utf8_lossy();
                (name.to_owned(), value.into_owned())
            })
            .collect();
        let body = http_io::read_body(request).await;
        // The store takes 4 ms an answer.
        tokio::time::sleep(Duration::from_millis(4)).await;
        let id = || {
            path.rsplit('/')
                .next()
                .and_then(|id| id.parse::<u64>().ok())
                .unwrap_or(0)
        };
        match path.as_str() {
            "/kv-watch" => self.watch(&query).await,
            "/kv-txn" => {
                let (status, answer) = self.with_state(|state| {
                    state.advance();
                    state.commit(&body)
                });
                if !matches!(status, 200 | 404 | 412) {
                    self.record
                        .line(format_args!("store: a transaction is answered {status} {answer}"));
                }
                http_io::json(status, &answer)
            }
            "/kv-key" => self.with_state(|state| {
                state.advance();
                let key = query.get("key").cloned().unwrap_or_default();
                match state.items.get(&key) {
                    None => http_io::json(404, &json!({"as-of": state.revision})),
                    Some(item) => {
                        let mut body = item_body(&key, item);
                        body["as-of"] = json!(state.revision);
                        http_io::json(200, &body)
                    }
                }
            }),
            "/kv-range" => self.with_state(|state| {
                state.advance();
                range(state, &query)
            }),
            "/kv-lease" => self.with_state(|state| {
                let ttl =
                    Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1_000).clamp(1_000, 600_000));
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                http_io::json(200, &json!({"lease": lease, "ttl-ms": ttl.as_millis() as u64}))
            }),
            _ if path.starts_with("/kv-keep/") => self.with_state(|state| {
                state.advance();
                match state.leases.get_mut(&id()) {
                    None => http_io::json(404, &json!({})),
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        http_io::json(200, &json!({"ttl-ms": ttl.as_millis() as u64}))
                    }
                }
            }),
            _ if path.starts_with("/kv-lease-end/") => self.with_state(|state| {
                state.end_lease(id());
                http_io::json(200, &json!({}))
            }),
            _ => http_io::json(404, &json!({})),
        }
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Answer {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("after");
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
        let mut changes = self.changed.subscribe();
        loop {
            let answer = {
                changes.borrow_and_update();
                let state = self.state.lock().expect("state");
                if after < state.dropped {
                    return http_io::json(410, &json!({}));
                }
                let events = state
                    .events
                    .iter()
                    .rev()
                    .take_while(|event| event.revision > after);
                let mut events: Vec<&Value> = events
                    .filter(|event| event.key.starts_with(&prefix))
                    .map(|event| &event.body)
                    .collect();
                events.reverse();
                let is_due = !events.is_empty() || tokio::time::Instant::now() >= deadline;
                is_due.then(|| http_io::json(200, &json!({"events": events, "as-of": state.revision})))
            };
            if let Some(answer) = answer {
                return answer;
            }
            let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
        }
    }
}

fn range(state: &State, query: &BTreeMap<String, String>) -> Answer {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = query.get("after").map_or("", String::as_str);
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut truncated = false;
    for (key, item) in state.items.range(prefix.to_owned()..) {
        if !key.starts_with(prefix) {
            break;
        }
        if key.as_str() <= after && !after.is_empty() {
            continue;
        }
        if items.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
            truncated = true;
            break;
        }
        bytes += item.value.len();
        items.push(item_body(key, item));
    }
    http_io::json(
        200,
        &json!({"items": items, "truncated": truncated, "as-of": state.revision}),
    )
}
