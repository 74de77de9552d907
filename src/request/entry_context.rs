//! State that all requests of one daemon share.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use slog::Logger;

use crate::clock::SharedClock;
use crate::connection::backend_client::BackendClient;
use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{RequestId, SessionId};
use crate::request::admission_controller::AdmissionController;
use crate::request::caller_limits::CallerLimits;
use crate::request::entry_metrics::EntryMetrics;
use crate::request::in_flight::InFlightCounter;
use crate::request::key_check::{self, CheckedKey};
use crate::request::ticket_registry::TicketRegistry;
use crate::version::accepted::AcceptedVersion;

/// Share of a request's time, in thousandths, that it may wait for a slot: half, so that as much is left for
/// the work.
const DEFAULT_WAIT_SHARE_PERMILLE: u32 = 500;

/// Upper limit of any request's deadline, unless the settings give another.
const DEFAULT_MAX_DEADLINE: Duration = Duration::from_mins(1);

/// Decides whether requests with a key may be admitted now, given the age of the configuration view and the
/// key's offline grant (see [`CheckedKey::offline_grant`]).
#[derive(Clone)]
pub struct KeyedGuard(Arc<dyn Fn(Duration) -> bool + Send + Sync>);

impl KeyedGuard {
    /// Creates a guard from a closure.
    pub fn new(may_admit: impl Fn(Duration) -> bool + Send + Sync + 'static) -> Self {
        Self(Arc::new(may_admit))
    }

    /// Whether a request whose key has this offline grant may be admitted now.
    pub fn may_admit(&self, offline_grant: Duration) -> bool {
        (self.0)(offline_grant)
    }
}

impl fmt::Debug for KeyedGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyedGuard")
    }
}

/// Shared state of the request path: the configuration, the limits and the switches of readiness and drain.
#[derive(Debug)]
pub struct EntryContext {
    /// Session under which this process is known to the others.
    pub session: SessionId,
    /// The accepted configuration.
    pub version: AcceptedVersion,
    /// Clock of all deadlines of the request path.
    pub clock: SharedClock,
    /// Allocates slots of backend servers to requests.
    pub admission: AdmissionController,
    /// HTTP client for the backend servers.
    pub client: BackendClient,
    /// Decides whether requests with a key may be admitted now.
    pub key_guard: KeyedGuard,
    /// Tickets issued by this session and by sessions whose tables it took over.
    pub tickets: Arc<TicketRegistry>,
    /// Requests for which a drain waits.
    pub in_flight: InFlightCounter,
    /// Largest share of a request's time that it may wait for a slot, in thousandths.
    pub wait_share_permille: u32,
    /// Upper limit of any request's deadline. After a session ends, its requests may run for this long.
    pub max_deadline: Duration,
    /// Metrics of the request path.
    pub metrics: EntryMetrics,
    /// Limits on what callers may make this process hold; none are set unless by [`EntryContext::with_limits`].
    pub limits: Option<Arc<CallerLimits>>,
    /// Logger; discards everything unless set by [`EntryContext::with_log`].
    pub log: Logger,
    is_ready: AtomicBool,
    is_draining: AtomicBool,
    is_refusing: AtomicBool,
    next_request: AtomicU64,
}

impl EntryContext {
    /// Creates the shared state. The daemon is not ready before [`EntryContext::set_ready`].
    pub fn new(
        version: AcceptedVersion,
        clock: SharedClock,
        admission: AdmissionController,
        client: BackendClient,
        key_guard: KeyedGuard,
        tickets: Arc<TicketRegistry>,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            session: admission.session().clone(),
            version,
            clock,
            admission,
            client,
            key_guard,
            tickets,
            in_flight: InFlightCounter::new(),
            wait_share_permille: DEFAULT_WAIT_SHARE_PERMILLE,
            max_deadline: DEFAULT_MAX_DEADLINE,
            metrics,
            limits: None,
            log: Logger::root(slog::Discard, slog::o!()),
            is_ready: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_refusing: AtomicBool::new(false),
            next_request: AtomicU64::new(0),
        }
    }

    /// Sets the logger.
    #[must_use]
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Sets the limits on what callers may make this process hold.
    #[must_use]
    pub fn with_limits(mut self, limits: Arc<CallerLimits>) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Sets the share of a request's time that it may wait for a slot, in thousandths.
    #[must_use]
    pub fn with_wait_share(mut self, permille: u32) -> Self {
        self.wait_share_permille = permille;
        self
    }

    /// Sets the upper limit of any request's deadline.
    #[must_use]
    pub fn with_max_deadline(mut self, deadline: Duration) -> Self {
        self.max_deadline = deadline;
        self
    }

    /// Sets whether the load balancer should send requests here.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::SeqCst);
    }

    /// Ends readiness for good. New work is still accepted until [`EntryContext::refuse_new_work`].
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether the load balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::SeqCst) && !self.is_draining.load(Ordering::SeqCst)
    }

    /// Returns the accepted configuration and makes the admission control use it too.
    pub fn current_state(&self) -> Arc<FleetState> {
        let state = self.version.current();
        self.admission.update_state(&state);
        state
    }

    /// Refuses all new work from now on, with `draining`.
    pub fn refuse_new_work(&self) {
        self.is_refusing.store(true, Ordering::SeqCst);
    }

    /// Whether new work is refused.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::SeqCst)
    }

    /// Checks that new work is accepted.
    ///
    /// # Errors
    /// `draining` while the daemon shuts down.
    pub fn check_open(&self) -> Result<()> {
        if self.is_refusing() {
            return Err(Error::new(
                ErrorKind::Draining,
                "this entry instance is shutting down",
            ));
        }
        Ok(())
    }

    /// Checks that the configuration view is recent enough to check a key against it.
    ///
    /// # Errors
    /// `view_stale` otherwise.
    pub fn check_view(&self, key: &CheckedKey) -> Result<()> {
        if self.key_guard.may_admit(key.offline_grant) {
            return Ok(());
        }
        let message = "the configuration view is too old to check a key; another entry instance may serve";
        Err(Error::new(ErrorKind::ViewStale, message))
    }

    /// Checks the view and the key again, after the request waited and before its work is sent.
    ///
    /// # Errors
    /// `view_stale` or `key_refused`.
    pub fn recheck(&self, key: &CheckedKey) -> Result<()> {
        self.check_view(key)?;
        key_check::recheck_key(&self.version.current(), key)
    }

    /// Creates the id of a new request from the session's name and a counter.
    ///
    /// # Errors
    /// `bad_request` if the shortened session name does not give a valid id.
    pub fn next_request_id(&self) -> Result<RequestId> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let short: String = self.session.as_str().chars().take(40).collect();
        RequestId::new(format!("{short}.{number}"))
    }
}
