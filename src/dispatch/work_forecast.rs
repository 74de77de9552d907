//! Forecast of the resources that the present jobs will use.
//!
//! By the time a moved instance accepts work, the present runs may have ended and jobs may be in their next
//! step, so the present usage does not tell how much capacity is needed then.

use std::time::{Duration, Instant};

use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::{JobOccurrence, JobRun, StepState};
use crate::model::resource::ResourceSet;

/// Time from a sizing decision until the moved instance accepts work: 1.5 s for the move itself, the rest for
/// its discovery entry, the first poll and the records exchanged between the leaders.
pub const MOVE_LEAD_TIME: Duration = Duration::from_secs(2);

/// Expected start and end of a step, relative to now.
#[derive(Debug, Clone, Copy)]
struct StepWindow {
    start: Duration,
    end: Duration,
}

/// Resources that the tasks of an occurrence will use when [`MOVE_LEAD_TIME`] has passed. A step with waiting
/// tasks is expected to run then, unless the job is late already; the steps that depend on it are not.
pub fn usage_after_lead_time(
    now: Instant,
    job: &JobRun,
    occurrence: &JobOccurrence,
    is_late: bool,
) -> ResourceSet {
    let mut usage = ResourceSet::default();
    let mut windows: Vec<StepWindow> = Vec::with_capacity(occurrence.steps.len());
    for (number, state) in occurrence.steps.iter().enumerate() {
        let spec = &job.record.spec.steps[number];
        let start = earliest_start(spec, |before| windows[before].end);
        let window = step_window(now, spec, state, start, is_late);
        if window.start <= MOVE_LEAD_TIME && MOVE_LEAD_TIME < window.end && !spec.is_long_running {
            usage = usage.plus(&spec.reserved().saturating_mul(state.unfinished as u64));
        }
        windows.push(window);
    }
    usage
}

/// Earliest start of a step, given the ends of its dependencies.
fn earliest_start(spec: &StepSpec, end: impl Fn(usize) -> Duration) -> Duration {
    let ends = spec.depends_on.iter().map(|before| end(*before as usize));
    ends.max().unwrap_or_default()
}

/// Expected start and end of a step that can start at `start`.
fn step_window(
    now: Instant,
    spec: &StepSpec,
    state: &StepState,
    start: Duration,
    is_late: bool,
) -> StepWindow {
    if state.unfinished == 0 {
        return StepWindow { start, end: start };
    }
    let mut left = Duration::ZERO;
    let mut has_waiting = false;
    for task in state.tasks.iter().filter(|task| !task.is_done) {
        match task.copies.first() {
            Some(copy) => {
                let elapsed = now.saturating_duration_since(copy.placed_at);
                left = left.max(spec.estimate.saturating_sub(elapsed));
            }
            None => has_waiting = !is_late,
        }
    }
    if start > Duration::ZERO {
        return StepWindow {
            start,
            end: start + spec.estimate,
        };
    }
    let end = if has_waiting {
        MOVE_LEAD_TIME + spec.estimate
    } else {
        left
    };
    StepWindow { start, end }
}

/// Resources, and the seconds for which they are used, of each step of a job within [`MOVE_LEAD_TIME`] after
/// its submission if it starts at once.
pub fn work_within_lead_time(steps: &[StepSpec]) -> Vec<(ResourceSet, f64)> {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    let mut works = Vec::new();
    for step in steps {
        let start = earliest_start(step, |before| ends[before]);
        let end = start + step.estimate;
        ends.push(end);
        let overlap = end.min(MOVE_LEAD_TIME).saturating_sub(start);
        if !step.is_long_running && !overlap.is_zero() {
            let demand = step.demand.saturating_mul(u64::from(step.tasks));
            works.push((demand, overlap.as_secs_f64()));
        }
    }
    works
}
