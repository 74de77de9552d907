//! The jobs of this session: takes jobs in, decides what starts, and follows tasks to their end. It has no
//! input or output; the runner carries its actions out and reports the answers.

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

/// Time for which the end of a job can be asked for.
const KEEP_ENDED: Duration = Duration::from_mins(10);

/// Team of jobs handed in without a key on open queues. Without a record it has no limit.
pub const OPEN_TEAM: &str = "open";

/// Times of one step.
#[derive(Debug, Clone, Copy)]
pub struct StepTime {
    /// Monotonic time.
    pub now: Instant,
    /// Wall time, for records.
    pub wall_time: UnixMillis,
}

/// What a landing event stands for.
#[derive(Debug)]
pub(crate) enum PendingEvent {
    Submission(QueuedJob),
    Start(JobId),
    Adoption,
}

/// What happened to submissions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchReport {
    /// Submissions that are durable.
    pub landed: Vec<EventId>,
    /// Submissions that were not taken in.
    pub refused: Vec<EventId>,
}

/// Times of the calls to a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PollTimes {
    pub(crate) is_polled: bool,
    pub(crate) usage_at: Option<Instant>,
}

/// Room that is being made for an urgent job.
#[derive(Debug, Clone)]
pub(crate) struct UrgentRoom {
    pub(crate) instance: InstanceId,
    pub(crate) since: Instant,
}

/// The jobs of one session.
#[derive(Debug)]
pub struct JobScheduler {
    pub(crate) session: SessionId,
    pub(crate) queue: JobQueue,
    pub(crate) board: PlacementTable,
    pub(crate) blame: FailureTracker,
    pub(crate) sizes: SizeModel,
    pub(crate) log: JobLog,
    pub(crate) counter: TeamCounter,
    pub(crate) tasks: BTreeMap<JobId, JobTask>,
    pub(crate) landing: BTreeMap<EventId, PendingEvent>,
    pub(crate) delayed: BTreeSet<(Instant, JobId)>,
    pub(crate) delayed_jobs: BTreeMap<JobId, (Instant, QueuedJob)>,
    pub(crate) stops: BTreeSet<JobId>,
    pub(crate) checkpoints: BTreeSet<JobId>,
    pub(crate) urgent: BTreeMap<JobId, UrgentRoom>,
    pub(crate) synced: BTreeMap<PoolId, Instant>,
    /// Jobs of this session's tasks by instance.
    pub(crate) jobs_on: BTreeMap<InstanceId, BTreeSet<JobId>>,
    pub(crate) ready: BTreeSet<JobId>,
    pub(crate) adopted: BTreeSet<JobId>,
    pub(crate) polls: BTreeMap<InstanceId, PollTimes>,
    pub(crate) poll_order: BTreeSet<(Instant, InstanceId)>,
    pub(crate) targets: BTreeMap<InstanceId, WorkerTarget>,
    pub(crate) pending: Vec<JobAction>,
    pub(crate) swept_at: Option<Instant>,
    ended: BTreeMap<JobId, JobView>,
    ended_order: VecDeque<(Instant, JobId)>,
    pub(crate) revision: Option<Revision>,
    pub(crate) pools: BTreeSet<PoolId>,
    pub(crate) seen: MemberTracker,
    pub(crate) rejected_count: usize,
    sequence: u64,
}

impl JobScheduler {
    /// Creates the scheduler of a session. `salt` differs between sessions.
    pub fn new(session: SessionId, counter: TeamCounter, salt: u64) -> Self {
        Self {
            queue: JobQueue::new(),
            board: PlacementTable::new().with_salt(salt),
            blame: FailureTracker::new(),
            sizes: SizeModel::new(),
            log: JobLog::new(session.clone()),
            session,
            counter,
            tasks: BTreeMap::new(),
            landing: BTreeMap::new(),
            delayed: BTreeSet::new(),
            delayed_jobs: BTreeMap::new(),
            stops: BTreeSet::new(),
            checkpoints: BTreeSet::new(),
            urgent: BTreeMap::new(),
            synced: BTreeMap::new(),
            jobs_on: BTreeMap::new(),
            ready: BTreeSet::new(),
            adopted: BTreeSet::new(),
            polls: BTreeMap::new(),
            poll_order: BTreeSet::new(),
            targets: BTreeMap::new(),
            pending: Vec::new(),
            swept_at: None,
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
            revision: None,
            pools: BTreeSet::new(),
            seen: MemberTracker::default(),
            rejected_count: 0,
            sequence: 0,
        }
    }

    /// Draws the id of a new job. It starts with the session's name, so that other sessions know whom to ask.
    ///
    /// # Errors
    /// `bad_request` if the session's name is too long.
    pub fn next_id(&mut self) -> Result<JobId> {
        self.sequence += 1;
        JobId::new(format!("{}-{}", self.session, self.sequence))
    }

    /// Takes a job in. It counts as submitted once the ticket is reported as landed.
    ///
    /// # Errors
    /// `queue_full`, `overloaded`, `conflict` or `too_large`; in each case the job will not run.
    pub fn submit(&mut self, time: StepTime, submission: JobSubmission, max_waiting: u32) -> Result<EventId> {
        let job = queued_job(time, LiveJob::new(submission.clone()));
        let landing = self.landing.len() as u32;
        self.queue
            .check(time.now, &job, max_waiting.saturating_sub(landing))?;
        let ticket = self.log.push(JobEvent::Submitted(submission))?;
        self.landing.insert(ticket, PendingEvent::Submission(job));
        Ok(ticket)
    }

    /// A job as callers see it.
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        if let Some(view) = self.ended.get(job) {
            return Some(view.clone());
        }
        if let Some(task) = self.tasks.get(job) {
            return Some(view_of(&task.job, JobStage::Running));
        }
        let delayed = self.delayed_jobs.get(job).map(|(_, job)| job);
        let waiting = self.queue.get(job).or(delayed);
        waiting.map(|job| view_of(job, JobStage::Waiting))
    }

    /// Cancels a job: a waiting one ends at once, a running one is stopped.
    ///
    /// # Errors
    /// `not_found` if the job is not known here.
    pub fn cancel(&mut self, time: StepTime, job: &JobId) -> Result<JobView> {
        if let Some(task) = self.tasks.get_mut(job) {
            task.is_cancelled = true;
            if matches!(task.phase, TaskPhase::Running | TaskPhase::Starting) {
                self.stops.insert(job.clone());
            }
        } else if let Some(waiting) = self.take_waiting(job) {
            self.finish(time, &waiting, WorkOutcome::NotRun, false, "cancelled");
        }
        let view = self.view(job);
        view.ok_or_else(|| Error::new(ErrorKind::NotFound, format!("job {job} is not known")))
    }

    fn give_up_room(&mut self, job: &JobId) {
        if let Some(room) = self.urgent.remove(job) {
            self.board.release_reservation(job, &room.instance);
        }
    }

    pub(crate) fn take_waiting(&mut self, job: &JobId) -> Option<QueuedJob> {
        self.give_up_room(job);
        if let Some(delayed) = self.delayed_jobs.remove(job) {
            let (at, job) = delayed;
            self.delayed.remove(&(at, job.id.clone()));
            return Some(job);
        }
        self.queue.remove(job)
    }

    /// Sets what each team has running in other sessions and is entitled to, in slots.
    pub fn set_shares(&mut self, shares: &BTreeMap<TeamId, (u64, f64)>) {
        for (team, (remote, entitled)) in shares {
            self.queue.set_team(team, *remote, *entitled);
        }
    }

    /// Sets the number of sessions of the fleet, which share the store's writes.
    pub fn set_session_count(&mut self, sessions: u32) {
        self.log.set_session_count(sessions);
    }

    /// The queue, for demand reports and limits.
    pub fn queue(&mut self) -> &mut JobQueue {
        &mut self.queue
    }

    /// Tasks of this session that run or may run.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Whether another session has taken this session's jobs over.
    pub fn is_closed(&self) -> bool {
        self.log.is_closed()
    }

    /// Writes the live jobs of an ended session to the own log.
    ///
    /// # Errors
    /// `too_large` if a job does not fit into a batch; `draining` if the own log was taken over.
    pub fn log_adopted_jobs(&mut self, jobs: &[LiveJob]) -> Result<Vec<EventId>> {
        let mut tickets = Vec::new();
        for event in jobs.iter().flat_map(LiveJob::events) {
            let ticket = self.log.push(event)?;
            self.landing.insert(ticket, PendingEvent::Adoption);
            tickets.push(ticket);
        }
        Ok(tickets)
    }

    /// Takes the live jobs of an ended session in, after they landed in the own log.
    pub fn adopt(&mut self, time: StepTime, jobs: Vec<LiveJob>) {
        for live in jobs {
            if self.view(&live.submission.job).is_some() {
                continue;
            }
            let started = live.started.clone();
            let job = queued_job(time, live);
            match started {
                None => self.queue.push(job),
                Some(start) => self.follow(time, job, start.instance),
            }
        }
    }

    /// Follows a task that an ended session started, without renewing it.
    fn follow(&mut self, time: StepTime, job: QueuedJob, instance: InstanceId) {
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
            is_sure: true,
            is_cancelled: false,
            started_at: time.now,
            is_overdue: false,
        };
        self.adopted.insert(id.clone());
        self.add_task(time.now, id, task);
    }

    /// Follows a new task; its worker is polled from now on.
    pub(crate) fn add_task(&mut self, now: Instant, job: JobId, task: JobTask) {
        let instance = task.instance.clone();
        if !self.polls.contains_key(&instance) {
            self.polls.insert(instance.clone(), PollTimes::default());
            self.poll_order.insert((now, instance.clone()));
        }
        self.jobs_on.entry(instance).or_default().insert(job.clone());
        self.tasks.insert(job, task);
    }

    /// What happens next. `is_fresh` tells whether the configuration view is certainly recent.
    pub fn step(
        &mut self,
        time: StepTime,
        state: &FleetState,
        is_fresh: bool,
        nonce: WriteNonce,
    ) -> Vec<JobAction> {
        self.apply_state(time, state);
        for job in self.queue.expire(time.now) {
            self.give_up_room(&job.id);
            self.finish(time, &job, WorkOutcome::NotRun, false, "not started in time");
        }
        self.wake_delayed(time.now);
        let verdicts = self.blame.end_due_quarantines(time.now);
        self.apply_verdicts(verdicts);
        self.sweep_tasks(time, state);
        if !self.log.is_closed() {
            self.dispatch(time, state, is_fresh);
            if is_fresh {
                self.make_urgent_room(time, state);
            }
            self.start_ready(time, state, is_fresh);
        }
        self.stop_tasks();
        self.poll_workers(time.now, state, is_fresh);
        self.forget_ended(time.now);
        for action in self.log.step(time.now, nonce) {
            self.pending.push(match action {
                LogAction::Write { key, value } => JobAction::WriteBatch { key, value },
                LogAction::Delete { key } => JobAction::DeleteBatch { key },
            });
        }
        std::mem::take(&mut self.pending)
    }

    /// Takes the result of a batch write in.
    pub fn handle_batch_result(&mut self, result: BatchWriteResult) -> BatchReport {
        let LogProgress {
            written: landed,
            rejected: refused,
            ..
        } = self.log.handle_write_result(result);
        let mut report = BatchReport::default();
        for ticket in landed {
            match self.landing.remove(&ticket) {
                Some(PendingEvent::Submission(job)) => {
                    report.landed.push(ticket);
                    self.queue.push(job);
                }
                Some(PendingEvent::Start(job)) => self.start_landed(&job),
                Some(PendingEvent::Adoption) => report.landed.push(ticket),
                None => {}
            }
        }
        for ticket in refused {
            let event = self.landing.remove(&ticket);
            if let Some(PendingEvent::Submission(_) | PendingEvent::Adoption) = event {
                report.refused.push(ticket);
            }
        }
        report
    }

    fn wake_delayed(&mut self, now: Instant) {
        while let Some((at, job)) = self.delayed.first()
            && *at <= now
        {
            let entry = (*at, job.clone());
            self.delayed.remove(&entry);
            if let Some((_, job)) = self.delayed_jobs.remove(&entry.1) {
                self.queue.push_front(job);
            }
        }
    }

    /// Ends a job.
    pub(crate) fn finish(
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
        self.blame.forget_job(&job.id);
        let mut view = view_of(job, JobStage::Ended);
        view.end = Some(end.clone());
        // A closed log belongs to the adopter, which decides the job's end by itself.
        drop(self.log.push(JobEvent::Finished {
            job: job.id.clone(),
            end,
        }));
        self.ended.insert(job.id.clone(), view);
        self.ended_order.push_back((time.now, job.id.clone()));
    }

    fn forget_ended(&mut self, now: Instant) {
        while let Some((at, job)) = self.ended_order.front()
            && now.saturating_duration_since(*at) > KEEP_ENDED
        {
            self.ended.remove(job);
            self.ended_order.pop_front();
        }
    }
}

fn view_of(job: &QueuedJob, stage: JobStage) -> JobView {
    JobView {
        id: job.id.clone(),
        queue: job.queue.clone(),
        team: job.team.clone(),
        stage,
        attempts: job.attempts,
        end: None,
    }
}

/// The queued form of a job. Wall times of the submission become monotonic ones.
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
        avoided_workers: BTreeSet::new(),
    }
}
