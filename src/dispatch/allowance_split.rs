//! Splits the resource limit of an organisation into allowances for the pools.
//!
//! Demand shifts between pools, so the allowances follow it. An allowance is raised only by what other pools
//! have confirmed to give up, so that the sum of what all pools may use never exceeds the limit.

use std::collections::BTreeMap;

use crate::model::id::PoolId;

/// Target allowances are rounded down to multiples of 1/64 of the limit, so that small changes of demand do
/// not cause a new plan.
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
/// waiting work in proportion, and divides the rest equally.
fn unconstrained_split(limit: u64, demands: &BTreeMap<PoolId, PoolDemandShare>) -> BTreeMap<PoolId, u64> {
    let used: u64 = demands.values().map(|demand| demand.used).sum();
    let wanted: u64 = demands.values().map(|demand| demand.wanted).sum();
    let left = limit.saturating_sub(used);
    let for_wanted = wanted.min(left);
    let rest = (left - for_wanted) / demands.len().max(1) as u64;
    let part = (limit / LIMIT_PARTS).max(1);
    let shares = demands.iter().map(|(pool, demand)| {
        let share = if wanted == 0 {
            0
        } else {
            (u128::from(for_wanted) * u128::from(demand.wanted) / u128::from(wanted)) as u64
        };
        let whole = (demand.used + share + rest).min(limit);
        (pool.clone(), whole / part * part)
    });
    shares.collect()
}
