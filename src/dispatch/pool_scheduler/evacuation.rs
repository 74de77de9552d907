//! Moves tasks off workers that drain, that the plan evacuates or whose zone is under evacuation, within the availability budget of each
//! step.

use std::time::Instant;

use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::task_id::TaskId;
use crate::dispatch::worker_state::{RunPhase, StopRule};
use crate::model::id::WorkerId;

/// Progress that a long-running task reports once it is up, in percent.
pub(super) const WORKING_PERCENT: f64 = 100.0;

impl PoolScheduler {
    /// Stops long-running tasks on draining and evacuating workers if another worker can take them. Finite
    /// tasks end by themselves.
    pub(super) fn evacuate(&mut self, now: Instant) {
        let mut moves: Vec<(WorkerId, TaskId)> = Vec::new();
        for (id, worker) in &self.workers {
            let is_draining = worker.entry.is_draining && worker.is_listed;
            if !is_draining && !self.evacuating.contains(id) {
                continue;
            }
            for (task, run) in &worker.runs {
                let is_immovable = run.must_stop || run.phase != RunPhase::Running || !run.is_long_running;
                if is_immovable || moves.iter().any(|(_, other)| other.step == task.step) {
                    continue;
                }
                if (is_draining || self.is_move_allowed(task)) && self.can_be_placed_elsewhere(now, task) {
                    moves.push((id.clone(), task.clone()));
                }
            }
        }
        for (worker, task) in moves {
            let placed = self
                .workers
                .get_mut(&worker)
                .and_then(|worker| worker.runs.get_mut(&task));
            if let Some(placed) = placed {
                placed.request_stop(StopRule::WhileSpared);
            }
            self.note(
                "task moves",
                Some(task.step.job.clone()),
                Some(worker),
                format!("task {task}"),
            );
        }
    }

    /// Withdraws moves whose stop has not been sent, if the task need not leave its worker any more or has no place
    /// elsewhere.
    pub(super) fn withdraw_moves(&mut self, now: Instant) {
        let mut obsolete: Vec<(WorkerId, TaskId)> = Vec::new();
        for (id, worker) in &self.workers {
            let is_leaving = worker.entry.is_draining || self.evacuating.contains(id);
            for (task, run) in &worker.runs {
                let is_unsent_move =
                    run.must_stop && run.stop_rule == StopRule::WhileSpared && run.stop_sent_at.is_none();
                if is_unsent_move && !(is_leaving && self.can_be_placed_elsewhere(now, task)) {
                    obsolete.push((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in obsolete {
            let worker = self.workers.get_mut(&id);
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&task)) {
                run.withdraw_stop();
            }
            let inputs = format!("task {task}");
            self.note("move withdrawn", Some(task.step.job.clone()), Some(id), inputs);
        }
    }

    /// Whether the stop of a task that moves may be sent now. Other tasks may have become unavailable since the move
    /// was decided or the stop was last sent.
    pub(super) fn is_move_due(&self, worker_id: &WorkerId, task: &TaskId) -> bool {
        let worker = self.workers.get(worker_id);
        let is_draining = worker.is_some_and(|worker| worker.entry.is_draining && worker.is_listed);
        is_draining || self.is_move_allowed(task)
    }

    /// Whether one more task of the step may be interrupted: fewer of the others are unavailable than the step
    /// allows.
    fn is_move_allowed(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return true;
        };
        let spec = &job.record.spec.steps[task.step.step as usize];
        let Some(step) = job.step(&task.step) else {
            return true;
        };
        let mut unavailable = 0;
        for (index, state) in (0_u32..).zip(&step.tasks) {
            if index == task.index {
                continue;
            }
            let id = task.step.task(index);
            let is_working = state.copies.iter().any(|copy| self.is_working(&copy.worker, &id));
            if !is_working {
                unavailable += 1;
            }
        }
        unavailable < spec.max_unavailable.max(1)
    }

    fn is_working(&self, worker: &WorkerId, task: &TaskId) -> bool {
        let run = self
            .workers
            .get(worker)
            .filter(|worker| worker.poll.failures == 0)
            .and_then(|worker| worker.runs.get(task));
        run.is_some_and(|run| {
            let is_up = run.phase == RunPhase::Running && run.progress_percent >= WORKING_PERCENT;
            is_up && !run.may_be_stopped()
        })
    }

    fn can_be_placed_elsewhere(&self, now: Instant, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        spec.is_some_and(|spec| self.choose_worker(now, task, spec, false).is_some())
    }
}
