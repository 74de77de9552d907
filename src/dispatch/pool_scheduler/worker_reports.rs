//! Handles the reports of workers: ended runs, active runs of this and of previous leaders, and missing runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::command::RunId;
use crate::dispatch::job_record::JobState;
use crate::dispatch::job_state::{JobRun, TaskCopy};
use crate::dispatch::pool_scheduler::evacuation::WORKING_PERCENT;
use crate::dispatch::pool_scheduler::{MAX_MISSING_POLLS, PoolScheduler, request_stops, run_id};
use crate::dispatch::task_id::TaskId;
use crate::dispatch::worker_report::{ActiveRun, EndedRun, RunOutcome, WorkerReport};
use crate::dispatch::worker_state::{OutcomeLog, PlacedRun, RunPhase, StopRule};
use crate::model::id::{JobId, RunNumber, WorkerId};
use crate::model::unix_time::UnixMillis;

impl PoolScheduler {
    /// Handles the report that answers a poll sent at `sent_at`.
    pub fn handle_poll_report(
        &mut self,
        now: Instant,
        worker_id: &WorkerId,
        sent_at: Instant,
        report: WorkerReport,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.poll.sent_at = None;
        worker.poll.next_at = Some(now + self.poll_pace.interval());
        if report.incarnation.is_some() && report.incarnation < worker.incarnation {
            let is_outdated = worker.restart_seen_at.is_some_and(|seen_at| sent_at <= seen_at);
            let inputs = if is_outdated {
                "the report is of an earlier process and is ignored"
            } else {
                "the report seems to be of an earlier process, but answers a later poll and is used"
            };
            self.note("worker clock differs", None, Some(worker_id.clone()), inputs);
            if is_outdated {
                return;
            }
            // The poll was sent after the process that is known had started, so that the present one has answered.
            self.reset_incarnation(now, worker_id, report.incarnation);
        }
        self.check_incarnation(now, worker_id, report.incarnation);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let is_regained = worker.poll.failures > 0;
        worker.poll.failures = 0;
        let lost_at = worker.lost_at.take();
        worker.lease.observe_clock(now, report.clock_ms);
        worker.health.record_answer();
        let is_first = !worker.has_reported;
        worker.has_reported = true;
        if (is_first || is_regained) && !report.running.is_empty() {
            // Poll again at once to renew the lease, which may expire soon.
            worker.poll.next_at = None;
        }
        let is_first_part = worker.outcomes.record_listed(&report.ended);
        if report.ended.is_whole() {
            self.takeover.mark_reported(worker_id);
        } else {
            self.takeover.mark_listing(worker_id);
        }
        if is_first_part {
            let inputs = format!(
                "{} ends listed; runs that are not listed may have ended",
                report.ended.rows().len()
            );
            self.note("ends listed in part", None, Some(worker_id.clone()), inputs);
        }
        if is_regained {
            self.note(
                "worker regained",
                None,
                Some(worker_id.clone()),
                format!(
                    "{} runs listed, lost for {} ms",
                    report.running.len(),
                    lost_at.map_or(0, |at| now.saturating_duration_since(at).as_millis())
                ),
            );
        }
        let mut ended = report.ended.into_rows();
        ended.sort_by_key(|row| row.sequence);
        for row in &ended {
            self.handle_ended_run(now, worker_id, row);
        }
        for row in &report.running {
            self.handle_running(now, worker_id, row);
        }
        self.resolve_missing(now, worker_id, sent_at, report.clock_ms, &report.running);
        self.count_unreserved(worker_id, &report.running);
        self.settle_open_losses(worker_id);
        self.stop_stalled(now, worker_id);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            let latency_ratio = worker.worst_latency_ratio();
            worker.speed.observe(now, latency_ratio);
        }
    }

    /// Counts the listed runs that reserve nothing.
    fn count_unreserved(&mut self, worker_id: &WorkerId, running: &[ActiveRun]) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let is_reserved = |row: &ActiveRun| {
            let placed = worker.runs.get(&row.task);
            placed.is_some_and(|placed| placed.run == row.run && !placed.is_unsized)
        };
        let unreserved = running.iter().filter(|row| !is_reserved(row)).count() as u32;
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.unreserved_runs = unreserved;
        }
    }

    /// Compares the incarnation of a worker's process with the known one. A new incarnation has lost the runs
    /// of the previous one, but may still carry out commands that had no answer.
    pub(super) fn check_incarnation(
        &mut self,
        now: Instant,
        worker_id: &WorkerId,
        incarnation: Option<UnixMillis>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if incarnation.is_none() || incarnation <= worker.incarnation {
            return;
        }
        if worker.incarnation.is_none() {
            worker.incarnation = incarnation;
            return;
        }
        self.reset_incarnation(now, worker_id, incarnation);
    }

    /// Discards what is known only of the former process of a worker.
    fn reset_incarnation(&mut self, now: Instant, worker_id: &WorkerId, incarnation: Option<UnixMillis>) {
        let max_lease = self.timing.max_lease;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.incarnation = incarnation;
        worker.restart_seen_at = Some(now);
        worker.outcomes = OutcomeLog::default();
        worker.lease.reset(now, max_lease);
        worker.has_reported = false;
        worker.poll.next_at = None;
        // The ends that the former process has not listed are lost with it.
        self.takeover.end_listing(worker_id);
        let mut unconfirmed = 0;
        for run in worker.runs.values_mut() {
            // The new incarnation may have confirmed some of the starts; its first report shows which.
            run.is_unconfirmed = run.phase == RunPhase::Running;
            unconfirmed += usize::from(run.is_unconfirmed);
            run.stop_sent_at = None;
            run.stop_acknowledged_at = None;
        }
        let inputs = format!("{unconfirmed} runs may have ended with the former process");
        self.note("worker started again", None, Some(worker_id.clone()), inputs);
    }

    fn handle_ended_run(&mut self, now: Instant, worker_id: &WorkerId, row: &EndedRun) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.outcomes.is_known(row.sequence) {
            return;
        }
        let placed = worker.remove_run(&row.task, row.run);
        if let Some(placed) = &placed {
            let elapsed = now.saturating_duration_since(placed.placed_at);
            let estimate = if placed.is_long_running {
                Duration::ZERO
            } else {
                placed.estimate
            };
            if row.outcome == RunOutcome::Done {
                worker.health.record_success(elapsed, estimate);
            }
            let placed = placed.clone();
            self.limit_use.remove_run(&placed);
        }
        let change = self.apply_outcome(now, worker_id, row);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.outcomes.push(row.sequence, change);
        }
    }

    /// Applies the outcome of a run to its task. Returns the sequence number of the change that has to be
    /// stored before the outcome is acknowledged, or 0 if nothing has to be stored.
    fn apply_outcome(&mut self, now: Instant, worker_id: &WorkerId, row: &EndedRun) -> u64 {
        let run = RunId {
            task: row.task.clone(),
            number: row.run,
        };
        self.forget_loss(worker_id, &run);
        let id = row.task.step.job.clone();
        let Some(job) = self.jobs.get_mut(&id) else {
            return 0;
        };
        let is_over = job.state.is_final();
        let last_change = job.last_change;
        let max_attempts = job.record.rule.max_attempts.max(1) as usize;
        let Some(spec) = job.record.spec.steps.get(row.task.step.step as usize).cloned() else {
            return 0;
        };
        let Some(step) = job.step_mut(&row.task.step) else {
            return 0;
        };
        let Some(task) = step.tasks.get_mut(row.task.index as usize) else {
            return 0;
        };
        task.copies
            .retain(|copy| copy.worker != *worker_id || copy.run != row.run);
        task.last_run = task.last_run.max(row.run);
        if task.is_done || is_over {
            // The outcome changes nothing, provided that the end of the task or job is stored. Acknowledged
            // before that, it would be unknown to the next leader, which would run the task again.
            return last_change;
        }
        if let Some(checkpoint) = step.checkpoint_mut(row.task.index) {
            checkpoint.record(row.run, &row.checkpoint, true);
        }
        match row.outcome {
            RunOutcome::Done => {
                self.complete_task(now, &run, spec.is_gang);
                return self.mark_progress_changed(&id);
            }
            RunOutcome::Failed => {
                step.tasks[row.task.index as usize]
                    .avoided_workers
                    .insert(worker_id.clone());
                let counted = if spec.is_gang { 0 } else { row.task.index as usize };
                step.tasks[counted].failures.insert(row.run);
                let failures = step.tasks[counted].failures.len();
                let is_avoided = self
                    .workers
                    .get_mut(worker_id)
                    .is_some_and(|worker| worker.health.record_failure(now, &id));
                let inputs = format!("task {}, failure {failures} of {max_attempts}", row.task);
                self.note("run failed", Some(id.clone()), Some(worker_id.clone()), inputs);
                if is_avoided {
                    self.note(
                        "worker avoided",
                        None,
                        Some(worker_id.clone()),
                        "failures of several jobs",
                    );
                }
                if failures >= max_attempts && !spec.is_long_running {
                    self.end_job(&id, JobState::Failed, "a task used up its attempts");
                }
            }
            RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangBroken
            | RunOutcome::GangIncomplete => {
                if row.checkpoint.is_empty() {
                    return 0;
                }
            }
        }
        self.mark_progress_changed(&id)
    }

    fn complete_task(&mut self, now: Instant, run: &RunId, is_gang: bool) {
        let task_id = &run.task;
        let id = &task_id.step.job;
        let Some(step) = self.jobs.get_mut(id).and_then(|job| job.step_mut(&task_id.step)) else {
            return;
        };
        let mut done = Vec::new();
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if (index as u32 == task_id.index || is_gang) && !task.is_done {
                task.is_done = true;
                step.unfinished -= 1;
                done.push((task_id.step.task(index as u32), task.copies.clone()));
            }
        }
        for (task, copies) in &done {
            // The members of a gang end together without being stopped.
            if !is_gang {
                request_stops(&mut self.workers, task, copies.iter().map(|copy| &copy.worker));
            }
        }
        if step.unfinished == 0 {
            self.advice.remove(&task_id.step);
        }
        let is_done = self.jobs.get(id).is_some_and(JobRun::is_done);
        if is_done {
            self.end_job(id, JobState::Completed, "all tasks are done");
        }
        if is_gang {
            self.defer_stops(now, run.number, &done);
        }
    }

    /// Treats the stops of members of a gang that has ended as if they had just been sent: only those that still run
    /// when a stop would be repeated are stopped.
    fn defer_stops(&mut self, now: Instant, run: RunNumber, members: &[(TaskId, Vec<TaskCopy>)]) {
        for (task, copies) in members {
            for copy in copies.iter().filter(|copy| copy.run == run) {
                let worker = self.workers.get_mut(&copy.worker);
                if let Some(placed) = worker.and_then(|worker| worker.runs.get_mut(task))
                    && placed.run == run
                {
                    placed.stop_sent_at.get_or_insert(now);
                }
            }
        }
    }

    fn handle_running(&mut self, now: Instant, worker_id: &WorkerId, row: &ActiveRun) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if let Some(placed) = worker.runs.get_mut(&row.task)
            && placed.run == row.run
        {
            placed.missed_polls = 0;
            placed.listed_at = now;
            placed.incarnation = worker.incarnation;
            placed.observe_progress(now, row.progress_percent);
            placed.load = row.load;
            if placed.is_long_running && row.progress_percent >= WORKING_PERCENT {
                worker.health.record_working(placed.placed_at);
            }
            if !row.checkpoint.is_empty() {
                placed.checkpoint = Arc::clone(&row.checkpoint);
            }
            placed.unknown_since = None;
            let is_withdrawn = placed.withdraw_settling_stop();
            if placed.phase != RunPhase::Running && (placed.stop_sent_at.is_none() || !placed.must_stop) {
                placed.phase = RunPhase::Running;
            }
            if is_withdrawn {
                let sent_ms = |at: Instant| now.saturating_duration_since(at).as_millis();
                let stop = placed.stop_sent_at.map_or_else(
                    || "no stop sent".to_owned(),
                    |at| format!("stop sent {} ms ago", sent_ms(at)),
                );
                let inputs = format!(
                    "run {} of task {} at {} %, start sent {} ms ago, {stop}",
                    row.run,
                    row.task,
                    row.progress_percent,
                    sent_ms(placed.placed_at)
                );
                let job = Some(row.task.step.job.clone());
                self.note("late start kept", job, Some(worker_id.clone()), inputs);
            }
            self.mark_started(&row.task.step.job, worker_id);
            return;
        }
        self.adopt_run(now, worker_id, row);
    }

    /// Adopts a run that a previous leader started, or requests its stop if no job needs it.
    fn adopt_run(&mut self, now: Instant, worker_id: &WorkerId, row: &ActiveRun) {
        let run = RunId {
            task: row.task.clone(),
            number: row.run,
        };
        let is_wanted = self.should_keep(&run.task);
        let is_reserved = self
            .workers
            .get(worker_id)
            .is_some_and(|worker| worker.runs.contains_key(&row.task));
        if is_reserved {
            // Another run of the task is expected on this worker. This one is stopped and reserves no
            // resources.
            self.duplicate_runs
                .entry((worker_id.clone(), run))
                .or_insert(None);
            return;
        }
        // A stop of the run as a duplicate is not repeated, but may still take effect.
        let duplicate = self.duplicate_runs.remove(&(worker_id.clone(), run.clone()));
        let job = self.jobs.get(&row.task.step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(row.task.step.step as usize));
        // A run of an unknown job reserves no resources and is stopped.
        let is_unsized = spec.is_none();
        let spec = spec.cloned().unwrap_or_default();
        let organisation = job.and_then(|job| job.record.organisation.clone());
        let phase = RunPhase::Running;
        let placed = PlacedRun {
            progress_percent: row.progress_percent,
            last_progress_percent: row.progress_percent,
            load: row.load,
            checkpoint: Arc::clone(&row.checkpoint),
            // The speed set by the previous leader is unknown; 0 makes the next pass set it again.
            speed_percent: 0,
            is_unsized,
            must_stop: !is_wanted,
            stop_sent_at: duplicate.flatten(),
            ..PlacedRun::new(now, row.run, phase, &spec, organisation)
        };
        self.limit_use.add_run(&placed);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.add_run(row.task.clone(), placed);
        }
        if is_wanted {
            self.record_adopted(now, worker_id, &run);
        } else {
            let inputs = format!("run {} of task {} belongs to no open task", row.run, row.task);
            self.note(
                "stray run",
                Some(row.task.step.job.clone()),
                Some(worker_id.clone()),
                inputs,
            );
        }
    }

    fn record_adopted(&mut self, now: Instant, worker_id: &WorkerId, run: &RunId) {
        if let Some(task) = self.task_mut(&run.task) {
            task.last_run = task.last_run.max(run.number);
            task.copies.push(TaskCopy {
                worker: worker_id.clone(),
                run: run.number,
                placed_at: now,
            });
        }
        self.mark_started(&run.task.step.job, worker_id);
    }

    /// Marks a job as running once a worker has confirmed a start. A start command without an answer does not
    /// count: the job is still waiting.
    pub(super) fn mark_started(&mut self, id: &JobId, worker_id: &WorkerId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state == JobState::Pending {
            job.state = JobState::Running;
            self.mark_state_changed(id);
            self.note("first start", Some(id.clone()), Some(worker_id.clone()), "");
        }
    }

    /// Whether a listed run may go on: its job and task are open, and no other run of the task is known
    /// unless the step allows copies.
    fn should_keep(&self, task: &TaskId) -> bool {
        let (Some(job), Some(state)) = (self.jobs.get(&task.step.job), self.task(task)) else {
            return false;
        };
        let may_copy = job.record.spec.steps[task.step.step as usize].is_speculative;
        !job.state.is_final() && !state.is_done && (may_copy || state.copies.is_empty())
    }

    /// Requests the stop of stalled runs, so that their tasks start again on another worker.
    fn stop_stalled(&mut self, now: Instant, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let mut stalled = Vec::new();
        for (task, placed) in &mut worker.runs {
            if placed.is_stalled(now) {
                placed.request_stop(StopRule::Always);
                // Nothing is known of the progress of tasks without an estimate, and a task that stalls on several workers
                // tells nothing about them.
                if !placed.estimate.is_zero() && placed.stalled_before == 0 {
                    worker.health.record_failure(now, &task.step.job);
                }
                stalled.push((run_id(task, placed), placed.progress_percent));
            }
        }
        for (run, percent) in stalled {
            if let Some(task) = self.task_mut(&run.task) {
                task.avoided_workers.insert(worker_id.clone());
                task.stalled_runs += 1;
            }
            let inputs = format!("run {} of task {} at {percent} %", run.number, run.task);
            let job = Some(run.task.step.job.clone());
            self.note("run stands still", job, Some(worker_id.clone()), inputs);
        }
    }

    /// Resolves runs that the report does not list: removes those that have certainly ended or can no longer
    /// start, and requests the stop of the others. Nothing is concluded while some ends are not listed: the run may have
    /// completed its task.
    fn resolve_missing(
        &mut self,
        now: Instant,
        worker_id: &WorkerId,
        sent_at: Instant,
        clock_ms: u64,
        running: &[ActiveRun],
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let has_unlisted_ends = worker.outcomes.has_unlisted();
        let mut ended = Vec::new();
        let mut lost = Vec::new();
        let mut unlisted = Vec::new();
        for (task, placed) in &mut worker.runs {
            let is_listed = running
                .iter()
                .any(|row| row.run == placed.run && row.task == *task);
            let is_placed_since = placed.placed_at >= sent_at;
            if is_listed {
                placed.is_unconfirmed = false;
            }
            let is_open = has_unlisted_ends || is_placed_since || placed.phase == RunPhase::Starting;
            if is_listed || is_open {
                continue;
            }
            if placed.is_unconfirmed {
                lost.push(run_id(task, placed));
                continue;
            }
            let is_stopped = placed.stop_acknowledged_at.is_some_and(|at| at <= sent_at);
            let is_late = placed.phase == RunPhase::Unknown && clock_ms > placed.deadline_ms;
            if is_stopped || is_late {
                ended.push(run_id(task, placed));
                continue;
            }
            let was_stopped = placed.must_stop;
            placed.unlisted_at = Some(now);
            if placed.phase == RunPhase::Running {
                placed.missed_polls += 1;
            }
            let is_unanswered = placed.unknown_since.is_some_and(|since| since <= sent_at);
            if is_unanswered || placed.missed_polls >= MAX_MISSING_POLLS {
                placed.request_stop(StopRule::WhileUnlisted);
            }
            if placed.must_stop && !was_stopped {
                let sent_ms = now.saturating_duration_since(placed.placed_at).as_millis();
                unlisted.push((run_id(task, placed), placed.phase, sent_ms));
            }
        }
        for (run, phase, sent_ms) in unlisted {
            let inputs = format!(
                "run {} of task {}, {phase:?}, start sent {sent_ms} ms ago",
                run.number, run.task
            );
            let job = Some(run.task.step.job.clone());
            self.note("unlisted run stopped", job, Some(worker_id.clone()), inputs);
        }
        for run in ended {
            self.drop_run(now, worker_id, &run, true);
            self.settle_loss(worker_id, &run);
        }
        self.lose_runs(now, worker_id, &lost, "process restarted");
    }
}
