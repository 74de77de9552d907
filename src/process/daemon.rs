//! Start and end of the daemon.

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
use crate::process::coordinator_links::{self, DutyParts};
use crate::process::drain::{self, DrainSteps};
use crate::process::entry_links;
use crate::process::health;
use crate::process::job_links;
use crate::process::settings::DaemonSettings;
use crate::process::team_counter::TeamCounter;
use crate::request::admission_controller::{AdmissionController, AdmissionLimits};
use crate::request::backend_probe;
use crate::request::caller_api;
use crate::request::entry_context::EntryContext;
use crate::request::entry_metrics::EntryMetrics;
use crate::request::http_server::{self, RunningServer, ServerLimits};
use crate::request::ticket_registry::TicketRegistry;
use crate::version::accepted::AcceptedVersion;

/// Time for which the runtime's blocking tasks are awaited at the end.
pub const RUNTIME_END: Duration = Duration::from_secs(1);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    settings: DaemonSettings,
    control: ControlLoop,
    shell: Arc<EntryContext>,
    server: RunningServer,
    admin: AdminServer,
    callers: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

/// Clients of the outside systems.
#[derive(Debug, Clone)]
pub struct DaemonPlatform {
    /// The store.
    pub store: StoreClient,
    /// Workers.
    pub workers: WorkerClient,
}

impl DaemonPlatform {
    /// Workers are reached over HTTP.
    pub fn http(store: StoreClient) -> Self {
        Self {
            store,
            workers: WorkerClient::Http(WorkerHttpClient::new()),
        }
    }
}

/// Listeners of a daemon, bound before anything else starts.
#[derive(Debug)]
struct DaemonListeners {
    callers: TcpListener,
    admin: TcpListener,
    peers: tokio::net::TcpListener,
}

impl DaemonListeners {
    async fn bind(settings: &DaemonSettings) -> Result<Self> {
        let peers = tokio::net::TcpListener::bind(settings.peers).await;
        Ok(Self {
            callers: bind(settings.callers)?,
            admin: bind(settings.admin)?,
            peers: peers.map_err(|error| internal(&format!("address {}", settings.peers), &error))?,
        })
    }
}

impl Daemon {
    /// Starts all parts. The daemon is ready once the control loop has introduced it to its peers.
    ///
    /// # Errors
    /// `internal` if an address cannot be bound, `bad_record` if a secret is too short.
    pub async fn start(settings: DaemonSettings, platform: DaemonPlatform, log: &Logger) -> Result<Self> {
        let clock: SharedClock = Arc::new(SystemClock);
        let version = AcceptedVersion::default();
        let listeners = DaemonListeners::bind(&settings).await?;
        let callers = address_of(&listeners.callers)?;
        let peers = listeners
            .peers
            .local_addr()
            .map_err(|error| internal("peers' address", &error))?;
        let rule = ExpiryRule::new(settings.freshness, settings.longest_task)?;
        let peer_key = PeerKey::new(settings.peer_key.as_bytes())?;
        let control_settings = ControlSettings::new(settings.zone.clone(), peers, peer_key)?
            .with_rule(rule)
            .with_addresses(Some(callers), Some(address_of(&listeners.admin)?));
        let control = ControlLoop::start(
            &control_settings,
            platform.store.clone(),
            Arc::clone(&clock),
            version.clone(),
            listeners.peers,
        )?;
        let log = log.new(o!("session" => control.session().to_string()));
        let counter = TeamCounter::new();
        let shell = build_shell(&settings, &control, counter.clone(), version, clock, log)?;
        let shell = Arc::new(shell);
        let runner = job_links::job_runner(&shell, &control, &platform, counter);
        let jobs = job_links::job_api(&shell, &control, &runner);
        entry_links::serve_peers(control.hub(), &shell, &runner);
        let handler = job_links::job_handler(Arc::clone(&shell), jobs, caller_api::not_found_handler());
        let handler = caller_api::caller_handler(Arc::clone(&shell), handler);
        let handler = health::health_handler(Arc::clone(&shell), handler);
        let limits = ServerLimits {
            workers: settings.workers,
            keep_alive: settings.keep_alive,
            head_timeout: settings.head_timeout,
        };
        let server = http_server::start_server(listeners.callers, limits, handler)
            .map_err(|error| internal("callers' server", &error))?;
        let token = OperatorToken::new(&settings.operator_token)?;
        let waits = WaitBoard::default();
        let sources = attach::control_sources(&control, Arc::clone(&shell.clock), waits.clone());
        let load = Arc::clone(&shell);
        let sources = sources.with_team_load(move |team| Some(entry_links::team_load(&load, team)));
        let api = AdminApi::new(token, sources);
        let admin = AdminServer::start(listeners.admin, api)?;
        let jobs = runner.clone();
        let duty = DutyParts {
            workers: platform.workers,
            freshness: settings.freshness,
            runner: runner.clone(),
            waits,
        };
        let tasks = vec![
            tokio::spawn(async move { jobs.run().await }),
            tokio::spawn(job_links::adopt_jobs(
                Arc::clone(&shell),
                control.clone(),
                runner.clone(),
            )),
            tokio::spawn(backend_probe::probe_ejected(Arc::clone(&shell))),
            tokio::spawn(entry_links::follow_control(Arc::clone(&shell), control.clone())),
            tokio::spawn(entry_links::follow_demand(
                Arc::clone(&shell),
                control.clone(),
                runner,
            )),
            tokio::spawn(coordinator_links::follow_duty(
                Arc::clone(&shell),
                control.clone(),
                duty,
            )),
        ];
        info!(shell.log, "daemon started"; "zone" => %settings.zone, "callers" => %callers,
            "admin" => %admin.address(), "peers" => %peers);
        Ok(Self {
            settings,
            control,
            shell,
            server,
            admin,
            callers,
            tasks,
        })
    }

    /// Address for callers, with the port in use.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address of the admin API.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Shared parts of the request path.
    pub fn shell(&self) -> &Arc<EntryContext> {
        &self.shell
    }

    /// The control loop.
    pub fn control(&self) -> &ControlLoop {
        &self.control
    }

    /// Waits until the daemon has to stop because its session was forgotten.
    async fn wait_until_forgotten(&self) {
        let mut must_drain = self.control.must_drain();
        if must_drain.wait_for(|must| *must).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Drains and stops the daemon.
    ///
    /// # Errors
    /// `internal` if the server had failed.
    pub async fn stop(self) -> Result<()> {
        self.control.start_drain();
        let holder = Arc::new(std::sync::OnceLock::new());
        let mut steps = DrainSteps::default();
        let (shell, control, found) = (Arc::clone(&self.shell), self.control.clone(), Arc::clone(&holder));
        steps.hand_over.push((
            "tickets",
            Box::new(move || {
                Box::pin(async move {
                    let peer = entry_links::hand_tickets_over(&shell, &control).await?;
                    // The step runs once, so that the cell is empty.
                    let _ = found.set(peer);
                    Ok(())
                })
            }),
        ));
        let control = self.control.clone();
        steps.close.push((
            "links and session record",
            Box::new(move || Box::pin(async move { control.leave(holder.get().cloned()).await })),
        ));
        let notice = self.settings.drain_notice;
        let linger = self.settings.drain_linger;
        let ended = drain::drain(&self.shell, self.server, notice, linger, steps).await;
        self.admin.stop(true);
        self.tasks.iter().for_each(JoinHandle::abort);
        ended
    }
}

fn build_shell(
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
    let tickets = TicketRegistry::new(session, draw_ticket_key(), Arc::clone(&clock), link);
    let metrics = EntryMetrics::new().map_err(|error| internal("metrics", &error))?;
    let shell = EntryContext::new(
        version,
        clock,
        admission,
        client,
        guard,
        Arc::new(tickets),
        metrics,
    );
    Ok(shell
        .with_wait_share(settings.wait_share_permille)
        .with_max_deadline(settings.longest_task)
        .with_log(log))
}

fn draw_ticket_key() -> TicketKey {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    TicketKey::new(bytes)
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| internal(&format!("address {address}"), &error))
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|error| internal("listener", &error))
}

fn internal(what: &str, error: &dyn std::error::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("{what}: {error}"))
}

/// Runs a daemon until SIGTERM, SIGINT or the end of its session, then drains it.
///
/// # Errors
/// `internal` if the daemon cannot start or its server had failed.
pub async fn run(settings: DaemonSettings, log: &Logger) -> Result<()> {
    let signals = |kind| signal(kind).map_err(|error| internal("signal handler", &error));
    let mut terminate = signals(SignalKind::terminate())?;
    let mut interrupt = signals(SignalKind::interrupt())?;
    let store = StoreClient::http(settings.store).with_timeout(settings.store_timeout);
    let platform = DaemonPlatform::http(store);
    let daemon = Daemon::start(settings, platform, log).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.wait_until_forgotten() => {}
    }
    daemon.stop().await
}
