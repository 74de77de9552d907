//! The fleet of the bench: one store, three daemons in two zones, stand-in backend servers.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use figloft::clock::{SharedClock, SystemClock};
use figloft::journal::entry::{EntryActor, EntryChange};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{InstancePlace, MemberPhase};
use figloft::model::id::SessionId;
use figloft::model::resource::ResourceSet;
use figloft::port::backend::stand_in::BackendStandIn;
use figloft::port::store::client::StoreClient;
use figloft::record::document::RecordDocument;
use figloft::record::key;
use figloft::version::accepted::AcceptedVersion;
use figloft::version::entry_log::EntryLog;
use figloft::version::journal_reader::JournalReader;
use figloft::version::journal_writer::JournalWriter;
use rand::Rng;
use rand::rngs::StdRng;

use crate::process::{OwnedProcess, ProcessUse, THIS_BUILD};

/// Environment variable with the path of a `figloftd` of another build, which the daemons with odd numbers run.
const OTHER_BUILD: &str = "FIGLOFT_OTHER_BUILD";
/// Service that the bench calls.
pub(crate) const SERVICE: &str = "quotes";
/// Zones of the daemons; the first two share a zone's backend servers.
const DAEMON_ZONES: [&str; 3] = ["z1", "z1", "z2"];
/// Backend servers per zone.
const BACKENDS_PER_ZONE: usize = 4;
/// Secret of the caller's key.
const SECRET: &str = "bench-secret";
/// Bound on waiting for the fleet's start.
const START_ROUNDS: u32 = 300;
/// Time between looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The `authorization` header of the bench's callers.
pub(crate) fn authorization() -> String {
    format!("Bearer bench:{SECRET}")
}

/// What callers know: which daemons the load balancer sends work to.
#[derive(Debug)]
pub(crate) struct BenchDirectory {
    daemons: Vec<SocketAddr>,
    ready: Mutex<Vec<SocketAddr>>,
    backends: Vec<SocketAddr>,
}

impl BenchDirectory {
    pub(crate) fn pick_backend(&self, random: &mut StdRng) -> SocketAddr {
        self.backends[random.random_range(0..self.backends.len())]
    }

    /// A daemon that was ready at the last look.
    pub(crate) fn pick_daemon(&self, random: &mut StdRng) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        (!ready.is_empty()).then(|| ready[random.random_range(0..ready.len())])
    }

    async fn look(&self) {
        let mut ready = Vec::new();
        for daemon in &self.daemons {
            if is_ready(*daemon).await {
                ready.push(*daemon);
            }
        }
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
    }
}

/// Asks `/readyz` as a load balancer does.
async fn is_ready(daemon: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(daemon).await?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n")
            .await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        std::io::Result::Ok(head.ends_with(b"200"))
    };
    matches!(
        tokio::time::timeout(Duration::from_secs(1), ask).await,
        Ok(Ok(true))
    )
}

/// The running fleet.
#[derive(Debug)]
pub(crate) struct BenchFleet {
    _store: OwnedProcess,
    daemons: Vec<OwnedProcess>,
    backends: Vec<BackendStandIn>,
    directory: Arc<BenchDirectory>,
    looking: tokio::task::JoinHandle<()>,
}

/// Program of a daemon.
fn daemon_program(index: usize) -> PathBuf {
    match std::env::var_os(OTHER_BUILD) {
        Some(program) if index % 2 == 1 => program.into(),
        _ => THIS_BUILD.into(),
    }
}

impl BenchFleet {
    /// Starts everything and waits until requests can be served.
    pub(crate) async fn start() -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fleet_run");
        std::fs::create_dir_all(&folder).expect("the bench's folder can be made");
        let store_args = ["--serve-store", "127.0.0.1:0"];
        let mut store =
            OwnedProcess::start_daemon(Path::new(THIS_BUILD), &store_args, &folder.join("store.log"));
        let line = store.first_line();
        let store_address: SocketAddr = line
            .trim()
            .rsplit(' ')
            .next()
            .and_then(|text| text.parse().ok())
            .expect("the store prints its address");
        let mut backends = Vec::new();
        for _ in 0..2 * BACKENDS_PER_ZONE {
            backends.push(BackendStandIn::start().await.expect("a stand-in starts"));
        }
        seed_journal(store_address, &backends).await;
        let mut daemons = Vec::new();
        let mut callers = Vec::new();
        for (index, zone) in DAEMON_ZONES.iter().enumerate() {
            let ports = free_ports();
            let settings = write_settings(&folder, index, zone, store_address, ports);
            let settings = settings.to_str().expect("the path is text");
            let log = folder.join(format!("daemon-{index}.log"));
            let program = daemon_program(index);
            daemons.push(OwnedProcess::start_daemon(
                &program,
                &["--settings", settings],
                &log,
            ));
            callers.push(SocketAddr::from(([127, 0, 0, 1], ports[0])));
        }
        let directory = Arc::new(BenchDirectory {
            daemons: callers,
            ready: Mutex::new(Vec::new()),
            backends: backends.iter().map(BackendStandIn::address).collect(),
        });
        let looker = Arc::clone(&directory);
        let looking = tokio::spawn(async move {
            loop {
                looker.look().await;
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        });
        let fleet = Self {
            _store: store,
            daemons,
            backends,
            directory,
            looking,
        };
        fleet.wait_until_serving().await;
        fleet
    }

    /// Waits until each daemon has answered a request of its own.
    async fn wait_until_serving(&self) {
        for daemon in &self.directory.daemons {
            let mut is_serving = false;
            for _ in 0..START_ROUNDS {
                is_serving = self.serves(*daemon).await;
                if is_serving {
                    break;
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
            assert!(is_serving, "daemon {daemon} serves no request; see its log");
        }
    }

    async fn serves(&self, daemon: SocketAddr) -> bool {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let authorization = authorization();
        let ask = async {
            let mut stream = tokio::net::TcpStream::connect(daemon).await?;
            let head = format!(
                "GET /s/{SERVICE}/start HTTP/1.1\r\nhost: bench\r\nauthorization: {authorization}\r\n\
                 x-label: start\r\nconnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await?;
            std::io::Result::Ok(head.ends_with(b"200"))
        };
        matches!(
            tokio::time::timeout(Duration::from_secs(2), ask).await,
            Ok(Ok(true))
        )
    }

    pub(crate) fn directory(&self) -> Arc<BenchDirectory> {
        Arc::clone(&self.directory)
    }

    /// CPU time and memory of each daemon.
    pub(crate) fn usage(&self) -> Vec<ProcessUse> {
        self.daemons
            .iter()
            .map(|daemon| ProcessUse::read(daemon.id()))
            .collect()
    }

    /// Stops a daemon gracefully.
    pub(crate) fn terminate(&self, index: usize) {
        println!("SIGTERM to daemon {index}");
        self.daemons[index].terminate();
    }

    /// Ends a daemon abruptly.
    pub(crate) fn kill(&mut self, index: usize) {
        println!("SIGKILL to daemon {index}");
        self.daemons[index].kill();
    }

    /// Stops the remaining daemons gracefully and prints how each one ended.
    pub(crate) async fn stop(&mut self) {
        self.looking.abort();
        for daemon in &mut self.daemons {
            if daemon.ended().is_none() {
                daemon.terminate();
            }
        }
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let mut ended = daemon.ended();
            for _ in 0..START_ROUNDS {
                if ended.is_some() {
                    break;
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
                ended = daemon.ended();
            }
            println!(
                "daemon {index} ended well: {}",
                ended.map_or("still runs".to_owned(), |well| well.to_string())
            );
        }
    }

    /// Runs by label, from the stand-ins' own records.
    pub(crate) fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for record in self.backends.iter().flat_map(BackendStandIn::records) {
            *runs.entry(record.label.to_string()).or_insert(0) += 1;
        }
        runs
    }
}

/// Three ports that were free a moment ago. All are held until the last is known, so that they differ.
fn free_ports() -> [u16; 3] {
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
        .collect();
    let port = |index: usize| {
        listeners[index]
            .local_addr()
            .expect("the listener is bound")
            .port()
    };
    [port(0), port(1), port(2)]
}

fn write_settings(folder: &Path, index: usize, zone: &str, store: SocketAddr, ports: [u16; 3]) -> PathBuf {
    let [callers, admin, peers] = ports;
    let mut text = String::new();
    let _ = write!(
        text,
        "instance:\n  zone: {zone}\nlisten:\n  callers: 127.0.0.1:{callers}\n  admin: 127.0.0.1:{admin}\n  \
         peers: 127.0.0.1:{peers}\nstore:\n  address: {store}\ndrain:\n  notice_ms: 1000\n  linger_ms: 500\n"
    );
    let path = folder.join(format!("daemon-{index}.yaml"));
    std::fs::write(&path, text).expect("the settings can be written");
    path
}

/// Writes records and members into the journal, as operators and an earlier coordinator would have.
async fn seed_journal(store: SocketAddr, backends: &[BackendStandIn]) {
    let clock: SharedClock = Arc::new(SystemClock);
    let log = EntryLog::new(AcceptedVersion::default());
    let reader = JournalReader::new(StoreClient::http(store), log, Arc::clone(&clock));
    let session: SessionId = "seed".parse().expect("name is valid");
    let writer = JournalWriter::new(reader, session.clone(), clock);
    let hash = key::hash_secret(SECRET);
    let records = [
        r#"{"kind":"pool","schema":2,"id":"quotes-pool"}"#.to_owned(),
        r#"{"kind":"service","schema":2,"id":"quotes","pool":"quotes-pool",
            "budget":{"max_unavailable_permille":250},"slots_per_backend":8,"connections_per_backend":64,
            "max_deadline_ms":5000}"#
            .to_owned(),
        r#"{"kind":"team","schema":2,"id":"bench","organisation":"bench","share":1,"limit":64}"#.to_owned(),
        format!(r#"{{"kind":"key","schema":2,"id":"bench","team":"bench","secret_sha256":"{hash}"}}"#),
    ];
    let documents = records.map(|json| serde_json::from_str::<RecordDocument>(&json).expect("a record"));
    let operator = EntryActor::Operator("bench".parse().expect("name is valid"));
    let puts = move |_: &FleetState| {
        let puts = documents.iter().map(|document| EntryChange::PutRecord {
            document: document.clone(),
            expected: None,
        });
        Ok(puts.collect())
    };
    writer.append(operator, puts).await.expect("records are accepted");
    let system = EntryActor::System(session.clone());
    let take = session.clone();
    let take = move |_: &FleetState| {
        Ok(vec![EntryChange::TakeDuty {
            session: take.clone(),
        }])
    };
    writer
        .append(system.clone(), take)
        .await
        .expect("the duty is taken");
    let changes = member_changes(backends, session);
    let members = move |_: &FleetState| Ok(changes.clone());
    writer
        .append(system, members)
        .await
        .expect("members are accepted");
}

fn member_changes(backends: &[BackendStandIn], session: SessionId) -> Vec<EntryChange> {
    let mut changes = Vec::new();
    for (index, backend) in backends.iter().enumerate() {
        let zone = if index < BACKENDS_PER_ZONE { "z1" } else { "z2" };
        let instance: figloft::model::id::InstanceId =
            format!("quotes-{index}").parse().expect("name is valid");
        changes.push(EntryChange::JoinPool {
            instance: instance.clone(),
            pool: "quotes-pool".parse().expect("name is valid"),
            place: InstancePlace {
                region: "r1".parse().expect("name is valid"),
                zone: zone.parse().expect("name is valid"),
                rack: "k1".parse().expect("name is valid"),
                resources: ResourceSet::default(),
                address: backend.address().to_string().into(),
            },
        });
        changes.push(EntryChange::SetPhase {
            instance,
            phase: MemberPhase::Serving,
            reason: "bench".into(),
        });
    }
    changes.push(EntryChange::ReleaseDuty { session });
    changes
}
