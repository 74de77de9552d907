//! What callers send and receive.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header;
use serde::{Deserialize, Serialize};

use crate::dispatch::job_record::JobState;
use crate::dispatch::job_spec::{JobSchedule, JobSpec, StepSpec};
use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::{AcceleratorCount, MemoryMib, MilliCores};
use crate::model::id::JobId;
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Path of readiness checks.
pub const READINESS_PATH: &str = "/readiness";

/// Header with the time for which the caller waits.
const DEADLINE_HEADER: &str = "figloft-deadline-ms";

/// Scheme of the authorisation header.
const API_KEY_SCHEME: &str = "Token ";

/// Digits of a job's id.
const JOB_ID_DIGITS: usize = 16;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireJob {
    #[serde(default)]
    spec: Arc<str>,
    steps: Vec<WireStep>,
    #[serde(default)]
    start_ms: u64,
    #[serde(default)]
    interval_ms: u64,
    /// Occurrences of a scheduled job; 0 for other jobs.
    #[serde(default)]
    repeat_count: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
struct WireStep {
    count: u32,
    cpu: u64,
    mem_mb: u64,
    gpu: u32,
    estimate_ms: u64,
    after: Vec<u32>,
    checkpointing: bool,
    gang: bool,
    same_rack: bool,
    /// A label that the worker must have.
    constraints: Option<Arc<str>>,
    /// The rack on which the data lies.
    affinity: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 sets no bound.
    anti_affinity: u32,
    speculative: bool,
    long_running: bool,
    image: Option<Arc<str>>,
    target_ms: u64,
    fills: bool,
    may_miss: u32,
}

#[derive(Debug, Serialize)]
struct WireJobState {
    state: &'static str,
}

#[derive(Debug, Serialize)]
struct WireWaitingCount {
    waiting: u32,
}

/// Decodes the body of a submission.
///
/// # Errors
/// `bad_request` that names the fault.
pub fn decode_job(body: &[u8]) -> Result<JobSpec> {
    let wire: WireJob = serde_json::from_slice(body)
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("job: {error}")))?;
    let schedule = (wire.repeat_count > 0).then(|| JobSchedule {
        first: UnixMillis::new(wire.start_ms),
        interval: Duration::from_millis(wire.interval_ms),
        count: wire.repeat_count,
    });
    let spec = JobSpec {
        payload: wire.spec,
        steps: wire.steps.into_iter().map(decode_step).collect(),
        schedule,
    };
    spec.check()?;
    Ok(spec)
}

fn decode_step(wire: WireStep) -> StepSpec {
    let non_empty = |text: Option<Arc<str>>| text.filter(|text| !text.is_empty());
    StepSpec {
        tasks: wire.count,
        demand: ResourceSet::new(MilliCores::new(wire.cpu), MemoryMib::new(wire.mem_mb))
            .with_accelerators(AcceleratorCount::new(wire.gpu)),
        estimate: Duration::from_millis(wire.estimate_ms),
        depends_on: wire.after,
        has_checkpoints: wire.checkpointing,
        is_gang: wire.gang,
        prefers_same_rack: wire.same_rack,
        label: non_empty(wire.constraints),
        data_rack: non_empty(wire.affinity),
        max_per_worker: (wire.anti_affinity > 0).then_some(wire.anti_affinity),
        is_speculative: wire.speculative,
        is_long_running: wire.long_running,
        image: non_empty(wire.image),
        tail_latency_target_ms: (wire.target_ms > 0).then_some(wire.target_ms),
        is_best_effort: wire.fills,
        max_unavailable: wire.may_miss,
    }
}

/// Reads a job's id from the rest of a path.
///
/// # Errors
/// `not_found` if it is not an id.
pub fn decode_job_id(text: &str) -> Result<JobId> {
    let is_id = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_id {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("{text:?} is not a job's id"),
        ));
    }
    JobId::new(text)
}

/// The key that came with a call.
pub fn api_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_at_checked(API_KEY_SCHEME.len())?;
    scheme.eq_ignore_ascii_case(API_KEY_SCHEME).then(|| key.trim())
}

/// Time for which the caller waits, if it says so.
pub fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// Body of an answer with a job's state.
pub fn encode_job_state(state: JobState) -> impl Serialize {
    let state = match state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    WireJobState { state }
}

/// Body of an answer with the number of waiting jobs.
pub fn encode_waiting_count(waiting: u32) -> impl Serialize {
    WireWaitingCount { waiting }
}
