//! Identifiers of steps and tasks.

use std::fmt;
use std::str::FromStr;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::JobId;

/// Identifies a step in one occurrence of a job. Its text form is `job.occurrence.step`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId {
    /// Job to which the step belongs.
    pub job: JobId,
    /// Number of the occurrence, counted from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
}

impl StepId {
    /// Creates the identifier of step `step` in occurrence `occurrence`.
    pub const fn new(job: JobId, occurrence: u32, step: u32) -> Self {
        Self {
            job,
            occurrence,
            step,
        }
    }

    /// Identifier of the task with this index.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            step: self.clone(),
            index,
        }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies a task. Its text form is `job.occurrence.step.index`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// Step to which the task belongs.
    pub step: StepId,
    /// Index of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || {
            Error::new(
                ErrorKind::BadMessage,
                format!("{text:?} is not a task identifier"),
            )
        };
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let index = number().ok_or_else(invalid)?;
        let step = number().ok_or_else(invalid)?;
        let occurrence = number().ok_or_else(invalid)?;
        let job: JobId = parts.next().ok_or_else(invalid)?.parse()?;
        Ok(StepId::new(job, occurrence, step).task(index))
    }
}
