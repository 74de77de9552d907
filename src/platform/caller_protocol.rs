//! Protocol between callers and a node: job submissions, request headers and response bodies.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header;
use serde::{Deserialize, Serialize};

use crate::dispatch::job_record::{JobState, JobSummary};
use crate::dispatch::job_spec::{JobSchedule, JobSpec, StepSpec};
use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::{AcceleratorCount, MemoryMib, MilliCores};
use crate::model::id::JobId;
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Path of readiness checks.
pub const READINESS_PATH: &str = "/readiness";

/// Header with the time in milliseconds for which the caller waits for the response.
const DEADLINE_HEADER: &str = "figloft-deadline-ms";

/// Scheme of the authorisation header, followed by the API key.
const API_KEY_SCHEME: &str = "Token ";

/// Number of hexadecimal digits of a job id.
const JOB_ID_DIGITS: usize = 16;

/// Maximum size of the payload of a job, as the platform states it.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum size of the name of a label, rack or image. Workers publish names of some ten bytes.
const MAX_LABEL_BYTES: usize = 256;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireJob {
    /// Payload that every task receives.
    #[serde(default)]
    spec: Arc<str>,
    steps: Vec<WireStep>,
    /// Due time of the first occurrence of a scheduled job in Unix milliseconds.
    #[serde(default)]
    start_ms: u64,
    /// Time between two occurrences.
    #[serde(default)]
    interval_ms: u64,
    /// Number of occurrences of a scheduled job; 0 for other jobs.
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
    /// Number of tasks.
    count: u32,
    /// Thousandths of a core for each task.
    cpu: u64,
    /// Mebibytes for each task, in spite of the name.
    mem_mb: u64,
    /// Accelerators for each task.
    gpu: u32,
    /// Estimated run time of a task.
    estimate_ms: u64,
    /// Indices of earlier steps that have to be done first.
    after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    checkpointing: bool,
    /// Whether the tasks can only run all together.
    gang: bool,
    /// Whether the tasks are slower on more than one rack.
    same_rack: bool,
    /// Label that the worker must have.
    constraints: Option<Arc<str>>,
    /// Rack on which the input data is stored.
    affinity: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; 0 sets no limit.
    anti_affinity: u32,
    /// Whether copies of a task may run in parallel.
    speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    long_running: bool,
    /// Program of the tasks; tasks with the same image behave alike.
    image: Option<Arc<str>>,
    /// Target of the tail latency of tasks that serve users; 0 sets none.
    target_ms: u64,
    /// Whether the tasks are best-effort, that is use only the CPU time that other tasks leave.
    fills: bool,
    /// Maximum number of tasks that may be made unavailable at the same time.
    may_miss: u32,
}

#[derive(Debug, Serialize)]
struct WireJobState<'a> {
    state: &'static str,
    /// Why the job failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct WireWaitingCount {
    waiting: u32,
}

/// Decodes the body of a submission and checks the job.
///
/// # Errors
/// `bad_request` with the cause.
pub fn decode_job(body: &[u8]) -> Result<JobSpec> {
    let wire: WireJob = serde_json::from_slice(body)
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("job: {error}")))?;
    let schedule = (wire.repeat_count > 0).then(|| JobSchedule {
        first: UnixMillis::new(wire.start_ms),
        interval: Duration::from_millis(wire.interval_ms),
        count: wire.repeat_count,
    });
    check_texts(&wire)?;
    let spec = JobSpec {
        payload: wire.spec,
        steps: wire.steps.into_iter().map(decode_step).collect(),
        schedule,
    };
    spec.check()?;
    Ok(spec)
}

/// Refuses texts over the platform's limits. Leaders keep the jobs of their pools in memory, so that bodies of the
/// largest size filled with text would exhaust it.
fn check_texts(wire: &WireJob) -> Result<()> {
    let check = |name: &str, text: &str, limit: usize| {
        if text.len() <= limit {
            return Ok(());
        }
        let message = format!("job: {name} has {} bytes, the limit is {limit}", text.len());
        Err(Error::new(ErrorKind::BadRequest, message))
    };
    check("spec", &wire.spec, MAX_PAYLOAD_BYTES)?;
    for step in &wire.steps {
        let labels = [&step.constraints, &step.affinity, &step.image];
        for label in labels.into_iter().flatten() {
            check("a label of a step", label, MAX_LABEL_BYTES)?;
        }
    }
    Ok(())
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

/// Decodes a job id from the end of a path.
///
/// # Errors
/// `not_found` if `text` is not a job id.
pub fn decode_job_id(text: &str) -> Result<JobId> {
    let is_id = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_id {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("{text:?} is not a job id"),
        ));
    }
    JobId::new(text)
}

/// API key in the headers of a request; absent if there is none or the scheme is another one.
pub fn api_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_at_checked(API_KEY_SCHEME.len())?;
    scheme.eq_ignore_ascii_case(API_KEY_SCHEME).then(|| key.trim())
}

/// Time for which the caller waits for the response; absent if the header is missing or malformed.
pub fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// Response body with the state of a job, and the reason if it failed.
pub fn encode_job_state(summary: &JobSummary) -> impl Serialize {
    let state = match summary.state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    WireJobState {
        state,
        reason: summary.reason.as_deref(),
    }
}

/// Response body with the number of waiting jobs.
pub fn encode_waiting_count(waiting: u32) -> impl Serialize {
    WireWaitingCount { waiting }
}
