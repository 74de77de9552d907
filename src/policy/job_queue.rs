//! Queued jobs: dispatch order, bounded waiting, early refusal and cancellation.
//!
//! Jobs wait in lanes, one per pool, priority and team, in order of submission. A step costs O(log jobs) and
//! O(teams with waiting jobs in the pool).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{InstanceId, JobId, PoolId, QueueId, TeamId};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;

/// Jobs of one lane that are tried when those before them do not fit; bounds the cost of a step.
const MAX_LOOK_AHEAD: usize = 8;

/// Starts remembered for the estimate of the waiting time.
const RATE_SAMPLES: usize = 64;

/// A queued job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedJob {
    /// The job.
    pub id: JobId,
    /// Queue that took it in.
    pub queue: QueueId,
    /// Team whose work it is.
    pub team: TeamId,
    /// Pool in which it runs.
    pub pool: PoolId,
    /// Priority.
    pub priority: WorkPriority,
    /// Declared resources, which may be far off.
    pub declared: ResourceSet,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Lease time of its tasks.
    pub lease: Duration,
    /// The job's own text, opaque to figloft.
    pub payload: Arc<str>,
    /// Time of submission.
    pub submitted_at: Instant,
    /// Time after which the caller no longer wants it started.
    pub start_by: Option<Instant>,
    /// Attempts made.
    pub attempts: u32,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Workers on which it failed; it is not placed there again.
    pub avoided_workers: BTreeSet<InstanceId>,
}

/// Answer of the caller's test whether a job can start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartFit {
    /// The job starts.
    Start,
    /// The job does not fit anywhere; a smaller one may.
    TooLarge,
    /// The team may not start anything more.
    TeamBlocked,
    /// The pool has no room for any job of this priority.
    PoolFull,
}

/// Lane of a pool, in dispatch order of the priorities.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    priority: WorkPriority,
    team: TeamId,
}

/// Jobs of one pool, priority and team by sequence.
type JobLane = BTreeMap<i64, JobId>;

#[derive(Debug, Clone)]
struct WaitingJob {
    job: QueuedJob,
    sequence: i64,
}

/// Running work and entitlement of one team over the whole fleet, in slots.
#[derive(Debug, Clone, Copy, Default)]
struct TeamLoad {
    local: u64,
    remote: u64,
    entitlement: f64,
}

impl TeamLoad {
    /// Running work per entitlement slot. A team without entitlement comes after all teams that have one.
    fn ratio(&self) -> f64 {
        let running = (self.local + self.remote) as f64;
        if self.entitlement > 0.0 {
            running / self.entitlement
        } else {
            f64::MAX
        }
    }
}

/// The queue of one session.
#[derive(Debug, Clone, Default)]
pub struct JobQueue {
    jobs: BTreeMap<JobId, WaitingJob>,
    pools: BTreeMap<PoolId, BTreeMap<LaneKey, JobLane>>,
    start_by: BTreeSet<(Instant, JobId)>,
    waiting: BTreeMap<QueueId, u32>,
    remote_waiting: BTreeMap<QueueId, u32>,
    teams: BTreeMap<TeamId, TeamLoad>,
    next_sequence: i64,
    /// Jobs put back go before all others of their lane.
    front_sequence: i64,
    recent_starts: BTreeMap<PoolId, VecDeque<Instant>>,
}

impl JobQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// A waiting job.
    pub fn get(&self, job: &JobId) -> Option<&QueuedJob> {
        self.jobs.get(job).map(|waiting| &waiting.job)
    }

    /// Waiting jobs of a queue in this session.
    pub fn waiting(&self, queue: &QueueId) -> u32 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Waiting jobs per pool, team and priority, for demand reports.
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

    /// Sets how many jobs of a queue wait in the other sessions.
    pub fn set_remote_waiting(&mut self, queue: &QueueId, count: u32) {
        self.remote_waiting.insert(queue.clone(), count);
    }

    /// Sets what the team has running in other sessions and what it is entitlement to over the fleet, in slots.
    pub fn set_team(&mut self, team: &TeamId, remote: u64, entitlement: f64) {
        let load = self.teams.entry(team.clone()).or_default();
        load.remote = remote;
        load.entitlement = entitlement;
    }

    /// Sets what the team has running in this session, in slots.
    pub fn set_running(&mut self, team: &TeamId, local: u64) {
        self.teams.entry(team.clone()).or_default().local = local;
    }

    /// Checks that a job may wait. `max_waiting` bounds the jobs of its queue over the fleet; other sessions'
    /// counts lag by a heartbeat.
    ///
    /// # Errors
    /// `queue_full` if the queue is full, `overloaded` if the job would not start in time, `conflict` if the
    /// job id is waiting already.
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

    /// Expected wait of a new job: jobs before it over the recent rate of starts in its pool. Absent if too
    /// few starts are known; urgent jobs preempt and do not wait for others.
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

    /// Adds a job behind the others of its lane. Does nothing if the job waits already.
    pub fn push(&mut self, job: QueuedJob) {
        self.next_sequence += 1;
        self.insert(job, self.next_sequence);
    }

    /// Puts a preempted or failed job before the others of its lane.
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

    /// Removes the jobs whose time to start has passed.
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

    /// Takes the next job to start in a pool: the highest priority first, within it the team with the lowest
    /// ratio of running work to entitlement, within that the order of submission. `fit` decides whether a job
    /// can start now.
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

    /// The waiting urgent jobs of a pool, oldest first, at most `limit`.
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

    /// Removes and returns all jobs, for hand-over to another session.
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
