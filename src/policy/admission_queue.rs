//! Queue of requests that wait for a slot. The number of waiting requests is bounded per service, a request
//! that would wait too long is refused at once, and slots go by priority and then by fair shares of the
//! teams.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::model::id::{ServiceId, TeamId};
use crate::model::priority::WorkPriority;

/// Weight of the newest run time in the moving mean, in thousandths.
const MEAN_WEIGHT_PERMILLE: u64 = 100;
/// Scale of ranks, so that integer division by shares keeps their order.
const RANK_SCALE: u64 = 1_000_000;

/// Identifies a waiting request; lower numbers arrived earlier.
pub type WaiterId = u64;

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the types of the other fields say what they hold")]
pub struct SlotWaiter {
    pub service: ServiceId,
    pub team: TeamId,
    pub priority: WorkPriority,
    /// Time at which the request is refused if it still waits.
    pub wait_until: Instant,
}

/// Why a request is refused instead of queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The service's maximum number of requests is waiting.
    QueueFull,
    /// The request would wait for about this long, which is longer than it may.
    WaitTooLong(Duration),
    /// The team has no allowance on this session.
    NoAllowance,
}

#[derive(Debug, Default)]
struct TeamState {
    running: u32,
    allowance: u32,
    share: u32,
    /// Scaled number of starts divided by the share, which breaks ties between teams with the same ratio of
    /// running work to share.
    weighted_starts: u64,
}

impl TeamState {
    fn rank(&self) -> (u64, u64) {
        let share = u64::from(self.share.max(1));
        (u64::from(self.running) * RANK_SCALE / share, self.weighted_starts)
    }
}

#[derive(Debug, Default)]
struct PriorityQueue {
    waiting: BTreeMap<TeamId, BTreeSet<WaiterId>>,
    /// Teams with waiting requests that are below their allowance, by rank.
    eligible: BTreeSet<((u64, u64), TeamId)>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    queues: BTreeMap<WorkPriority, PriorityQueue>,
    waiting: u32,
    mean_run_time: Duration,
}

/// Requests that wait for slots of this session. Each operation costs O(log n) in waiting requests.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_waiting: u32,
    next_id: WaiterId,
    waiters: BTreeMap<WaiterId, SlotWaiter>,
    services: BTreeMap<ServiceId, ServiceQueue>,
    teams: BTreeMap<TeamId, TeamState>,
    /// Highest `weighted_starts` of a team at its last start. A team that was idle continues from here, so
    /// that it gains no credit for its idle time.
    min_weighted_starts: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue. `max_waiting` bounds the waiting requests of each service.
    pub fn new(max_waiting: u32) -> Self {
        Self {
            max_waiting,
            next_id: 0,
            waiters: BTreeMap::new(),
            services: BTreeMap::new(),
            teams: BTreeMap::new(),
            min_weighted_starts: 0,
        }
    }

    /// Sets a team's share and its allowance: how much it may have running on this session.
    pub fn set_team(&mut self, team: &TeamId, share: u32, allowance: u32) {
        self.update_team(team, |entry| {
            entry.share = share;
            entry.allowance = allowance;
        });
    }

    /// Sets a team's allowance; ignored for an unknown team.
    pub fn set_allowance(&mut self, team: &TeamId, allowance: u32) {
        if self
            .teams
            .get(team)
            .is_some_and(|entry| entry.allowance != allowance)
        {
            self.update_team(team, |entry| entry.allowance = allowance);
        }
    }

    /// Team of a waiting request; absent if the request no longer waits.
    pub fn waiting_team(&self, id: WaiterId) -> Option<&TeamId> {
        self.waiters.get(&id).map(|waiter| &waiter.team)
    }

    /// Sets the allowance of teams that are no longer listed to 0 and removes those with nothing running.
    pub fn retain_teams(&mut self, is_listed: impl Fn(&TeamId) -> bool) {
        let unlisted: Vec<TeamId> = self
            .teams
            .keys()
            .filter(|team| !is_listed(team))
            .cloned()
            .collect();
        for team in unlisted {
            self.update_team(&team, |entry| entry.allowance = 0);
            if self.teams.get(&team).is_some_and(|entry| entry.running == 0) {
                self.teams.remove(&team);
            }
        }
    }

    /// Adds a waiting request. `usable_slots` are the service's slots on this session, free or not.
    ///
    /// # Errors
    /// The reason if the request is refused at once.
    pub fn enqueue(
        &mut self,
        now: Instant,
        waiter: SlotWaiter,
        usable_slots: u32,
    ) -> Result<WaiterId, AdmissionRefusal> {
        if self
            .teams
            .get(&waiter.team)
            .is_none_or(|team| team.allowance == 0)
        {
            return Err(AdmissionRefusal::NoAllowance);
        }
        let service_queue = self.services.entry(waiter.service.clone()).or_default();
        if service_queue.waiting >= self.max_waiting {
            return Err(AdmissionRefusal::QueueFull);
        }
        let ahead = service_queue.waiting_ahead(waiter.priority);
        let expected = service_queue.mean_run_time * ahead / usable_slots.max(1);
        if expected > waiter.wait_until.saturating_duration_since(now) {
            return Err(AdmissionRefusal::WaitTooLong(expected));
        }
        Ok(self.insert(waiter))
    }

    fn insert(&mut self, waiter: SlotWaiter) -> WaiterId {
        let id = self.next_id;
        self.next_id += 1;
        let floor = self.min_weighted_starts;
        self.update_team(&waiter.team, |team| {
            if team.running == 0 {
                team.weighted_starts = team.weighted_starts.max(floor);
            }
        });
        let team = &self.teams[&waiter.team];
        let service_queue = self.services.entry(waiter.service.clone()).or_default();
        service_queue.waiting += 1;
        let priority = service_queue.queues.entry(waiter.priority).or_default();
        priority
            .waiting
            .entry(waiter.team.clone())
            .or_default()
            .insert(id);
        if team.running < team.allowance {
            priority.eligible.insert((team.rank(), waiter.team.clone()));
        }
        self.waiters.insert(id, waiter);
        id
    }

    /// Returns the request of a service that should start next: the highest priority first and, within a
    /// priority, the team with the lowest ratio of running work to share.
    pub fn next(&self, service: &ServiceId) -> Option<WaiterId> {
        let service_queue = self.services.get(service)?;
        service_queue.queues.values().find_map(|priority| {
            let (_, team) = priority.eligible.first()?;
            priority.waiting.get(team)?.first().copied()
        })
    }

    /// Moves a waiting request to the running ones.
    pub fn start(&mut self, id: WaiterId) -> Option<SlotWaiter> {
        let waiter = self.cancel(id)?;
        let mut floor = self.min_weighted_starts;
        self.update_team(&waiter.team, |team| {
            floor = floor.max(team.weighted_starts);
            team.weighted_starts += RANK_SCALE / u64::from(team.share.max(1));
            team.running += 1;
        });
        self.min_weighted_starts = floor;
        Some(waiter)
    }

    /// Records that a running request of a team ended. `run_time` is absent unless it succeeded.
    pub fn finish(&mut self, service: &ServiceId, team: &TeamId, run_time: Option<Duration>) {
        if let (Some(service_queue), Some(run_time)) = (self.services.get_mut(service), run_time) {
            service_queue.add_run_time(run_time);
        }
        self.update_team(team, |team| team.running = team.running.saturating_sub(1));
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, id: WaiterId) -> Option<SlotWaiter> {
        let waiter = self.waiters.remove(&id)?;
        let rank = self
            .teams
            .get(&waiter.team)
            .map(TeamState::rank)
            .unwrap_or_default();
        let service_queue = self.services.get_mut(&waiter.service)?;
        service_queue.waiting = service_queue.waiting.saturating_sub(1);
        let priority = service_queue.queues.get_mut(&waiter.priority)?;
        if let Some(ids) = priority.waiting.get_mut(&waiter.team) {
            ids.remove(&id);
            if ids.is_empty() {
                priority.waiting.remove(&waiter.team);
                priority.eligible.remove(&(rank, waiter.team.clone()));
            }
        }
        Some(waiter)
    }

    /// Number of requests that a team has running on this session.
    pub fn running_count(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |entry| entry.running)
    }

    /// Number of requests that each team has running on this session.
    pub fn running_by_team(&self) -> BTreeMap<TeamId, u32> {
        self.teams
            .iter()
            .map(|(team, entry)| (team.clone(), entry.running))
            .collect()
    }

    /// Whether the team has used up its allowance. True for an unknown team.
    pub fn is_at_allowance(&self, team: &TeamId) -> bool {
        self.teams
            .get(team)
            .is_none_or(|entry| entry.running >= entry.allowance)
    }

    /// Number of requests that wait for a service.
    pub fn waiting_count(&self, service: &ServiceId) -> u32 {
        self.services
            .get(service)
            .map_or(0, |service_queue| service_queue.waiting)
    }

    /// Moving mean of the run times of a service's successful requests; zero before the first.
    pub fn mean_run_time(&self, service: &ServiceId) -> Duration {
        self.services
            .get(service)
            .map_or(Duration::ZERO, |service_queue| service_queue.mean_run_time)
    }

    /// Number of waiting requests by service, team and priority.
    pub fn waiting_counts(&self) -> BTreeMap<(ServiceId, TeamId, WorkPriority), u32> {
        let mut counts = BTreeMap::new();
        for (service, service_queue) in &self.services {
            for (priority, queue) in &service_queue.queues {
                for (team, ids) in &queue.waiting {
                    counts.insert((service.clone(), team.clone(), *priority), ids.len() as u32);
                }
            }
        }
        counts
    }

    /// Services with waiting requests.
    pub fn waiting_services(&self) -> Vec<ServiceId> {
        let waiting = self
            .services
            .iter()
            .filter(|(_, service_queue)| service_queue.waiting > 0);
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Changes a team and updates its rank in the queues in which it waits.
    fn update_team(&mut self, team: &TeamId, change: impl FnOnce(&mut TeamState)) {
        let entry = self.teams.entry(team.clone()).or_default();
        let old_rank = entry.rank();
        change(entry);
        let new_rank = entry.rank();
        let is_ready = entry.running < entry.allowance;
        for queue in self
            .services
            .values_mut()
            .flat_map(|service| service.queues.values_mut())
        {
            queue.eligible.remove(&(old_rank, team.clone()));
            if is_ready && queue.waiting.contains_key(team) {
                queue.eligible.insert((new_rank, team.clone()));
            }
        }
    }
}

impl ServiceQueue {
    /// Number of requests that would be served before a new one of the given priority.
    fn waiting_ahead(&self, priority: WorkPriority) -> u32 {
        if priority == WorkPriority::Overnight {
            return self.waiting;
        }
        let queues = self.queues.range(..=priority);
        queues
            .flat_map(|(_, queue)| queue.waiting.values())
            .map(|ids| ids.len() as u32)
            .sum()
    }

    fn add_run_time(&mut self, run_time: Duration) {
        if self.mean_run_time.is_zero() {
            self.mean_run_time = run_time;
            return;
        }
        let old = self.mean_run_time.as_micros() as u64 * (1000 - MEAN_WEIGHT_PERMILLE);
        let new = run_time.as_micros() as u64 * MEAN_WEIGHT_PERMILLE;
        self.mean_run_time = Duration::from_micros((old + new) / 1000);
    }
}
