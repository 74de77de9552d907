//! Queue of waiting jobs: dispatch order, limits on waiting jobs, early refusal and cancellation.
//!
//! Jobs wait in lanes, one per pool, priority and team, in order of submission. Taking a job costs O(log
//! jobs) plus O(n log n) in the teams with waiting jobs in the pool; adding or removing one costs O(log
//! jobs).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{InstanceId, JobId, PoolId, QueueId, TeamId};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;

/// Number of jobs at the front of a lane that are tried when those before them do not fit, which bounds the
/// cost of taking a job.
const MAX_LOOK_AHEAD: usize = 8;

/// Recent starts per pool from which the waiting time is estimated.
const RATE_SAMPLES: usize = 64;

/// A queued job.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the types of the other fields say what they hold")]
pub struct QueuedJob {
    pub id: JobId,
    pub queue: QueueId,
    pub team: TeamId,
    pub pool: PoolId,
    pub priority: WorkPriority,
    /// Resources as the submitter declared them, which may be far off.
    pub declared: ResourceSet,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Lease time of the job's tasks.
    pub lease: Duration,
    /// The submitter's description of the work, opaque to figloft.
    pub payload: Arc<str>,
    pub submitted_at: Instant,
    /// Time after which the job is no longer started; absent if there is no limit.
    pub start_by: Option<Instant>,
    /// Attempts started so far.
    pub attempts: u32,
    /// Checkpoint from which the next attempt resumes.
    pub checkpoint: Option<Arc<str>>,
    /// Attempts that were lost with their worker soon after their start.
    pub early_losses: u32,
    /// Workers on which the job failed. It is not placed there again.
    pub avoided_workers: BTreeSet<InstanceId>,
}

/// Result of the caller's check whether a job can start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartFit {
    /// The job starts.
    Start,
    /// No worker has room for the job. A smaller job may fit.
    TooLarge,
    /// The team may not start any more jobs.
    TeamBlocked,
    /// The pool has no room for any job of this priority.
    PoolFull,
}

/// Identifies a lane of a pool. The order of keys is the dispatch order of the priorities.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    priority: WorkPriority,
    team: TeamId,
}

/// Jobs of one pool, priority and team by sequence number.
type JobLane = BTreeMap<i64, JobId>;

#[derive(Debug, Clone)]
struct WaitingJob {
    job: QueuedJob,
    sequence: i64,
}

/// Running work and entitlement of one team in the whole fleet, in slots.
#[derive(Debug, Clone, Copy, Default)]
struct TeamLoad {
    local: u64,
    remote: u64,
    entitlement: f64,
}

impl TeamLoad {
    /// Running work per slot of entitlement. A team without entitlement is dispatched after all teams that
    /// have one.
    fn ratio(&self) -> f64 {
        let running = (self.local + self.remote) as f64;
        if self.entitlement > 0.0 {
            running / self.entitlement
        } else {
            f64::MAX
        }
    }
}

/// Waiting jobs of one session.
#[derive(Debug, Clone, Default)]
pub struct JobQueue {
    jobs: BTreeMap<JobId, WaitingJob>,
    pools: BTreeMap<PoolId, BTreeMap<LaneKey, JobLane>>,
    start_by: BTreeSet<(Instant, JobId)>,
    waiting: BTreeMap<QueueId, u32>,
    remote_waiting: BTreeMap<QueueId, u32>,
    teams: BTreeMap<TeamId, TeamLoad>,
    next_sequence: i64,
    /// Sequence number of the last job that was put at the front of its lane. These numbers are negative and
    /// decrease, so that such jobs precede all others of their lane.
    front_sequence: i64,
    recent_starts: BTreeMap<PoolId, VecDeque<Instant>>,
}

impl JobQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting jobs in all queues.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// A waiting job; absent if the job does not wait.
    pub fn get(&self, job: &JobId) -> Option<&QueuedJob> {
        self.jobs.get(job).map(|waiting| &waiting.job)
    }

    /// Number of jobs of a queue that wait in this session.
    pub fn waiting(&self, queue: &QueueId) -> u32 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Number of waiting jobs by pool, team and priority, for demand reports.
    pub fn waiting_counts(&self) -> BTreeMap<(PoolId, TeamId, WorkPriority), u64> {
        let mut demand = BTreeMap::new();
        for (pool, lanes) in &self.pools {
            for (key, lane) in lanes {
                demand.insert((pool.clone(), key.team.clone(), key.priority), lane.len() as u64);
            }
        }
        demand
    }

    /// Pools with waiting jobs.
    pub fn pools(&self) -> BTreeSet<PoolId> {
        self.pools.keys().cloned().collect()
    }

    /// Sets the number of jobs of a queue that wait in other sessions.
    pub fn set_remote_waiting(&mut self, queue: &QueueId, count: u32) {
        self.remote_waiting.insert(queue.clone(), count);
    }

    /// Sets a team's running work in other sessions and its entitlement in the fleet, both in slots.
    pub fn set_team(&mut self, team: &TeamId, remote: u64, entitlement: f64) {
        let load = self.teams.entry(team.clone()).or_default();
        load.remote = remote;
        load.entitlement = entitlement;
    }

    /// Sets a team's running work in this session, in slots.
    pub fn set_running(&mut self, team: &TeamId, local: u64) {
        self.teams.entry(team.clone()).or_default().local = local;
    }

    /// Checks that a job may wait. `max_waiting` bounds the jobs of its queue in the whole fleet. The counts
    /// of other sessions are late by up to a heartbeat interval.
    ///
    /// # Errors
    /// `queue_full` if the queue is full, `overloaded` if the job would not start before its `start_by`,
    /// `conflict` if a job of this id waits already.
    pub fn check(&self, now: Instant, job: &QueuedJob, max_waiting: u32) -> Result<()> {
        if self.jobs.contains_key(&job.id) {
            let message = format!("job {} is waiting already", job.id);
            return Err(Error::new(ErrorKind::Conflict, message));
        }
        let remote = self.remote_waiting.get(&job.queue).copied().unwrap_or(0);
        let waiting = self.waiting(&job.queue).saturating_add(remote);
        let expected = self.expected_wait(now, &job.pool, job.priority);
        if waiting >= max_waiting {
            let message = format!("queue {} has {waiting} of {max_waiting} jobs waiting", job.queue);
            let error = Error::new(ErrorKind::QueueFull, message);
            return Err(error.with_retry_after(expected.unwrap_or(Duration::from_secs(1))));
        }
        if let (Some(start_by), Some(expected)) = (job.start_by, expected)
            && now + expected > start_by
        {
            let message = format!("job {} would wait for about {} s", job.id, expected.as_secs());
            return Err(Error::new(ErrorKind::Overloaded, message).with_retry_after(expected));
        }
        Ok(())
    }

    /// Expected waiting time of a new job: the number of jobs before it divided by the recent rate of starts
    /// in its pool. Absent if too few starts have been recorded, and for urgent jobs, which preempt other
    /// work.
    pub fn expected_wait(&self, now: Instant, pool: &PoolId, priority: WorkPriority) -> Option<Duration> {
        if priority == WorkPriority::Urgent {
            return None;
        }
        let starts = self
            .recent_starts
            .get(pool)
            .filter(|starts| starts.len() >= RATE_SAMPLES / 4)?;
        let span = now.saturating_duration_since(*starts.front()?);
        let before: usize = self
            .pool_lanes(pool)
            .filter(|(key, _)| key.priority <= priority)
            .map(|(_, lane)| lane.len())
            .sum();
        Some(span.mul_f64(before as f64 / starts.len() as f64))
    }

    fn pool_lanes(&self, pool: &PoolId) -> impl Iterator<Item = (&LaneKey, &JobLane)> {
        self.pools.get(pool).into_iter().flatten()
    }

    /// Adds a job at the end of its lane. Does nothing if the job waits already.
    pub fn push(&mut self, job: QueuedJob) {
        self.next_sequence += 1;
        self.insert(job, self.next_sequence);
    }

    /// Adds a preempted or failed job at the front of its lane. Does nothing if the job waits already.
    pub fn push_front(&mut self, job: QueuedJob) {
        self.front_sequence -= 1;
        self.insert(job, self.front_sequence);
    }

    fn insert(&mut self, job: QueuedJob, sequence: i64) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let lanes = self.pools.entry(job.pool.clone()).or_default();
        let lane = lanes.entry(lane_key(&job)).or_default();
        lane.insert(sequence, job.id.clone());
        if let Some(start_by) = job.start_by {
            self.start_by.insert((start_by, job.id.clone()));
        }
        *self.waiting.entry(job.queue.clone()).or_insert(0) += 1;
        let id = job.id.clone();
        self.jobs.insert(id, WaitingJob { job, sequence });
    }

    /// Removes a waiting job, O(log jobs).
    pub fn remove(&mut self, job: &JobId) -> Option<QueuedJob> {
        let WaitingJob { job, sequence } = self.jobs.remove(job)?;
        self.remove_from_lane(&job, sequence);
        if let Some(start_by) = job.start_by {
            self.start_by.remove(&(start_by, job.id.clone()));
        }
        if let Some(count) = self.waiting.get_mut(&job.queue) {
            *count -= 1;
        }
        Some(job)
    }

    fn remove_from_lane(&mut self, job: &QueuedJob, sequence: i64) {
        let Some(lanes) = self.pools.get_mut(&job.pool) else {
            return;
        };
        let key = lane_key(job);
        if let Some(lane) = lanes.get_mut(&key) {
            lane.remove(&sequence);
            if lane.is_empty() {
                lanes.remove(&key);
            }
        }
        if lanes.is_empty() {
            self.pools.remove(&job.pool);
        }
    }

    /// Removes the jobs whose `start_by` has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedJob> {
        let mut expired = Vec::new();
        while let Some((start_by, job)) = self.start_by.first()
            && *start_by <= now
        {
            let job = job.clone();
            expired.extend(self.remove(&job));
        }
        expired
    }

    /// Removes and returns the next job to start in a pool: the highest priority first, within a priority the
    /// team with the lowest ratio of running work to entitlement, and within a team the order of submission.
    /// `fit` tells whether a job can start now.
    pub fn take_next(
        &mut self,
        now: Instant,
        pool: &PoolId,
        mut fit: impl FnMut(&QueuedJob) -> StartFit,
    ) -> Option<QueuedJob> {
        let id = self.find_job(pool, &mut fit)?;
        let job = self.remove(&id)?;
        let starts = self.recent_starts.entry(pool.clone()).or_default();
        if starts.len() == RATE_SAMPLES {
            starts.pop_front();
        }
        starts.push_back(now);
        Some(job)
    }

    fn find_job(&self, pool: &PoolId, fit: &mut impl FnMut(&QueuedJob) -> StartFit) -> Option<JobId> {
        for priority in WorkPriority::ALL {
            let mut lanes = self.lanes_by_ratio(pool, priority);
            lanes.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (_, lane) in lanes {
                match self.search_lane(lane, fit) {
                    LaneSearch::Found(id) => return Some(id),
                    LaneSearch::Nothing => {}
                    LaneSearch::PoolFull => return None,
                }
            }
        }
        None
    }

    fn lanes_by_ratio(&self, pool: &PoolId, priority: WorkPriority) -> Vec<(f64, &JobLane)> {
        let lanes = self.pool_lanes(pool).filter(|(key, _)| key.priority == priority);
        let rated = lanes.map(|(key, lane)| {
            let load = self.teams.get(&key.team).copied().unwrap_or_default();
            (load.ratio(), lane)
        });
        rated.collect()
    }

    fn search_lane(&self, lane: &JobLane, fit: &mut impl FnMut(&QueuedJob) -> StartFit) -> LaneSearch {
        for id in lane.values().take(MAX_LOOK_AHEAD) {
            match fit(&self.jobs[id].job) {
                StartFit::Start => return LaneSearch::Found(id.clone()),
                StartFit::TooLarge => {}
                StartFit::TeamBlocked => return LaneSearch::Nothing,
                StartFit::PoolFull => return LaneSearch::PoolFull,
            }
        }
        LaneSearch::Nothing
    }

    /// Waiting urgent jobs of a pool, oldest first, at most `limit`.
    pub fn urgent_jobs(&self, pool: &PoolId, limit: usize) -> Vec<&QueuedJob> {
        let lanes = self
            .pool_lanes(pool)
            .filter(|(key, _)| key.priority == WorkPriority::Urgent);
        let ids = lanes.flat_map(|(_, lane)| lane.values().take(limit));
        let mut jobs: Vec<&QueuedJob> = ids.map(|id| &self.jobs[id].job).collect();
        jobs.sort_by(|a, b| (a.submitted_at, &a.id).cmp(&(b.submitted_at, &b.id)));
        jobs.truncate(limit);
        jobs
    }

    /// Removes and returns all jobs, so that they can be handed over to another session.
    pub fn drain(&mut self) -> Vec<QueuedJob> {
        let mut waiting: Vec<WaitingJob> = std::mem::take(&mut self.jobs).into_values().collect();
        self.pools.clear();
        self.start_by.clear();
        self.waiting.clear();
        waiting.sort_by_key(|waiting| waiting.sequence);
        waiting.into_iter().map(|waiting| waiting.job).collect()
    }
}

enum LaneSearch {
    Found(JobId),
    Nothing,
    PoolFull,
}

fn lane_key(job: &QueuedJob) -> LaneKey {
    LaneKey {
        priority: job.priority,
        team: job.team.clone(),
    }
}
