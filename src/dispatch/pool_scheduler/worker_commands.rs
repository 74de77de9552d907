//! Commands that follow from the state of the workers: stops, speeds and polls. Also removes runs with an
//! expired lease.

use std::time::{Duration, Instant};

use crate::dispatch::command::{PollCommand, PoolCommand};
use crate::dispatch::poll_pace::MIN_POLL_INTERVAL;
use crate::dispatch::pool_scheduler::{POLL_WAIT, PoolScheduler, run_id};
use crate::dispatch::worker_state::{RunPhase, StopRule};

/// Shortest time before a stop is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);

/// Smallest change of speed that is sent to a worker, in percent of full speed.
const MIN_SPEED_STEP: u32 = 5;

impl PoolScheduler {
    /// Removes the runs of unreachable workers once their lease has certainly expired. The ends that such a worker
    /// has not listed are no longer awaited.
    pub(super) fn expire_runs(&mut self, now: Instant) {
        self.give_up_unlisted_ends(now);
        let mut expired = Vec::new();
        for (id, worker) in &self.workers {
            if worker.poll.failures == 0 || worker.runs.is_empty() {
                continue;
            }
            let end = worker.lease.end().or_else(|| self.takeover.deadline());
            if end.is_some_and(|end| now < end) {
                continue;
            }
            let ended = worker
                .runs
                .iter()
                .filter(|(_, run)| run.phase != RunPhase::Starting);
            expired.extend(ended.map(|(task, run)| (id.clone(), run_id(task, run))));
        }
        for (worker, run) in expired {
            if let Some(placed) = self.drop_run(now, &worker, &run, true) {
                self.note_lost_run(&worker, &run, &placed, "lease expired without an answer");
            }
            let inputs = format!("run {} of task {}", run.number, run.task);
            self.note(
                "lease ended",
                Some(run.task.step.job.clone()),
                Some(worker),
                inputs,
            );
        }
    }

    /// Stops waiting for the ends that unreachable workers have not listed, once neither a lease of this leader nor one
    /// of the former leader can be in force.
    fn give_up_unlisted_ends(&mut self, now: Instant) {
        let former_end = self.takeover.former_leases_end();
        let mut given_up = Vec::new();
        for (id, worker) in &mut self.workers {
            let is_expired = worker.lease.end().max(former_end).is_none_or(|end| end <= now);
            if worker.outcomes.has_unlisted() && worker.poll.failures > 0 && is_expired {
                worker.outcomes.give_up_unlisted();
                given_up.push(id.clone());
            }
        }
        for worker in given_up {
            self.takeover.mark_reported(&worker);
            self.note(
                "unlisted ends given up",
                None,
                Some(worker),
                "no lease can be in force; the worker does not answer",
            );
        }
    }

    /// Sends the stops that are due. `may_move` tells whether tasks may be stopped to start elsewhere.
    pub(super) fn issue_stops(&mut self, now: Instant, may_move: bool, commands: &mut Vec<PoolCommand>) {
        let retry = STOP_RETRY.max(self.timing.stop_timeout + MIN_POLL_INTERVAL);
        let mut due = Vec::new();
        for (id, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let is_allowed =
                    run.stop_rule != StopRule::WhileSpared || (may_move && self.is_move_due(id, task));
                if run.is_stop_due(now, retry) && is_allowed {
                    due.push((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in due {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let target = worker.target();
            if let Some(run) = worker.runs.get_mut(&task) {
                run.stop_sent_at = Some(now);
                commands.push(PoolCommand::Stop(target, run_id(&task, run)));
            }
        }
        for ((worker, run), sent_at) in &mut self.duplicate_runs {
            let is_due = sent_at.is_none_or(|at| now >= at + retry);
            if let Some(state) = self.workers.get(worker).filter(|_| is_due) {
                *sent_at = Some(now);
                commands.push(PoolCommand::Stop(state.target(), run.clone()));
            }
        }
    }

    pub(super) fn issue_speeds(&mut self, commands: &mut Vec<PoolCommand>) {
        for worker in self.workers.values_mut() {
            let percent = worker.speed.percent();
            let target = worker.target();
            let best_effort_runs = worker.runs.iter_mut().filter(|(_, run)| run.is_best_effort);
            for (task, run) in best_effort_runs {
                let differs = run.speed_percent.abs_diff(percent) >= MIN_SPEED_STEP;
                if differs && run.phase == RunPhase::Running && !run.must_stop {
                    run.speed_percent = percent;
                    commands.push(PoolCommand::SetSpeed(target.clone(), run_id(task, run), percent));
                }
            }
        }
    }

    pub(super) fn issue_polls(
        &mut self,
        now: Instant,
        is_leadership_valid: bool,
        commands: &mut Vec<PoolCommand>,
    ) {
        let durable_change = self.last_durable_change();
        let lease = self.timing.lease;
        let busy = self.workers.values().filter(|worker| !worker.runs.is_empty());
        self.poll_pace.set_busy_workers(busy.count() as u32);
        for worker in self.workers.values_mut() {
            // An unreachable worker without runs is polled as well; otherwise it would never become usable
            // again.
            let has_cause = !worker.runs.is_empty()
                || worker.unreserved_runs > 0
                || worker.outcomes.has_unlisted()
                || worker.outcomes.has_ready(durable_change)
                || (worker.is_listed && (!worker.has_reported || worker.poll.failures > 0));
            let is_due = worker.poll.next_at.is_none_or(|at| at <= now);
            if worker.poll.sent_at.is_some() || !has_cause || !is_due {
                continue;
            }
            let is_responsive = worker.has_reported && worker.poll.failures == 0 && !worker.runs.is_empty();
            // Polls of an unreachable worker renew no lease; otherwise its expiry would never be certain.
            let deadline_ms = if is_leadership_valid && is_responsive {
                worker.lease.grant(now, lease)
            } else {
                None
            };
            worker.poll.sent_at = Some(now);
            commands.push(PoolCommand::Poll(PollCommand {
                target: worker.target(),
                acknowledged: worker.outcomes.acknowledge(durable_change),
                deadline_ms,
                wait: if is_responsive { POLL_WAIT } else { Duration::ZERO },
            }));
        }
    }
}
