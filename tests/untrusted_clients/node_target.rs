//! A node of the platform with a store stand-in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::case::{MAX_DESCRIPTORS, MEMORY_MB, OrdinaryRequest};
use crate::client::{self, CROWD_KEY, ClientKind, ORDINARY_KEY};
use crate::fake_store::FakeStore;
use crate::server_process::{self, ServerProcess};

/// Time after which a node that is not ready fails the test.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of an ordinary body.
const ORDINARY_BYTES: usize = 2_000;
/// Job id of the ordinary request; the crowd's ids are small numbers.
const ORDINARY_NUMBER: usize = 0xffff_0000;

/// A running node.
#[derive(Debug)]
pub struct NodeTarget {
    pub process: ServerProcess,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    _store: FakeStore,
}

/// Configuration with one queue for callers with a key.
fn config() -> Value {
    json!({"version": 1, "routes": [{"name": "r-1", "host": "jobs.example", "prefix": "/q/",
        "service": "pool-a", "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": 4,
        "slack-factor": 2.0}], "services": [{"name": "pool-a", "enforce-capacity": true}], "limits": {},
        "tenants": [{"name": "crowd", "api-keys": [CROWD_KEY], "weight": 1.0},
            {"name": "ordinary", "api-keys": [ORDINARY_KEY], "weight": 1.0}]})
}

impl NodeTarget {
    /// Starts a store and a node, and waits until the node is ready.
    pub async fn start() -> Self {
        let (store, store_address) = FakeStore::start().await;
        store.write("op/config", &config());
        let directory = std::env::temp_dir().join(format!("figloft-clients-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("directory");
        let (callers, readiness, metrics) = (
            server_process::unused_address(),
            server_process::unused_address(),
            server_process::unused_address(),
        );
        let settings = json!({
            "node": "node-0", "zone": "zone-a", "bind-ip": "127.0.0.1",
            "listen-addrs": {"front": callers.to_string(), "ready": readiness.to_string()},
            "limits": {"cpu-share": 0.25, "memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS},
            "bounds": {"hold-max-ms": 6000, "stop-ms": 200, "grace-s": 4},
            "platform": {"address": store_address.to_string(), "ttl-min-ms": 1000},
        });
        let path = directory.join("node.json");
        std::fs::write(&path, settings.to_string()).expect("settings");
        let port = metrics.port().to_string();
        let process = ServerProcess::start(
            &["--platform", "--metrics-port", &port],
            ("FIGLOFT_SETTINGS", &path),
            &directory.join("node.log"),
        );
        let target = Self {
            process,
            callers,
            readiness,
            metrics,
            _store: store,
        };
        target.await_readiness().await;
        target
    }

    async fn await_readiness(&self) {
        let end = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await.unwrap_or(false) {
            assert!(Instant::now() < end, "the node did not become ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn is_ready(&self) -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(self.readiness).await?;
        stream
            .write_all(b"GET /readiness HTTP/1.1\r\nhost: a\r\n\r\n")
            .await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        Ok(answer.ends_with(b"200"))
    }

    /// Address that a crowd uses.
    pub fn crowd_address(&self, kind: ClientKind) -> SocketAddr {
        match kind {
            ClientKind::HalfHeadAtReadiness => self.readiness,
            ClientKind::UnreadMetrics => self.metrics,
            _ => self.callers,
        }
    }

    /// A submission of another organisation than the crowd's.
    pub fn ordinary_request(&self) -> OrdinaryRequest {
        let body = String::from_utf8(client::job(ORDINARY_BYTES)).expect("text");
        OrdinaryRequest {
            address: self.callers,
            text: client::head(ORDINARY_NUMBER, ORDINARY_KEY, ORDINARY_BYTES) + &body,
            answer: "HTTP/1.1 200",
        }
    }
}
