//! The callers' job API: `POST /q/{queue}/jobs`, `GET` and `DELETE /q/{queue}/jobs/{id}`, and
//! `POST /q/{queue}/cancel`.
//!
//! Jobs of other sessions are viewed and cancelled over the peer link. The handler is independent of the HTTP
//! server: it takes the head and the complete body of a request and returns the response.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::clock::SharedClock;
use crate::error::{Error, ErrorBody, ErrorKind, Result, WorkOutcome};
use crate::model::id::{JobId, QueueId, SessionId, TeamId};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;
use crate::policy::job_event::JobSubmission;
use crate::process::job_runner::JobRunner;
use crate::process::job_scheduler::OPEN_TEAM;
use crate::process::job_task::{JobStage, JobView};
use crate::record::queue::QueueRecord;
use crate::version::accepted::AcceptedVersion;

/// Path prefix of requests to queues.
pub const QUEUE_PREFIX: &str = "/q/";

/// Largest accepted body in bytes. A submission has to fit into one batch of the job log together with its
/// metadata.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// Shortest lease of a task, in milliseconds: a call to the task's worker has to end well before the lease
/// does.
const MIN_LEASE_MS: u64 = 5_000;

/// Checks the caller's key and returns its team. Fails if the key is not valid or the configuration view is
/// too old.
pub type KeyChecker = Arc<dyn Fn(&HeaderMap) -> Result<TeamId> + Send + Sync>;

/// What another session is asked to do with a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RemoteAction {
    /// Return its state.
    View,
    /// Cancel it and return its state.
    Cancel,
}

/// Asks the session that holds a job over the peer link.
pub type RemoteJobCall =
    Arc<dyn Fn(SessionId, RemoteAction, JobId) -> BoxFuture<'static, Result<JobView>> + Send + Sync>;

/// Request body of a submission. `priority` overrides the header; `start_within_ms` is the time after which
/// the job is no longer started, counted from its submission.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    #[serde(default)]
    priority: Option<WorkPriority>,
    #[serde(default)]
    resources: ResourceSet,
    #[serde(default)]
    repeatable: bool,
    #[serde(default)]
    start_within_ms: Option<u64>,
    #[serde(default)]
    payload: Arc<str>,
}

/// Request body of `POST /q/{queue}/cancel`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelBody {
    jobs: Vec<JobId>,
}

/// Response body of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitResponse {
    /// Id under which the job is viewed and cancelled.
    pub id: JobId,
}

/// Response body of `POST /q/{queue}/cancel`: each requested job is in one of the two maps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelResponse {
    /// State of the jobs that were cancelled or had already ended.
    pub jobs: BTreeMap<JobId, JobView>,
    /// Errors of the jobs that could not be cancelled.
    pub errors: BTreeMap<JobId, ErrorBody>,
}

/// Successful response of the job API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the job's work ran, for the header `x-figloft-outcome`.
    pub outcome: WorkOutcome,
    /// JSON body.
    pub body: Vec<u8>,
}

/// The job API of one session.
#[derive(Clone)]
pub struct JobApi {
    runner: JobRunner,
    version: AcceptedVersion,
    clock: SharedClock,
    check_key: KeyChecker,
    remote_call: Option<RemoteJobCall>,
}

impl fmt::Debug for JobApi {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JobApi")
            .field("runner", &self.runner)
            .finish_non_exhaustive()
    }
}

impl JobApi {
    /// Creates the API without access to the jobs of other sessions; see [`JobApi::with_remote_call`].
    pub fn new(
        runner: JobRunner,
        version: AcceptedVersion,
        clock: SharedClock,
        check_key: KeyChecker,
    ) -> Self {
        Self {
            runner,
            version,
            clock,
            check_key,
            remote_call: None,
        }
    }

    /// Sets the function that asks other sessions about their jobs.
    #[must_use]
    pub fn with_remote_call(mut self, remote_call: RemoteJobCall) -> Self {
        self.remote_call = Some(remote_call);
        self
    }

    /// Handles a request to a path below [`QUEUE_PREFIX`].
    ///
    /// # Errors
    /// The error to be sent to the caller.
    pub async fn handle(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<JobResponse> {
        if body.len() > MAX_BODY_BYTES {
            let message = format!("the body exceeds {MAX_BODY_BYTES} bytes");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
        let parts: Vec<&str> = path
            .strip_prefix(QUEUE_PREFIX)
            .unwrap_or_default()
            .split('/')
            .collect();
        match (method, parts.as_slice()) {
            (&Method::POST, [queue, "jobs"]) => self.submit(queue, headers, body).await,
            (&Method::GET, [queue, "jobs", job]) => {
                self.view_or_cancel(RemoteAction::View, queue, job, headers).await
            }
            (&Method::DELETE, [queue, "jobs", job]) => {
                self.view_or_cancel(RemoteAction::Cancel, queue, job, headers)
                    .await
            }
            (&Method::POST, [queue, "cancel"]) => self.cancel_many(queue, headers, body).await,
            _ => Err(Error::new(
                ErrorKind::NotFound,
                format!("no resource exists for {method} {path}"),
            )),
        }
    }

    /// Finds the queue and checks that the caller may use it. Returns the caller's team: [`OPEN_TEAM`] for
    /// requests without a key to an open queue.
    fn authorize(&self, queue: &str, headers: &HeaderMap) -> Result<(QueueRecord, TeamId)> {
        let id: QueueId = queue.parse()?;
        let state = self.version.current();
        let Some(record) = state.records.queues.get(&id) else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("queue {id} does not exist"),
            ));
        };
        let has_key = headers.contains_key(http::header::AUTHORIZATION);
        if record.open && !has_key {
            return Ok((record.clone(), OPEN_TEAM.parse()?));
        }
        let team = (self.check_key)(headers)?;
        if !record.teams.is_empty() && !record.teams.contains(&team) {
            let message = format!("team {team} may not use queue {id}");
            return Err(Error::new(ErrorKind::KeyRefused, message));
        }
        Ok((record.clone(), team))
    }

    async fn submit(&self, queue: &str, headers: &HeaderMap, body: &[u8]) -> Result<JobResponse> {
        let (queue, team) = self.authorize(queue, headers)?;
        let body: SubmitBody = if body.is_empty() {
            SubmitBody::default()
        } else {
            parse_body(body)?
        };
        let priority = match body.priority {
            Some(priority) => priority,
            None => parse_priority(headers)?,
        };
        let submitted_at = UnixMillis::from(self.clock.wall_time());
        let submission = JobSubmission {
            job: self.runner.next_id()?,
            queue: queue.id.clone(),
            team,
            pool: queue.pool.clone(),
            priority,
            declared: body.resources,
            repeatable: body.repeatable,
            lease_ms: queue.task_lease_ms.max(MIN_LEASE_MS),
            submitted_at,
            start_by: body
                .start_within_ms
                .map(|wait| UnixMillis::new(submitted_at.get().saturating_add(wait))),
            payload: body.payload,
        };
        let id = submission.job.clone();
        self.runner.submit(submission, queue.max_waiting).await?;
        json_response(StatusCode::ACCEPTED, WorkOutcome::NotRun, &SubmitResponse { id })
    }

    async fn view_or_cancel(
        &self,
        action: RemoteAction,
        queue: &str,
        job: &str,
        headers: &HeaderMap,
    ) -> Result<JobResponse> {
        let (queue, team) = self.authorize(queue, headers)?;
        let view = self.run_action(action, &queue, &team, &job.parse()?).await?;
        json_response(StatusCode::OK, work_outcome(&view), &view)
    }

    async fn cancel_many(&self, queue: &str, headers: &HeaderMap, body: &[u8]) -> Result<JobResponse> {
        let (queue, team) = self.authorize(queue, headers)?;
        let body: CancelBody = parse_body(body)?;
        let mut response = CancelResponse {
            jobs: BTreeMap::new(),
            errors: BTreeMap::new(),
        };
        for job in body.jobs {
            match self.run_action(RemoteAction::Cancel, &queue, &team, &job).await {
                Ok(view) => drop(response.jobs.insert(job, view)),
                Err(error) => drop(response.errors.insert(job, error.body())),
            }
        }
        json_response(StatusCode::OK, WorkOutcome::Unknown, &response)
    }

    /// Views or cancels a job, here or at the session that holds it. A job of another queue or team is
    /// reported as not found; the job is viewed before it is cancelled, so that this check precedes the
    /// cancellation.
    async fn run_action(
        &self,
        action: RemoteAction,
        queue: &QueueRecord,
        team: &TeamId,
        job: &JobId,
    ) -> Result<JobView> {
        let not_found = || {
            Error::new(
                ErrorKind::NotFound,
                format!("job {job} is not known on queue {}", queue.id),
            )
        };
        let is_own = |view: &JobView| view.queue == queue.id && view.team == *team;
        if let Some(view) = self.runner.view(job) {
            if !is_own(&view) {
                return Err(not_found());
            }
            return match action {
                RemoteAction::View => Ok(view),
                RemoteAction::Cancel => self.runner.cancel(job),
            };
        }
        let owner = self.owner(job).ok_or_else(not_found)?;
        let Some(remote_call) = &self.remote_call else {
            let message = format!("job {job} is held by session {owner}, which cannot be asked");
            return Err(Error::new(ErrorKind::PeerUnavailable, message));
        };
        let view = remote_call(owner.clone(), RemoteAction::View, job.clone()).await?;
        if !is_own(&view) {
            return Err(not_found());
        }
        match action {
            RemoteAction::View => Ok(view),
            RemoteAction::Cancel => remote_call(owner, action, job.clone()).await,
        }
    }

    /// The session that accepted a job, according to the job's id. `None` if that is this session, which then
    /// no longer knows the job.
    fn owner(&self, job: &JobId) -> Option<SessionId> {
        let (session, _) = job.as_str().rsplit_once('-')?;
        let session: SessionId = session.parse().ok()?;
        (session != *self.runner.session()).then_some(session)
    }
}

fn work_outcome(view: &JobView) -> WorkOutcome {
    match (view.stage, &view.end) {
        (_, Some(end)) => end.outcome,
        (JobStage::Waiting, None) if view.attempts == 0 => WorkOutcome::NotRun,
        _ => WorkOutcome::Unknown,
    }
}

fn parse_priority(headers: &HeaderMap) -> Result<WorkPriority> {
    let Some(value) = headers.get("x-figloft-priority") else {
        return Ok(WorkPriority::default());
    };
    let priority = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    priority.ok_or_else(|| {
        let message = "x-figloft-priority must be urgent, bench or overnight";
        Error::new(ErrorKind::BadRequest, message)
    })
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Error::new(ErrorKind::BadRequest, format!("body: {e}")))
}

fn json_response(status: StatusCode, outcome: WorkOutcome, body: &impl Serialize) -> Result<JobResponse> {
    let body = serde_json::to_vec(body);
    let body = body.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    Ok(JobResponse {
        status,
        outcome,
        body,
    })
}
