//! Tracks tasks: polls workers, handles their answers, and ends tasks whose lease expired without an answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::{ErrorKind, Result, WorkOutcome};
use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::model::id::{InstanceId, JobId, TeamId};
use crate::policy::failure_tracker::JobVerdict;
use crate::policy::job_event::JobEvent;
use crate::policy::worker_allocation::PlacedTask;
use crate::port::worker::call::{WorkerAnswer, WorkerCall};
use crate::port::worker::task::{TaskOutcome, TaskRecord, UsageReport};
use crate::process::job_dispatch::StartPermission;
use crate::process::job_scheduler::{JobScheduler, StepTime};
use crate::process::job_task::{CallReason, JobAction, JobTask, TaskPhase};

/// Shortest interval between two polls of a worker that runs tasks of this session. It bounds the delay until
/// the end of a task is noticed.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest interval between two polls of a worker; less than half of the shortest lease.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls per second above which the interval grows, so that polling stays cheap on large fleets.
const POLLS_PER_SECOND: u32 = 200;

/// Interval between two readings of a worker's usage. Shorter is no use: the reports lag by seconds.
const USAGE_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between two checks of all tasks. Stops of overdue tasks are repeated at this interval.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before another attempt of a job whose worker refused it or was lost.
const REQUEUE_DELAY: Duration = Duration::from_millis(100);

/// Run time below which an attempt that is lost with its worker counts against the job.
const EARLY_LOSS_TIME: Duration = Duration::from_mins(1);

/// Early losses after which a job ends.
const MAX_EARLY_LOSSES: u32 = 5;

impl JobScheduler {
    /// Polls workers that run tasks of this session. Leases are renewed only while the view is fresh, because
    /// the allowance of an unreachable session goes to other sessions once the leases of its tasks have
    /// expired.
    pub(crate) fn poll_workers(&mut self, now: Instant, state: &FleetState, is_fresh: bool) {
        self.activate_adopted(state, is_fresh);
        while let Some((at, instance)) = self.poll_order.first()
            && *at <= now
        {
            let entry = (*at, instance.clone());
            self.poll_order.remove(&entry);
            let (_, instance) = entry;
            if !self.jobs_by_instance.contains_key(&instance) {
                self.polls.remove(&instance);
                continue;
            }
            self.poll_worker(now, &instance, is_fresh);
            let next = now + self.poll_interval();
            self.poll_order.insert((next, instance));
        }
    }

    /// Interval between two polls of the same worker. It grows with the number of polled workers.
    fn poll_interval(&self) -> Duration {
        let spread = Duration::from_secs(1) * self.polls.len() as u32 / POLLS_PER_SECOND;
        spread.clamp(POLL_INTERVAL, MAX_POLL_INTERVAL)
    }

    /// Returns the jobs on a worker whose leases are to be renewed, and those whose state is only read.
    fn jobs_to_poll(&self, now: Instant, instance: &InstanceId, is_fresh: bool) -> [BTreeSet<JobId>; 2] {
        let (mut renewed, mut read) = (BTreeSet::new(), BTreeSet::new());
        for job in self.jobs_by_instance.get(instance).into_iter().flatten() {
            let Some(task) = self.tasks.get(job) else {
                continue;
            };
            let may_run = matches!(task.phase, TaskPhase::Running | TaskPhase::Adopted);
            if may_run && task.should_renew(now) && (is_fresh || task.permit.is_none()) {
                renewed.insert(job.clone());
            } else if may_run {
                read.insert(job.clone());
            }
        }
        [renewed, read]
    }

    /// Lets adopted tasks that fit this session's allowance run on: their leases are renewed from now on.
    fn activate_adopted(&mut self, state: &FleetState, is_fresh: bool) {
        let adopted = self
            .tasks
            .iter()
            .filter(|(_, task)| task.phase == TaskPhase::Adopted);
        let adopted: Vec<(JobId, TeamId)> = adopted
            .map(|(job, task)| (job.clone(), task.job.team.clone()))
            .collect();
        for (job, team) in adopted {
            let permit = match self.start_permission(state, &team, is_fresh) {
                StartPermission::Blocked => continue,
                StartPermission::Unlimited => None,
                StartPermission::Permit(permit) => Some(permit),
            };
            if let Some(task) = self.tasks.get_mut(&job) {
                task.permit = permit;
                task.phase = TaskPhase::Running;
            }
            self.adopted_jobs.remove(&job);
        }
    }

    fn poll_worker(&mut self, now: Instant, instance: &InstanceId, is_fresh: bool) {
        let [renewed, read] = self.jobs_to_poll(now, instance, is_fresh);
        let (Some(target), Some(status)) = (self.targets.get(instance), self.polls.get_mut(instance)) else {
            return;
        };
        let mut calls = Vec::new();
        if !status.is_in_flight {
            for job in &renewed {
                if let Some(task) = self.tasks.get_mut(job) {
                    task.last_renewal = now;
                }
            }
            calls.push(WorkerCall::Renew { jobs: renewed });
            calls.push(WorkerCall::History { jobs: read });
            calls.retain(|call| !call.jobs().is_empty());
            status.is_in_flight = !calls.is_empty();
        }
        let is_due = |at: Instant| now.saturating_duration_since(at) >= USAGE_INTERVAL;
        if status.usage_read_at.is_none_or(is_due) {
            status.usage_read_at = Some(now);
            calls.push(WorkerCall::Usage);
        }
        for call in calls {
            let reason = match call {
                WorkerCall::Usage => CallReason::Usage(instance.clone()),
                _ => CallReason::Poll(instance.clone()),
            };
            let target = target.clone();
            self.pending_actions
                .push(JobAction::Call { target, call, reason });
        }
    }

    /// Handles the answer of a worker to the call `sent`.
    pub fn handle_answer(
        &mut self,
        time: StepTime,
        reason: CallReason,
        sent: &WorkerCall,
        answer: Result<WorkerAnswer>,
    ) {
        match (reason, answer) {
            (CallReason::Start(job), answer) => self.handle_start_answer(time, &job, answer),
            (CallReason::Poll(instance), answer) => self.handle_poll_answer(time, &instance, sent, answer),
            (CallReason::Stop(_), Ok(WorkerAnswer::Tasks(records))) => {
                for record in records {
                    self.handle_record(time, &record);
                }
            }
            (CallReason::Usage(_), Ok(WorkerAnswer::Usage(report))) => self.handle_usage(&report),
            (CallReason::ListRunning(instance), Ok(WorkerAnswer::Tasks(records))) => {
                self.handle_running_tasks(time, &instance, records);
            }
            // A failed stop or reading is repeated if it is still needed.
            _ => {}
        }
    }

    fn handle_start_answer(&mut self, time: StepTime, job: &JobId, answer: Result<WorkerAnswer>) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        task.phase = TaskPhase::Running;
        task.last_renewal = time.now;
        match answer {
            Ok(_) => {
                task.is_start_confirmed = true;
                task.last_confirmed = time.now;
            }
            Err(error) if error.kind() == ErrorKind::WorkerRefused => {
                let instance = task.instance.clone();
                self.placement.record_no_room(time.now, &instance);
                self.requeue(time, job, false);
            }
            // The task may have started; the next poll tells.
            Err(_) => {}
        }
        if self.tasks.get(job).is_some_and(|task| task.is_cancelled) {
            self.pending_stops.insert(job.clone());
        }
    }

    fn handle_poll_answer(
        &mut self,
        time: StepTime,
        instance: &InstanceId,
        sent: &WorkerCall,
        answer: Result<WorkerAnswer>,
    ) {
        if let Some(status) = self.polls.get_mut(instance) {
            status.is_in_flight = false;
        }
        let jobs = sent.jobs();
        for job in jobs.iter().filter(|_| matches!(sent, WorkerCall::Renew { .. })) {
            if let Some(task) = self.tasks.get_mut(job) {
                task.last_renewal = time.now;
            }
        }
        let Ok(WorkerAnswer::Tasks(records)) = answer else {
            return;
        };
        let known: BTreeSet<&JobId> = records.iter().map(|record| &record.job).collect();
        for job in jobs.iter().filter(|job| !known.contains(job)) {
            self.handle_missing_record(time, job, instance);
        }
        for record in &records {
            self.handle_record(time, record);
        }
    }

    /// Handles that a worker has no record of a job that it was asked to start. If the start was not
    /// confirmed and the job is repeatable, it is requeued. The start of any other job may still arrive, so
    /// it waits for [`JobTask::latest_end`].
    fn handle_missing_record(&mut self, time: StepTime, job: &JobId, instance: &InstanceId) {
        let task = self.tasks.get(job);
        let is_start_unconfirmed =
            task.is_some_and(|task| !task.is_start_confirmed && task.instance == *instance);
        if is_start_unconfirmed && task.is_some_and(|task| task.job.repeatable) {
            self.requeue(time, job, false);
        }
    }

    fn handle_record(&mut self, time: StepTime, record: &TaskRecord) {
        let Some(task) = self.tasks.get_mut(&record.job) else {
            if self.placement.location(&record.job) == Some(&record.instance) && record.end.is_some() {
                self.placement.remove_task(&record.job);
            }
            return;
        };
        if task.job.attempts != record.attempt || task.instance != record.instance {
            return;
        }
        task.is_start_confirmed = true;
        match &record.end {
            None => task.last_confirmed = time.now,
            Some(end) => {
                let outcome = end.outcome.clone();
                self.handle_task_end(time, &record.job, outcome);
            }
        }
    }

    fn handle_task_end(&mut self, time: StepTime, job: &JobId, outcome: TaskOutcome) {
        let Some(task) = self.tasks.get(job) else {
            return;
        };
        let may_repeat = task.job.repeatable && !task.is_cancelled;
        let is_overdue = task.is_overdue && !task.is_cancelled;
        match outcome {
            TaskOutcome::Stopped | TaskOutcome::LeaseExpired if is_overdue => {
                self.handle_failure(time, job, &Arc::from("the task ran too long"));
            }
            TaskOutcome::Succeeded => self.handle_success(time, job),
            TaskOutcome::Failed { reason } => self.handle_failure(time, job, &reason),
            TaskOutcome::Checkpointed { checkpoint } if !task.is_cancelled => {
                if let Some(task) = self.tasks.get_mut(job) {
                    task.job.checkpoint = Some(checkpoint);
                }
                self.requeue(time, job, true);
            }
            TaskOutcome::Interrupted if may_repeat => self.requeue_lost(time, job),
            _ if may_repeat => self.requeue(time, job, true),
            TaskOutcome::Stopped | TaskOutcome::Checkpointed { .. } => {
                self.end_task(time, job, WorkOutcome::Ran, false, "cancelled while it ran");
            }
            TaskOutcome::LeaseExpired | TaskOutcome::Interrupted => {
                let reason = format!("{outcome}; the job is not repeatable");
                self.end_task(time, job, WorkOutcome::Unknown, false, &reason);
            }
        }
    }

    fn handle_success(&mut self, time: StepTime, job: &JobId) {
        let task = &self.tasks[job];
        let (instance, pool) = (task.instance.clone(), task.job.pool.clone());
        let run_time = time.now.saturating_duration_since(task.started_at);
        self.sizes
            .record_run_time(&task.job.queue, &task.job.team, run_time);
        if task.used.memory.get() > 0 {
            self.sizes
                .record_usage(&task.job.queue, &task.job.team, &task.used);
        }
        self.placement.record_success(&instance);
        let verdicts = self.failures.record_success(time.now, &pool, &instance, job);
        self.apply_verdicts(verdicts);
        self.end_task(time, job, WorkOutcome::Ran, true, "");
    }

    fn handle_failure(&mut self, time: StepTime, job: &JobId, reason: &Arc<str>) {
        let task = &self.tasks[job];
        let instance = task.instance.clone();
        let (pool, team) = (task.job.pool.clone(), task.job.team.clone());
        let may_repeat = task.job.repeatable && !task.is_cancelled;
        self.placement.record_failure(time.now, &instance);
        let (verdict, verdicts) = self
            .failures
            .record_failure(time.now, &pool, &instance, job, &team);
        self.apply_verdicts(verdicts);
        match verdict {
            JobVerdict::Retry {
                delay,
                avoided_workers,
            } if may_repeat => {
                if let Some(task) = self.tasks.get_mut(job) {
                    task.job.avoided_workers = avoided_workers;
                }
                self.requeue_after(time, job, true, delay);
            }
            JobVerdict::Rejected { failed_on } => {
                let names: Vec<String> = failed_on.iter().map(ToString::to_string).collect();
                let message = format!(
                    "{reason}; it failed on {}, which run other jobs well",
                    names.join(", ")
                );
                self.pending_actions
                    .push(JobAction::Propose(EntryChange::RejectJob {
                        job: job.clone(),
                        failed_on,
                    }));
                self.end_task(time, job, WorkOutcome::Ran, false, &message);
            }
            JobVerdict::Exhausted { failed_on } => {
                let message = format!(
                    "{reason}; the job failed too often, on {} workers",
                    failed_on.len()
                );
                self.end_task(time, job, WorkOutcome::Ran, false, &message);
            }
            JobVerdict::Retry { .. } => self.end_task(time, job, WorkOutcome::Ran, false, reason),
        }
    }

    fn handle_usage(&mut self, report: &UsageReport) {
        for usage in &report.tasks {
            self.placement.raise_commitment(&usage.job, &usage.used);
            if let Some(task) = self.tasks.get_mut(&usage.job) {
                task.used.cores = task.used.cores.max(usage.used.cores);
                task.used.memory = task.used.memory.max(usage.used.memory);
            }
        }
        self.pending_checkpoints
            .extend(self.placement.tasks_over_memory(&report.instance));
    }

    fn handle_running_tasks(&mut self, time: StepTime, instance: &InstanceId, records: Vec<TaskRecord>) {
        let remote = records
            .into_iter()
            .filter(|record| record.session != self.session);
        let placed = remote.map(|record| PlacedTask {
            job: record.job,
            team: record.team,
            priority: record.priority,
            repeatable: record.repeatable,
            is_remote: true,
            committed: record.resources,
            started_at: time.now,
        });
        let placed = placed.collect();
        self.placement.sync_remote_tasks(instance, placed);
    }

    /// Ends tasks whose lease expired, and stops those that run too long.
    pub(crate) fn sweep_tasks(&mut self, time: StepTime, state: &FleetState) {
        let last = self.swept_at;
        if last.is_some_and(|last| time.now.saturating_duration_since(last) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(time.now);
        self.expire_tasks(time);
        let running = self
            .tasks
            .iter()
            .filter(|(_, task)| task.phase == TaskPhase::Running);
        let overdue = running.filter(|(_, task)| self.is_overdue(time, state, task));
        let overdue: Vec<JobId> = overdue.map(|(job, _)| job.clone()).collect();
        for job in overdue {
            if let Some(task) = self.tasks.get_mut(&job) {
                task.is_overdue = true;
            }
            self.pending_stops.insert(job);
        }
    }

    /// Whether a task has run longer than its queue allows or, if it is repeatable, so long that it probably
    /// hangs.
    fn is_overdue(&self, time: StepTime, state: &FleetState, task: &JobTask) -> bool {
        let run_time = time.now.saturating_duration_since(task.started_at);
        let queue = state.records.queues.get(&task.job.queue);
        let longest = queue
            .and_then(|queue| queue.max_run_ms)
            .map(Duration::from_millis);
        let hung_after = self.sizes.hung_after(&task.job.queue, &task.job.team);
        let hung_after = hung_after.filter(|_| task.job.repeatable);
        longest
            .into_iter()
            .chain(hung_after)
            .any(|limit| run_time > limit)
    }

    /// Ends or requeues tasks whose lease has certainly expired without an answer of their worker.
    fn expire_tasks(&mut self, time: StepTime) {
        let may_run = |task: &JobTask| matches!(task.phase, TaskPhase::Running | TaskPhase::Adopted);
        let lapsed = self
            .tasks
            .iter()
            .filter(|(_, task)| may_run(task) && task.latest_end() <= time.now);
        let lapsed: Vec<JobId> = lapsed.map(|(job, _)| job.clone()).collect();
        for job in lapsed {
            let task = &self.tasks[&job];
            if task.job.repeatable && !task.is_cancelled {
                let instance = task.instance.clone();
                self.placement.record_failure(time.now, &instance);
                self.requeue_lost(time, &job);
            } else {
                let reason = "the worker did not answer before the lease expired";
                self.end_task(time, &job, WorkOutcome::Unknown, false, reason);
            }
        }
    }

    /// Returns a job to the queue whose attempt was lost with its worker, or ends it if that happened too
    /// often soon after the start: the job may be the reason why workers crash.
    fn requeue_lost(&mut self, time: StepTime, job: &JobId) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        // The worker was lost some time before its lease expired.
        let run_time = task.last_confirmed.saturating_duration_since(task.started_at);
        if run_time < EARLY_LOSS_TIME {
            task.job.early_losses += 1;
        }
        let losses = task.job.early_losses;
        if losses >= MAX_EARLY_LOSSES {
            let reason = format!("{losses} attempts were lost with their workers soon after their start");
            self.end_task(time, job, WorkOutcome::Ran, false, &reason);
        } else {
            self.requeue(time, job, true);
        }
    }

    /// Returns a job to the queue. `was_started` tells whether the attempt may have started.
    pub(crate) fn requeue(&mut self, time: StepTime, job: &JobId, was_started: bool) {
        self.requeue_after(time, job, was_started, REQUEUE_DELAY);
    }

    fn requeue_after(&mut self, time: StepTime, job: &JobId, was_started: bool, delay: Duration) {
        let Some(task) = self.take_task(job) else {
            return;
        };
        if task.is_cancelled {
            let outcome = if was_started {
                WorkOutcome::Ran
            } else {
                WorkOutcome::NotRun
            };
            self.finish_job(time, &task.job, outcome, false, "cancelled");
            return;
        }
        let event = JobEvent::Requeued {
            job: job.clone(),
            attempts: task.job.attempts,
            checkpoint: task.job.checkpoint.clone(),
            early_losses: task.job.early_losses,
        };
        // A closed log belongs to the adopting session, which has the job too.
        if self.log.push(event).is_ok() {
            let at = time.now + delay;
            self.delay_order.insert((at, job.clone()));
            self.delayed_jobs.insert(job.clone(), (at, task.job));
        }
    }

    fn end_task(&mut self, time: StepTime, job: &JobId, outcome: WorkOutcome, succeeded: bool, reason: &str) {
        if let Some(task) = self.take_task(job) {
            self.finish_job(time, &task.job, outcome, succeeded, reason);
        }
    }

    fn take_task(&mut self, job: &JobId) -> Option<JobTask> {
        let mut task = self.tasks.remove(job)?;
        self.placement.remove_task(job);
        self.adopted_jobs.remove(job);
        if let Some(jobs) = self.jobs_by_instance.get_mut(&task.instance) {
            jobs.remove(job);
            if jobs.is_empty() {
                self.jobs_by_instance.remove(&task.instance);
            }
        }
        self.pending_stops.remove(job);
        task.permit = None;
        self.queue
            .set_running(&task.job.team, u64::from(self.counter.running(&task.job.team)));
        Some(task)
    }
}
