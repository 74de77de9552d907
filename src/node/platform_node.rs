//! Starts, reloads and stops a node.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use prometheus::Registry;
use rand::Rng;
use slog::{Logger, info, o, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::{SharedClock, SystemClock};
use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::ByteCount;
use crate::model::id::SessionId;
use crate::node::config_watcher;
use crate::node::leader_election;
use crate::node::node_context::{NodeContext, NodeOptions};
use crate::node::node_lease::{self, LeaseStatus};
use crate::node::node_metrics::NodeMetrics;
use crate::platform::caller_protocol::READINESS_PATH;
use crate::platform::http::HttpClient;
use crate::platform::settings::{NodeSettings, SETTINGS_VARIABLE};
use crate::platform::store::StoreApiClient;
use crate::request::admission_gate::AdmissionGate;
use crate::request::caller_limits::CallerLimits;
use crate::request::connection_guard::ConnectionGuard;
use crate::request::evacuations_api;
use crate::request::explain_api;
use crate::request::http_server::{self, EntryHandler, RunningServer, ServerLimits};
use crate::request::job_canceller::JobCanceller;
use crate::request::queue_api::QueueApi;
use crate::request::response;
use crate::request::submission_batcher::SubmissionBatcher;

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Limits of the node's HTTP servers.
const SERVER_LIMITS: ServerLimits = ServerLimits {
    workers: 1,
    keep_alive: Duration::from_secs(15),
    head_timeout: Duration::from_secs(3),
};

/// Connections of the readiness address. A load balancer has one or two open at a time.
const READINESS_CONNECTIONS: usize = 32;

/// Connections of the metrics address, for a few collectors and operators.
const METRICS_CONNECTIONS: usize = 16;

/// Time limit for the leaders to store their state when the process stops, and then for the lease to be
/// revoked.
const LEADER_STOP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after the stop signal in which the load balancer may still open connections: it takes two failed
/// readiness checks.
const BALANCER_REACTION_TIME: Duration = Duration::from_secs(3);

/// How long before the end of the grace period, when the process would be killed, it stops by itself.
const GRACE_MARGIN: Duration = Duration::from_secs(1);

/// Time between checks for requests in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a node until it receives a stop signal.
///
/// # Errors
/// `bad_record` if the settings cannot be read, `internal` if an address cannot be bound.
pub async fn run(metrics_port: Option<u16>, options: NodeOptions, log: &Logger) -> Result<()> {
    let path = settings_path()?;
    let settings = Arc::new(NodeSettings::read(&path)?);
    let session = generate_session_id(&settings.node)?;
    let log = log.new(o!("node" => settings.node.to_string(), "session" => session.to_string()));
    let signals = NodeSignals::new()?;
    let clock: SharedClock = Arc::new(SystemClock);
    let registry = Registry::new();
    let limits = Arc::new(CallerLimits::new(
        settings.memory.map(ByteCount::get),
        settings.max_descriptors,
        log.clone(),
    )?);
    limits.register(&registry)?;
    let metrics = Arc::new(NodeMetrics::new(registry)?);
    let http_client = HttpClient::new();
    let store = StoreApiClient::new(
        http_client.clone(),
        settings.store_address,
        metrics.store_call_counter(),
    );
    let (config_sender, config) = watch::channel(None);
    let (lease_sender, lease) = watch::channel(LeaseStatus::default());
    let (stop, stopping) = watch::channel(false);
    let (stop_lease, lease_stopping) = watch::channel(false);
    let context = NodeContext {
        settings: Arc::clone(&settings),
        options,
        session,
        clock: Arc::clone(&clock),
        http_client,
        advice_line: Arc::default(),
        store: store.clone(),
        config,
        lease,
        stopping,
        metrics,
        limits,
        log: log.clone(),
    };
    let servers = start_servers(&context, metrics_port)?;
    tokio::spawn(config_watcher::watch_config(
        store.clone(),
        config_sender,
        log.clone(),
    ));
    let min_ttl = settings.min_store_lease;
    let lease_task = tokio::spawn(node_lease::maintain(
        store,
        Arc::clone(&clock),
        min_ttl,
        lease_sender,
        lease_stopping,
        log.clone(),
    ));
    let election_task = tokio::spawn(leader_election::run(context.clone()));
    info!(log, "process started"; "version" => env!("CARGO_PKG_VERSION"), "zone" => %settings.zone,
        "callers" => %settings.caller_address, "store" => %settings.store_address,
        "cpu_share" => settings.cpu_share, "shed_by_cost" => options.shed_by_cost);
    wait_for_stop_signal(signals, &path, &settings, &log).await;
    let stop_started = clock.now();
    info!(log, "process stops"; "grace_ms" => settings.grace_period.as_millis() as u64);
    stop.send_replace(true);
    stop_leaders(election_task, lease_task, &stop_lease, &log).await;
    drain_requests(&context, stop_started).await;
    info!(log, "process stopped";
        "ms" => clock.now().saturating_duration_since(stop_started).as_millis() as u64);
    drop(servers);
    Ok(())
}

fn settings_path() -> Result<PathBuf> {
    let path = std::env::var_os(SETTINGS_VARIABLE);
    path.map(PathBuf::from)
        .ok_or_else(|| Error::new(ErrorKind::BadRecord, format!("{SETTINGS_VARIABLE} is not set")))
}

/// Generates the identifier of this incarnation of the process; the random part makes it unique.
fn generate_session_id(node: &str) -> Result<SessionId> {
    let node: String = node.chars().take(40).collect();
    SessionId::new(format!("{node}-{:012x}", rand::rng().random::<u64>() >> 16))
}

struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl NodeSignals {
    fn new() -> Result<Self> {
        let listen = |kind| {
            signal(kind).map_err(|error| Error::new(ErrorKind::Internal, format!("signal handler: {error}")))
        };
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            reload: listen(SignalKind::hangup())?,
        })
    }
}

/// Waits for a stop signal. On a reload signal, only logs whether the settings file differs from the settings
/// in use.
async fn wait_for_stop_signal(mut signals: NodeSignals, path: &Path, settings: &NodeSettings, log: &Logger) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.reload.recv() => match NodeSettings::read(path) {
                Ok(new) => info!(log, "settings reloaded"; "changed" => new != *settings),
                Err(error) => warn!(log, "settings not reloaded"; "error" => %error),
            },
        }
    }
}

fn start_servers(context: &NodeContext, metrics_port: Option<u16>) -> Result<Vec<RunningServer>> {
    let batcher = SubmissionBatcher::start(
        context.store.clone(),
        Arc::clone(&context.clock),
        context.log.clone(),
    );
    let gate = AdmissionGate::start(context);
    let canceller = JobCanceller::start(context);
    let api = Arc::new(QueueApi::new(context.clone(), batcher, gate, canceller));
    let mut servers = vec![
        start_server(
            context.settings.caller_address,
            context.limits.submission_guard(),
            api.handler(),
        )?,
        start_server(
            context.settings.readiness_address,
            context.limits.guard("readiness", READINESS_CONNECTIONS),
            readiness_handler(context.clone()),
        )?,
    ];
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(context.settings.bind_ip, port);
        servers.push(start_server(
            address,
            context.limits.guard("metrics", METRICS_CONNECTIONS),
            metrics_handler(context.clone()),
        )?);
    }
    Ok(servers)
}

fn start_server(
    address: SocketAddr,
    guard: Arc<ConnectionGuard>,
    handler: EntryHandler,
) -> Result<RunningServer> {
    let bind_error =
        |error: std::io::Error| Error::new(ErrorKind::Internal, format!("address {address}: {error}"));
    let listener = TcpListener::bind(address).map_err(bind_error)?;
    http_server::start_guarded_server(listener, SERVER_LIMITS, guard, handler).map_err(bind_error)
}

/// Reports readiness while a configuration is in force, the store responds and the process is not stopping.
fn readiness_handler(context: NodeContext) -> EntryHandler {
    Arc::new(move |request| {
        let is_ready =
            context.config.borrow().is_some() && !context.is_stopping() && !context.store.is_unreachable();
        let (status, text) = if request.parts.uri.path() != READINESS_PATH {
            (StatusCode::NOT_FOUND, "not found\n")
        } else if is_ready {
            (StatusCode::OK, "ready\n")
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        };
        let response = response::text_response(status, "text/plain", text);
        Box::pin(std::future::ready(response))
    })
}

/// Serves the metrics, the explanations of jobs and the zones under evacuation.
fn metrics_handler(context: NodeContext) -> EntryHandler {
    Arc::new(move |request| {
        let context = context.clone();
        Box::pin(async move {
            let path = request.parts.uri.path();
            if let Some(job) = path.strip_prefix(explain_api::EXPLAIN_JOB_PATH) {
                return explain_api::show_job(&context, job).await;
            }
            if path == evacuations_api::EVACUATIONS_PATH {
                return evacuations_api::show(&context).await;
            }
            if path != METRICS_PATH {
                return response::text_response(StatusCode::NOT_FOUND, "text/plain", "not found\n");
            }
            context.limits.update_gauges();
            match context.metrics.render() {
                Ok(text) => response::text_response(StatusCode::OK, "text/plain; version=0.0.4", text),
                Err(error) => response::error_response(&error),
            }
        })
    })
}

/// Waits for the leaders to store their state, then has the lease revoked so that other nodes take the roles
/// over at once.
async fn stop_leaders(
    election_task: JoinHandle<()>,
    lease_task: JoinHandle<()>,
    stop_lease: &watch::Sender<bool>,
    log: &Logger,
) {
    if tokio::time::timeout(LEADER_STOP_TIMEOUT, election_task)
        .await
        .is_err()
    {
        warn!(log, "leaders did not stop in time");
    }
    stop_lease.send_replace(true);
    if tokio::time::timeout(LEADER_STOP_TIMEOUT, lease_task)
        .await
        .is_err()
    {
        warn!(log, "lease was not revoked in time");
    }
}

/// Serves callers until the load balancer has reacted and no request is in flight, at most for the grace
/// period.
async fn drain_requests(context: &NodeContext, stop_started: std::time::Instant) {
    let max_wait = context.settings.grace_period.saturating_sub(GRACE_MARGIN);
    let min_wait = BALANCER_REACTION_TIME.min(max_wait);
    loop {
        let elapsed = context.clock.now().saturating_duration_since(stop_started);
        let is_idle = context.metrics.requests_in_flight() == 0;
        if elapsed >= max_wait || (elapsed >= min_wait && is_idle) {
            return;
        }
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
}
