//! Sizes of pools: which instances to release and where released and spare ones go.
//!
//! Answers queues that take turns: for some seconds one queue asks for several times its mean and the others for
//! little. Instances follow the turn; those that no pool needs rest in the spare pool, where they cost nothing. A
//! pool grows at once and shrinks only after its demand has been low for a while, since a move costs about as much
//! as an instance for one second and takes longer than that.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::dispatch::pool_plan::PoolReport;
use crate::dispatch::wave_plan::{InstanceEntry, InstanceOutcome, InstanceState};
use crate::model::id::{InstanceId, PoolId};
use crate::model::resource::ResourceSet;

/// Share of a pool's capacity that work can fill; the rest is lost between tasks of different sizes.
const MAX_UTILISATION: f64 = 0.95;

/// Time for which a pool's demand has to be low before instances are released.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(1);

/// Least number of workers of a pool, so that the first job after a quiet time finds room.
const MIN_WORKERS: u32 = 2;

/// Pause before an instance whose move was refused is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which a moved instance that has not reported counts as lost to its pool.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// An instance on its way to a pool.
#[derive(Debug, Clone)]
struct PoolArrival {
    to: PoolId,
    requested_at: Instant,
}

/// Needs of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolNeed {
    /// Workers that the demand asks for.
    pub target: u32,
    /// Workers that take work, and instances on their way.
    pub available: u32,
}

/// A move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceMove {
    /// The instance.
    pub instance: InstanceId,
    /// Where it goes.
    pub to: PoolId,
}

/// What the sizes depend on.
#[derive(Debug, Clone, Copy)]
pub struct SizingInput<'a> {
    /// Pools that run tasks.
    pub pools: &'a [PoolId],
    /// The pool whose instances are off, if there is one.
    pub spare: Option<&'a PoolId>,
    /// Reports of the pools.
    pub reports: &'a BTreeMap<PoolId, PoolReport>,
    /// The platform's list.
    pub instances: &'a BTreeMap<InstanceId, InstanceEntry>,
    /// Instances that others vacate.
    pub reserved: &'a BTreeSet<InstanceId>,
}

/// Sizes of the pools.
#[derive(Debug, Clone, Default)]
pub struct PoolSizer {
    evacuating: BTreeSet<InstanceId>,
    arrivals: BTreeMap<InstanceId, PoolArrival>,
    low_demand_since: BTreeMap<PoolId, Instant>,
    /// Pools that have had work; the others keep their instances for their first jobs.
    used_pools: BTreeSet<PoolId>,
    retry_at: BTreeMap<InstanceId, Instant>,
    /// Moves that have no outcome yet, with where they go.
    moves_in_flight: BTreeMap<InstanceId, PoolId>,
    needs: BTreeMap<PoolId, PoolNeed>,
}

impl PoolSizer {
    /// Instances that are being vacated.
    pub fn evacuating(&self) -> &BTreeSet<InstanceId> {
        &self.evacuating
    }

    /// Needs of the pools at the last decision.
    pub fn needs(&self) -> &BTreeMap<PoolId, PoolNeed> {
        &self.needs
    }

    /// Whether instances are on their way or being vacated.
    pub fn is_busy(&self) -> bool {
        !self.evacuating.is_empty() || !self.arrivals.is_empty() || !self.moves_in_flight.is_empty()
    }

    /// Decides which instances move now. `is_empty` tells whether an instance has been vacated.
    pub fn decide(
        &mut self,
        now: Instant,
        facts: SizingInput<'_>,
        is_empty: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceMove> {
        self.remove_finished_moves(now, facts);
        let mut needs = self.compute_needs(facts);
        self.needs.clone_from(&needs);
        self.evacuate_surplus(now, facts, &needs);
        self.assign_free_instances(now, facts, &mut needs, is_empty)
    }

    /// Forgets arrivals whose worker is in its pool's report, and closing instances that are no longer in a working pool.
    fn remove_finished_moves(&mut self, now: Instant, facts: SizingInput<'_>) {
        self.arrivals.retain(|id, arrival| {
            let entry = facts.instances.get(id);
            let entry = entry.filter(|entry| entry.pool == arrival.to);
            let has_arrived = if facts.spare == Some(&arrival.to) {
                // Nobody reports on workers that are off.
                entry.is_some_and(|entry| entry.state == InstanceState::Up)
            } else {
                let worker = entry.and_then(|entry| entry.worker.as_ref());
                let report = facts.reports.get(&arrival.to);
                worker.is_some_and(|worker| report.is_some_and(|report| report.workers.contains_key(worker)))
            };
            let is_old = now.saturating_duration_since(arrival.requested_at) > ARRIVAL_TIMEOUT;
            !has_arrived && !is_old
        });
        let working: BTreeSet<&PoolId> = facts.pools.iter().collect();
        self.evacuating.retain(|id| {
            let entry = facts.instances.get(id);
            entry.is_some_and(|entry| working.contains(&entry.pool)) && !facts.reserved.contains(id)
        });
    }

    fn compute_needs(&self, facts: SizingInput<'_>) -> BTreeMap<PoolId, PoolNeed> {
        let needs = facts.pools.iter().filter_map(|pool| {
            let report = facts.reports.get(pool)?;
            let arriving = self
                .arrivals
                .values()
                .filter(|arrival| arrival.to == *pool)
                .count();
            let moving = self.moves_in_flight.values().filter(|to| *to == pool).count();
            let need = PoolNeed {
                target: target_workers(report),
                available: (self.count_available_workers(pool, report, facts) + arriving + moving) as u32,
            };
            Some((pool.clone(), need))
        });
        needs.collect()
    }

    /// Workers that take work and are not being vacated. A report may be older than the last decision, so that it
    /// does not tell which workers are closing.
    fn count_available_workers(&self, pool: &PoolId, report: &PoolReport, facts: SizingInput<'_>) -> usize {
        let is_open = |(id, entry): &(&InstanceId, &InstanceEntry)| {
            let worker = entry.worker.as_ref().filter(|_| entry.pool == *pool);
            let usage = worker.and_then(|worker| report.workers.get(worker));
            let is_reserved = facts.reserved.contains(*id) || self.evacuating.contains(*id);
            usage.is_some_and(|usage| usage.is_usable) && !is_reserved
        };
        facts.instances.iter().filter(is_open).count()
    }

    /// Closes the emptiest workers of pools whose demand has been low, and reopens them where it rose again.
    fn evacuate_surplus(&mut self, now: Instant, facts: SizingInput<'_>, needs: &BTreeMap<PoolId, PoolNeed>) {
        if facts.spare.is_none() {
            return;
        }
        let coming = self.evacuating.len() as u32;
        let mut shortage = shortage(facts, needs).saturating_sub(coming);
        for (pool, need) in needs {
            let report = facts.reports.get(pool);
            if report.is_some_and(|report| report.used != report.long_running) {
                self.used_pools.insert(pool.clone());
            }
            if need.available < need.target {
                self.low_demand_since.remove(pool);
                self.cancel_evacuations(pool, need.target - need.available, facts);
                continue;
            }
            let surplus = need.available - need.target;
            if shortage > 0 && surplus > 0 {
                // Another pool needs instances now, and none is spare.
                let count = surplus.min(shortage);
                shortage -= count;
                self.start_evacuations(pool, count, facts);
                continue;
            }
            if surplus == 0 || !self.used_pools.contains(pool) {
                self.low_demand_since.remove(pool);
                continue;
            }
            let since = *self.low_demand_since.entry(pool.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= SCALE_DOWN_DELAY {
                self.start_evacuations(pool, surplus, facts);
            }
        }
    }

    fn cancel_evacuations(&mut self, pool: &PoolId, count: u32, facts: SizingInput<'_>) {
        let of_pool = |id: &&InstanceId| facts.instances.get(*id).is_some_and(|entry| entry.pool == *pool);
        let chosen: Vec<InstanceId> = self
            .evacuating
            .iter()
            .filter(of_pool)
            .filter(|id| !self.moves_in_flight.contains_key(*id))
            .take(count as usize)
            .cloned()
            .collect();
        for id in chosen {
            self.evacuating.remove(&id);
        }
    }

    fn start_evacuations(&mut self, pool: &PoolId, count: u32, facts: SizingInput<'_>) {
        let Some(report) = facts.reports.get(pool) else {
            return;
        };
        let mut candidates: Vec<(u32, &InstanceId)> = Vec::new();
        for (id, entry) in facts.instances {
            let is_taken = facts.reserved.contains(id) || self.evacuating.contains(id);
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

    /// Moves free instances to the pools that need them, the neediest first, and the rest to the spare pool.
    fn assign_free_instances(
        &mut self,
        now: Instant,
        facts: SizingInput<'_>,
        needs: &mut BTreeMap<PoolId, PoolNeed>,
        is_empty: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceMove> {
        let mut moves = Vec::new();
        for (id, entry) in facts.instances {
            let is_spare = facts.spare == Some(&entry.pool);
            let is_free = is_spare || (self.evacuating.contains(id) && is_empty(entry));
            let is_paused = self.retry_at.get(id).is_some_and(|at| now < *at);
            let is_taken = self.moves_in_flight.contains_key(id)
                || self.arrivals.contains_key(id)
                || facts.reserved.contains(id)
                || is_paused;
            if !is_free || is_taken || entry.state != InstanceState::Up {
                continue;
            }
            let neediest = needs
                .iter_mut()
                .filter(|(_, need)| need.available < need.target)
                .max_by_key(|(_, need)| need.target - need.available);
            let to = match neediest {
                Some((pool, need)) => {
                    need.available += 1;
                    pool.clone()
                }
                None => match facts.spare.filter(|_| !is_spare) {
                    Some(spare) => spare.clone(),
                    None => continue,
                },
            };
            moves.push(InstanceMove {
                instance: id.clone(),
                to,
            });
        }
        for order in &moves {
            self.moves_in_flight
                .insert(order.instance.clone(), order.to.clone());
        }
        moves
    }

    /// Takes the outcome of a move.
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
                    requested_at: now,
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

/// Instances that pools need beyond those that are spare or being vacated.
fn shortage(facts: SizingInput<'_>, needs: &BTreeMap<PoolId, PoolNeed>) -> u32 {
    let missing: u32 = needs
        .values()
        .map(|need| need.target.saturating_sub(need.available))
        .sum();
    let is_spare =
        |entry: &&InstanceEntry| facts.spare == Some(&entry.pool) && entry.state == InstanceState::Up;
    let spare = facts.instances.values().filter(is_spare).count() as u32;
    missing.saturating_sub(spare)
}

/// Workers that a pool's demand asks for.
fn target_workers(report: &PoolReport) -> u32 {
    let usable = report.usable_workers();
    let least = report.spread.max(MIN_WORKERS);
    if usable == 0 {
        return least;
    }
    let each = |amount: fn(&ResourceSet) -> u64| amount(&report.capacity) as f64 / f64::from(usable);
    let present = report.used.plus(&report.ready);
    let expected = report.inflow.plus(&report.remaining).plus(&report.long_running);
    let ratio = |amount: fn(&ResourceSet) -> u64| {
        let each = each(amount);
        let demand = amount(&present).max(amount(&expected));
        if each > 0.0 { demand as f64 / each } else { 0.0 }
    };
    let cores = ratio(|set| set.cores.get());
    let memory = ratio(|set| set.memory.get());
    let accelerators = ratio(|set| u64::from(set.accelerators.get()));
    let workers = cores.max(memory).max(accelerators) / MAX_UTILISATION;
    least.max(workers.ceil() as u32)
}
