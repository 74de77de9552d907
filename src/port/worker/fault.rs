//! Faults of the stand-in that tests switch on.

use serde::{Deserialize, Serialize};

/// Fault of one stand-in worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerFault {
    /// Every task fails at once.
    FailsAll,
    /// Tasks start and never end by themselves.
    Hangs,
    /// Usage reports are lost.
    LosesUsage,
    /// Starts are refused.
    Refuses,
    /// Calls take effect and their answers are lost.
    LosesAnswers,
    /// Calls neither arrive nor are answered.
    Unreachable,
    /// Tasks started from now on take this many times as long.
    Slow(u32),
}

/// What a task really does, whatever was declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTruth {
    /// Real run time at full speed, in milliseconds.
    #[serde(default = "default_run_ms")]
    pub run_ms: u64,
    /// Real memory use in mebibytes; the granted amount if absent.
    #[serde(default)]
    pub memory_mib: Option<u64>,
    /// Real processor use in thousandths of a core; the granted amount if absent.
    #[serde(default)]
    pub milli_cores: Option<u64>,
    /// Whether the job fails on every worker.
    #[serde(default)]
    pub never_runs: bool,
}

/// Run time of a task whose payload says nothing; short, so that trials move on.
const DEFAULT_RUN_MS: u64 = 1_000;

const fn default_run_ms() -> u64 {
    DEFAULT_RUN_MS
}

impl TaskTruth {
    /// Reads the truth from a payload such as `{"run_ms":500,"never_runs":true}`; other payloads get defaults.
    pub fn from_payload(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_default()
    }
}

impl Default for TaskTruth {
    fn default() -> Self {
        Self {
            run_ms: DEFAULT_RUN_MS,
            memory_mib: None,
            milli_cores: None,
            never_runs: false,
        }
    }
}
