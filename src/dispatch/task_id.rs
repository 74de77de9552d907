//! Names of tasks.

use std::fmt;
use std::str::FromStr;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::JobId;

/// One step of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Occurrence of a scheduled job, 0 for other jobs.
    pub occurrence: u32,
    /// Number of the step in the job.
    pub step: u32,
}

impl StepId {
    /// Creates the id.
    pub const fn new(job: JobId, occurrence: u32, step: u32) -> Self {
        Self {
            job,
            occurrence,
            step,
        }
    }

    /// The id of a task of this step.
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

/// One task of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Number of the task in the step.
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
        let fault = || {
            Error::new(
                ErrorKind::BadMessage,
                format!("{text:?} is not the name of a task"),
            )
        };
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let index = number().ok_or_else(fault)?;
        let step = number().ok_or_else(fault)?;
        let occurrence = number().ok_or_else(fault)?;
        let job: JobId = parts.next().ok_or_else(fault)?.parse()?;
        Ok(StepId::new(job, occurrence, step).task(index))
    }
}
