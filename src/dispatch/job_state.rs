//! Jobs, their steps and tasks as the holder of a pool knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::job_record::{JobProgress, JobRecord, JobState, JobSummary, StepProgress};
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::task_id::StepId;
use crate::model::id::{RunNumber, WorkerId};
use crate::model::unix_time::UnixMillis;

/// A run of a task that goes on or may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCopy {
    /// Where.
    pub worker: WorkerId,
    /// The run.
    pub run: RunNumber,
    /// Time of the start.
    pub placed_at: Instant,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub struct TaskState {
    /// Whether a run has ended as done.
    pub is_done: bool,
    /// Failed runs; those of a gang stand with its first task.
    pub failures: BTreeSet<RunNumber>,
    /// Runs that go on or may go on.
    pub copies: Vec<TaskCopy>,
    /// Newest checkpoint.
    pub checkpoint: Arc<str>,
    /// Workers on which it failed.
    pub avoided_workers: BTreeSet<WorkerId>,
    /// Earliest next start.
    pub ready_at: Option<Instant>,
    /// Highest run number used.
    pub last_run: RunNumber,
}

impl TaskState {
    /// Whether the task waits for a start.
    pub fn is_waiting(&self, now: Instant) -> bool {
        !self.is_done && self.copies.is_empty() && self.ready_at.is_none_or(|at| at <= now)
    }
}

/// One step of one occurrence.
#[derive(Debug, Clone, Default)]
pub struct StepState {
    /// Tasks by index.
    pub tasks: Vec<TaskState>,
    /// Tasks that are not done.
    pub unfinished: usize,
}

impl StepState {
    fn new(spec: &StepSpec, progress: Option<&StepProgress>) -> Self {
        let mut tasks = vec![TaskState::default(); spec.tasks as usize];
        if let Some(progress) = progress {
            for (index, task) in tasks.iter_mut().enumerate() {
                let index = index as u32;
                task.is_done = progress.done.contains(&index);
                task.failures = progress.failures.get(&index).cloned().unwrap_or_default();
                task.checkpoint = progress.checkpoints.get(&index).cloned().unwrap_or_default();
            }
        }
        let open = tasks.iter().filter(|task| !task.is_done).count();
        Self {
            tasks,
            unfinished: open,
        }
    }

    fn progress(&self) -> StepProgress {
        let mut progress = StepProgress::default();
        for (index, task) in self.tasks.iter().enumerate() {
            let index = index as u32;
            if task.is_done {
                progress.done.insert(index);
                continue;
            }
            if !task.failures.is_empty() {
                progress.failures.insert(index, task.failures.clone());
            }
            if !task.checkpoint.is_empty() {
                progress.checkpoints.insert(index, Arc::clone(&task.checkpoint));
            }
        }
        progress
    }
}

/// One occurrence of a job; jobs without a schedule have one.
#[derive(Debug, Clone)]
pub struct JobOccurrence {
    /// Steps.
    pub steps: Vec<StepState>,
    /// Time from which its objective counts.
    pub due_at: Instant,
}

impl JobOccurrence {
    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }
}

/// A job that is not over, or whose end has not been written.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct JobRun {
    /// The job as accepted.
    pub record: JobRecord,
    /// Longest chain of estimates from each step to the end.
    pub critical_paths: Vec<Duration>,
    /// Time from acceptance to the objective.
    pub objective: Duration,
    /// Whether it has more work than is usual on the pool.
    pub is_large: bool,
    /// Occurrences that have begun.
    pub occurrences: BTreeMap<u32, JobOccurrence>,
    /// State.
    pub state: JobState,
    /// Whether the caller cancelled it, so that a cancellation is stored.
    pub is_cancelled: bool,
    /// Whether the state has to be written.
    pub has_unsaved_state: bool,
    /// Whether it was accepted before this term.
    pub is_recovered: bool,
    /// Whether it is its organisation's surplus.
    pub is_over_rate: bool,
    /// Oldest change that is not being written.
    pub oldest_unsaved_change: Option<u64>,
    /// Time of acceptance.
    pub accepted_at: Instant,
}

impl JobRun {
    /// Creates the state of an accepted job.
    pub fn new(record: JobRecord, progress: Option<&JobProgress>, accepted_at: Instant) -> Self {
        let chains = record.spec.critical_paths();
        let longest = chains.iter().copied().max().unwrap_or_default();
        let objective = longest.mul_f64(record.rule.slack_factor.max(1.0)) + record.rule.target_latency;
        let mut occurrences = BTreeMap::new();
        let stored = progress.map(|progress| &progress.occurrences);
        if record.spec.schedule.is_none() {
            let steps = stored.and_then(|stored| stored.get(&0));
            occurrences.insert(0, new_occurrence(&record, steps, accepted_at));
        } else if let Some(stored) = stored {
            for (number, steps) in stored {
                occurrences.insert(*number, new_occurrence(&record, Some(steps), accepted_at));
            }
        }
        Self {
            is_large: false,
            record,
            critical_paths: chains,
            objective,
            occurrences,
            state: JobState::Pending,
            is_cancelled: false,
            has_unsaved_state: false,
            is_recovered: false,
            is_over_rate: false,
            oldest_unsaved_change: None,
            accepted_at,
        }
    }

    /// Begins the occurrences that are due.
    pub fn start_due_occurrences(&mut self, now: Instant, wall: UnixMillis, early: Duration) {
        let Some(schedule) = self.record.spec.schedule else {
            return;
        };
        let first = self.occurrences.keys().next_back().map_or(0, |last| last + 1);
        for number in first..schedule.count {
            let due = schedule.due(number).get();
            if due > wall.get() + early.as_millis() as u64 {
                return;
            }
            let late = Duration::from_millis(wall.get().saturating_sub(due));
            let due_at = now.checked_sub(late).unwrap_or(now);
            let occurrence = new_occurrence(&self.record, None, due_at);
            self.occurrences.insert(number, occurrence);
        }
    }

    /// Milliseconds of wall time at which the next occurrence is due.
    pub fn next_due(&self) -> Option<UnixMillis> {
        let schedule = self.record.spec.schedule?;
        let next = self.occurrences.keys().next_back().map_or(0, |last| last + 1);
        (next < schedule.count).then(|| schedule.due(next))
    }

    /// Whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        let count = self.record.spec.schedule.map_or(1, |schedule| schedule.count);
        self.occurrences.len() as u32 >= count && self.occurrences.values().all(JobOccurrence::is_done)
    }

    /// Whether all steps before a step are done.
    pub fn is_step_ready(&self, occurrence: &JobOccurrence, step: usize) -> bool {
        let after = &self.record.spec.steps[step].depends_on;
        after
            .iter()
            .all(|before| occurrence.steps[*before as usize].unfinished == 0)
    }

    /// A step's state.
    pub fn step_mut(&mut self, step: &StepId) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(&step.occurrence)?;
        occurrence.steps.get_mut(step.step as usize)
    }

    /// A step's state.
    pub fn step(&self, step: &StepId) -> Option<&StepState> {
        self.occurrences
            .get(&step.occurrence)?
            .steps
            .get(step.step as usize)
    }

    /// What to store of the job's progress.
    pub fn progress(&self) -> JobProgress {
        let occurrences = self.occurrences.iter().map(|(number, occurrence)| {
            let steps = occurrence.steps.iter().map(StepState::progress).collect();
            (*number, steps)
        });
        JobProgress {
            occurrences: occurrences.collect(),
        }
    }

    /// What every instance needs to answer for the job.
    pub fn summary(&self, wall: UnixMillis) -> JobSummary {
        JobSummary {
            pool: self.record.pool.clone(),
            queue: self.record.queue.clone(),
            state: self.state,
            ended_at: self.state.is_final().then_some(wall),
        }
    }

    /// Whether it counts as waiting: it has no schedule and no task has started.
    pub fn is_waiting(&self) -> bool {
        self.state == JobState::Pending && self.record.spec.schedule.is_none()
    }
}

fn new_occurrence(record: &JobRecord, stored: Option<&Vec<StepProgress>>, due_at: Instant) -> JobOccurrence {
    let steps = record.spec.steps.iter().enumerate().map(|(number, spec)| {
        let progress = stored.and_then(|steps| steps.get(number));
        StepState::new(spec, progress)
    });
    JobOccurrence {
        steps: steps.collect(),
        due_at,
    }
}
