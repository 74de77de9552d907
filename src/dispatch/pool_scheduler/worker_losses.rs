//! Follows workers whose process has ended: which runs were lost with them, and what is known of the cause.

use std::time::Instant;

use crate::dispatch::command::RunId;
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::worker_entry::WorkerEntry;
use crate::dispatch::worker_state::PlacedRun;
use crate::model::id::WorkerId;

impl PoolScheduler {
    /// Handles an entry of any pool. If it names the instance of a known worker under another id, the process of
    /// that worker has ended.
    pub fn observe_successor(&mut self, now: Instant, entry: &WorkerEntry) {
        let Some(instance) = &entry.instance else {
            return;
        };
        let Some(former_id) = self.workers_by_instance.get(instance).cloned() else {
            return;
        };
        if former_id == entry.id {
            return;
        }
        let Some(former) = self.workers.get(&former_id) else {
            return;
        };
        if former.incarnation >= entry.incarnation {
            // An entry of an earlier process that is read late.
            return;
        }
        self.workers_by_instance.remove(instance);
        if former.runs.is_empty() && former.lost_at.is_none() {
            // The usual case of an evacuated instance that was moved.
            return;
        }
        let silent_ms = former
            .lost_at
            .map(|at| now.saturating_duration_since(at).as_millis());
        let inputs = format!(
            "instance {instance} runs worker {} of pool {}; {} runs of the former process, lost for {} ms",
            entry.id,
            entry.pool,
            former.runs.len(),
            silent_ms.map_or_else(|| "?".to_owned(), |millis| millis.to_string()),
        );
        self.note("worker replaced", None, Some(former_id), inputs);
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
        let earlier = self.task_mut(&run.task).map_or(0, |task| {
            task.lost_runs += 1;
            task.lost_runs - 1
        });
        self.most_losses = self.most_losses.max(earlier + 1);
        let inputs = format!(
            "run {} of task {}, {cause}, active for {} ms, {others} runs beside it, lost {earlier} times before",
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
