//! Records runs that are lost with their worker, finds out whether the worker's process has ended, and gives
//! up tasks that crash their workers.
//!
//! A worker that does not answer may have crashed or may only be out of reach. Its young runs are recorded as
//! missing at once, so that the next leader knows of them too. They count as crashed when a later process is
//! seen on the worker's instance, and are forgotten when the same process answers again.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::dispatch::command::RunId;
use crate::dispatch::job_record::JobState;
use crate::dispatch::job_state::TaskState;
use crate::dispatch::pool_scheduler::{PoolScheduler, run_id};
use crate::dispatch::run_loss::{LossState, MAX_SUSPECT_AGE, RunLoss};
use crate::dispatch::task_id::TaskId;
use crate::dispatch::worker_entry::WorkerEntry;
use crate::dispatch::worker_state::{PlacedRun, WorkerState};
use crate::model::id::{JobId, WorkerId};

/// Time within which losses of several workers count as one event; the longest pause between two polls is 240
/// ms.
const MASS_LOSS_WINDOW: Duration = Duration::from_millis(250);

/// Smallest number of workers whose loss within the window is a mass loss, if they were a whole rack or half of the
/// pool.
const MIN_MASS_LOSS: usize = 3;

impl PoolScheduler {
    /// Handles a worker's entry, of any pool. A new process on an instance proves that the former one has
    /// ended.
    pub fn observe_entry(&mut self, now: Instant, entry: &WorkerEntry) {
        self.largest_worker = self.largest_worker.max(entry.capacity.cores);
        let former = self.instance_workers.observe(entry);
        if let Some(former) = former {
            self.lose_replaced_worker(now, &former, entry);
        }
        let Some(instance) = &entry.instance else {
            return;
        };
        for worker in self.open_losses.on_instance(instance) {
            self.settle_open_losses(&worker);
        }
    }

    /// Ends all runs of a worker whose instance runs another worker now.
    fn lose_replaced_worker(&mut self, now: Instant, worker_id: &WorkerId, successor: &WorkerEntry) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        if worker.runs.is_empty() && worker.lost_at.is_none() {
            // The usual case of an evacuated instance that was moved.
            return;
        }
        let silent_ms = worker
            .lost_at
            .map_or(0, |at| now.saturating_duration_since(at).as_millis());
        let inputs = format!(
            "worker {} of pool {} runs on its instance; {} runs of the former process, lost for {silent_ms} ms",
            successor.id,
            successor.pool,
            worker.runs.len(),
        );
        let runs: Vec<RunId> = worker.runs.iter().map(|(task, run)| run_id(task, run)).collect();
        self.note("worker replaced", None, Some(worker_id.clone()), inputs);
        self.lose_runs(now, worker_id, &runs, "process replaced");
    }

    /// Records the runs of a worker that stopped answering.
    pub(super) fn record_missing_runs(&mut self, now: Instant, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let runs: Vec<RunId> = worker.runs.iter().map(|(task, run)| run_id(task, run)).collect();
        for run in &runs {
            self.record_loss(now, worker_id, run);
        }
    }

    /// Records a run as missing, unless its worker is leaving as planned or the run is too old to be a
    /// suspect.
    fn record_loss(&mut self, now: Instant, worker_id: &WorkerId, run: &RunId) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let Some(placed) = worker.runs.get(&run.task) else {
            return;
        };
        let is_leaving = worker.entry.is_draining || self.plan.evacuating.contains(worker_id);
        let lost_at = worker.lost_at.unwrap_or(now);
        let age = |placed: &PlacedRun| lost_at.saturating_duration_since(placed.placed_at);
        let is_too_old = age(placed) >= MAX_SUSPECT_AGE;
        // The age includes the time until the loss was noticed; only what the worker listed clears the task.
        let listed_for = placed.listed_at.saturating_duration_since(placed.placed_at);
        let is_other_suspect = |(task, placed): (&TaskId, &PlacedRun)| {
            task.step.job != run.task.step.job && age(placed) < MAX_SUSPECT_AGE
        };
        let loss = RunLoss {
            worker: worker_id.clone(),
            instance: worker.entry.instance.clone(),
            incarnation: placed.incarnation,
            state: LossState::Missing,
            active_for: age(placed),
            is_isolated: !worker.runs.iter().any(is_other_suspect),
            is_mass_loss: false,
        };
        let instance = loss.instance.clone();
        let Some(task) = self.open_task_mut(&run.task) else {
            return;
        };
        // What the run has outlasted had another cause.
        if task.losses.forget_outlasted(listed_for) {
            self.mark_progress_changed(&run.task.step.job);
        }
        if is_leaving || is_too_old {
            return;
        }
        let Some(task) = self.open_task_mut(&run.task) else {
            return;
        };
        let known = task.losses.get_mut(run.number);
        if known.is_some_and(|known| known.state != LossState::Started) {
            return;
        }
        task.losses.insert(run.number, loss);
        self.open_losses.insert(worker_id, instance.as_ref(), run.clone());
        self.mark_progress_changed(&run.task.step.job);
    }

    /// Removes runs whose worker's process has ended and counts the crash against their tasks.
    pub(super) fn lose_runs(&mut self, now: Instant, worker_id: &WorkerId, runs: &[RunId], cause: &str) {
        // All are recorded before the first is dropped: each record tells what ran beside the run.
        for run in runs {
            self.record_loss(now, worker_id, run);
        }
        for run in runs {
            if let Some(placed) = self.drop_run(now, worker_id, run, true) {
                self.note_lost_run(worker_id, run, &placed, cause);
            }
            self.count_crash(worker_id, run);
        }
    }

    /// Settles the open losses of a worker as far as possible.
    pub(super) fn settle_open_losses(&mut self, worker_id: &WorkerId) {
        for run in self.open_losses.of_worker(worker_id) {
            self.settle_loss(worker_id, &run);
        }
    }

    /// Settles a recorded loss: under an earlier process of the worker it counts as a crash; if the same
    /// process has answered since, it is forgotten unless the run is still active.
    pub(super) fn settle_loss(&mut self, worker_id: &WorkerId, run: &RunId) {
        let worker = self.workers.get(worker_id);
        let placed = worker.and_then(|worker| worker.runs.get(&run.task));
        let is_placed = placed.is_some_and(|placed| placed.run == run.number);
        let has_answered = worker.is_some_and(|worker| worker.has_reported && worker.poll.failures == 0);
        let has_unlisted_ends = worker.is_some_and(|worker| worker.outcomes.has_unlisted());
        let incarnation = worker.and_then(|worker| worker.incarnation);
        let Some(loss) = self.loss_mut(run).cloned() else {
            self.open_losses.remove(worker_id, run);
            return;
        };
        let is_gone = incarnation > loss.incarnation || self.instance_workers.has_replaced(&loss);
        if is_gone && !is_placed {
            self.count_crash(worker_id, run);
        } else if !is_gone && has_answered && is_placed {
            self.open_losses.remove(worker_id, run);
            if let Some(loss) = self.loss_mut(run) {
                loss.state = LossState::Started;
            }
            self.mark_progress_changed(&run.task.step.job);
        } else if !is_gone && has_answered && !has_unlisted_ends {
            self.forget_loss(worker_id, run);
        }
    }

    fn loss_mut(&mut self, run: &RunId) -> Option<&mut RunLoss> {
        self.task_mut(&run.task)?.losses.get_mut(run.number)
    }

    /// Removes the record of a run that was not lost with its worker.
    pub(super) fn forget_loss(&mut self, worker_id: &WorkerId, run: &RunId) {
        self.open_losses.remove(worker_id, run);
        let task = self.task_mut(&run.task);
        if task.is_some_and(|task| task.losses.remove_unless_crashed(run.number)) {
            self.mark_progress_changed(&run.task.step.job);
        }
    }

    /// Counts a recorded loss as a crash and gives the task up if it has crashed too many workers.
    fn count_crash(&mut self, worker_id: &WorkerId, run: &RunId) {
        self.open_losses.remove(worker_id, run);
        let Some(loss) = self
            .open_task_mut(&run.task)
            .and_then(|task| task.losses.get_mut(run.number))
            .filter(|loss| loss.state != LossState::Crashed)
        else {
            return;
        };
        loss.state = LossState::Crashed;
        self.tasks_with_losses.insert(run.task.clone());
        if self.is_mass_loss(worker_id)
            && let Some(loss) = self.loss_mut(run)
        {
            loss.is_mass_loss = true;
        }
        self.mark_progress_changed(&run.task.step.job);
        self.give_up_faulty_task(&run.task);
    }

    /// Ends the job of a task that has crashed too many workers.
    pub(super) fn give_up_faulty_task(&mut self, task_id: &TaskId) {
        let spec = self.step_spec(&task_id.step);
        let is_long_running = spec.is_some_and(|spec| spec.is_long_running);
        let task = self.open_task_mut(task_id);
        let Some(task) = task.filter(|task| task.losses.is_faulty(is_long_running)) else {
            return;
        };
        let workers: Vec<&str> = task.losses.crashes().map(|loss| loss.worker.as_str()).collect();
        let reason = format!(
            "task {task_id} was given up: {} workers crashed under it ({})",
            workers.len(),
            workers.join(", ")
        );
        let job = task_id.step.job.clone();
        self.note("task given up", Some(job.clone()), None, reason.clone());
        self.end_job(&job, JobState::Failed, &reason);
    }

    /// Whether this worker was lost together with its whole rack or half of the pool, which one task cannot cause.
    fn is_mass_loss(&self, worker_id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(worker_id) else {
            return false;
        };
        let Some(lost_at) = worker.lost_at else {
            return false;
        };
        let is_lost_together = |other: &WorkerState| {
            let distance = other
                .lost_at
                .map(|at| at.max(lost_at).saturating_duration_since(at.min(lost_at)));
            distance.is_some_and(|distance| distance <= MASS_LOSS_WINDOW)
        };
        let lost: Vec<&WorkerState> = self
            .workers
            .values()
            .filter(|other| is_lost_together(other))
            .collect();
        let lost_instances: BTreeSet<_> = lost.iter().map(|other| other.entry.instance.as_ref()).collect();
        // Instances that have been lost may run another worker by now.
        let remaining = |other: &&WorkerState| {
            other.is_listed && !lost_instances.contains(&other.entry.instance.as_ref())
        };
        let is_on_rack = |other: &&WorkerState| other.entry.rack() == worker.entry.rack();
        let lost_on_rack = lost.iter().filter(|other| is_on_rack(other)).count();
        let has_rack_left = self
            .workers
            .values()
            .filter(remaining)
            .any(|other| is_on_rack(&other));
        let remaining_count = self.workers.values().filter(remaining).count();
        let is_whole_rack = lost_on_rack >= MIN_MASS_LOSS && !has_rack_left;
        is_whole_rack || (lost.len() >= MIN_MASS_LOSS && lost.len() >= remaining_count)
    }

    /// Prepares the losses that were recorded in earlier terms for a job that is taken over.
    pub(super) fn open_recorded_losses(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let recorded: Vec<(RunId, RunLoss)> = job.recorded_losses().collect();
        let tasks = recorded.iter().map(|(run, _)| run.task.clone());
        self.tasks_with_losses.extend(tasks);
        for (run, loss) in &recorded {
            if loss.state != LossState::Crashed {
                self.open_losses
                    .insert(&loss.worker, loss.instance.as_ref(), run.clone());
                if self.instance_workers.has_replaced(loss) {
                    self.settle_open_losses(&loss.worker);
                }
            }
        }
        for (run, _) in &recorded {
            self.give_up_faulty_task(&run.task);
        }
    }

    /// State of a task that has not ended and whose job has not ended.
    fn open_task_mut(&mut self, task: &TaskId) -> Option<&mut TaskState> {
        let job = self.jobs.get(&task.step.job)?;
        if job.state.is_final() {
            return None;
        }
        self.task_mut(task).filter(|state| !state.is_done)
    }

    /// Logs a run that ended with its worker, together with what tells a faulty task from its neighbours.
    pub(super) fn note_lost_run(
        &mut self,
        worker_id: &WorkerId,
        run: &RunId,
        placed: &PlacedRun,
        cause: &str,
    ) {
        let lost_at = self.workers.get(worker_id).and_then(|worker| worker.lost_at);
        let active_ms = lost_at.map(|at| at.saturating_duration_since(placed.placed_at).as_millis());
        let others = self.workers.get(worker_id).map_or(0, |worker| worker.runs.len());
        let lost = self.task(&run.task).map_or(0, |task| task.losses.lost_runs());
        self.most_losses = self.most_losses.max(lost as u32);
        let inputs = format!(
            "run {} of task {}, {cause}, active for {} ms, {others} runs beside it, {lost} losses of the task on record",
            run.number,
            run.task,
            active_ms.map_or_else(|| "?".to_owned(), |millis| millis.to_string()),
        );
        self.note(
            "run lost",
            Some(run.task.step.job.clone()),
            Some(worker_id.clone()),
            inputs,
        );
    }
}
