//! Checkpoint from which a task, or a gang as a whole, resumes.

use std::sync::Arc;

use crate::model::id::RunNumber;

/// Latest checkpoint of a task or of a gang. The members of a gang share one: a value of any member is valid for all,
/// and all have to resume from the same.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskCheckpoint {
    value: Arc<str>,
    /// Run that saved the value; 0 if an earlier leader stored it.
    run: RunNumber,
    /// Whether the value came with the end of the run. It is then at least as new as any that was listed before.
    is_final: bool,
}

impl TaskCheckpoint {
    /// Creates the state of a checkpoint that an earlier leader stored.
    pub fn new(value: Arc<str>) -> Self {
        Self {
            value,
            ..Self::default()
        }
    }

    /// The value with which the next run starts, empty if there is none.
    pub fn value(&self) -> &Arc<str> {
        &self.value
    }

    /// Records a value that a run has saved. An empty one, or one that is older than the known one, changes nothing:
    /// workers that were out of reach report late.
    pub fn record(&mut self, run: RunNumber, value: &Arc<str>, is_final: bool) {
        if !value.is_empty() && (run, is_final) >= (self.run, self.is_final) {
            *self = Self {
                value: Arc::clone(value),
                run,
                is_final,
            };
        }
    }
}
