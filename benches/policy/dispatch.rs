//! Jobs of the run, dispatched by the daemon's job queue and water filling.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::model::amount::{MemoryMib, MilliCores, ShareWeight};
use figloft::model::id::{JobId, PoolId, TeamId};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::policy::job_queue::{JobQueue, QueuedJob, StartFit};
use figloft::policy::share::{TeamDemand, WaterFill};

use crate::demand::BenchJob;
use crate::fleet;
use crate::setup::{self, BenchUser};

/// The waiting jobs and the teams' shares.
pub struct Dispatch {
    user: BenchUser,
    queue: JobQueue,
    fill: WaterFill,
    waiting: BTreeMap<JobId, (usize, BenchJob)>,
    counts: BTreeMap<(usize, WorkPriority, usize), usize>,
    next: u64,
    teams: [TeamId; 6],
    pools: [PoolId; 5],
    pub running: [u32; 6],
}

impl Dispatch {
    pub fn new(user: BenchUser) -> Self {
        Self {
            user,
            queue: JobQueue::new(),
            fill: WaterFill::new(0),
            waiting: BTreeMap::new(),
            counts: BTreeMap::new(),
            next: 0,
            teams: std::array::from_fn(|index| fleet::id(&format!("t{index}"))),
            pools: std::array::from_fn(|index| fleet::id(&setup::pool_name(index))),
            running: [0; 6],
        }
    }

    /// Pool of a queue.
    pub fn pool(&self, queue: usize) -> &PoolId {
        &self.pools[queue]
    }

    /// Adds a waiting job; one that ran already goes to the front.
    pub fn push(&mut self, now: Instant, queue: usize, job: BenchJob, is_front: bool) {
        self.next += 1;
        let id: JobId = fleet::id(&format!("j{}", self.next));
        let queued = QueuedJob {
            id: id.clone(),
            queue: fleet::id(&format!("q{queue}")),
            team: self.teams[job.team].clone(),
            pool: self.pools[queue].clone(),
            priority: job.priority,
            declared: ResourceSet::new(MilliCores::new(4000), MemoryMib::new(8192)),
            repeatable: true,
            lease: Duration::from_secs(30),
            payload: "".into(),
            submitted_at: now,
            start_by: None,
            attempts: 0,
            checkpoint: None,
            early_losses: 0,
            avoided_workers: std::collections::BTreeSet::new(),
        };
        *self.counts.entry((queue, job.priority, job.team)).or_default() += 1;
        self.waiting.insert(id, (queue, job));
        if is_front {
            self.queue.push_front(queued);
        } else {
            self.queue.push(queued);
        }
    }

    /// Waiting jobs of a queue in the given priorities.
    pub fn waiting(&self, queue: usize, priorities: &[WorkPriority]) -> usize {
        let of = self
            .counts
            .iter()
            .filter(|((of, priority, _), _)| *of == queue && priorities.contains(priority));
        of.map(|(_, count)| *count).sum()
    }

    /// Waiting overnight jobs of a team in a queue.
    pub fn overnight(&self, queue: usize, team: usize) -> usize {
        self.counts
            .get(&(queue, WorkPriority::Overnight, team))
            .copied()
            .unwrap_or_default()
    }

    /// Slots wanted by each team, up to its limit.
    pub fn wanted(&self) -> [f64; 6] {
        let mut wanted = self.running.map(f64::from);
        for ((_, _, team), count) in &self.counts {
            wanted[*team] += *count as f64;
        }
        let limits = self.user.teams();
        std::array::from_fn(|team| wanted[team].min(f64::from(limits[team].1)))
    }

    /// Sets shares for the given capacity in slots.
    pub fn set_shares(&mut self, slots: f64) {
        self.fill.set_capacity(slots as u64);
        let wanted = self.wanted();
        for (index, (share, limit)) in self.user.teams().into_iter().enumerate() {
            let demand = TeamDemand {
                weight: ShareWeight::new(share),
                demand: wanted[index] as u64,
                limit: u64::from(limit),
            };
            self.fill.set_team(&self.teams[index], demand);
        }
        for index in 0..6 {
            let entitled = self.fill.entitlement(&self.teams[index]);
            self.queue.set_team(&self.teams[index], 0, entitled);
            self.queue
                .set_running(&self.teams[index], u64::from(self.running[index]));
        }
    }

    /// Takes the next job for a pool within the teams' limits.
    pub fn take(&mut self, now: Instant, queue: usize) -> Option<BenchJob> {
        let limits = self.user.teams();
        let running = self.running;
        let teams = &self.teams;
        let fit = |job: &QueuedJob| {
            let team = teams
                .iter()
                .position(|team| *team == job.team)
                .unwrap_or_default();
            if running[team] < limits[team].1 {
                StartFit::Start
            } else {
                StartFit::TeamBlocked
            }
        };
        let queued = self.queue.take_next(now, &self.pools[queue], fit)?;
        let (queue, job) = self.waiting.remove(&queued.id)?;
        if let Some(count) = self.counts.get_mut(&(queue, job.priority, job.team)) {
            *count -= 1;
        }
        self.running[job.team] += 1;
        self.queue
            .set_running(&self.teams[job.team], u64::from(self.running[job.team]));
        Some(job)
    }

    /// Notes the end of a task.
    pub fn ended(&mut self, team: usize) {
        self.running[team] -= 1;
    }
}
