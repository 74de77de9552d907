//! Handles the outcomes of starts and stops, and failed polls.

use std::time::{Duration, Instant};

use crate::dispatch::command::{PollError, RunId, StartOutcome, StopOutcome};
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::worker_state::RunPhase;
use crate::model::id::WorkerId;

/// Pause after a failed poll; multiplied by the number of consecutive failures, up to four.
const POLL_RETRY: Duration = Duration::from_millis(250);

/// Time for which a worker gets no start after it rejected one for lack of resources.
const FULL_BACKOFF: Duration = Duration::from_millis(250);

impl PoolScheduler {
    /// Handles the outcome of a start.
    pub fn handle_start_outcome(
        &mut self,
        now: Instant,
        worker_id: &WorkerId,
        run: &RunId,
        outcome: StartOutcome,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.starts_in_flight = worker.starts_in_flight.saturating_sub(1);
        if worker.poll.next_at.is_none() {
            worker.poll.next_at = Some(now + self.poll_pace.interval());
        }
        match outcome {
            StartOutcome::Unknown | StartOutcome::NotSent => worker.health.record_timeout(now),
            StartOutcome::Unhealthy => worker.health.record_unhealthy(now),
            // Says nothing about the worker.
            StartOutcome::Withheld => {}
            _ => worker.health.record_answer(),
        }
        let Some(placed) = worker
            .runs
            .get_mut(&run.task)
            .filter(|placed| placed.run == run.number)
        else {
            return;
        };
        match outcome {
            StartOutcome::Started => {
                if placed.phase == RunPhase::Starting {
                    placed.phase = RunPhase::Running;
                }
                self.mark_started(&run.task.step.job, worker_id);
                if let Some(advice) = self.advice.get_mut(&run.task.step) {
                    advice.accept_ticket();
                }
                return;
            }
            StartOutcome::Unknown => {
                placed.phase = RunPhase::Unknown;
                // The next poll shows whether the run is active. If it is not, a stop makes sure that it
                // never starts.
                placed.unknown_since = Some(now);
                if worker.poll.sent_at.is_none() {
                    worker.poll.next_at = Some(now);
                }
                let inputs = format!("run {} of task {}", run.number, run.task);
                self.note(
                    "start without an answer",
                    Some(run.task.step.job.clone()),
                    Some(worker_id.clone()),
                    inputs,
                );
                return;
            }
            StartOutcome::NoRoom => worker.full_until = Some(now + FULL_BACKOFF),
            StartOutcome::Fenced => self.is_fenced = true,
            StartOutcome::NoTicket => {
                if let Some(advice) = self.advice.get_mut(&run.task.step) {
                    advice.reject_ticket(now, worker_id);
                }
            }
            StartOutcome::OtherWorker => worker.is_listed = false,
            _ => {}
        }
        self.drop_run(now, worker_id, run, false);
        let inputs = format!("{outcome:?}: run {} of task {}", run.number, run.task);
        self.note(
            "start refused",
            Some(run.task.step.job.clone()),
            Some(worker_id.clone()),
            inputs,
        );
        if outcome == StartOutcome::Malformed
            && let Some(task) = self.task_mut(&run.task)
        {
            task.ready_at = Some(now + Duration::from_secs(1));
        }
    }

    /// Handles the outcome of a stop.
    pub fn handle_stop_outcome(
        &mut self,
        now: Instant,
        worker_id: &WorkerId,
        run: &RunId,
        outcome: StopOutcome,
    ) {
        if outcome == StopOutcome::Fenced {
            self.is_fenced = true;
        }
        if outcome == StopOutcome::Taken {
            self.duplicate_runs.remove(&(worker_id.clone(), run.clone()));
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if outcome == StopOutcome::OtherWorker {
            worker.is_listed = false;
        }
        if let Some(placed) = worker.runs.get_mut(&run.task)
            && placed.run == run.number
            && outcome == StopOutcome::Taken
        {
            placed.stop_acknowledged_at = Some(now);
        }
    }

    /// Handles a poll that returned no report.
    pub fn handle_poll_error(&mut self, now: Instant, worker_id: &WorkerId, error: &PollError) {
        if *error == PollError::Fenced {
            self.is_fenced = true;
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.poll.sent_at = None;
        worker.poll.failures += 1;
        worker.poll.next_at = Some(now + POLL_RETRY * worker.poll.failures.min(4));
        if *error == PollError::OtherWorker {
            worker.is_listed = false;
        }
        if worker.poll.failures == 1 {
            worker.lost_at = Some(now);
            let inputs = format!("{error}; {} runs on it", worker.runs.len());
            self.note("worker lost", None, Some(worker_id.clone()), inputs);
            self.record_missing_runs(now, worker_id);
        }
    }
}
