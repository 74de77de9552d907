//! The closed list of error kinds and the table from a kind to the answer a caller receives.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Result with figloft's error.
pub type Result<T> = std::result::Result<T, Error>;

/// What is known about the work behind a request that received an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkOutcome {
    /// The work certainly did not run.
    #[display("not-run")]
    NotRun,
    /// The work may have run, in part or whole.
    #[display("unknown")]
    Unknown,
    /// The work ran.
    #[display("ran")]
    Ran,
}

/// Whether and how a caller may repeat a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryAdvice {
    /// Repeating the request unchanged cannot succeed.
    #[display("never")]
    Never,
    /// The request may be repeated after the given time.
    #[display("after")]
    After,
    /// The request may be repeated only if its work is idempotent.
    #[display("if-idempotent")]
    IfIdempotent,
}

/// One row of the table from kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindAnswer {
    /// The kind this row answers.
    pub kind: ErrorKind,
    /// Stable name in machine-readable bodies and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// What is known about the work.
    pub outcome: WorkOutcome,
    /// Retry advice.
    pub retry: RetryAdvice,
    /// One-sentence meaning, used in documentation.
    pub meaning: &'static str,
}

macro_rules! error_kinds {
    ($($kind:ident, $name:literal, $status:literal, $outcome:ident, $retry:ident, $meaning:literal;)*) => {
        /// Closed list of error kinds.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $(#[doc = $meaning] $kind,)*
        }

        /// Answers of all kinds, in declaration order.
        pub const KIND_TABLE: &[KindAnswer] = &[
            $(KindAnswer {
                kind: ErrorKind::$kind,
                name: $name,
                status: $status,
                outcome: WorkOutcome::$outcome,
                retry: RetryAdvice::$retry,
                meaning: $meaning,
            },)*
        ];
    };
}

error_kinds! {
    BadRequest, "bad_request", 400, NotRun, Never, "The request is malformed.";
    BadRecord, "bad_record", 422, NotRun, Never, "A record or setting is invalid.";
    KeyMissing, "key_missing", 401, NotRun, Never, "The request carries no key and the queue is not open.";
    KeyRefused, "key_refused", 403, NotRun, Never, "The key is unknown, withdrawn or not valid for the target.";
    NotFound, "not_found", 404, NotRun, Never, "The named object does not exist.";
    JobGone, "job_gone", 410, NotRun, Never, "No such job is known.";
    Conflict, "conflict", 409, NotRun, Never, "The object changed since the caller read it.";
    AlreadyRan, "already_ran", 409, Ran, Never, "The ticket's work ran and its answer is no longer kept.";
    InProgress, "in_progress", 409, Unknown, After, "The ticket's work is running.";
    TooLarge, "too_large", 413, NotRun, Never, "A body or value exceeds its size limit.";
    LimitReached, "limit_reached", 429, NotRun, After, "The team has as much running as its upper limit allows.";
    QueueFull, "queue_full", 429, NotRun, After, "The queue is full.";
    Overloaded, "overloaded", 503, NotRun, After, "No slot became free within the request's share of waiting.";
    ViewStale, "view_stale", 503, NotRun, After, "The configuration view is too old to check a key.";
    Draining, "draining", 503, NotRun, After, "This entry instance is shutting down.";
    NoBackend, "no_backend", 503, NotRun, After, "No backend server of the service accepts work.";
    BackendRefused, "backend_refused", 503, NotRun, After, "The backend server proved that it did not start the work.";
    BackendFailed, "backend_failed", 502, Unknown, IfIdempotent, "The backend server failed after work was sent to it.";
    BackendTruncated, "backend_truncated", 502, Unknown, IfIdempotent, "The backend server's answer ended early.";
    DeadlineBeforeStart, "deadline_before_start", 504, NotRun, After, "The deadline passed before the work was sent.";
    DeadlineExceeded, "deadline_exceeded", 504, Unknown, IfIdempotent, "The deadline passed while the work may be running.";
    OutcomeUnknown, "outcome_unknown", 502, Unknown, IfIdempotent, "It is not known whether the work ran.";
    StoreUnavailable, "store_unavailable", 503, NotRun, After, "The store cannot be reached and nothing was changed.";
    StoreOutcomeUnknown, "store_outcome_unknown", 504, Unknown, IfIdempotent, "A store write received no answer.";
    RateLimited, "rate_limited", 503, NotRun, After, "The store refused the call for its rate limit.";
    NotIntroduced, "not_introduced", 503, NotRun, After, "Some sessions have not acknowledged this one, so it accepts no changes.";
    StaleTerm, "stale_term", 409, NotRun, Never, "The writer no longer holds the duty.";
    LeaseLost, "lease_lost", 409, Unknown, Never, "The lease ended.";
    WorkerRefused, "worker_refused", 503, NotRun, After, "The worker refused the task.";
    PeerUnavailable, "peer_unavailable", 503, Unknown, IfIdempotent, "The peer that owns the object cannot be reached.";
    BadMessage, "bad_message", 400, NotRun, Never, "A message of another process cannot be decoded.";
    Internal, "internal", 500, Unknown, IfIdempotent, "An internal fault; it is logged.";
}

impl ErrorKind {
    /// The kind's row in the table.
    pub fn answer(self) -> &'static KindAnswer {
        &KIND_TABLE[self as usize]
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().name)
    }
}

/// An error: its kind, a message for people and, where known, when a retry may succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
#[display("{kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    message: Arc<str>,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of a kind with a message that names what was expected.
    pub fn new(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The error's kind.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Message for people.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// When a retry may succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// The machine-readable body of the answer.
    pub fn body(&self) -> ErrorBody {
        let answer = self.kind.answer();
        ErrorBody {
            error: self.kind,
            message: Arc::clone(&self.message),
            outcome: answer.outcome,
            retry: answer.retry,
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
        }
    }
}

/// JSON body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error kind.
    pub error: ErrorKind,
    /// Message for people.
    pub message: Arc<str>,
    /// What is known about the work.
    pub outcome: WorkOutcome,
    /// Retry advice.
    pub retry: RetryAdvice,
    /// Milliseconds after which a retry may succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// An error with its causes in one line.
pub fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
