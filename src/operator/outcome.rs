//! How a command ended, as exit code and message.

use std::sync::Arc;

use crate::error::{Error, ErrorKind};
use crate::process::admin::message::{RecordConflict, RefusalBody};
use crate::record::fault::RecordFault;

/// Exit code of a command; the help lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorExit {
    /// Success.
    Success = 0,
    /// `diff` found differences.
    Differs = 1,
    /// Wrong usage.
    Usage = 2,
    /// Records have faults.
    Faults = 3,
    /// The object changed since it was read, or is not in a state that allows the change.
    Conflict = 4,
    /// No daemon answered, or the daemon cannot reach the store.
    Unavailable = 5,
    /// Accepted, but not in force everywhere within the waiting time.
    NotInForce = 6,
    /// Refused for another reason.
    Refused = 7,
    /// The change may have been accepted.
    Unknown = 8,
}

impl OperatorExit {
    /// The code.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

/// A command that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorFailure {
    /// Exit code.
    pub exit: OperatorExit,
    /// Error.
    pub error: Error,
    /// Faults of records.
    pub faults: Vec<RecordFault>,
    /// Records that changed since they were read.
    pub conflicts: Vec<RecordConflict>,
}

/// Result of a command.
pub type OperatorResult<T = OperatorExit> = Result<T, OperatorFailure>;

impl OperatorFailure {
    /// A failure with a message.
    pub fn new(exit: OperatorExit, kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            exit,
            error: Error::new(kind, message),
            faults: Vec::new(),
            conflicts: Vec::new(),
        }
    }

    /// Wrong usage.
    pub fn usage(message: impl Into<Arc<str>>) -> Self {
        Self::new(OperatorExit::Usage, ErrorKind::BadRequest, message)
    }

    /// Records with faults.
    pub fn faults(faults: Vec<RecordFault>) -> Self {
        let count = faults.iter().filter(|fault| fault.is_error()).count();
        let message = format!("{count} faults; nothing was changed");
        let mut failure = Self::new(OperatorExit::Faults, ErrorKind::BadRecord, message);
        failure.faults = faults;
        failure
    }

    /// Records that changed since they were read.
    pub fn conflicts(conflicts: Vec<RecordConflict>) -> Self {
        let message = format!(
            "{} records changed since they were read; nothing was changed",
            conflicts.len()
        );
        let mut failure = Self::new(OperatorExit::Conflict, ErrorKind::Conflict, message);
        failure.conflicts = conflicts;
        failure
    }

    /// The body that JSON output shows.
    pub fn body(&self) -> RefusalBody {
        RefusalBody {
            error: self.error.body(),
            faults: self.faults.clone(),
            conflicts: self.conflicts.clone(),
        }
    }
}

impl From<RefusalBody> for OperatorFailure {
    fn from(refusal: RefusalBody) -> Self {
        let kind = refusal.error.error;
        Self {
            exit: exit_of(kind),
            error: Error::new(kind, refusal.error.message),
            faults: refusal.faults,
            conflicts: refusal.conflicts,
        }
    }
}

impl From<Error> for OperatorFailure {
    fn from(error: Error) -> Self {
        Self {
            exit: exit_of(error.kind()),
            error,
            faults: Vec::new(),
            conflicts: Vec::new(),
        }
    }
}

fn exit_of(kind: ErrorKind) -> OperatorExit {
    use ErrorKind::{
        BadRecord, Conflict, Draining, Internal, NotIntroduced, OutcomeUnknown, RateLimited,
        StoreOutcomeUnknown, StoreUnavailable,
    };
    match kind {
        BadRecord => OperatorExit::Faults,
        Conflict => OperatorExit::Conflict,
        StoreUnavailable | RateLimited | NotIntroduced | Draining => OperatorExit::Unavailable,
        StoreOutcomeUnknown | OutcomeUnknown | Internal => OperatorExit::Unknown,
        _ => OperatorExit::Refused,
    }
}
