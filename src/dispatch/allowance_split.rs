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

/// The split that follows demand and ignores the upper bounds of other pools: it covers usage first, then
/// waiting work, and divides the rest equally. What is left for waiting work is filled up equally, so that a single
/// task is granted beside a backlog that exceeds the limit many times.
fn unconstrained_split(limit: u64, demands: &BTreeMap<PoolId, PoolDemandShare>) -> BTreeMap<PoolId, u64> {
    let part = (limit / LIMIT_PARTS).max(1);
    let used: u64 = demands.values().map(|demand| demand.used).sum();
    let mut left = limit.saturating_sub(used);
    // Whole parts, since rounding down would leave too little for the last task.
    let missing = |demand: &PoolDemandShare| {
        let needed = demand.used.saturating_add(demand.wanted).div_ceil(part);
        needed.saturating_mul(part).saturating_sub(demand.used)
    };
    let mut waiting: Vec<(u64, &PoolId)> = demands
        .iter()
        .filter(|(_, demand)| demand.wanted > 0)
        .map(|(pool, demand)| (missing(demand), pool))
        .collect();
    waiting.sort();
    let mut shares: BTreeMap<&PoolId, u64> = BTreeMap::new();
    for (number, (missing, pool)) in waiting.iter().enumerate() {
        let share = (*missing).min(left / (waiting.len() - number) as u64);
        left -= share;
        shares.insert(*pool, share);
    }
    let rest = left / demands.len().max(1) as u64;
    let targets = demands.iter().map(|(pool, demand)| {
        let share = shares.get(pool).copied().unwrap_or_default();
        let whole = (demand.used + share + rest).min(limit);
        // What the pool's tasks need is never rounded off: a task that needs the whole limit would not start.
        let needed = demand.used.saturating_add(demand.wanted).min(whole);
        (pool.clone(), (whole / part * part).max(needed))
    });
    targets.collect()
}
