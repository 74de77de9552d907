//! Splits the resource limit of an organisation into allowances for the pools.
//!
//! Demand shifts between pools, so the allowances follow it. An allowance is raised only by what other pools
//! have confirmed to give up, so that the sum of what all pools may use never exceeds the limit.
//!
//! A part of the limit is of use to a pool only if a whole task, or a gang as a whole, can start in it. Pools are
//! therefore granted what their next start needs, one after the other and for all resources together, and only the rest
//! is divided by demand. A pool for whose next start too little is left gets no more than it uses, until it comes first.

use std::collections::{BTreeMap, BTreeSet};

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
    let reserved = reserve_starts(limit, demands, order);
    let mut allowances: BTreeMap<PoolId, [u64; RESOURCES]> = demands
        .keys()
        .map(|pool| (pool.clone(), [u64::MAX; RESOURCES]))
        .collect();
    for (resource, limit) in limit
        .to_array()
        .into_iter()
        .enumerate()
        .filter(|(_, limit)| *limit > 0)
    {
        let shares = demands.iter().map(|(pool, demand)| {
            let amount = |amounts: &ResourceSet| amounts.to_array()[resource];
            let reserved = reserved.get(pool);
            // A pool that cannot start anything holds what it uses, and a pool of an earlier version what it asks for.
            let is_served = reserved.is_some() || demand.next_start.is_none();
            let wanted = if is_served { demand.whole() } else { demand.used };
            let floor = amount(reserved.unwrap_or(&demand.pinned));
            let share = ResourceShare {
                ceiling: amount(&demand.ceiling).min(limit),
                floor,
                wanted: amount(&wanted).max(floor),
                start: amount(&demand.used)
                    .saturating_add(demand.next_start.map_or(0, |next| amount(&next.demand))),
            };
            (pool, share)
        });
        let shares: BTreeMap<&PoolId, ResourceShare> = shares.collect();
        let targets = targets(limit, &shares);
        let ceilings: u64 = shares
            .values()
            .fold(0, |sum, share| sum.saturating_add(share.ceiling));
        let mut free = limit.saturating_sub(ceilings);
        let first: BTreeSet<&PoolId> = order.iter().copied().collect();
        let others = shares.keys().copied().filter(|pool| !first.contains(pool));
        for pool in order.iter().copied().chain(others) {
            let (Some(share), Some(target)) = (shares.get(pool), targets.get(pool)) else {
                continue;
            };
            let gain = target.saturating_sub(share.ceiling).min(free);
            free -= gain;
            if let Some(allowance) = allowances.get_mut(pool) {
                allowance[resource] = (*target).min(share.ceiling + gain);
            }
        }
    }
    let allowances = allowances.into_iter();
    LimitSplit {
        allowances: allowances
            .map(|(pool, amounts)| (pool, ResourceSet::from_array(amounts)))
            .collect(),
        reserved,
    }
}

/// What the pools need for their next starts, for those that can be granted it beside the ones before them.
fn reserve_starts(
    limit: &ResourceSet,
    demands: &BTreeMap<PoolId, PoolDemand>,
    order: &[&PoolId],
) -> BTreeMap<PoolId, ResourceSet> {
    let pinned = demands
        .values()
        .fold(ResourceSet::default(), |sum, demand| sum.plus(&demand.pinned));
    let mut left = limit.saturating_sub(&pinned);
    let mut reserved = BTreeMap::new();
    for pool in order {
        let Some(demand) = demands.get(*pool) else {
            continue;
        };
        if let (Some(next), Some(need)) = (demand.next_start, demand.start_need())
            && next.demand.fits_within(&left, limit)
        {
            left = left.saturating_sub(&next.demand);
            reserved.insert((*pool).clone(), need);
        }
    }
    reserved
}

/// Demand of one pool for one resource.
#[derive(Debug, Clone, Copy)]
struct ResourceShare {
    ceiling: u64,
    /// Amount that is granted first.
    floor: u64,
    /// Amount up to which the pool takes part in the division; at least the floor.
    wanted: u64,
    /// Amount with which the pool's next task could start at once.
    start: u64,
}

/// The split that ignores the upper bounds of other pools: it covers the floors first, then raises the lowest amounts
/// equally up to what is wanted, and divides the rest equally.
fn targets<'a>(limit: u64, shares: &BTreeMap<&'a PoolId, ResourceShare>) -> BTreeMap<&'a PoolId, u64> {
    let part = (limit / LIMIT_PARTS).max(1);
    let wanted = |share: &ResourceShare| share.wanted.div_ceil(part).saturating_mul(part);
    let bounds: Vec<(u64, u64)> = shares
        .values()
        .map(|share| (share.floor, wanted(share)))
        .collect();
    let level = fill_level(limit, &bounds);
    let filled = |share: &ResourceShare| level.clamp(share.floor, wanted(share).max(share.floor));
    let sum = shares.values().map(filled).fold(0, u64::saturating_add);
    let rest = limit.saturating_sub(sum) / shares.len().max(1) as u64;
    let targets = shares.iter().map(|(pool, share)| {
        let whole = filled(share).saturating_add(rest).min(limit);
        // What a start needs is never rounded off: a task that needs the whole limit would not start.
        let needs = [share.floor, share.start, share.wanted];
        let need = needs.into_iter().filter(|need| *need <= whole).max();
        (*pool, (whole / part * part).max(need.unwrap_or_default()))
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
