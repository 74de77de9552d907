//! Fake of the platform's store that can lose responses and delay commits.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::fake_server::{self, FakeResponse, json_response};

/// Items of one page of a range.
const MAX_PAGE_ITEMS: usize = 500;

/// Delay of the commits that are chosen at random.
const RANDOM_COMMIT_DELAY: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
struct StoredItem {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    events: Vec<(u64, String, Value)>,
}

/// A commit that gets no response and is executed later, if its conditions still hold then.
#[derive(Debug)]
struct DelayedCommit {
    /// Prefix of the key that one of its puts writes.
    prefix: &'static str,
    delay: Duration,
}

/// What happens to a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitFate {
    /// It is executed and answered.
    Answered,
    /// It is executed, and its connection is closed without an answer.
    Unanswered,
    /// Its connection is closed, and it is never executed.
    Dropped,
    /// Its connection is closed, and it is executed after so many further commits if its conditions hold then.
    Late(usize),
}

/// Commits whose fate is set in advance.
#[derive(Debug, Default)]
struct CommitScript {
    /// Fates of the next commits; further ones are answered.
    fates: VecDeque<CommitFate>,
    /// Commits to execute late, each with the number of commits that come before it.
    late: Vec<(usize, Value)>,
    commits: usize,
}

impl CommitScript {
    /// Counts a commit and takes its fate, and the late ones that come before it.
    fn begin(&mut self) -> (CommitFate, Vec<Value>) {
        self.commits += 1;
        for (ahead, _) in &mut self.late {
            *ahead = ahead.saturating_sub(1);
        }
        let due = self.late.extract_if(.., |(ahead, _)| *ahead == 0);
        let due = due.map(|(_, body)| body).collect();
        (self.fates.pop_front().unwrap_or(CommitFate::Answered), due)
    }
}

/// A fake store; clones share its state.
#[derive(Debug, Clone)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    /// Percentage of the commits that get no response. Half of these are executed at once, the others with a
    /// delay.
    pub lost_commit_percent: Arc<AtomicU32>,
    /// Counter that decides which commits get no response.
    commit_draw: Arc<AtomicU32>,
    /// Whether the answer to a conflict names no items.
    has_no_conflict_items: Arc<AtomicBool>,
    /// The next commit to delay.
    delayed_commit: Arc<Mutex<Option<DelayedCommit>>>,
    script: Arc<Mutex<CommitScript>>,
}

impl StoreState {
    fn encode_item(&self, key: &str, item: &StoredItem) -> Value {
        json!({"key": key, "value": item.value, "revision": item.revision, "lease": item.lease,
            "as-of": self.revision})
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let item = StoredItem {
            value: value.to_owned(),
            revision: self.revision,
            lease,
        };
        let event = self.encode_item(key, &item);
        self.items.insert(key.to_owned(), item);
        self.events.push((self.revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "removed": true});
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    fn revoke_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let conditions = rows("expected");
        let is_satisfied = conditions.iter().all(|row| {
            let found = self
                .items
                .get(row["key"].as_str().expect("key"))
                .map_or(0, |item| item.revision);
            found == row["revision"].as_u64().expect("revision")
        });
        if !is_satisfied {
            let items = conditions.iter().filter_map(|row| {
                let key = row["key"].as_str()?;
                Some(self.encode_item(key, self.items.get(key)?))
            });
            return (412, json!({"items": items.collect::<Vec<_>>()}));
        }
        let puts = rows("puts");
        if puts.iter().any(|put| {
            put["lease"]
                .as_u64()
                .is_some_and(|id| !self.leases.contains_key(&id))
        }) {
            return (404, json!({}));
        }
        self.revision += 1;
        for put in puts {
            let text = |name: &str| put[name].as_str().expect("text").to_owned();
            self.put(&text("key"), &text("value"), put["lease"].as_u64().unwrap_or(0));
        }
        for key in rows("delete") {
            self.remove(key.as_str().expect("key"));
        }
        (200, json!({"revision": self.revision}))
    }
}

impl FakeStore {
    /// Starts a store and returns it with its address.
    pub async fn start() -> (Self, SocketAddr) {
        let store = Self {
            state: Arc::default(),
            lost_commit_percent: Arc::default(),
            commit_draw: Arc::default(),
            has_no_conflict_items: Arc::default(),
            delayed_commit: Arc::default(),
            script: Arc::default(),
        };
        let shared = store.clone();
        let handler = move |request| {
            let store = shared.clone();
            async move { store.handle_request(request).await }
        };
        let address = fake_server::start(handler).await;
        (store, address)
    }

    /// Writes a key without a lease, as operators and workers do.
    pub fn write(&self, key: &str, value: &Value) {
        let text = STANDARD.encode(value.to_string());
        let mut state = self.state.lock().expect("state");
        state.revision += 1;
        state.put(key, &text, 0);
    }

    /// Deletes a key, as operators do.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().expect("state");
        state.revision += 1;
        state.remove(key);
    }

    /// Leaves the next commit that writes a key with `prefix` without a response, and executes it after `delay`.
    pub fn delay_commit(&self, prefix: &'static str, delay: Duration) {
        *self.delayed_commit.lock().expect("rule") = Some(DelayedCommit { prefix, delay });
    }

    /// Sets the fates of the next commits.
    pub fn set_fates(&self, fates: impl IntoIterator<Item = CommitFate>) {
        self.script.lock().expect("script").fates = fates.into_iter().collect();
    }

    /// Executes the late commits that have not been executed yet, in the order of their arrival.
    pub fn execute_late_commits(&self) {
        let late = std::mem::take(&mut self.script.lock().expect("script").late);
        let mut state = self.state.lock().expect("state");
        for (_, body) in late {
            state.commit(&body);
        }
    }

    /// Ends all leases, which removes their keys.
    pub fn end_all_leases(&self) {
        let mut state = self.state.lock().expect("state");
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.revoke_lease(lease);
        }
    }

    /// Number of commits so far.
    pub fn commit_count(&self) -> usize {
        self.script.lock().expect("script").commits
    }

    /// Leaves the items out of the answers to conflicts.
    pub fn leave_out_conflict_items(&self) {
        self.has_no_conflict_items.store(true, Ordering::Relaxed);
    }

    /// Whether a commit that is to be delayed has not arrived yet.
    pub fn awaits_delayed_commit(&self) -> bool {
        self.delayed_commit.lock().expect("rule").is_some()
    }

    /// Values that a key has had, oldest first; a removal shows as null.
    pub fn history(&self, key: &str) -> Vec<Value> {
        let state = self.state.lock().expect("state");
        let events = state.events.iter().filter(|(_, changed, _)| changed == key);
        events.map(|(_, _, event)| decode_value(event)).collect()
    }

    /// Takes the delay of this commit, if it is the one to delay.
    fn take_delay(&self, body: &Value) -> Option<Duration> {
        let mut delayed = self.delayed_commit.lock().expect("rule");
        let prefix = delayed.as_ref()?.prefix;
        let puts = body["puts"].as_array()?;
        let is_match = |put: &Value| put["key"].as_str().is_some_and(|key| key.starts_with(prefix));
        if !puts.iter().any(is_match) {
            return None;
        }
        delayed.take().map(|commit| commit.delay)
    }

    async fn handle_request(&self, request: Request<Incoming>) -> FakeResponse {
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
        let body = fake_server::read_body(request).await;
        if path == "/kv-watch" {
            return self.watch(&query).await;
        }
        if path == "/kv-txn" {
            return self.commit(body).await;
        }
        let mut state = self.state.lock().expect("state");
        state.expire_leases();
        match path.as_str() {
            "/kv-key" => match state.items.get(&query["key"]) {
                None => json_response(404, &json!({})),
                Some(item) => json_response(200, &state.encode_item(&query["key"], item)),
            },
            "/kv-range" => {
                let prefix = &query["prefix"];
                let after = query.get("after").map_or("", String::as_str);
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let mut items: Vec<Value> = items.map(|(key, item)| state.encode_item(key, item)).collect();
                let is_truncated = items.len() > MAX_PAGE_ITEMS;
                items.truncate(MAX_PAGE_ITEMS);
                json_response(
                    200,
                    &json!({"items": items, "truncated": is_truncated, "as-of": state.revision}),
                )
            }
            "/kv-lease" => {
                let ttl = Duration::from_millis(body["ttl-ms"].as_u64().expect("ttl"));
                state.revision += 1;
                let id = state.revision;
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                json_response(200, &json!({"lease": id, "ttl-ms": ttl.as_millis() as u64}))
            }
            other => {
                let id = other
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                if other.starts_with("/kv-lease-end/") {
                    state.revoke_lease(id);
                    return json_response(200, &json!({}));
                }
                match state.leases.get_mut(&id) {
                    None => json_response(404, &json!({})),
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        json_response(200, &json!({}))
                    }
                }
            }
        }
    }

    async fn commit(&self, body: Value) -> FakeResponse {
        let draw = self.commit_draw.fetch_add(37, Ordering::Relaxed) % 100;
        let lost_percent = self.lost_commit_percent.load(Ordering::Relaxed);
        let random_delay = (draw < lost_percent && draw.is_multiple_of(2)).then_some(RANDOM_COMMIT_DELAY);
        if let Some(delay) = self.take_delay(&body).or(random_delay) {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                store.state.lock().expect("state").commit(&body);
            });
            return std::future::pending().await;
        }
        let (fate, due) = self.script.lock().expect("script").begin();
        if let CommitFate::Late(ahead) = fate {
            let late = (ahead + 1, body.clone());
            self.script.lock().expect("script").late.push(late);
        }
        let (status, mut body) = {
            let mut state = self.state.lock().expect("state");
            state.expire_leases();
            for late in due {
                state.commit(&late);
            }
            if matches!(fate, CommitFate::Late(_) | CommitFate::Dropped) {
                return fake_server::no_response();
            }
            state.commit(&body)
        };
        if fate == CommitFate::Unanswered {
            return fake_server::no_response();
        }
        if draw < lost_percent {
            return std::future::pending().await;
        }
        if self.has_no_conflict_items.load(Ordering::Relaxed) && status == 412 {
            body["items"] = json!([]);
        }
        json_response(status, &body)
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> FakeResponse {
        let after: u64 = query["after"].parse().expect("after");
        let deadline = Instant::now() + Duration::from_millis(query["wait-ms"].parse().expect("wait"));
        loop {
            {
                let mut state = self.state.lock().expect("state");
                state.expire_leases();
                let events = state
                    .events
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&query["prefix"]));
                let events: Vec<&Value> = events.map(|(_, _, event)| event).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return json_response(200, &json!({"events": events, "as-of": state.revision}));
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn decode_value(event: &Value) -> Value {
    let value = event["value"]
        .as_str()
        .and_then(|text| STANDARD.decode(text).ok());
    value
        .and_then(|value| serde_json::from_slice(&value).ok())
        .unwrap_or(Value::Null)
}
