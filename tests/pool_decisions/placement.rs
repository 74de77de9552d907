//! Choice of a worker among many.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use figloft::dispatch::free_index::FreeIndex;
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::placement::{self, PlacementRequest};
use figloft::dispatch::task_id::StepId;
use figloft::dispatch::worker_report::WorkerReport;
use figloft::dispatch::worker_state::{PlacedRun, RunPhase, WorkerState};
use figloft::model::id::RunNumber;
use figloft::model::unix_time::UnixMillis;
use proptest::prelude::*;

use crate::setup::{entry, job_id, step, worker_id};

/// Properties of a random worker: cores in use, whether it is slow, whether the task failed on it, whether it is
/// evacuated.
type RandomWorker = (u64, bool, bool, bool);

fn worker(number: usize, now: Instant, used: u64, is_slow: bool) -> WorkerState {
    let mut worker = WorkerState::new(entry(number, 32));
    worker.has_reported = true;
    let report = WorkerReport {
        incarnation: Some(UnixMillis::new(1)),
        ..WorkerReport::default()
    };
    worker.incarnation = report.incarnation;
    if used > 0 {
        let spec = step(1, used, 1_000);
        let task = StepId::new(job_id(1_000 + number), 0, 0).task(0);
        worker.add_run(
            task,
            PlacedRun::new(now, RunNumber::new(1), RunPhase::Running, &spec, None),
        );
    }
    if is_slow {
        for _ in 0..20 {
            worker
                .health
                .record_run_time(Duration::from_secs(20), Duration::from_secs(1));
        }
    }
    worker
}

proptest! {
    /// Guards the choice by the index: it takes the worker that a look at all workers takes.
    #[test]
    fn index_chooses_the_same_worker(
        pool in prop::collection::vec((0_u64..=32, any::<bool>(), any::<bool>(), any::<bool>()), 1..40),
        cores in 1_u64..20,
        rack in prop::option::of(0_usize..4),
        per_worker in prop::option::of(1_u32..3),
    ) {
        let pool: Vec<RandomWorker> = pool;
        let now = Instant::now();
        let mut workers = BTreeMap::new();
        let (mut avoided, mut evacuating) = (BTreeSet::new(), BTreeSet::new());
        for (number, (used, is_slow, is_avoided, is_evacuating)) in pool.into_iter().enumerate() {
            let id = worker_id(number);
            workers.insert(id.clone(), worker(number, now, used, is_slow));
            if is_avoided && number % 3 == 0 {
                avoided.insert(id.clone());
            }
            if is_evacuating && number % 4 == 0 {
                evacuating.insert(id);
            }
        }
        let spec = StepSpec { max_per_worker: per_worker, ..step(4, cores, 1_000) };
        let step_id = StepId::new(job_id(1), 0, 0);
        let rack = rack.map(|rack| format!("r-{rack}"));
        let usable = |worker: &&WorkerState| worker.is_usable(now) && !evacuating.contains(&worker.entry.id);
        let mut index = FreeIndex::new(workers.values().filter(usable));
        for number in 0..spec.tasks {
            let task = step_id.task(number);
            let request = PlacementRequest {
                task: &task,
                spec: &spec,
                avoided: &avoided,
                evacuating: &evacuating,
                maintenance_due: &BTreeSet::new(),
                preferred_rack: rack.as_deref(),
                allowed: None,
                max_pending: placement::MAX_PENDING_STARTS,
            };
            let expected = placement::choose_worker(now, &workers, &request);
            let chosen = placement::choose_indexed_worker(now, &workers, &index, &request);
            prop_assert_eq!(&chosen, &expected);
            let Some(worker) = chosen.and_then(|id| workers.get_mut(&id)) else { break };
            let run = PlacedRun::new(now, RunNumber::new(1), RunPhase::Starting, &spec, None);
            worker.add_run(task, run);
            index.update(worker);
        }
    }
}
