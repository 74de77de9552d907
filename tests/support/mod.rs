//! Helpers for tests that send requests to an entry instance over HTTP.
#![allow(dead_code, reason = "each test binary uses its own part of these helpers")]

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use figloft::clock::{SharedClock, SystemClock};
use figloft::connection::backend_client::BackendClient;
use figloft::journal::fleet_state::{FleetState, RecordSet};
use figloft::journal::member::{InstancePlace, MemberPhase, PoolMember};
use figloft::model::amount::SlotCount;
use figloft::model::id::{Generation, Revision, SessionId};
use figloft::model::resource::ResourceSet;
use figloft::policy::ticket_table::TicketKey;
use figloft::port::backend::stand_in::BackendStandIn;
use figloft::process::health;
use figloft::process::team_counter::TeamCounter;
use figloft::record::document::RecordDocument;
use figloft::record::key;
use figloft::request::admission_controller::{AdmissionController, AdmissionLimits};
use figloft::request::caller_api;
use figloft::request::entry_context::{EntryContext, KeyedGuard};
use figloft::request::entry_metrics::EntryMetrics;
use figloft::request::http_server::{self, RunningServer, ServerLimits};
use figloft::request::ticket_registry::{TicketLink, TicketRegistry};
use figloft::version::accepted::AcceptedVersion;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Secret of every key in these tests.
pub const SECRET: &str = "0123";

/// Fleet state with service `quotes` (not idempotent) and `proofs` (idempotent), team `a` with keys `ka` and
/// `kb`, and the given servers behind each service.
pub fn fleet(session: &SessionId, quotes: &[SocketAddr], proofs: &[SocketAddr]) -> FleetState {
    let mut records = RecordSet::default();
    let hash = key::hash_secret(SECRET);
    for (id, pool, idempotent) in [("quotes", "p1", false), ("proofs", "p2", true)] {
        put(
            &mut records,
            &format!(
                r#"{{"kind":"service","schema":2,"id":"{id}","pool":"{pool}","idempotent":{idempotent},
                "budget":{{"max_unavailable_permille":100}},"slots_per_backend":8,
                "connections_per_backend":64,"max_deadline_ms":10000}}"#
            ),
        );
    }
    put(
        &mut records,
        r#"{"kind":"team","schema":2,"id":"a","organisation":"o","share":1,"limit":20}"#,
    );
    for id in ["ka", "kb"] {
        put(
            &mut records,
            &format!(r#"{{"kind":"key","schema":2,"id":"{id}","team":"a","secret_sha256":"{hash}"}}"#),
        );
    }
    let mut state = FleetState {
        revision: Revision::new(1),
        records: Arc::new(records),
        ..FleetState::default()
    };
    for (pool, servers) in [("p1", quotes), ("p2", proofs)] {
        for (index, address) in servers.iter().enumerate() {
            let member = member(pool, *address);
            let instance = format!("{pool}-{index}").parse().expect("name is valid");
            state.members.insert(instance, member);
        }
    }
    let allowance = BTreeMap::from([(session.clone(), SlotCount::new(20))]);
    state
        .allowances
        .insert("a".parse().expect("name is valid"), allowance);
    state
}

fn put(records: &mut RecordSet, json: &str) {
    let document: RecordDocument = serde_json::from_str(json).expect("document parses");
    document.read().expect("record reads");
    records.put(&document);
}

fn member(pool: &str, address: SocketAddr) -> PoolMember {
    PoolMember {
        pool: pool.parse().expect("name is valid"),
        generation: Generation::new(1),
        phase: MemberPhase::Serving,
        phase_since: Revision::new(1),
        place: InstancePlace {
            region: "r".parse().expect("name is valid"),
            zone: "z".parse().expect("name is valid"),
            rack: "k".parse().expect("name is valid"),
            resources: ResourceSet::default(),
            address: address.to_string().into(),
        },
    }
}

/// The HTTP server of an entry instance with stand-in backend servers, without the rest of the daemon.
pub struct Entry {
    pub address: SocketAddr,
    pub context: Arc<EntryContext>,
    pub version: AcceptedVersion,
    pub is_view_fresh: Arc<AtomicBool>,
    pub counter: TeamCounter,
    pub quotes: Vec<BackendStandIn>,
    pub proofs: Vec<BackendStandIn>,
    pub server: Option<RunningServer>,
}

impl Entry {
    pub async fn start(quotes: usize, proofs: usize) -> Self {
        Self::start_with(quotes, proofs, |_| {}).await
    }

    pub async fn start_with(quotes: usize, proofs: usize, change: impl FnOnce(&mut FleetState)) -> Self {
        let quotes = stand_ins(quotes).await;
        let proofs = stand_ins(proofs).await;
        let session: SessionId = "s1".parse().expect("name is valid");
        let mut state = fleet(&session, &addresses(&quotes), &addresses(&proofs));
        change(&mut state);
        let version = AcceptedVersion::new(state);
        let clock: SharedClock = Arc::new(SystemClock);
        let zone = "z".parse().expect("name is valid");
        let counter = TeamCounter::new();
        let admission = AdmissionController::new(
            session.clone(),
            zone,
            Arc::clone(&clock),
            AdmissionLimits::default(),
        )
        .with_counter(counter.clone());
        let is_view_fresh = Arc::new(AtomicBool::new(true));
        let fresh = Arc::clone(&is_view_fresh);
        let guard = KeyedGuard::new(move |_| fresh.load(Ordering::SeqCst));
        let client = BackendClient::new(Duration::from_secs(1), 8);
        let key = TicketKey::new([7; 32]);
        let link = TicketLink::unconnected();
        let tickets = TicketRegistry::new(session.clone(), key, Arc::clone(&clock), link);
        let tickets = Arc::new(tickets);
        let metrics = EntryMetrics::new().expect("metric names are valid");
        let context = EntryContext::new(version.clone(), clock, admission, client, guard, tickets, metrics);
        context.set_ready(true);
        let context = Arc::new(context);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let limits = ServerLimits {
            workers: 2,
            keep_alive: Duration::from_secs(5),
            head_timeout: Duration::from_secs(5),
        };
        let handler = caller_api::caller_handler(Arc::clone(&context), caller_api::not_found_handler());
        let handler = health::health_handler(Arc::clone(&context), handler);
        let server = http_server::start_server(listener, limits, handler).expect("the server starts");
        Self {
            address,
            context,
            version,
            is_view_fresh,
            counter,
            quotes,
            proofs,
            server: Some(server),
        }
    }

    /// Publishes a changed fleet state under the next revision.
    pub fn change(&self, change: impl FnOnce(&mut FleetState)) {
        let mut state = FleetState::clone(&self.version.current());
        change(&mut state);
        state.revision = state.revision.next();
        self.version
            .publish(&Arc::new(state))
            .expect("the revision is newer");
    }

    /// Sends one request with key `ka` and reads the response.
    pub async fn request(&self, path: &str, headers: &str, body: &str) -> RawResponse {
        let mut client = RawClient::connect(self.address).await;
        client
            .send(path, &format!("{}{headers}", key_header("ka")), body)
            .await;
        client.read_response().await
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            std::thread::spawn(move || server.stop());
        }
    }
}

async fn stand_ins(count: usize) -> Vec<BackendStandIn> {
    let mut servers = Vec::new();
    for _ in 0..count {
        servers.push(BackendStandIn::start().await.expect("the stand-in starts"));
    }
    servers
}

fn addresses(servers: &[BackendStandIn]) -> Vec<SocketAddr> {
    servers.iter().map(BackendStandIn::address).collect()
}

pub fn key_header(id: &str) -> String {
    format!("authorization: Bearer {id}:{SECRET}\r\n")
}

/// A response as read from the wire.
#[derive(Debug)]
pub struct RawResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body reached its declared length or its last chunk.
    pub is_complete: bool,
}

impl RawResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// An HTTP client on a bare TCP connection, so that truncated responses can be told from complete ones.
pub struct RawClient {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl RawClient {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("the entry accepts");
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub async fn send(&mut self, path: &str, headers: &str, body: &str) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        self.write(head.as_bytes()).await;
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the entry reads");
    }

    /// Reads the status line and headers of a response; `None` if the connection ends before them.
    pub async fn read_head(&mut self) -> Option<RawResponse> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read_more().await {
                return None;
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8(head).expect("the head is text");
        let mut lines = head.split("\r\n");
        let status = lines.next().and_then(|line| line.split(' ').nth(1));
        let headers = lines.filter_map(|line| line.split_once(": "));
        Some(RawResponse {
            status: status
                .and_then(|status| status.parse().ok())
                .expect("a status line"),
            headers: headers
                .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
                .collect(),
            body: Vec::new(),
            is_complete: false,
        })
    }

    /// Reads a complete response, or as much of it as arrived before the connection ended.
    pub async fn read_response(&mut self) -> RawResponse {
        let mut response = self.read_head().await.expect("a response has a head");
        if response.header("transfer-encoding") == "chunked" {
            self.read_chunks(&mut response).await;
        } else {
            let length: usize = response.header("content-length").parse().unwrap_or(0);
            while self.buffer.len() < length && self.read_more().await {}
            let count = length.min(self.buffer.len());
            response.body = self.buffer.drain(..count).collect();
            response.is_complete = response.body.len() == length;
        }
        response
    }

    async fn read_chunks(&mut self, response: &mut RawResponse) {
        loop {
            let Some(line_end) = self.buffer.windows(2).position(|window| window == b"\r\n") else {
                if !self.read_more().await {
                    return;
                }
                continue;
            };
            let size = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).expect("a chunk size");
            while self.buffer.len() < line_end + 2 + size + 2 {
                if !self.read_more().await {
                    return;
                }
            }
            let data = self
                .buffer
                .drain(..line_end + 2 + size + 2)
                .skip(line_end + 2)
                .take(size);
            response.body.extend(data);
            if size == 0 {
                response.is_complete = true;
                return;
            }
        }
    }

    async fn read_more(&mut self) -> bool {
        let count = self.stream.read_buf(&mut self.buffer).await;
        matches!(count, Ok(count) if count > 0)
    }
}

/// Waits until a condition holds. The limit of 3000 polls (30 s) only ends a test that would otherwise hang.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..3000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 3000 polls: {what}");
}
