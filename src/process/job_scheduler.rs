//! Schedules the jobs of this session: accepts jobs, decides which ones start, and tracks tasks until they
//! end. Performs no input or output: the runner carries out its actions and passes the results back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result, WorkOutcome};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{InstanceId, JobId, PoolId, Revision, SessionId, TeamId, WriteNonce};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;
use crate::policy::failure_tracker::FailureTracker;
use crate::policy::job_event::{JobEnd, JobEvent, JobSubmission, LiveJob};
use crate::policy::job_log::{BatchWriteResult, EventId, JobLog, LogAction, LogProgress};
use crate::policy::job_queue::{JobQueue, QueuedJob};
use crate::policy::placement::PlacementTable;
use crate::policy::size_model::SizeModel;
use crate::port::worker::client::WorkerTarget;
use crate::process::job_task::{JobAction, JobStage, JobTask, JobView, TaskPhase};
use crate::process::member_tracker::MemberTracker;
use crate::process::team_counter::TeamCounter;

/// Time for which a job that has ended can be looked up.
const ENDED_RETENTION: Duration = Duration::from_mins(10);

/// Team of jobs that were submitted without a key, to open queues. Unless a team record of this name exists,
/// it has no limit.
pub const OPEN_TEAM: &str = "open";

/// The current time on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct StepTime {
    /// Monotonic time, for intervals.
    pub now: Instant,
    /// Wall-clock time, for stored records.
    pub wall_time: UnixMillis,
}

/// What to do once an event has been written to the job log.
#[derive(Debug)]
pub(crate) enum EventPurpose {
    Submission(QueuedJob),
    Start(JobId),
    Adoption,
}

/// Outcome of a batch write for the submissions and adoptions in it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchReport {
    /// Events that are durable.
    pub written: Vec<EventId>,
    /// Events that were not written and never will be.
    pub rejected: Vec<EventId>,
}

/// Poll and usage call state of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PollStatus {
    /// Whether a poll has not been answered yet; the next one waits for it.
    pub(crate) is_in_flight: bool,
    pub(crate) usage_read_at: Option<Instant>,
}

/// Room on a worker that is reserved for an urgent job while tasks are preempted.
#[derive(Debug, Clone)]
pub(crate) struct RoomReservation {
    pub(crate) instance: InstanceId,
    pub(crate) since: Instant,
}

/// The jobs of one session.
#[derive(Debug)]
pub struct JobScheduler {
    pub(crate) session: SessionId,
    pub(crate) queue: JobQueue,
    pub(crate) placement: PlacementTable,
    pub(crate) failures: FailureTracker,
    pub(crate) sizes: SizeModel,
    pub(crate) log: JobLog,
    pub(crate) counter: TeamCounter,
    pub(crate) tasks: BTreeMap<JobId, JobTask>,
    pub(crate) pending_events: BTreeMap<EventId, EventPurpose>,
    /// Entries of `delayed_jobs` by the time at which they return to the queue.
    pub(crate) delay_order: BTreeSet<(Instant, JobId)>,
    pub(crate) delayed_jobs: BTreeMap<JobId, (Instant, QueuedJob)>,
    pub(crate) pending_stops: BTreeSet<JobId>,
    pub(crate) pending_checkpoints: BTreeSet<JobId>,
    pub(crate) reservations: BTreeMap<JobId, RoomReservation>,
    /// When the tasks of other sessions on workers of a pool were last requested.
    pub(crate) synced_at: BTreeMap<PoolId, Instant>,
    /// Jobs of `tasks` by instance.
    pub(crate) jobs_by_instance: BTreeMap<InstanceId, BTreeSet<JobId>>,
    pub(crate) ready_jobs: BTreeSet<JobId>,
    pub(crate) adopted_jobs: BTreeSet<JobId>,
    pub(crate) polls: BTreeMap<InstanceId, PollStatus>,
    /// Workers by the time of their next poll.
    pub(crate) poll_order: BTreeSet<(Instant, InstanceId)>,
    pub(crate) targets: BTreeMap<InstanceId, WorkerTarget>,
    pub(crate) pending_actions: Vec<JobAction>,
    pub(crate) swept_at: Option<Instant>,
    ended_jobs: BTreeMap<JobId, JobView>,
    ended_order: VecDeque<(Instant, JobId)>,
    pub(crate) revision: Option<Revision>,
    pub(crate) pools: BTreeSet<PoolId>,
    pub(crate) members: MemberTracker,
    /// Number of rejected jobs in the latest configuration; a change tells that waiting jobs must be checked.
    pub(crate) rejected_count: usize,
    /// Number of the latest job id.
    sequence: u64,
}

impl JobScheduler {
    /// Creates the scheduler of a session. `salt` must differ between sessions, so that they prefer different
    /// workers.
    pub fn new(session: SessionId, counter: TeamCounter, salt: u64) -> Self {
        Self {
            queue: JobQueue::new(),
            placement: PlacementTable::new().with_salt(salt),
            failures: FailureTracker::new(),
            sizes: SizeModel::new(),
            log: JobLog::new(session.clone()),
            session,
            counter,
            tasks: BTreeMap::new(),
            pending_events: BTreeMap::new(),
            delay_order: BTreeSet::new(),
            delayed_jobs: BTreeMap::new(),
            pending_stops: BTreeSet::new(),
            pending_checkpoints: BTreeSet::new(),
            reservations: BTreeMap::new(),
            synced_at: BTreeMap::new(),
            jobs_by_instance: BTreeMap::new(),
            ready_jobs: BTreeSet::new(),
            adopted_jobs: BTreeSet::new(),
            polls: BTreeMap::new(),
            poll_order: BTreeSet::new(),
            targets: BTreeMap::new(),
            pending_actions: Vec::new(),
            swept_at: None,
            ended_jobs: BTreeMap::new(),
            ended_order: VecDeque::new(),
            revision: None,
            pools: BTreeSet::new(),
            members: MemberTracker::default(),
            rejected_count: 0,
            sequence: 0,
        }
    }

    /// Allocates the id of a new job. It starts with the session's name, which tells other sessions where to
    /// ask about the job.
    ///
    /// # Errors
    /// `bad_request` if the session's name is too long.
    pub fn next_id(&mut self) -> Result<JobId> {
        self.sequence += 1;
        JobId::new(format!("{}-{}", self.session, self.sequence))
    }

    /// Accepts a job. It is submitted once a [`BatchReport`] lists the returned event as written.
    ///
    /// # Errors
    /// `queue_full`, `overloaded`, `conflict` or `too_large`; in each case the job will not run.
    pub fn submit(&mut self, time: StepTime, submission: JobSubmission, max_waiting: u32) -> Result<EventId> {
        let job = queued_job(time, LiveJob::new(submission.clone()));
        let pending = self.pending_events.len() as u32;
        self.queue
            .check(time.now, &job, max_waiting.saturating_sub(pending))?;
        let event_id = self.log.push(JobEvent::Submitted(submission))?;
        self.pending_events
            .insert(event_id, EventPurpose::Submission(job));
        Ok(event_id)
    }

    /// Looks up a job that this session runs, or that ended recently.
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        if let Some(view) = self.ended_jobs.get(job) {
            return Some(view.clone());
        }
        if let Some(task) = self.tasks.get(job) {
            return Some(job_view(&task.job, JobStage::Running));
        }
        let delayed = self.delayed_jobs.get(job).map(|(_, job)| job);
        let waiting = self.queue.get(job).or(delayed);
        waiting.map(|job| job_view(job, JobStage::Waiting))
    }

    /// Cancels a job. A waiting job ends at once; a running one is stopped.
    ///
    /// # Errors
    /// `not_found` if this session does not have the job.
    pub fn cancel(&mut self, time: StepTime, job: &JobId) -> Result<JobView> {
        if let Some(task) = self.tasks.get_mut(job) {
            task.is_cancelled = true;
            if matches!(task.phase, TaskPhase::Running | TaskPhase::Starting) {
                self.pending_stops.insert(job.clone());
            }
        } else if let Some(waiting) = self.take_waiting(job) {
            self.finish_job(time, &waiting, WorkOutcome::NotRun, false, "cancelled");
        }
        let view = self.view(job);
        view.ok_or_else(|| Error::new(ErrorKind::NotFound, format!("job {job} is not known")))
    }

    fn cancel_reservation(&mut self, job: &JobId) {
        if let Some(room) = self.reservations.remove(job) {
            self.placement.release_reservation(job, &room.instance);
        }
    }

    pub(crate) fn take_waiting(&mut self, job: &JobId) -> Option<QueuedJob> {
        self.cancel_reservation(job);
        if let Some(delayed) = self.delayed_jobs.remove(job) {
            let (at, job) = delayed;
            self.delay_order.remove(&(at, job.id.clone()));
            return Some(job);
        }
        self.queue.remove(job)
    }

    /// Sets, for each team, the slots it uses in other sessions and its entitlement in the fleet.
    pub fn set_shares(&mut self, shares: &BTreeMap<TeamId, (u64, f64)>) {
        for (team, (remote, entitled)) in shares {
            self.queue.set_team(team, *remote, *entitled);
        }
    }

    /// Sets the number of sessions in the fleet, which share the write rate of the store.
    pub fn set_session_count(&mut self, sessions: u32) {
        self.log.set_session_count(sessions);
    }

    /// Gives access to the queue, for demand reports and limits.
    pub fn queue(&mut self) -> &mut JobQueue {
        &mut self.queue
    }

    /// Tasks that are running, may be running or are about to start.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Whether another session has taken over this session's jobs.
    pub fn is_closed(&self) -> bool {
        self.log.is_closed()
    }

    /// Appends the unfinished jobs of an ended session to this session's log.
    ///
    /// # Errors
    /// `too_large` if a job does not fit into a batch; `draining` if this session's log was taken over.
    pub fn log_adopted_jobs(&mut self, jobs: &[LiveJob]) -> Result<Vec<EventId>> {
        let mut event_ids = Vec::new();
        for event in jobs.iter().flat_map(LiveJob::events) {
            let event_id = self.log.push(event)?;
            self.pending_events.insert(event_id, EventPurpose::Adoption);
            event_ids.push(event_id);
        }
        Ok(event_ids)
    }

    /// Adopts the unfinished jobs of an ended session, after they were written to this session's log.
    pub fn adopt(&mut self, time: StepTime, jobs: Vec<LiveJob>) {
        for live in jobs {
            if self.view(&live.submission.job).is_some() {
                continue;
            }
            let started = live.started.clone();
            let job = queued_job(time, live);
            match started {
                None => self.queue.push(job),
                Some(start) => self.track_adopted_task(time, job, start.instance),
            }
        }
    }

    /// Tracks a task that an ended session started, without renewing its lease.
    fn track_adopted_task(&mut self, time: StepTime, job: QueuedJob, instance: InstanceId) {
        let id = job.id.clone();
        let task = JobTask {
            size: job.declared,
            used: ResourceSet::default(),
            job,
            instance,
            permit: None,
            phase: TaskPhase::Adopted,
            last_renewal: time.now,
            last_confirmed: time.now,
            is_start_confirmed: true,
            is_cancelled: false,
            started_at: time.now,
            is_overdue: false,
        };
        self.adopted_jobs.insert(id.clone());
        self.add_task(time.now, id, task);
    }

    /// Tracks a new task. Its worker is polled from now on.
    pub(crate) fn add_task(&mut self, now: Instant, job: JobId, task: JobTask) {
        let instance = task.instance.clone();
        if !self.polls.contains_key(&instance) {
            self.polls.insert(instance.clone(), PollStatus::default());
            self.poll_order.insert((now, instance.clone()));
        }
        self.jobs_by_instance
            .entry(instance)
            .or_default()
            .insert(job.clone());
        self.tasks.insert(job, task);
    }

    /// Performs one step and returns the actions to carry out. `is_fresh` tells whether the configuration
    /// view is certainly recent; `nonce` identifies a batch write of this step.
    pub fn step(
        &mut self,
        time: StepTime,
        state: &FleetState,
        is_fresh: bool,
        nonce: WriteNonce,
    ) -> Vec<JobAction> {
        self.apply_state(time, state);
        for job in self.queue.expire(time.now) {
            self.cancel_reservation(&job.id);
            self.finish_job(time, &job, WorkOutcome::NotRun, false, "not started in time");
        }
        self.requeue_delayed(time.now);
        let verdicts = self.failures.end_due_quarantines(time.now);
        self.apply_verdicts(verdicts);
        self.sweep_tasks(time, state);
        if !self.log.is_closed() {
            self.dispatch(time, state, is_fresh);
            if is_fresh {
                self.reserve_urgent_room(time, state);
            }
            self.start_ready(time, state, is_fresh);
        }
        self.send_stops();
        self.poll_workers(time.now, state, is_fresh);
        self.evict_ended(time.now);
        for action in self.log.step(time.now, nonce) {
            self.pending_actions.push(match action {
                LogAction::Write { key, value } => JobAction::WriteBatch { key, value },
                LogAction::Delete { key } => JobAction::DeleteBatch { key },
            });
        }
        std::mem::take(&mut self.pending_actions)
    }

    /// Processes the result of a batch write.
    pub fn handle_batch_result(&mut self, result: BatchWriteResult) -> BatchReport {
        let LogProgress {
            written, rejected, ..
        } = self.log.handle_write_result(result);
        let mut report = BatchReport::default();
        for event_id in written {
            match self.pending_events.remove(&event_id) {
                Some(EventPurpose::Submission(job)) => {
                    report.written.push(event_id);
                    self.queue.push(job);
                }
                Some(EventPurpose::Start(job)) => self.handle_start_written(&job),
                Some(EventPurpose::Adoption) => report.written.push(event_id),
                None => {}
            }
        }
        for event_id in rejected {
            let event = self.pending_events.remove(&event_id);
            if let Some(EventPurpose::Submission(_) | EventPurpose::Adoption) = event {
                report.rejected.push(event_id);
            }
        }
        report
    }

    fn requeue_delayed(&mut self, now: Instant) {
        while let Some((at, job)) = self.delay_order.first()
            && *at <= now
        {
            let entry = (*at, job.clone());
            self.delay_order.remove(&entry);
            if let Some((_, job)) = self.delayed_jobs.remove(&entry.1) {
                self.queue.push_front(job);
            }
        }
    }

    /// Records the end of a job that is no longer in the queue and has no task.
    pub(crate) fn finish_job(
        &mut self,
        time: StepTime,
        job: &QueuedJob,
        outcome: WorkOutcome,
        succeeded: bool,
        reason: &str,
    ) {
        let end = JobEnd {
            outcome,
            succeeded,
            reason: Arc::from(reason),
            at: time.wall_time,
        };
        self.failures.forget_job(&job.id);
        let mut view = job_view(job, JobStage::Ended);
        view.end = Some(end.clone());
        // A closed log belongs to the adopting session, which determines the end of the job itself.
        drop(self.log.push(JobEvent::Finished {
            job: job.id.clone(),
            end,
        }));
        self.ended_jobs.insert(job.id.clone(), view);
        self.ended_order.push_back((time.now, job.id.clone()));
    }

    fn evict_ended(&mut self, now: Instant) {
        while let Some((at, job)) = self.ended_order.front()
            && now.saturating_duration_since(*at) > ENDED_RETENTION
        {
            self.ended_jobs.remove(job);
            self.ended_order.pop_front();
        }
    }
}

fn job_view(job: &QueuedJob, stage: JobStage) -> JobView {
    JobView {
        id: job.id.clone(),
        queue: job.queue.clone(),
        team: job.team.clone(),
        stage,
        attempts: job.attempts,
        end: None,
    }
}

/// Converts a job from the log to its form in the queue, with wall-clock times as monotonic ones.
fn queued_job(time: StepTime, live: LiveJob) -> QueuedJob {
    let submission = live.submission;
    let waited = time.wall_time.get().saturating_sub(submission.submitted_at.get());
    let start_by = submission.start_by.map(|at| {
        let left = at.get().saturating_sub(time.wall_time.get());
        time.now + Duration::from_millis(left)
    });
    QueuedJob {
        id: submission.job,
        queue: submission.queue,
        team: submission.team,
        pool: submission.pool,
        priority: submission.priority,
        declared: submission.declared,
        repeatable: submission.repeatable,
        lease: Duration::from_millis(submission.lease_ms),
        payload: submission.payload,
        submitted_at: time
            .now
            .checked_sub(Duration::from_millis(waited))
            .unwrap_or(time.now),
        start_by,
        attempts: live.attempts,
        checkpoint: live.checkpoint,
        early_losses: live.early_losses,
        avoided_workers: BTreeSet::new(),
    }
}
