//! Splits the resource limit of an organisation into allowances for the pools.
//!
//! Demand shifts between pools, so the allowances follow it. An allowance is raised only by what other pools
//! have confirmed to give up, so that the sum of what all pools may use never exceeds the limit.
//!
//! A part of the limit is of use to a pool only if a whole task, or a gang as a whole, can start in it. Pools are
//! therefore granted what their next start needs, one after the other and for all resources together, and only the rest
//! is divided by demand. A pool for whose next start too little is left gets no more than it uses, until it comes first.

use std::collections::BTreeMap;

use crate::dispatch::pool_plan::NextStart;
use crate::model::id::PoolId;
use crate::model::resource::ResourceSet;

/// Target allowances above what a pool needs are rounded down to multiples of 1/64 of the limit, so that small changes
/// of demand do not cause a new plan.
const LIMIT_PARTS: u64 = 64;

/// Number of resources in a [`ResourceSet`].
const RESOURCES: usize = 3;

/// Demand of one pool for the limit of an organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// Upper bound of what the pool may use until it confirms a lower allowance.
    pub ceiling: ResourceSet,
    /// Allowance in the newest plan of the pool.
    pub allowed: ResourceSet,
    /// Resources of the active runs.
    pub used: ResourceSet,
    /// The part of `used` that long-running tasks keep until their job is cancelled.
    pub pinned: ResourceSet,
    /// Resources that tasks ready to start would use in addition.
    pub wanted: ResourceSet,
    /// The next start. Absent if nothing waits, and in reports of earlier versions.
    pub next_start: Option<NextStart>,
}

impl PoolDemand {
    /// What the pool needs for its next start once its finite runs have ended.
    pub fn start_need(&self) -> Option<ResourceSet> {
        self.next_start.map(|next| self.pinned.plus(&next.demand))
    }

    /// What the pool would use if all its tasks ran.
    pub fn whole(&self) -> ResourceSet {
        self.used.plus(&self.wanted)
    }
}

/// How a limit is split.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimitSplit {
    /// Allowance of each pool.
    pub allowances: BTreeMap<PoolId, ResourceSet>,
    /// Pools for whose next start the limit is kept, with what it needs beside their long-running tasks.
    pub reserved: BTreeMap<PoolId, ResourceSet>,
}

/// Whether the pools need more than the limit allows.
pub fn is_contended(limit: &ResourceSet, demands: &BTreeMap<PoolId, PoolDemand>) -> bool {
    let whole = demands
        .values()
        .fold(ResourceSet::default(), |sum, demand| sum.plus(&demand.whole()));
    !whole.fits_within(limit, limit)
}

/// Splits a limit, of which a zero amount means unlimited. `order` names the pools that are granted what their next start
/// needs, the first one first.
pub fn split(limit: &ResourceSet, demands: &BTreeMap<PoolId, PoolDemand>, order: &[&PoolId]) -> LimitSplit {
    let pools: Vec<(&PoolId, &PoolDemand)> = demands.iter().collect();
    let find = |pool: &&PoolId| pools.binary_search_by(|(id, _)| id.cmp(pool)).ok();
    let order: Vec<usize> = order.iter().filter_map(find).collect();
    let reserved = reserve_starts(limit, &pools, &order);
    let mut is_first = vec![false; pools.len()];
    for index in &order {
        is_first[*index] = true;
    }
    let others = (0..pools.len()).filter(|index| !is_first[*index]);
    let order: Vec<usize> = order.iter().copied().chain(others).collect();
    let mut allowances = vec![[u64::MAX; RESOURCES]; pools.len()];
    for (resource, limit) in limit.to_array().into_iter().enumerate() {
        if limit == 0 {
            continue;
        }
        let shares: Vec<ResourceShare> = pools
            .iter()
            .zip(&reserved)
            .map(|((_, demand), reserved)| ResourceShare::new(resource, limit, demand, reserved.as_ref()))
            .collect();
        let targets = targets(limit, &shares);
        let ceilings = shares
            .iter()
            .fold(0_u64, |sum, share| sum.saturating_add(share.ceiling));
        let mut free = limit.saturating_sub(ceilings);
        for index in &order {
            let (target, share) = (targets[*index], &shares[*index]);
            // If the upper bounds exceed the limit, the limit was lowered, or a new leader does not know yet which
            // plans are confirmed. What one pool has given up may then be with another one.
            let held = if ceilings > limit {
                share.ceiling.min(share.allowed)
            } else {
                share.ceiling
            };
            let gain = target.saturating_sub(held).min(free);
            free -= gain;
            allowances[*index][resource] = target.min(held + gain);
        }
    }
    let ids = pools.into_iter().map(|(pool, _)| pool.clone());
    let reserved = ids.clone().zip(reserved);
    LimitSplit {
        allowances: ids
            .zip(allowances.into_iter().map(ResourceSet::from_array))
            .collect(),
        reserved: reserved.filter_map(|(pool, need)| Some((pool, need?))).collect(),
    }
}

/// What each pool needs for its next start, if it can be granted that beside the pools before it.
fn reserve_starts(
    limit: &ResourceSet,
    pools: &[(&PoolId, &PoolDemand)],
    order: &[usize],
) -> Vec<Option<ResourceSet>> {
    let pinned = pools.iter().fold(ResourceSet::default(), |sum, (_, demand)| {
        sum.plus(&demand.pinned)
    });
    let mut left = limit.saturating_sub(&pinned);
    let mut reserved = vec![None; pools.len()];
    for index in order {
        let (_, demand) = pools[*index];
        if let Some(next) = demand.next_start
            && next.demand.fits_within(&left, limit)
        {
            left = left.saturating_sub(&next.demand);
            reserved[*index] = demand.start_need();
        }
    }
    reserved
}

/// Demand of one pool for one resource.
#[derive(Debug, Clone, Copy)]
struct ResourceShare {
    ceiling: u64,
    allowed: u64,
    /// Amount that is granted first.
    floor: u64,
    /// Amount up to which the pool takes part in the division; at least the floor.
    wanted: u64,
    /// Amount with which the pool's next task could start at once.
    start: u64,
}

impl ResourceShare {
    fn new(resource: usize, limit: u64, demand: &PoolDemand, reserved: Option<&ResourceSet>) -> Self {
        let amount = |amounts: &ResourceSet| amounts.to_array()[resource];
        // A pool that cannot start anything holds what it uses, and a pool of an earlier version what it asks for.
        let is_served = reserved.is_some() || demand.next_start.is_none();
        let wanted = if is_served { demand.whole() } else { demand.used };
        let floor = amount(reserved.unwrap_or(&demand.pinned));
        let next = demand.next_start.map_or(0, |next| amount(&next.demand));
        Self {
            ceiling: amount(&demand.ceiling).min(limit),
            allowed: amount(&demand.allowed),
            floor,
            wanted: amount(&wanted).max(floor),
            start: amount(&demand.used).saturating_add(next),
        }
    }
}

/// The split that ignores the upper bounds of other pools: it covers the floors first, then raises the lowest amounts
/// equally up to what is wanted, and divides the rest equally.
fn targets(limit: u64, shares: &[ResourceShare]) -> Vec<u64> {
    let part = (limit / LIMIT_PARTS).max(1);
    let wanted = |share: &ResourceShare| share.wanted.div_ceil(part).saturating_mul(part);
    let bounds: Vec<(u64, u64)> = shares.iter().map(|share| (share.floor, wanted(share))).collect();
    let level = fill_level(limit, &bounds);
    let filled = |share: &ResourceShare| level.clamp(share.floor, wanted(share).max(share.floor));
    let sum = shares.iter().map(filled).fold(0, u64::saturating_add);
    let rest = limit.saturating_sub(sum) / shares.len().max(1) as u64;
    let targets = shares.iter().map(|share| {
        let whole = filled(share).saturating_add(rest).min(limit);
        // What a start needs is never rounded off: a task that needs the whole limit would not start.
        let needs = [share.floor, share.start, share.wanted];
        let need = needs.into_iter().filter(|need| *need <= whole).max();
        (whole / part * part).max(need.unwrap_or_default())
    });
    targets.collect()
}

/// The highest level to which all amounts can be raised, each from its lower to its upper bound, so that their sum
/// stays within `limit`.
fn fill_level(limit: u64, bounds: &[(u64, u64)]) -> u64 {
    let is_within = |level: u64| {
        let amounts = bounds.iter().map(|(low, high)| level.clamp(*low, *high.max(low)));
        amounts.fold(0, u64::saturating_add) <= limit
    };
    let (mut low, mut high) = (0, limit);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if is_within(middle) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}
