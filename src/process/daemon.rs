//! Assembles, starts and stops the daemon.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use slog::{Logger, info, o};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::clock::{SharedClock, SystemClock};
use crate::connection::backend_client::BackendClient;
use crate::connection::peer_handshake::PeerKey;
use crate::error::{Error, ErrorKind, Result};
use crate::policy::expiry_rule::ExpiryRule;
use crate::policy::ticket_table::TicketKey;
use crate::port::store::client::StoreClient;
use crate::port::worker::client::WorkerClient;
use crate::port::worker::http_form::WorkerHttpClient;
use crate::process::admin::api::{AdminApi, OperatorToken};
use crate::process::admin::attach;
use crate::process::admin::server::AdminServer;
use crate::process::admin::wait_board::WaitBoard;
use crate::process::control_loop::ControlLoop;
use crate::process::control_settings::ControlSettings;
use crate::process::coordinator_runner::{self, CoordinatorContext};
use crate::process::drain::{self, DrainSteps};
use crate::process::entry_links;
use crate::process::health;
use crate::process::job_links;
use crate::process::settings::DaemonSettings;
use crate::process::team_counter::TeamCounter;
use crate::request::admission_controller::{AdmissionController, AdmissionLimits};
use crate::request::backend_probe;
use crate::request::caller_api;
use crate::request::caller_limits::CallerLimits;
use crate::request::entry_context::EntryContext;
use crate::request::entry_metrics::EntryMetrics;
use crate::request::http_server::{self, RunningServer, ServerLimits};
use crate::request::ticket_registry::TicketRegistry;
use crate::version::accepted::AcceptedVersion;

/// Time that blocking tasks of the runtime get to finish at shutdown.
pub const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    settings: DaemonSettings,
    control: ControlLoop,
    context: Arc<EntryContext>,
    server: RunningServer,
    admin: AdminServer,
    caller_address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

/// Clients for the external systems.
#[derive(Debug, Clone)]
pub struct DaemonClients {
    /// Client for calls to the store, without a rate limit yet.
    pub store: StoreClient,
    /// Client for calls to workers.
    pub workers: WorkerClient,
}

impl DaemonClients {
    /// Creates clients that reach workers over HTTP.
    pub fn http(store: StoreClient) -> Self {
        Self {
            store,
            workers: WorkerClient::Http(WorkerHttpClient::new()),
        }
    }
}

/// Listening sockets, bound before anything else starts, so that the session record has the ports in use.
#[derive(Debug)]
struct DaemonListeners {
    callers: TcpListener,
    admin: TcpListener,
    peers: tokio::net::TcpListener,
}

impl DaemonListeners {
    async fn bind(settings: &DaemonSettings) -> Result<Self> {
        let peers = tokio::net::TcpListener::bind(settings.peer_address).await;
        Ok(Self {
            callers: bind(settings.caller_address)?,
            admin: bind(settings.admin_address)?,
            peers: peers.map_err(|error| {
                internal_error(&format!("cannot listen on {}", settings.peer_address), &error)
            })?,
        })
    }
}

impl Daemon {
    /// Starts the daemon. It becomes ready once all reachable peers have acknowledged its session.
    ///
    /// # Errors
    /// `internal` if an address cannot be bound, `bad_record` if a secret is too short.
    pub async fn start(settings: DaemonSettings, clients: DaemonClients, log: &Logger) -> Result<Self> {
        let clock: SharedClock = Arc::new(SystemClock);
        let version = AcceptedVersion::default();
        let listeners = DaemonListeners::bind(&settings).await?;
        let caller_address = local_address(&listeners.callers)?;
        let peer_address = listeners
            .peers
            .local_addr()
            .map_err(|error| internal_error("local address of the listener for peers", &error))?;
        let expiry_rule = ExpiryRule::new(settings.freshness, settings.max_task_time)?;
        let peer_key = PeerKey::new(settings.peer_key.as_bytes())?;
        let control_settings = ControlSettings::new(settings.zone.clone(), peer_address, peer_key)?
            .with_expiry_rule(expiry_rule)
            .with_addresses(Some(caller_address), Some(local_address(&listeners.admin)?));
        let control = ControlLoop::start(
            &control_settings,
            clients.store.clone(),
            Arc::clone(&clock),
            version.clone(),
            listeners.peers,
        )?;
        let log = log.new(o!("session" => control.session().to_string()));
        let counter = TeamCounter::new();
        let context = build_context(&settings, &control, counter.clone(), version, clock, log)?;
        let caller_limits = build_limits(&settings, &context)?;
        let context = Arc::new(context.with_limits(Arc::clone(&caller_limits)));
        let runner = job_links::job_runner(&context, &control, &clients, counter);
        let jobs = job_links::job_api(&context, &control, &runner);
        entry_links::register_peer_handlers(control.hub(), &context, &runner);
        let handler = job_links::job_handler(Arc::clone(&context), jobs, caller_api::not_found_handler());
        let handler = caller_api::caller_handler(Arc::clone(&context), handler);
        let handler = health::health_handler(Arc::clone(&context), handler);
        let limits = ServerLimits {
            workers: settings.worker_threads,
            keep_alive: settings.keep_alive,
            head_timeout: settings.head_timeout,
        };
        let guard = caller_limits.caller_guard();
        let server = http_server::start_guarded_server(listeners.callers, limits, guard, handler)
            .map_err(|error| internal_error("cannot start the server for callers", &error))?;
        let token = OperatorToken::new(&settings.operator_token)?;
        let waits = WaitBoard::default();
        let sources = attach::control_sources(&control, Arc::clone(&context.clock), waits.clone());
        let load_context = Arc::clone(&context);
        let sources = sources.with_team_load(move |team| Some(entry_links::team_load(&load_context, team)));
        let api = AdminApi::new(token, sources);
        let admin = AdminServer::start_limited(listeners.admin, api, &caller_limits)?;
        let jobs = runner.clone();
        let coordinator = CoordinatorContext {
            workers: clients.workers,
            freshness: settings.freshness,
            runner: runner.clone(),
            waits,
        };
        let tasks = vec![
            tokio::spawn(async move { jobs.run().await }),
            tokio::spawn(job_links::adopt_jobs(
                Arc::clone(&context),
                control.clone(),
                runner.clone(),
            )),
            tokio::spawn(backend_probe::probe_ejected(Arc::clone(&context))),
            tokio::spawn(entry_links::sync_with_control(
                Arc::clone(&context),
                control.clone(),
            )),
            tokio::spawn(entry_links::report_demand(
                Arc::clone(&context),
                control.clone(),
                runner,
            )),
            tokio::spawn(coordinator_runner::run_coordinator(
                Arc::clone(&context),
                control.clone(),
                coordinator,
            )),
        ];
        info!(context.log, "daemon started"; "zone" => %settings.zone, "callers" => %caller_address,
            "admin" => %admin.address(), "peers" => %peer_address);
        Ok(Self {
            settings,
            control,
            context,
            server,
            admin,
            caller_address,
            tasks,
        })
    }

    /// Address for callers, with the actual port if the settings ask for a free one.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address of the admin API, with the actual port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Shared state of the request path.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// The control loop.
    pub fn control(&self) -> &ControlLoop {
        &self.control
    }

    /// Waits until the daemon has to stop because its session was removed from the fleet.
    async fn wait_until_forgotten(&self) {
        let mut must_drain = self.control.must_drain();
        if must_drain.wait_for(|must| *must).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Drains the daemon and stops it.
    ///
    /// # Errors
    /// `internal` if the callers' server has failed.
    pub async fn stop(self) -> Result<()> {
        self.control.start_drain();
        let ticket_holder = Arc::new(std::sync::OnceLock::new());
        let mut steps = DrainSteps::default();
        let (context, control, handover_target) = (
            Arc::clone(&self.context),
            self.control.clone(),
            Arc::clone(&ticket_holder),
        );
        steps.hand_over.push((
            "tickets",
            Box::new(move || {
                Box::pin(async move {
                    let peer = entry_links::hand_over_tickets(&context, &control).await?;
                    // Cannot fail: the step runs once, so the cell is empty.
                    let _ = handover_target.set(peer);
                    Ok(())
                })
            }),
        ));
        let control = self.control.clone();
        steps.close.push((
            "links and session record",
            Box::new(move || Box::pin(async move { control.leave(ticket_holder.get().cloned()).await })),
        ));
        let notice = self.settings.drain_notice;
        let linger = self.settings.drain_linger;
        let result = drain::drain(&self.context, self.server, notice, linger, steps).await;
        self.admin.stop(true);
        self.tasks.iter().for_each(JoinHandle::abort);
        result
    }
}

fn build_context(
    settings: &DaemonSettings,
    control: &ControlLoop,
    counter: TeamCounter,
    version: AcceptedVersion,
    clock: SharedClock,
    log: Logger,
) -> Result<EntryContext> {
    let session = control.session().clone();
    let limits = AdmissionLimits {
        max_waiting: settings.max_waiting,
        idle_connections: settings.idle_connections,
        retry: settings.retry,
    };
    let admission =
        AdmissionController::new(session.clone(), settings.zone.clone(), Arc::clone(&clock), limits)
            .with_counter(counter);
    let client = BackendClient::new(settings.connect_timeout, settings.idle_connections as usize);
    let guard = entry_links::keyed_guard(control, &clock);
    let link = entry_links::ticket_link(control.hub());
    let tickets = TicketRegistry::new(session, generate_ticket_key(), Arc::clone(&clock), link);
    let metrics = EntryMetrics::new().map_err(|error| internal_error("metrics", &error))?;
    let context = EntryContext::new(
        version,
        clock,
        admission,
        client,
        guard,
        Arc::new(tickets),
        metrics,
    );
    Ok(context
        .with_wait_share(settings.wait_share_permille)
        .with_max_deadline(settings.max_task_time)
        .with_log(log))
}

fn build_limits(settings: &DaemonSettings, context: &EntryContext) -> Result<Arc<CallerLimits>> {
    let limits = CallerLimits::new(
        Some(settings.memory_mb * BYTES_PER_MEGABYTE),
        Some(settings.max_descriptors),
        context.log.clone(),
    )?;
    limits.register(context.metrics.registry())?;
    Ok(Arc::new(limits))
}

fn generate_ticket_key() -> TicketKey {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    TicketKey::new(bytes)
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| internal_error(&format!("cannot listen on {address}"), &error))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|error| internal_error("listener", &error))
}

fn internal_error(what: &str, error: &dyn std::error::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("{what}: {error}"))
}

/// Runs a daemon until SIGTERM, SIGINT or the removal of its session, then drains it.
///
/// # Errors
/// `internal` if the daemon cannot start or its server fails.
pub async fn run(settings: DaemonSettings, log: &Logger) -> Result<()> {
    let listen =
        |kind| signal(kind).map_err(|error| internal_error("cannot install the signal handler", &error));
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let store = StoreClient::http(settings.store_address).with_timeout(settings.store_timeout);
    let clients = DaemonClients::http(store);
    let daemon = Daemon::start(settings, clients, log).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.wait_until_forgotten() => {}
    }
    daemon.stop().await
}
