//! Splits the resource limit of an organisation into allowances for the pools.
//!
//! Demand shifts between pools, so the allowances follow it. An allowance is raised only by what other pools
//! have confirmed to give up, so that the sum of what all pools may use never exceeds the limit.

use std::collections::BTreeMap;

use crate::model::id::PoolId;

/// Target allowances above the demand are rounded down to multiples of 1/64 of the limit, so that small changes of
/// demand do not cause a new plan.
const LIMIT_PARTS: u64 = 64;

/// Demand of one pool for one resource of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolDemandShare {
    /// Upper bound of what the pool may use until it confirms a lower allowance.
    pub ceiling: u64,
    /// Amount in use by active runs.
    pub used: u64,
    /// Amount that tasks ready to start would use in addition.
    pub wanted: u64,
}

/// Returns the allowance of each pool for one resource. A limit of 0 means unlimited.
pub fn split(limit: u64, demands: &BTreeMap<PoolId, PoolDemandShare>) -> BTreeMap<PoolId, u64> {
    if limit == 0 {
        return demands.keys().map(|pool| (pool.clone(), u64::MAX)).collect();
    }
    let targets = unconstrained_split(limit, demands);
    let ceilings: u64 = demands.values().map(|demand| demand.ceiling.min(limit)).sum();
    let mut free = limit.saturating_sub(ceilings);
    let mut allowances = BTreeMap::new();
    for (pool, demand) in demands {
        let target = targets[pool];
        let ceiling = demand.ceiling.min(limit);
        let granted = if target <= ceiling {
            target
        } else {
            let gain = (target - ceiling).min(free);
            free -= gain;
            ceiling + gain
        };
        allowances.insert(pool.clone(), granted);
    }
    allowances
}

/// The split that follows demand and ignores the upper bounds of other pools: it raises the lowest amounts equally up
/// to what the pools use and want, and divides the rest equally. What runs has no precedence: a pool that replaces each
/// run that ends would never give up a part of its allowance.
fn unconstrained_split(limit: u64, demands: &BTreeMap<PoolId, PoolDemandShare>) -> BTreeMap<PoolId, u64> {
    let part = (limit / LIMIT_PARTS).max(1);
    let whole = |demand: &PoolDemandShare| demand.used.saturating_add(demand.wanted);
    let wanted = |demand: &PoolDemandShare| whole(demand).div_ceil(part).saturating_mul(part);
    let level = fill_level(limit, demands.values().map(wanted));
    let sum = demands
        .values()
        .map(|demand| wanted(demand).min(level))
        .sum::<u64>();
    let rest = limit.saturating_sub(sum) / demands.len().max(1) as u64;
    let targets = demands.iter().map(|(pool, demand)| {
        let share = (wanted(demand).min(level) + rest).min(limit);
        // What the pool's tasks need is never rounded off: a task that needs the whole limit would not start.
        let needed = whole(demand).min(share);
        (pool.clone(), (share / part * part).max(needed))
    });
    targets.collect()
}

/// The highest level to which all amounts can be raised, each up to its upper bound, so that their sum stays within
/// `limit`.
fn fill_level(limit: u64, bounds: impl Iterator<Item = u64> + Clone) -> u64 {
    let is_within = |level: u64| {
        let amounts = bounds.clone().map(|bound| level.min(bound));
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
