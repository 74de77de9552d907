//! What the requests of one daemon share.

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
use crate::request::entry_metrics::EntryMetrics;
use crate::request::in_flight::InFlightCounter;
use crate::request::key_check::{self, CheckedKey};
use crate::request::ticket_registry::TicketRegistry;
use crate::version::accepted::AcceptedVersion;

/// Part of a request's time that it may wait for a slot: half, so that as much is left for the work.
const DEFAULT_WAIT_SHARE_PERMILLE: u32 = 500;

/// Longest deadline of any request, if the settings name no other.
const DEFAULT_MAX_DEADLINE: Duration = Duration::from_mins(1);

/// Tells whether keyed work may be admitted now, given the key's offline grant.
#[derive(Clone)]
pub struct KeyedGuard(Arc<dyn Fn(Duration) -> bool + Send + Sync>);

impl KeyedGuard {
    /// Creates a guard from a closure.
    pub fn new(may_admit: impl Fn(Duration) -> bool + Send + Sync + 'static) -> Self {
        Self(Arc::new(may_admit))
    }

    /// Whether keyed work may be admitted now.
    pub fn may_admit(&self, offline_grant: Duration) -> bool {
        (self.0)(offline_grant)
    }
}

impl fmt::Debug for KeyedGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyedGuard")
    }
}

/// Shared parts of the request path.
#[derive(Debug)]
pub struct EntryContext {
    /// This process.
    pub session: SessionId,
    /// Accepted configuration.
    pub version: AcceptedVersion,
    /// Clock.
    pub clock: SharedClock,
    /// Slots and waiting requests.
    pub admission: AdmissionController,
    /// Client for backend servers.
    pub client: BackendClient,
    /// Whether keyed work may be admitted.
    pub key_guard: KeyedGuard,
    /// Tickets.
    pub tickets: Arc<TicketRegistry>,
    /// Requests in flight.
    pub in_flight: InFlightCounter,
    /// Largest part of a request's time that it may spend waiting for a slot, in thousandths.
    pub wait_share_permille: u32,
    /// Longest deadline of any request; sessions that end are waited for this long.
    pub max_deadline: Duration,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Log.
    pub log: Logger,
    is_ready: AtomicBool,
    is_draining: AtomicBool,
    is_refusing: AtomicBool,
    next_request: AtomicU64,
}

impl EntryContext {
    /// Creates the shared parts; the daemon is not ready before [`EntryContext::set_ready`].
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
            log: Logger::root(slog::Discard, slog::o!()),
            is_ready: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_refusing: AtomicBool::new(false),
            next_request: AtomicU64::new(0),
        }
    }

    /// Sets the log.
    #[must_use]
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Sets the part of a request's time that it may wait for a slot, in thousandths.
    #[must_use]
    pub fn with_wait_share(mut self, permille: u32) -> Self {
        self.wait_share_permille = permille;
        self
    }

    /// Sets the longest deadline of any request.
    #[must_use]
    pub fn with_max_deadline(mut self, deadline: Duration) -> Self {
        self.max_deadline = deadline;
        self
    }

    /// Tells the load balancer whether to send work here.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::SeqCst);
    }

    /// Turns readiness off for good; work is still taken until [`EntryContext::refuse_new_work`].
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether the load balancer should send work here.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::SeqCst) && !self.is_draining.load(Ordering::SeqCst)
    }

    /// The accepted configuration, which the gate then uses too.
    pub fn current_state(&self) -> Arc<FleetState> {
        let state = self.version.current();
        self.admission.update_state(&state);
        state
    }

    /// Refuses all new work from now on.
    pub fn refuse_new_work(&self) {
        self.is_refusing.store(true, Ordering::SeqCst);
    }

    /// Whether new work is refused.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::SeqCst)
    }

    /// Checks that new work is taken.
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

    /// Checks that the configuration view is recent enough to trust a key.
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

    /// Checks the key and the view again, after a wait and before a start.
    ///
    /// # Errors
    /// `view_stale` or `key_refused`.
    pub fn recheck(&self, key: &CheckedKey) -> Result<()> {
        self.check_view(key)?;
        key_check::recheck_key(&self.version.current(), key)
    }

    /// Draws the id of a new request.
    ///
    /// # Errors
    /// `bad_request` if the session's name leaves no valid name.
    pub fn next_request_id(&self) -> Result<RequestId> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let short: String = self.session.as_str().chars().take(40).collect();
        RequestId::new(format!("{short}.{number}"))
    }
}
