//! Starts jobs: dispatches them fairly, makes room for urgent ones, and checks again right before the start
//! call.

use std::time::Duration;

use crate::journal::fleet_state::FleetState;
use crate::model::amount::SlotCount;
use crate::model::id::{InstanceId, JobId, PoolId, TeamId};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;
use crate::policy::failure_tracker::WorkerVerdict;
use crate::policy::job_event::JobEvent;
use crate::policy::job_queue::{QueuedJob, StartFit};
use crate::policy::placement::PlacementChoice;
use crate::policy::worker_allocation::PlacedTask;
use crate::port::worker::call::WorkerCall;
use crate::port::worker::task::TaskSpec;
use crate::process::job_scheduler::{EventPurpose, JobScheduler, OPEN_TEAM, RoomReservation, StepTime};
use crate::process::job_task::{CallReason, JobAction, JobTask, TaskPhase};
use crate::process::team_counter::RunPermit;

/// Maximum number of urgent jobs per pool for which room is made at the same time.
const MAX_URGENT_RESERVATIONS: usize = 32;

/// Time after which a reservation whose room is not free is dropped and made on another worker. Two attempts
/// and a start fit into the 3.5 s within which urgent work must start.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Minimum interval between readings of other sessions' tasks while urgent work in a pool finds no room.
const SYNC_INTERVAL: Duration = Duration::from_millis(400);

/// Number of workers whose tasks are read in each [`SYNC_INTERVAL`]: the least loaded ones.
const SYNC_WORKERS: usize = 16;

/// Whether a team may start one more task.
pub(crate) enum StartPermission {
    /// The team has no limit.
    Unlimited,
    /// The permit counts the new task against the allowance.
    Permit(RunPermit),
    /// The allowance is used up, or the view is too old to know it.
    Blocked,
}

/// Number of slots that the team may use in this session. Absent, meaning no limit, for the open team without
/// a record.
fn allowance(scheduler: &JobScheduler, state: &FleetState, team: &TeamId) -> Option<SlotCount> {
    let has_record = state.records.teams.contains_key(team);
    if team.as_str() == OPEN_TEAM && !has_record {
        return None;
    }
    Some(state.allowance(team, &scheduler.session))
}

impl JobScheduler {
    /// Assigns waiting jobs to workers that have room.
    pub(crate) fn dispatch(&mut self, time: StepTime, state: &FleetState, is_fresh: bool) {
        for pool in self.queue.pools() {
            while self.start_next(time, state, &pool, is_fresh) {}
        }
    }

    fn start_next(&mut self, time: StepTime, state: &FleetState, pool: &PoolId, is_fresh: bool) -> bool {
        let mut queue = std::mem::take(&mut self.queue);
        let mut chosen = None;
        let job = queue.take_next(time.now, pool, |job| {
            let size = self.sizes.estimate(&job.queue, &job.team, &job.declared);
            match self
                .placement
                .choose_worker(time.now, &job.pool, &job.team, &size, &job.avoided_workers)
            {
                PlacementChoice::PoolFull if job.priority == WorkPriority::Urgent => StartFit::TooLarge,
                PlacementChoice::PoolFull => StartFit::PoolFull,
                PlacementChoice::TooLarge => StartFit::TooLarge,
                PlacementChoice::Worker(instance) => {
                    match self.start_permission(state, &job.team, is_fresh) {
                        StartPermission::Blocked => StartFit::TeamBlocked,
                        StartPermission::Unlimited => {
                            chosen = Some((instance, size, None));
                            StartFit::Start
                        }
                        StartPermission::Permit(permit) => {
                            chosen = Some((instance, size, Some(permit)));
                            StartFit::Start
                        }
                    }
                }
            }
        });
        self.queue = queue;
        let (Some(job), Some((instance, size, permit))) = (job, chosen) else {
            return false;
        };
        self.start_task(time, job, instance, size, permit);
        true
    }

    pub(crate) fn start_permission(
        &self,
        state: &FleetState,
        team: &TeamId,
        is_fresh: bool,
    ) -> StartPermission {
        let Some(allowance) = allowance(self, state, team) else {
            return StartPermission::Unlimited;
        };
        if !is_fresh {
            return StartPermission::Blocked;
        }
        match self.counter.try_start(team, allowance) {
            Some(permit) => StartPermission::Permit(permit),
            None => StartPermission::Blocked,
        }
    }

    fn start_task(
        &mut self,
        time: StepTime,
        mut job: QueuedJob,
        instance: InstanceId,
        size: ResourceSet,
        permit: Option<RunPermit>,
    ) {
        if let Some(room) = self.reservations.remove(&job.id) {
            self.placement.release_reservation(&job.id, &room.instance);
        }
        job.attempts += 1;
        self.placement.add_task(&instance, placed_task(time, &job, size));
        let event = JobEvent::Started {
            job: job.id.clone(),
            attempt: job.attempts,
            instance: instance.clone(),
        };
        let log_result = self.log.push(event).map(|event_id| {
            self.pending_events
                .insert(event_id, EventPurpose::Start(job.id.clone()));
        });
        let phase = if job.repeatable && log_result.is_ok() {
            TaskPhase::Ready
        } else {
            TaskPhase::AwaitingLog
        };
        let id = job.id.clone();
        let task = JobTask {
            job,
            instance,
            permit,
            phase,
            size,
            used: ResourceSet::default(),
            last_renewal: time.now,
            last_confirmed: time.now,
            is_start_confirmed: false,
            is_cancelled: false,
            started_at: time.now,
            is_overdue: false,
        };
        if task.phase == TaskPhase::Ready {
            self.ready_jobs.insert(id.clone());
        }
        self.queue
            .set_running(&task.job.team, u64::from(self.counter.running(&task.job.team)));
        self.add_task(time.now, id, task);
    }

    /// Handles that the `started` event of a job was written.
    pub(crate) fn handle_start_written(&mut self, job: &JobId) {
        if let Some(task) = self.tasks.get_mut(job)
            && task.phase == TaskPhase::AwaitingLog
        {
            task.phase = TaskPhase::Ready;
            self.ready_jobs.insert(job.clone());
        }
    }

    /// Calls the workers of tasks that are ready. Tasks whose worker or allowance changed meanwhile are
    /// requeued.
    pub(crate) fn start_ready(&mut self, time: StepTime, state: &FleetState, is_fresh: bool) {
        let ready = std::mem::take(&mut self.ready_jobs);
        let ready = ready.into_iter().filter(|job| self.tasks.contains_key(job));
        let ready: Vec<JobId> = ready.collect();
        for job in ready {
            if self.may_start(state, &job, is_fresh) {
                self.send_start(time, &job);
            } else {
                self.requeue(time, &job, false);
            }
        }
    }

    fn may_start(&self, state: &FleetState, job: &JobId, is_fresh: bool) -> bool {
        let task = &self.tasks[job];
        let accepts_tasks = self
            .placement
            .worker(&task.instance)
            .is_some_and(|info| info.accepts_tasks);
        let is_allowed = allowance(self, state, &task.job.team).is_none_or(|allowance| {
            let running = self.counter.running(&task.job.team);
            is_fresh && running <= allowance.get()
        });
        accepts_tasks && is_allowed && !task.is_cancelled
    }

    fn send_start(&mut self, time: StepTime, job: &JobId) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        let info = self.placement.worker(&task.instance);
        let (Some(info), Some(target)) = (info, self.targets.get(&task.instance)) else {
            return;
        };
        task.phase = TaskPhase::Starting;
        task.last_renewal = time.now;
        let spec = TaskSpec {
            job: job.clone(),
            attempt: task.job.attempts,
            team: task.job.team.clone(),
            priority: task.job.priority,
            pool: task.job.pool.clone(),
            generation: info.generation,
            session: self.session.clone(),
            lease_ms: task.job.lease.as_millis() as u64,
            resources: task.size,
            repeatable: task.job.repeatable,
            checkpoint: task.job.checkpoint.clone(),
            payload: std::sync::Arc::clone(&task.job.payload),
        };
        self.pending_actions.push(JobAction::Call {
            target: target.clone(),
            call: WorkerCall::Start { task: spec },
            reason: CallReason::Start(job.clone()),
        });
    }

    /// Reserves room for urgent jobs that find none, by preempting overnight tasks.
    pub(crate) fn reserve_urgent_room(&mut self, time: StepTime, state: &FleetState) {
        for pool in self.queue.pools() {
            let jobs = self.queue.urgent_jobs(&pool, MAX_URGENT_RESERVATIONS);
            let jobs: Vec<QueuedJob> = jobs.into_iter().cloned().collect();
            let mut lacks_room = false;
            for job in jobs {
                let is_blocked = allowance(self, state, &job.team)
                    .is_some_and(|allowance| self.counter.running(&job.team) >= allowance.get());
                if !is_blocked {
                    lacks_room |= !self.ensure_reservation(time, state, &pool, &job);
                }
            }
            if lacks_room {
                self.request_running_tasks(time, &pool);
            }
        }
    }

    /// Starts an urgent job on the worker on which room was reserved for it.
    fn start_reserved(&mut self, time: StepTime, state: &FleetState, job: &QueuedJob, instance: InstanceId) {
        let size = self.sizes.estimate(&job.queue, &job.team, &job.declared);
        let permit = match self.start_permission(state, &job.team, true) {
            StartPermission::Blocked => return,
            StartPermission::Unlimited => None,
            StartPermission::Permit(permit) => Some(permit),
        };
        if let Some(job) = self.queue.remove(&job.id) {
            self.start_task(time, job, instance, size, permit);
        }
    }

    /// Starts the job if its reserved room is free, or else makes a reservation. Returns false if no worker
    /// can make room.
    fn ensure_reservation(
        &mut self,
        time: StepTime,
        state: &FleetState,
        pool: &PoolId,
        job: &QueuedJob,
    ) -> bool {
        if let Some(room) = self.reservations.get(&job.id) {
            if self.placement.has_reserved_room(&job.id, &room.instance) {
                self.start_reserved(time, state, job, room.instance.clone());
                return true;
            }
            if time.now.saturating_duration_since(room.since) < RESERVATION_TIMEOUT {
                return true;
            }
            self.placement.release_reservation(&job.id, &room.instance);
            self.reservations.remove(&job.id);
        }
        let size = self.sizes.estimate(&job.queue, &job.team, &job.declared);
        let Some((instance, victims)) = self.placement.preempt(&job.id, pool, &size, &job.avoided_workers)
        else {
            return false;
        };
        self.pending_checkpoints.extend(victims);
        let since = time.now;
        self.reservations
            .insert(job.id.clone(), RoomReservation { instance, since });
        true
    }

    /// Asks the least loaded workers of a pool for their running tasks, to learn of those of other sessions.
    fn request_running_tasks(&mut self, time: StepTime, pool: &PoolId) {
        let last = self.synced_at.get(pool);
        if last.is_some_and(|last| time.now.saturating_duration_since(*last) < SYNC_INTERVAL) {
            return;
        }
        self.synced_at.insert(pool.clone(), time.now);
        let listed = self.placement.least_loaded(pool, SYNC_WORKERS);
        for instance in listed {
            if let Some(target) = self.targets.get(&instance) {
                self.pending_actions.push(JobAction::Call {
                    target: target.clone(),
                    call: WorkerCall::Running,
                    reason: CallReason::ListRunning(instance),
                });
            }
        }
    }

    /// Applies verdicts about workers in this session and reports them to the coordinator.
    pub(crate) fn apply_verdicts(&mut self, verdicts: Vec<WorkerVerdict>) {
        for verdict in verdicts {
            let (instance, accepts_tasks) = match &verdict {
                WorkerVerdict::Quarantine(instance) => (instance, false),
                WorkerVerdict::Probation(instance) | WorkerVerdict::Clear(instance) => (instance, true),
            };
            if let Some(info) = self.placement.worker(instance) {
                let mut info = info.clone();
                info.accepts_tasks = accepts_tasks;
                self.placement.set_worker(instance, info);
            }
            self.pending_actions.push(JobAction::ReportVerdict(verdict));
        }
    }

    /// Sends the stops of tasks that were cancelled or are overdue, and the checkpoints of preempted tasks.
    pub(crate) fn send_stops(&mut self) {
        let stops = std::mem::take(&mut self.pending_stops);
        let checkpoints = std::mem::take(&mut self.pending_checkpoints);
        let stops = stops
            .into_iter()
            .map(|job| (WorkerCall::Stop { job: job.clone() }, job));
        let checkpoints = checkpoints.into_iter();
        let checkpoints = checkpoints.map(|job| (WorkerCall::Checkpoint { job: job.clone() }, job));
        let calls: Vec<(WorkerCall, JobId)> = stops.chain(checkpoints).collect();
        for (call, job) in calls {
            let instance = self.placement.location(&job);
            if let Some(target) = instance.and_then(|instance| self.targets.get(instance)) {
                self.pending_actions.push(JobAction::Call {
                    target: target.clone(),
                    call,
                    reason: CallReason::Stop(job),
                });
            }
        }
    }
}

fn placed_task(time: StepTime, job: &QueuedJob, committed: ResourceSet) -> PlacedTask {
    PlacedTask {
        job: job.id.clone(),
        team: job.team.clone(),
        priority: job.priority,
        repeatable: job.repeatable,
        is_remote: false,
        committed,
        started_at: time.now,
    }
}
