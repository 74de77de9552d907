//! Limits on what callers may make a process hold, with their metrics and log lines.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};
use slog::{Logger, o, warn};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::connection::backend_body::BodySource;
use crate::error::{Error, ErrorKind, Result};
use crate::request::body_budget::{BodyBudget, BodyOwner, DEFAULT_MEMORY_BYTES};
use crate::request::connection_choice::{self, DEFAULT_DESCRIPTORS};
use crate::request::connection_guard::ConnectionGuard;
use crate::request::refusal_burst::RefusalBursts;

/// `retry-after` of refused requests: bodies are held for seconds at most.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Part of the memory that whole bodies may take while they are decoded and stored. Each takes about six times
/// its length then: the job, its encodings and the request to the store.
const DECODE_DIVISOR: u64 = 64;
/// Unit of the permits for decoding.
const PERMIT_BYTES: u64 = 1_024;
/// Permits for one largest body, the minimum.
const MIN_PERMITS: u64 = 512;

/// Name of the server for callers in metrics and log lines.
pub const CALLERS: &str = "callers";

/// Limits of one process, shared by its servers.
#[derive(Debug)]
pub struct CallerLimits {
    budget: Mutex<BodyBudget>,
    decoding: Arc<Semaphore>,
    decoding_permits: u32,
    bursts: Mutex<RefusalBursts>,
    refused: IntCounterVec,
    budget_bytes: IntGaugeVec,
    guards: Mutex<Vec<Weak<ConnectionGuard>>>,
    connections: IntGaugeVec,
    memory: u64,
    descriptors: u64,
    log: Logger,
}

/// A body that has been read completely. Its reservation ends when it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    _reservation: BodyReservation,
    _permit: OwnedSemaphorePermit,
}

/// Part of the budget that a body holds until this is dropped.
#[derive(Debug)]
struct BodyReservation {
    limits: Arc<CallerLimits>,
    owner: BodyOwner,
    bytes: u64,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.limits.budget().release(&self.owner, self.bytes);
    }
}

impl CallerLimits {
    /// Creates the limits of a process. `memory` is its memory in bytes and `descriptors` the number of descriptors
    /// that it may open, if the settings name them.
    ///
    /// # Errors
    /// `internal` if the metrics are invalid.
    pub fn new(memory: Option<u64>, descriptors: Option<u64>, log: Logger) -> Result<Self> {
        let memory = memory.unwrap_or(DEFAULT_MEMORY_BYTES);
        let permits = (memory / DECODE_DIVISOR / PERMIT_BYTES).max(MIN_PERMITS);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX >> 4);
        let refused = Opts::new(
            "figloft_refused_callers_total",
            "Requests and connections of callers that were refused or closed, by server and reason.",
        );
        let connections = Opts::new(
            "figloft_connections",
            "Connections of callers by server and by what they do; the limit as the state limit.",
        );
        let budget_bytes = Opts::new(
            "figloft_body_budget_bytes",
            "Memory for bodies of callers that are not answered.",
        );
        Ok(Self {
            budget: Mutex::new(BodyBudget::for_memory(memory)),
            decoding: Arc::new(Semaphore::new(permits as usize)),
            decoding_permits: permits,
            bursts: Mutex::default(),
            refused: IntCounterVec::new(refused, &["server", "reason"])
                .map_err(|error| metrics_error(&error))?,
            budget_bytes: IntGaugeVec::new(budget_bytes, &["state"])
                .map_err(|error| metrics_error(&error))?,
            guards: Mutex::default(),
            connections: IntGaugeVec::new(connections, &["server", "state"])
                .map_err(|error| metrics_error(&error))?,
            memory,
            descriptors: descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
            log,
        })
    }

    /// Limits without a log for a process whose settings name none.
    ///
    /// # Errors
    /// `internal` if the metrics are invalid.
    pub fn without_log() -> Result<Self> {
        Self::new(None, None, Logger::root(slog::Discard, o!()))
    }

    /// Adds the metrics to a registry.
    ///
    /// # Errors
    /// `internal` if the registry has a metric with one of the names.
    pub fn register(&self, registry: &Registry) -> Result<()> {
        registry
            .register(Box::new(self.refused.clone()))
            .and_then(|()| registry.register(Box::new(self.budget_bytes.clone())))
            .and_then(|()| registry.register(Box::new(self.connections.clone())))
            .map_err(|error| metrics_error(&error))
    }

    /// Creates the guard of the server for callers, whose number of connections follows from memory and descriptors.
    pub fn caller_guard(self: &Arc<Self>) -> Arc<ConnectionGuard> {
        let count = connection_choice::caller_connections(self.memory, self.descriptors);
        self.guard(CALLERS, count as usize)
    }

    /// Like [`Self::caller_guard`], for a server that also accepts bodies without a length.
    pub fn submission_guard(self: &Arc<Self>) -> Arc<ConnectionGuard> {
        let guard = self.caller_guard();
        guard.accept_chunked();
        guard
    }

    /// Creates the guard of a server.
    pub fn guard(self: &Arc<Self>, server: &'static str, max_connections: usize) -> Arc<ConnectionGuard> {
        let guard = Arc::new(ConnectionGuard::new(server, max_connections, Arc::clone(self)));
        let gauge = self.connections.with_label_values(&[server, "limit"]);
        gauge.set(max_connections.cast_signed() as i64);
        let mut guards = self.guards.lock().unwrap_or_else(PoisonError::into_inner);
        guards.push(Arc::downgrade(&guard));
        guard
    }

    /// Sets the gauges, before the metrics are rendered.
    pub fn update_gauges(&self) {
        let budget = self.budget();
        let states = [
            ("used", budget.used()),
            ("peak", budget.peak()),
            ("limit", budget.limit()),
        ];
        for (state, bytes) in states {
            let gauge = self.budget_bytes.with_label_values(&[state]);
            gauge.set(bytes.cast_signed());
        }
        drop(budget);
        let guards = self.guards.lock().unwrap_or_else(PoisonError::into_inner);
        for guard in guards.iter().filter_map(Weak::upgrade) {
            for (phase, count) in guard.count_phases() {
                let state = phase.to_string();
                let gauge = self.connections.with_label_values(&[guard.server(), &state]);
                gauge.set(count);
            }
        }
    }

    /// Counts a refused request or connection, and writes at most one log line a second for each reason.
    pub fn record_refusal(&self, server: &'static str, reason: &'static str) {
        self.refused.with_label_values(&[server, reason]).inc();
        let mut bursts = self.bursts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = bursts.record((server, reason), Instant::now()) {
            warn!(self.log, "callers refused"; "server" => server, "reason" => reason, "count" => count);
        }
    }

    /// Reads a body of at most `max_bytes` until `deadline`, within the budget. Nothing has been done for the
    /// request when this fails.
    ///
    /// # Errors
    /// `too_large` or `bad_request` for a body that cannot be accepted, `overloaded` if the budget is used up or
    /// the body does not arrive in time.
    pub async fn read_body(
        self: &Arc<Self>,
        body: &BodySource,
        owner: BodyOwner,
        max_bytes: u64,
        deadline: Instant,
    ) -> Result<HeldBody> {
        let bytes = body.max_remaining(max_bytes);
        body.check_length(max_bytes)?;
        let reservation = self.reserve(body, owner, bytes)?;
        let collected = tokio::time::timeout_at(deadline.into(), body.collect(max_bytes));
        let collected = match collected.await {
            Ok(Ok(collected)) => collected,
            Ok(Err(error)) if error.kind() == ErrorKind::Overloaded => {
                return Err(self.refuse(body, "slow_body", error.message()));
            }
            Ok(Err(error)) => {
                // The rest of the body may still be on the connection.
                body.refuse();
                return Err(error);
            }
            Err(_) => return Err(self.refuse(body, "late_body", "the body did not arrive in time")),
        };
        let permits = u32::try_from(bytes / PERMIT_BYTES + 1).unwrap_or(u32::MAX);
        let permits = permits.min(self.decoding_permits);
        let permit = Arc::clone(&self.decoding).acquire_many_owned(permits);
        match tokio::time::timeout_at(deadline.into(), permit).await {
            Ok(Ok(permit)) => Ok(HeldBody {
                bytes: collected,
                _reservation: reservation,
                _permit: permit,
            }),
            _ => Err(self.refuse(body, "decoding_full", "too many large bodies are being stored")),
        }
    }

    fn reserve(self: &Arc<Self>, body: &BodySource, owner: BodyOwner, bytes: u64) -> Result<BodyReservation> {
        // The lock must not be held while the refusal is counted.
        let outcome = self.budget().reserve(&owner, bytes);
        match outcome {
            Ok(()) => Ok(BodyReservation {
                limits: Arc::clone(self),
                owner,
                bytes,
            }),
            Err(refusal) => Err(self.refuse(body, "body_budget", &refusal.to_string())),
        }
    }

    /// Marks the body as refused, so that its connection is closed after the answer.
    fn refuse(&self, body: &BodySource, reason: &'static str, message: &str) -> Error {
        body.refuse();
        self.record_refusal(CALLERS, reason);
        let message = format!("the request was not accepted and will not run: {message}");
        Error::new(ErrorKind::Overloaded, message).with_retry_after(RETRY_AFTER)
    }

    fn budget(&self) -> MutexGuard<'_, BodyBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn metrics_error(error: &prometheus::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("metrics: {error}"))
}
