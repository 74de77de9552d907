//! Validation errors and warnings for operators' records, with the location and the accepted values.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Place of a record in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FaultPlace {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line in the file, from 1.
    pub line: usize,
}

/// Severity of a fault.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum FaultLevel {
    /// The record is refused.
    #[display("error")]
    Error,
    /// The record is accepted unchanged.
    #[display("warning")]
    Warning,
}

/// One validation error or warning. Record files and the admin API report it in the same form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordFault {
    /// Severity: only errors cause the record to be refused.
    pub level: FaultLevel,
    /// Place in a file; absent for records that came over the admin API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<FaultPlace>,
    /// Record as `kind/id`, with `?` for an unreadable part; `file` or `record` if the fault belongs to no
    /// record that can be named.
    pub record: Arc<str>,
    /// Path of the field, for example `waves[0].pool`; empty for the whole record.
    pub field: Arc<str>,
    /// What is wrong, for example `is missing`.
    pub problem: Arc<str>,
    /// Description of the accepted values.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<Arc<str>>,
}

impl RecordFault {
    /// Creates a fault of level `error`, without a place and without accepted values.
    pub fn new(
        record: impl Into<Arc<str>>,
        field: impl Into<Arc<str>>,
        problem: impl Into<Arc<str>>,
    ) -> Self {
        Self {
            level: FaultLevel::Error,
            place: None,
            record: record.into(),
            field: field.into(),
            problem: problem.into(),
            accepted: None,
        }
    }

    /// Sets the description of the accepted values.
    #[must_use]
    pub fn with_accepted(mut self, accepted: impl Into<Arc<str>>) -> Self {
        self.accepted = Some(accepted.into());
        self
    }

    /// Lowers the level to a warning.
    #[must_use]
    pub fn as_warning(mut self) -> Self {
        self.level = FaultLevel::Warning;
        self
    }

    /// Sets the place in a file; `line` counts from 1.
    #[must_use]
    pub fn with_place(mut self, file: &Arc<str>, line: usize) -> Self {
        let file = Arc::clone(file);
        self.place = Some(FaultPlace { file, line });
        self
    }

    /// Whether the fault causes the record to be refused.
    pub fn is_error(&self) -> bool {
        self.level == FaultLevel::Error
    }
}

impl fmt::Display for RecordFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(f, "{}:{}: ", place.file, place.line)?;
        }
        write!(f, "{}: {}", self.level, self.record)?;
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.problem)?;
        if let Some(accepted) = &self.accepted {
            write!(f, " (accepted: {accepted})")?;
        }
        Ok(())
    }
}
