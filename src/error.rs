//! The error type of figloft, the closed list of error kinds, and the response that a caller receives for
//! each kind.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Result` whose error type is figloft's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// What is known about whether the work of a failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkOutcome {
    /// The work did not run; this is certain.
    #[display("not-run")]
    NotRun,
    /// The work may have run, partly or completely.
    #[display("unknown")]
    Unknown,
    /// The work ran.
    #[display("ran")]
    Ran,
}

/// Whether and when a caller may repeat a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryAdvice {
    /// Repeating the request unchanged cannot succeed.
    #[display("never")]
    Never,
    /// The request may be repeated after the retry delay that the response states.
    #[display("after")]
    After,
    /// The request may be repeated only if its work is idempotent.
    #[display("if-idempotent")]
    IfIdempotent,
}

/// The response to errors of one kind: a row of [`KIND_TABLE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindResponse {
    /// The kind of error that this row describes.
    pub kind: ErrorKind,
    /// Name of the kind in JSON bodies and metrics; callers rely on it, so it must not change.
    pub name: &'static str,
    /// HTTP status code of the response.
    pub status: u16,
    /// Whether the work ran, as far as the kind alone tells.
    pub outcome: WorkOutcome,
    /// Whether the caller may repeat the request.
    pub retry: RetryAdvice,
    /// Meaning in one sentence, for the documentation.
    pub meaning: &'static str,
}

macro_rules! error_kinds {
    ($($kind:ident, $name:literal, $status:literal, $outcome:ident, $retry:ident, $meaning:literal;)*) => {
        /// Kind of an error, which determines the response to the caller (see [`KIND_TABLE`]).
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $(#[doc = $meaning] $kind,)*
        }

        /// The responses of all kinds, in declaration order, so that a kind's discriminant is its index.
        pub const KIND_TABLE: &[KindResponse] = &[
            $(KindResponse {
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
    JobCancelled, "job_cancelled", 429, NotRun, Never, "The job was cancelled before it was stored; its id stays refused.";
    Conflict, "conflict", 409, NotRun, Never, "The object changed since the caller read it.";
    AlreadyRan, "already_ran", 409, Ran, Never, "The ticket's work ran and its answer is no longer kept.";
    InProgress, "in_progress", 409, Unknown, After, "The ticket's work is running.";
    LengthRequired, "length_required", 411, NotRun, Never, "The body needs a content-length.";
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
    /// Returns the kind's row of [`KIND_TABLE`].
    pub fn response(self) -> &'static KindResponse {
        &KIND_TABLE[self as usize]
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.response().name)
    }
}

/// An error with its kind, a human-readable message and, where known, the delay after which a retry may
/// succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
#[display("{kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    message: Arc<str>,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error without a retry delay; the message should say what was expected.
    pub fn new(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the human-readable message, without the kind.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the delay after which a retry may succeed; `None` if it is not known.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Builds the JSON body of the error response.
    pub fn body(&self) -> ErrorBody {
        let response = self.kind.response();
        ErrorBody {
            error: self.kind,
            message: Arc::clone(&self.message),
            outcome: response.outcome,
            retry: response.retry,
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
        }
    }
}

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error, written as its name in [`KIND_TABLE`].
    pub error: ErrorKind,
    /// Human-readable message.
    pub message: Arc<str>,
    /// Whether the work ran, as far as is known.
    pub outcome: WorkOutcome,
    /// Whether the caller may repeat the request.
    pub retry: RetryAdvice,
    /// Delay in milliseconds after which a retry may succeed; omitted if it is not known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// Formats an error and the chain of its sources in one line, separated by colons.
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
