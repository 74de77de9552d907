//! Starts of gangs, whose members run together or not at all.
//!
//! Free resources decide whether a gang fits; how many starts a worker is sent at once is a matter of pace. Room for
//! all members is therefore taken before the first start is sent, and those beyond the pace of a worker follow as it
//! answers the earlier ones. A gang that cannot be completed gives its room back: starts that were not sent are dropped,
//! and members that may run are stopped.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use crate::dispatch::command::{PoolCommand, RunId, StartCommand};
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::TaskState;
use crate::dispatch::placement::{self, PlacementRequest};
use crate::dispatch::pool_scheduler::{PoolScheduler, request_stops};
use crate::dispatch::task_id::StepId;
use crate::dispatch::worker_state::{RunPhase, WorkerState};
use crate::model::id::{JobId, OrganisationId, RunNumber, WorkerId};

/// Part of the time for which members wait for the others within which all starts of a gang are sent, as a fraction. The
/// rest is for the last start on its way.
const SENDING_PART: (u32, u32) = (2, 3);

/// Gang of which not all members are known to run.
#[derive(Debug, Clone, Copy)]
struct OpenGang {
    run: RunNumber,
    placed_at: Instant,
}

/// Gangs that are being started.
#[derive(Debug, Default)]
pub(super) struct GangStarts {
    /// Starts that wait until their worker has answered earlier ones.
    queued: BTreeMap<WorkerId, VecDeque<StartCommand>>,
    open: BTreeMap<StepId, OpenGang>,
    /// Gangs for which there was no room at their latest try.
    without_room: BTreeSet<StepId>,
}

impl GangStarts {
    /// Forgets gangs of a job that has ended.
    pub(super) fn forget_job(&mut self, job: &JobId) {
        self.without_room.retain(|step| step.job != *job);
    }

    /// Notes that there is no room for the gang.
    pub(super) fn note_lack_of_room(&mut self, step: &StepId) {
        self.without_room.insert(step.clone());
    }

    /// Whether there was no room for the gang at its latest try.
    pub(super) fn lacks_room(&self, step: &StepId) -> bool {
        self.without_room.contains(step)
    }
}

impl PoolScheduler {
    /// Starts all members of a gang with the same run number, or none of them.
    pub(super) fn start_gang(
        &mut self,
        now: Instant,
        step: &StepId,
        spec: &StepSpec,
        organisation: Option<&OrganisationId>,
        members: &[u32],
        commands: &mut Vec<PoolCommand>,
    ) {
        let run = members
            .iter()
            .map(|index| self.next_run_number(&step.task(*index)))
            .max();
        let Some(run) = run else {
            return;
        };
        let demand = spec.demand.saturating_mul(members.len() as u64);
        if !self.may_use_limit(now, step, organisation, &demand) {
            return;
        }
        if !self.has_room_for_gang(now, step, spec, members) {
            self.gang_starts.note_lack_of_room(step);
            return;
        }
        let has_advice = self.advice.contains_key(step);
        // Raised in steps, so that the members are spread and no worker's queue becomes long.
        let mut max_pending = placement::MAX_PENDING_STARTS;
        let mut gang = Vec::new();
        let mut placed: Vec<(WorkerId, RunId)> = Vec::new();
        for index in members {
            let task = step.task(*index);
            let is_suspect = self.task(&task).is_some_and(TaskState::is_suspect);
            let worker = if is_suspect {
                self.choose_worker_for_suspect(now, &task, spec)
            } else {
                let highest = placement::MAX_PENDING_STARTS + members.len() as u32;
                let mut worker = None;
                while worker.is_none() && max_pending <= highest {
                    worker = self.choose_paced_worker(now, &task, spec, has_advice, max_pending);
                    if worker.is_none() {
                        max_pending += placement::MAX_PENDING_STARTS;
                    }
                }
                worker
            };
            let Some(worker) = worker else {
                for (worker, run) in placed {
                    if let Some(state) = self.workers.get_mut(&worker) {
                        state.starts_in_flight = state.starts_in_flight.saturating_sub(1);
                    }
                    self.drop_run(now, &worker, &run, false);
                }
                return;
            };
            if is_suspect {
                self.record_start(&task, &worker, run);
            }
            self.place_task(now, &worker, &task, run, spec, organisation, &mut gang);
            placed.push((worker, RunId { task, number: run }));
        }
        self.gang_starts.without_room.remove(step);
        let open = OpenGang { run, placed_at: now };
        self.gang_starts.open.insert(step.clone(), open);
        self.queue_excess_starts(&mut gang);
        commands.append(&mut gang);
    }

    /// Whether the workers have room for all members of a gang. Suspects among them choose their workers one by one.
    fn has_room_for_gang(&self, now: Instant, step: &StepId, spec: &StepSpec, members: &[u32]) -> bool {
        let tasks = || members.iter().map(|index| step.task(*index));
        let is_suspect = |task| self.task(&task).is_some_and(TaskState::is_suspect);
        let Some(first) = tasks().next().filter(|_| !tasks().any(is_suspect)) else {
            return true;
        };
        let has_advice = self.advice.contains_key(step);
        let Some(request) = self.placement_request(&first, spec, has_advice) else {
            return false;
        };
        let request = PlacementRequest {
            max_pending: u32::MAX,
            ..request
        };
        let mut room = 0_u64;
        for worker in self.workers.values() {
            if placement::is_candidate(now, worker, &request) {
                room = room.saturating_add(count_room(worker, step, spec));
            }
            if room >= members.len() as u64 {
                return true;
            }
        }
        false
    }

    /// Moves the starts beyond the pace of their worker from `commands` to the queue.
    fn queue_excess_starts(&mut self, commands: &mut Vec<PoolCommand>) {
        for command in std::mem::take(commands).into_iter().rev() {
            if let PoolCommand::Start(start) = &command
                && let Some(worker) = self.workers.get_mut(&start.target.worker)
                && worker.starts_in_flight > placement::MAX_PENDING_STARTS
            {
                worker.starts_in_flight -= 1;
                let queue = self.gang_starts.queued.entry(start.target.worker.clone());
                queue.or_default().push_front(start.clone());
            } else {
                commands.push(command);
            }
        }
        commands.reverse();
    }

    /// Sends queued starts to the workers that have answered earlier ones, and gives up gangs that cannot be completed.
    pub(super) fn continue_gangs(&mut self, now: Instant, commands: &mut Vec<PoolCommand>) {
        if self.gang_starts.open.is_empty() {
            return;
        }
        let gangs: Vec<(StepId, OpenGang)> = self
            .gang_starts
            .open
            .iter()
            .map(|(step, gang)| (step.clone(), *gang))
            .collect();
        for (step, gang) in gangs {
            match self.gang_progress(now, &step, gang) {
                GangProgress::Starting => {}
                GangProgress::Running => {
                    self.gang_starts.open.remove(&step);
                }
                // The end of the job has requested the stops.
                GangProgress::Ended => {
                    self.drop_unsent_starts(now, &step);
                }
                GangProgress::Broken(reason) => self.give_up_gang(now, &step, gang, reason),
            }
        }
        let lease = self.timing.lease;
        for (id, queue) in &mut self.gang_starts.queued {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            while worker.starts_in_flight < placement::MAX_PENDING_STARTS
                && let Some(mut start) = queue.pop_front()
            {
                // The lease may have been extended since the start was decided.
                let Some(deadline_ms) = worker.lease.grant(now, lease) else {
                    queue.push_front(start);
                    break;
                };
                start.deadline_ms = deadline_ms;
                if let Some(placed) = worker.runs.get_mut(&start.run.task) {
                    placed.deadline_ms = deadline_ms;
                }
                worker.starts_in_flight += 1;
                commands.push(PoolCommand::Start(start));
            }
        }
        self.gang_starts.queued.retain(|_, queue| !queue.is_empty());
    }

    fn gang_progress(&self, now: Instant, step: &StepId, gang: OpenGang) -> GangProgress {
        let job = self.jobs.get(&step.job).filter(|job| !job.state.is_final());
        let Some(state) = job.and_then(|job| job.step(step)) else {
            return GangProgress::Ended;
        };
        if state.unfinished == 0 {
            return GangProgress::Running;
        }
        let mut is_confirmed = true;
        for (index, task) in (0..).zip(&state.tasks) {
            let Some(copy) = task.copies.iter().find(|copy| copy.run == gang.run) else {
                return GangProgress::Broken("a member was refused or lost");
            };
            let worker = self.workers.get(&copy.worker);
            let placed = worker.and_then(|worker| worker.runs.get(&step.task(index)));
            is_confirmed &= placed.is_some_and(|placed| placed.phase == RunPhase::Running);
        }
        let is_queued = |start: &&StartCommand| start.run.task.step == *step;
        let mut waiting = self
            .gang_starts
            .queued
            .iter()
            .filter(|(_, queue)| queue.iter().any(|start| is_queued(&start)));
        let is_unusable = |id: &WorkerId| {
            let worker = self.workers.get(id);
            self.evacuating.contains(id) || !worker.is_some_and(|worker| worker.is_usable(now))
        };
        let max_sending_time = self.timing.gang_wait * SENDING_PART.0 / SENDING_PART.1;
        let is_late = now.saturating_duration_since(gang.placed_at) > max_sending_time;
        if waiting.any(|(id, _)| is_late || is_unusable(id)) {
            GangProgress::Broken("a worker takes no more starts")
        } else if is_confirmed {
            GangProgress::Running
        } else {
            GangProgress::Starting
        }
    }

    /// Forgets a gang and drops those of its starts that were not sent. Returns their number.
    fn drop_unsent_starts(&mut self, now: Instant, step: &StepId) -> usize {
        self.gang_starts.open.remove(step);
        let mut dropped: Vec<(WorkerId, RunId)> = Vec::new();
        for (worker, queue) in &mut self.gang_starts.queued {
            let own = queue.iter().filter(|start| start.run.task.step == *step);
            dropped.extend(own.map(|start| (worker.clone(), start.run.clone())));
            queue.retain(|start| start.run.task.step != *step);
        }
        for (worker, run) in &dropped {
            self.drop_run(now, worker, run, false);
        }
        dropped.len()
    }

    /// Drops the starts of a gang that were not sent and stops its other members.
    fn give_up_gang(&mut self, now: Instant, step: &StepId, gang: OpenGang, reason: &str) {
        let dropped = self.drop_unsent_starts(now, step);
        let Some(state) = self.jobs.get(&step.job).and_then(|job| job.step(step)) else {
            return;
        };
        let mut stopped = 0;
        for (index, task) in (0..).zip(&state.tasks) {
            let copies = task.copies.iter().filter(|copy| copy.run == gang.run);
            stopped += copies.clone().count();
            request_stops(
                &mut self.workers,
                &step.task(index),
                copies.map(|copy| &copy.worker),
            );
        }
        let inputs = format!(
            "step {step}, run {}: {reason}; {dropped} starts not sent, {stopped} members stopped",
            gang.run
        );
        self.note("gang given up", Some(step.job.clone()), None, inputs);
    }
}

/// State of a gang that is being started.
enum GangProgress {
    /// Starts wait to be sent or confirmed.
    Starting,
    /// All members are confirmed.
    Running,
    /// Its job has ended.
    Ended,
    /// The gang cannot be completed, for this reason.
    Broken(&'static str),
}

/// Number of tasks of a step for which a worker has room.
pub(super) fn count_room(worker: &WorkerState, step: &StepId, spec: &StepSpec) -> u64 {
    let free = worker
        .free()
        .to_array()
        .into_iter()
        .zip(spec.reserved().to_array());
    let fitting = free.filter_map(|(free, needed)| free.checked_div(needed)).min();
    let places = spec
        .max_per_worker
        .map(|max| u64::from(max.saturating_sub(worker.count_step(step))));
    fitting.unwrap_or(u64::MAX).min(places.unwrap_or(u64::MAX))
}
