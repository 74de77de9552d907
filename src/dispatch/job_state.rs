//! State of jobs, steps and tasks in the pool leader.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::command::RunId;
use crate::dispatch::job_record::{JobProgress, JobRecord, JobState, JobSummary, StepProgress};
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::queue_work::JobSize;
use crate::dispatch::run_loss::{LossHistory, RunLoss};
use crate::dispatch::task_checkpoint::TaskCheckpoint;
use crate::dispatch::task_id::StepId;
use crate::model::id::{RunNumber, WorkerId};
use crate::model::unix_time::UnixMillis;

/// A run of a task that is active, or may be. A task can have several at a time, for example a speculative
/// one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCopy {
    /// Worker to which the start command was sent.
    pub worker: WorkerId,
    /// Number of the run among the runs of its task.
    pub run: RunNumber,
    /// Time at which the start command was sent or the run was first reported.
    pub placed_at: Instant,
}

/// State of one task.
#[derive(Debug, Clone, Default)]
pub struct TaskState {
    /// Whether one of its runs has completed.
    pub is_done: bool,
    /// Failed runs; for a gang, those of all its tasks are counted with the first one.
    pub failures: BTreeSet<RunNumber>,
    /// Runs that are active, or may be.
    pub copies: Vec<TaskCopy>,
    /// Workers on which the task failed and should not run again.
    pub avoided_workers: BTreeSet<WorkerId>,
    /// Earliest time of the next start; absent if the task may start at once.
    pub ready_at: Option<Instant>,
    /// Highest run number used so far.
    pub last_run: RunNumber,
    /// Runs that were lost with their worker.
    pub losses: LossHistory,
    /// Runs in this term that were stopped because they made no progress.
    pub stalled_runs: u32,
    /// Time since which the task waits for an isolated worker; absent if it does not.
    pub suspect_since: Option<Instant>,
}

impl TaskState {
    /// Whether the task can be started at `now`, apart from dependencies and resources.
    pub fn is_waiting(&self, now: Instant) -> bool {
        !self.is_done && self.copies.is_empty() && self.ready_at.is_none_or(|at| at <= now)
    }

    /// Whether the task may crash the workers on which it starts.
    pub fn is_suspect(&self) -> bool {
        !self.is_done && self.losses.is_suspect()
    }
}

/// State of one step in one occurrence of a job.
#[derive(Debug, Clone, Default)]
pub struct StepState {
    /// State of each task by its index.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that have not completed.
    pub unfinished: usize,
    /// Checkpoint of each task by its index; a gang has one, that of the first index.
    checkpoints: Vec<TaskCheckpoint>,
}

impl StepState {
    fn new(spec: &StepSpec, progress: Option<&StepProgress>) -> Self {
        let mut tasks = vec![TaskState::default(); spec.tasks as usize];
        if let Some(progress) = progress {
            for (index, task) in tasks.iter_mut().enumerate() {
                let index = index as u32;
                task.is_done = progress.done.contains(&index);
                task.failures = progress.failures.get(&index).cloned().unwrap_or_default();
                task.losses = progress.losses.get(&index).cloned().unwrap_or_default();
            }
        }
        let unfinished = tasks.iter().filter(|task| !task.is_done).count();
        let stored = progress.map(|progress| &progress.checkpoints);
        let stored = |index: u32| stored?.get(&index).cloned().map(TaskCheckpoint::new);
        let checkpoints = if spec.is_gang {
            // An earlier version stored one for each member, of which any is valid.
            vec![(0..spec.tasks).find_map(stored).unwrap_or_default()]
        } else {
            (0..spec.tasks)
                .map(|index| stored(index).unwrap_or_default())
                .collect()
        };
        Self {
            tasks,
            unfinished,
            checkpoints,
        }
    }

    /// Checkpoint from which a task resumes, which the members of a gang share.
    pub fn checkpoint(&self, index: u32) -> Option<&TaskCheckpoint> {
        let last = self.checkpoints.len().checked_sub(1)?;
        self.checkpoints.get(last.min(index as usize))
    }

    /// The same, for changes.
    pub fn checkpoint_mut(&mut self, index: u32) -> Option<&mut TaskCheckpoint> {
        let last = self.checkpoints.len().checked_sub(1)?;
        self.checkpoints.get_mut(last.min(index as usize))
    }

    /// Whether a task may crash the workers on which it starts.
    pub fn has_suspects(&self) -> bool {
        self.tasks.iter().any(TaskState::is_suspect)
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
            let own = self.checkpoints.get(index as usize).map(TaskCheckpoint::value);
            if let Some(checkpoint) = own.filter(|checkpoint| !checkpoint.is_empty()) {
                progress.checkpoints.insert(index, Arc::clone(checkpoint));
            }
            if !task.losses.is_empty() {
                progress.losses.insert(index, task.losses.clone());
            }
        }
        progress
    }
}

/// One occurrence of a job; a job without a schedule has exactly one.
#[derive(Debug, Clone)]
pub struct JobOccurrence {
    /// State of each step, in the order of the specification.
    pub steps: Vec<StepState>,
    /// Time from which the target duration counts.
    pub due_at: Instant,
}

impl JobOccurrence {
    /// Whether all tasks have completed.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }
}

/// A job that has not reached a final state, or whose final state has not been stored.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct JobRun {
    /// Stored record of the job.
    pub record: JobRecord,
    /// For each step, the estimated length of the longest dependency path from its start to the end of the
    /// job.
    pub critical_paths: Vec<Duration>,
    /// Target duration of the job from acceptance, or of an occurrence from its due time.
    pub objective: Duration,
    /// Whether the estimated work is clearly above the average of the pool.
    pub is_large: bool,
    /// Size among the jobs of its queue; only known if the order of starts depends on the cost of delay.
    pub size: JobSize,
    /// Occurrences that have started, by number.
    pub occurrences: BTreeMap<u32, JobOccurrence>,
    /// State as shown to clients.
    pub state: JobState,
    /// Time of the last search for a worker that the job has for itself.
    pub isolation_search_at: Option<Instant>,
    /// Why the job ended; absent before that.
    pub end_reason: Option<Arc<str>>,
    /// Whether the client has cancelled the job. The stored cancellation is then deleted with the job.
    pub is_cancelled: bool,
    /// Whether `state` has changed since it was last stored.
    pub has_unsaved_state: bool,
    /// Whether the progress has changed since it was last stored.
    pub has_unsaved_progress: bool,
    /// Whether the store may hold the progress of the job, which is deleted with the job.
    pub has_stored_progress: bool,
    /// Whether the job was accepted before this leader's term.
    pub is_recovered: bool,
    /// Whether the job exceeds the submission rate of its organisation.
    pub is_over_rate: bool,
    /// Number of the oldest change for which no write has started.
    pub oldest_unsaved_change: Option<u64>,
    /// Number of the newest change; 0 if there was none in this term.
    pub last_change: u64,
    /// Time at which the job was accepted.
    pub accepted_at: Instant,
}

impl JobRun {
    /// Creates the state of an accepted job from its record and, if it was started by a previous leader, its
    /// stored progress.
    pub fn new(record: JobRecord, progress: Option<&JobProgress>, accepted_at: Instant) -> Self {
        let critical_paths = record.spec.critical_paths();
        let longest = critical_paths.iter().copied().max().unwrap_or_default();
        let objective = record.rule.objective(longest);
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
            size: JobSize::default(),
            record,
            critical_paths,
            objective,
            occurrences,
            state: JobState::Pending,
            isolation_search_at: None,
            end_reason: None,
            is_cancelled: false,
            has_unsaved_state: false,
            has_unsaved_progress: false,
            has_stored_progress: progress.is_some(),
            is_recovered: false,
            is_over_rate: false,
            oldest_unsaved_change: None,
            last_change: 0,
            accepted_at,
        }
    }

    /// Starts the occurrences that are due at `wall_time` or within `early` after it.
    pub fn start_due_occurrences(&mut self, now: Instant, wall_time: UnixMillis, early: Duration) {
        let Some(schedule) = self.record.spec.schedule else {
            return;
        };
        let first = self.occurrences.keys().next_back().map_or(0, |last| last + 1);
        for number in first..schedule.count {
            let due = schedule.due(number).get();
            if due > wall_time.get() + early.as_millis() as u64 {
                return;
            }
            let late = Duration::from_millis(wall_time.get().saturating_sub(due));
            let due_at = now.checked_sub(late).unwrap_or(now);
            let occurrence = new_occurrence(&self.record, None, due_at);
            self.occurrences.insert(number, occurrence);
        }
    }

    /// Due time of the next occurrence that has not started; `None` if there is none.
    pub fn next_due(&self) -> Option<UnixMillis> {
        let schedule = self.record.spec.schedule?;
        let next = self.occurrences.keys().next_back().map_or(0, |last| last + 1);
        (next < schedule.count).then(|| schedule.due(next))
    }

    /// Whether all tasks of all occurrences have completed.
    pub fn is_done(&self) -> bool {
        let count = self.record.spec.schedule.map_or(1, |schedule| schedule.count);
        self.occurrences.len() as u32 >= count && self.occurrences.values().all(JobOccurrence::is_done)
    }

    /// Whether all dependencies of a step have completed.
    pub fn is_step_ready(&self, occurrence: &JobOccurrence, step: usize) -> bool {
        let after = &self.record.spec.steps[step].depends_on;
        after
            .iter()
            .all(|before| occurrence.steps[*before as usize].unfinished == 0)
    }

    /// State of a step, if its occurrence has started.
    pub fn step_mut(&mut self, step: &StepId) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(&step.occurrence)?;
        occurrence.steps.get_mut(step.step as usize)
    }

    /// State of a step, if its occurrence has started.
    pub fn step(&self, step: &StepId) -> Option<&StepState> {
        self.occurrences
            .get(&step.occurrence)?
            .steps
            .get(step.step as usize)
    }

    /// Progress to store.
    pub fn progress(&self) -> JobProgress {
        let occurrences = self.occurrences.iter().map(|(number, occurrence)| {
            let steps = occurrence.steps.iter().map(StepState::progress).collect();
            (*number, steps)
        });
        JobProgress {
            occurrences: occurrences.collect(),
        }
    }

    /// Summary to store. If the state is final, `wall_time` becomes the end time.
    pub fn summary(&self, wall_time: UnixMillis) -> JobSummary {
        JobSummary {
            pool: self.record.pool.clone(),
            queue: self.record.queue.clone(),
            state: self.state,
            ended_at: self.state.is_final().then_some(wall_time),
            reason: self.end_reason.clone().filter(|_| self.state == JobState::Failed),
            is_early_cancellation: false,
        }
    }

    /// Whether a task may crash the workers on which it starts.
    pub fn has_suspects(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        !self.state.is_final() && steps.any(StepState::has_suspects)
    }

    /// Recorded losses of all tasks.
    pub fn recorded_losses(&self) -> impl Iterator<Item = (RunId, RunLoss)> {
        let steps = self.occurrences.iter().flat_map(|(number, occurrence)| {
            let steps = (0_u32..).zip(&occurrence.steps);
            steps.map(|(step, state)| (StepId::new(self.record.id.clone(), *number, step), state))
        });
        steps.flat_map(|(step, state)| {
            let tasks = (0_u32..).zip(&state.tasks);
            tasks.flat_map(move |(index, task)| {
                let id = step.task(index);
                task.losses.iter().map(move |(number, loss)| {
                    let task = id.clone();
                    (RunId { task, number }, loss.clone())
                })
            })
        })
    }

    /// Whether the job counts as waiting: it has no schedule, and no task has started.
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
