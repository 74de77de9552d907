//! Sizes of pools: which instances to evacuate, and to which pool evacuated and spare instances move.
//!
//! Load peaks shift between queues: for some seconds one queue needs several times its average capacity and
//! the others need little. Instances are therefore moved to the pools under load; those that no pool needs
//! are kept in the spare pool, where they cost nothing. A pool grows at once but shrinks only after its
//! demand has been low for a while, because a move costs about as much as running an instance for one second
//! and takes longer than that.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::dispatch::pool_plan::PoolReport;
use crate::dispatch::wave_plan::{InstanceEntry, InstanceOutcome, InstanceState};
use crate::model::id::{InstanceId, PoolId, ZoneId};
use crate::model::resource::ResourceSet;

/// Fraction of the capacity of a pool that tasks can use; the rest is lost to fragmentation.
const MAX_UTILISATION: f64 = 0.95;

/// Time for which the demand of a pool has to be low before instances are evacuated.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(1);

/// Minimum number of workers of a pool, so that the first job after an idle period can start at once.
const MIN_WORKERS: u32 = 2;

/// Delay before a refused move is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which a moved instance that has not appeared in its new pool no longer counts as capacity
/// there.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// An instance whose move was accepted and that has not appeared in its new pool yet.
#[derive(Debug, Clone)]
struct PoolArrival {
    to: PoolId,
    accepted_at: Instant,
}

/// Needed and available workers of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolNeed {
    /// Number of workers that the demand requires.
    pub target: u32,
    /// Number of workers that accept work, plus instances that are being moved to the pool.
    pub available: u32,
}

/// A move of an instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceMove {
    /// Instance to move.
    pub instance: InstanceId,
    /// Destination pool.
    pub to: PoolId,
}

/// Input of a sizing decision.
#[derive(Debug, Clone, Copy)]
pub struct SizingInput<'a> {
    /// Pools that run tasks, that is, all but the spare pool.
    pub pools: &'a [PoolId],
    /// Pool whose instances are switched off; without one no pool shrinks.
    pub spare: Option<&'a PoolId>,
    /// Latest report of each pool; a pool without a report is not resized.
    pub reports: &'a BTreeMap<PoolId, PoolReport>,
    /// Instances as listed by the platform.
    pub instances: &'a BTreeMap<InstanceId, InstanceEntry>,
    /// Instances that are evacuated for maintenance and must not be moved.
    pub reserved: &'a BTreeSet<InstanceId>,
    /// Zones under evacuation. Their instances are no capacity, and are moved to no pool that runs tasks.
    pub closed_zones: &'a BTreeSet<ZoneId>,
}

impl SizingInput<'_> {
    /// Whether the instance is in a zone under evacuation.
    fn is_closed(&self, id: &InstanceId) -> bool {
        let entry = self.instances.get(id);
        entry.is_some_and(|entry| entry.is_in(self.closed_zones))
    }
}

/// Decides on the sizes of the pools and keeps track of evacuations and moves.
#[derive(Debug, Clone, Default)]
pub struct PoolSizer {
    evacuating: BTreeSet<InstanceId>,
    arrivals: BTreeMap<InstanceId, PoolArrival>,
    low_demand_since: BTreeMap<PoolId, Instant>,
    /// Pools that have run jobs other than long-running ones. The others keep their instances for their first
    /// jobs.
    used_pools: BTreeSet<PoolId>,
    retry_at: BTreeMap<InstanceId, Instant>,
    /// Moves without an outcome yet, with their destination.
    moves_in_flight: BTreeMap<InstanceId, PoolId>,
    needs: BTreeMap<PoolId, PoolNeed>,
}

impl PoolSizer {
    /// Instances that are being evacuated to leave their pool.
    pub fn evacuating(&self) -> &BTreeSet<InstanceId> {
        &self.evacuating
    }

    /// Target and available workers of the pools at the last decision.
    pub fn needs(&self) -> &BTreeMap<PoolId, PoolNeed> {
        &self.needs
    }

    /// Whether an instance is on its way to a pool, which counts it as available.
    pub fn is_moving(&self, instance: &InstanceId) -> bool {
        self.arrivals.contains_key(instance) || self.moves_in_flight.contains_key(instance)
    }

    /// Whether instances are being moved or evacuated.
    pub fn is_busy(&self) -> bool {
        !self.evacuating.is_empty() || !self.arrivals.is_empty() || !self.moves_in_flight.is_empty()
    }

    /// Whether a pool had fewer workers than it needs at the last decision.
    pub fn has_shortage(&self) -> bool {
        self.needs.values().any(|need| need.available < need.target)
    }

    /// Returns the moves to start at `now`. `is_evacuated` tells whether nothing runs on an instance any
    /// more.
    pub fn decide(
        &mut self,
        now: Instant,
        input: SizingInput<'_>,
        is_evacuated: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceMove> {
        self.remove_finished_moves(now, input);
        let mut needs = self.compute_needs(input);
        self.needs.clone_from(&needs);
        self.evacuate_surplus(now, input, &needs);
        self.assign_free_instances(now, input, &mut needs, is_evacuated)
    }

    /// Removes arrivals that are usable in the report of their pool or timed out, and evacuations of instances
    /// that have left their pool or are reserved for maintenance.
    fn remove_finished_moves(&mut self, now: Instant, input: SizingInput<'_>) {
        self.arrivals.retain(|id, arrival| {
            let entry = input.instances.get(id);
            let entry = entry.filter(|entry| entry.pool == arrival.to);
            let has_arrived = if input.spare == Some(&arrival.to) {
                // The spare pool has no reports.
                entry.is_some_and(|entry| entry.state == InstanceState::Up)
            } else {
                let worker = entry.and_then(|entry| entry.worker.as_ref());
                let report = input.reports.get(&arrival.to);
                let usage = worker.and_then(|worker| report?.workers.get(worker));
                // Until its worker has answered, the instance is still about to become usable.
                usage.is_some_and(|usage| usage.is_usable || usage.is_evacuating)
            };
            let is_old = now.saturating_duration_since(arrival.accepted_at) > ARRIVAL_TIMEOUT;
            !has_arrived && !is_old
        });
        let working: BTreeSet<&PoolId> = input.pools.iter().collect();
        self.evacuating.retain(|id| {
            let entry = input.instances.get(id);
            entry.is_some_and(|entry| working.contains(&entry.pool)) && !input.reserved.contains(id)
        });
    }

    fn compute_needs(&self, input: SizingInput<'_>) -> BTreeMap<PoolId, PoolNeed> {
        let needs = input.pools.iter().filter_map(|pool| {
            let report = input.reports.get(pool)?;
            let is_open = |id: &InstanceId| !input.is_closed(id);
            let arriving = self.arrivals.iter();
            let arriving = arriving.filter(|(id, arrival)| arrival.to == *pool && is_open(id));
            let arriving = arriving.count();
            let moving = self.moves_in_flight.iter();
            let moving = moving.filter(|(id, to)| *to == pool && is_open(id)).count();
            let need = PoolNeed {
                target: target_workers(report),
                available: (self.count_available_workers(pool, report, input) + arriving + moving) as u32,
            };
            Some((pool.clone(), need))
        });
        needs.collect()
    }

    /// Number of workers that accept work and are not being evacuated. A report may be older than the last
    /// decision, or than the request to evacuate a zone, and then does not show the evacuations that this started.
    fn count_available_workers(&self, pool: &PoolId, report: &PoolReport, input: SizingInput<'_>) -> usize {
        let is_available = |(id, entry): &(&InstanceId, &InstanceEntry)| {
            let worker = entry.worker.as_ref().filter(|_| entry.pool == *pool);
            let usage = worker.and_then(|worker| report.workers.get(worker));
            let is_reserved = input.reserved.contains(*id) || self.evacuating.contains(*id);
            usage.is_some_and(|usage| usage.is_usable) && !is_reserved && !entry.is_in(input.closed_zones)
        };
        input.instances.iter().filter(is_available).count()
    }

    /// Evacuates the least used workers of pools whose demand has been low, and cancels evacuations where the
    /// demand has risen again.
    fn evacuate_surplus(&mut self, now: Instant, input: SizingInput<'_>, needs: &BTreeMap<PoolId, PoolNeed>) {
        if input.spare.is_none() {
            return;
        }
        let open = self.evacuating.iter().filter(|id| !input.is_closed(id));
        let evacuating = open.count() as u32;
        let mut shortage = shortage(input, needs).saturating_sub(evacuating);
        for (pool, need) in needs {
            let report = input.reports.get(pool);
            if report.is_some_and(|report| report.used != report.long_running) {
                self.used_pools.insert(pool.clone());
            }
            if need.available < need.target {
                self.low_demand_since.remove(pool);
                self.cancel_evacuations(pool, need.target - need.available, input);
                continue;
            }
            let surplus = need.available - need.target;
            if shortage > 0 && surplus > 0 {
                // Another pool needs instances now, and there are not enough spare ones.
                let count = surplus.min(shortage);
                shortage -= count;
                self.start_evacuations(pool, count, input);
                continue;
            }
            if surplus == 0 || !self.used_pools.contains(pool) {
                self.low_demand_since.remove(pool);
                continue;
            }
            let since = *self.low_demand_since.entry(pool.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= SCALE_DOWN_DELAY {
                self.start_evacuations(pool, surplus, input);
            }
        }
    }

    fn cancel_evacuations(&mut self, pool: &PoolId, count: u32, input: SizingInput<'_>) {
        let of_pool = |id: &&InstanceId| input.instances.get(*id).is_some_and(|entry| entry.pool == *pool);
        let chosen: Vec<InstanceId> = self
            .evacuating
            .iter()
            .filter(of_pool)
            .filter(|id| !self.moves_in_flight.contains_key(*id) && !input.is_closed(id))
            .take(count as usize)
            .cloned()
            .collect();
        for id in chosen {
            self.evacuating.remove(&id);
        }
    }

    fn start_evacuations(&mut self, pool: &PoolId, count: u32, input: SizingInput<'_>) {
        let Some(report) = input.reports.get(pool) else {
            return;
        };
        let mut candidates: Vec<(u32, &InstanceId)> = Vec::new();
        for (id, entry) in input.instances {
            let is_taken = input.reserved.contains(id) || self.evacuating.contains(id) || input.is_closed(id);
            if entry.pool != *pool || entry.state != InstanceState::Up || is_taken {
                continue;
            }
            let usage = entry
                .worker
                .as_ref()
                .and_then(|worker| report.workers.get(worker));
            if let Some(usage) = usage.filter(|usage| usage.is_usable && usage.long_running == 0) {
                candidates.push((usage.runs, id));
            }
        }
        candidates.sort();
        let chosen = candidates.into_iter().take(count as usize);
        self.evacuating.extend(chosen.map(|(_, id)| id.clone()));
    }

    /// Moves spare and evacuated instances to the pools that lack workers, starting with the one that lacks
    /// most, and the remaining evacuated instances to the spare pool. Those in zones under evacuation move to the spare
    /// pool only.
    fn assign_free_instances(
        &mut self,
        now: Instant,
        input: SizingInput<'_>,
        needs: &mut BTreeMap<PoolId, PoolNeed>,
        is_evacuated: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceMove> {
        let mut moves = Vec::new();
        for (id, entry) in input.instances {
            let is_spare = input.spare == Some(&entry.pool);
            let is_free = is_spare || (self.evacuating.contains(id) && is_evacuated(entry));
            let is_paused = self.retry_at.get(id).is_some_and(|at| now < *at);
            let is_taken = self.moves_in_flight.contains_key(id)
                || self.arrivals.contains_key(id)
                || input.reserved.contains(id)
                || is_paused;
            if !is_free || is_taken || entry.state != InstanceState::Up {
                continue;
            }
            let is_closed = input.is_closed(id);
            let neediest = needs
                .iter_mut()
                .filter(|(_, need)| need.available < need.target && !is_closed)
                .max_by_key(|(_, need)| need.target - need.available);
            let to = match neediest {
                Some((pool, need)) => {
                    need.available += 1;
                    pool.clone()
                }
                None => match input.spare.filter(|_| !is_spare) {
                    Some(spare) => spare.clone(),
                    None => continue,
                },
            };
            moves.push(InstanceMove {
                instance: id.clone(),
                to,
            });
        }
        for planned in &moves {
            self.moves_in_flight
                .insert(planned.instance.clone(), planned.to.clone());
        }
        moves
    }

    /// Handles the outcome of a move.
    pub fn handle_move_outcome(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        to: &PoolId,
        outcome: InstanceOutcome,
    ) {
        self.moves_in_flight.remove(instance);
        match outcome {
            InstanceOutcome::Done => {
                self.evacuating.remove(instance);
                let arrival = PoolArrival {
                    to: to.clone(),
                    accepted_at: now,
                };
                self.arrivals.insert(instance.clone(), arrival);
            }
            InstanceOutcome::NotApplicable => {
                self.evacuating.remove(instance);
                self.retry_at.insert(instance.clone(), now + RETRY_DELAY * 30);
            }
            InstanceOutcome::Busy
            | InstanceOutcome::Refused
            | InstanceOutcome::Fenced
            | InstanceOutcome::Unknown => {
                self.retry_at.insert(instance.clone(), now + RETRY_DELAY);
            }
        }
    }
}

/// Number of workers that pools lack beyond the spare instances.
fn shortage(input: SizingInput<'_>, needs: &BTreeMap<PoolId, PoolNeed>) -> u32 {
    let missing: u32 = needs
        .values()
        .map(|need| need.target.saturating_sub(need.available))
        .sum();
    let is_spare =
        |entry: &&InstanceEntry| input.spare == Some(&entry.pool) && entry.state == InstanceState::Up;
    let open = input
        .instances
        .values()
        .filter(|entry| !entry.is_in(input.closed_zones));
    let spare = open.filter(is_spare).count() as u32;
    missing.saturating_sub(spare)
}

/// Number of workers that the demand of a pool requires.
pub fn target_workers(report: &PoolReport) -> u32 {
    let usable = report.usable_workers();
    let min_workers = report.spread.max(MIN_WORKERS);
    if usable == 0 {
        return min_workers;
    }
    let per_worker = |amount: fn(&ResourceSet) -> u64| amount(&report.capacity) as f64 / f64::from(usable);
    let present = report.used.plus(&report.ready);
    let expected = report.inflow.plus(&report.remaining).plus(&report.long_running);
    let ratio = |amount: fn(&ResourceSet) -> u64| {
        let per_worker = per_worker(amount);
        let demand = amount(&present).max(amount(&expected));
        if per_worker > 0.0 {
            demand as f64 / per_worker
        } else if demand > 0 {
            // The present workers have no capacity left; another one may have.
            f64::from(usable) + 1.0
        } else {
            0.0
        }
    };
    let cores = ratio(|set| set.cores.get());
    let memory = ratio(|set| set.memory.get());
    let accelerators = ratio(|set| u64::from(set.accelerators.get()));
    let workers = cores.max(memory).max(accelerators) / MAX_UTILISATION;
    let workers = min_workers.max(workers.ceil() as u32);
    if report.unplaced == 0 {
        return workers;
    }
    // Tasks without a place need workers beyond the present ones, whatever the sums say.
    workers.max(usable.saturating_add(report.unplaced))
}
