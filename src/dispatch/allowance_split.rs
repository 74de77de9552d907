//! Splits an organisation's upper limit into allowances for the pools.
//!
//! Answers demand that takes turns between pools: room follows the pool that asks for it. An allowance is raised
//! only by what others have certainly given up, so that the sum of what all pools may use never exceeds the limit.

use std::collections::BTreeMap;

use crate::model::id::PoolId;

/// Parts into which a limit is divided; smaller changes are not published.
const LIMIT_PARTS: u64 = 64;

/// One pool's use of one amount of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolDemandShare {
    /// The most that the pool may use until it confirms a lower allowance.
    pub ceiling: u64,
    /// Running.
    pub used: u64,
    /// Ready to start.
    pub wanted: u64,
}

/// Allowance of each pool for one amount. A limit of 0 sets no bound.
pub fn split(limit: u64, claims: &BTreeMap<PoolId, PoolDemandShare>) -> BTreeMap<PoolId, u64> {
    if limit == 0 {
        return claims.keys().map(|pool| (pool.clone(), u64::MAX)).collect();
    }
    let ideal = unconstrained_split(limit, claims);
    let ceilings: u64 = claims.values().map(|claim| claim.ceiling.min(limit)).sum();
    let mut free = limit.saturating_sub(ceilings);
    let mut allowances = BTreeMap::new();
    for (pool, claim) in claims {
        let ideal = ideal[pool];
        let ceiling = claim.ceiling.min(limit);
        let granted = if ideal <= ceiling {
            ideal
        } else {
            let gain = (ideal - ceiling).min(free);
            free -= gain;
            ceiling + gain
        };
        allowances.insert(pool.clone(), granted);
    }
    allowances
}

/// The split without regard to what pools may still use: what runs, then what waits, then equal parts.
fn unconstrained_split(limit: u64, claims: &BTreeMap<PoolId, PoolDemandShare>) -> BTreeMap<PoolId, u64> {
    let used: u64 = claims.values().map(|claim| claim.used).sum();
    let wanted: u64 = claims.values().map(|claim| claim.wanted).sum();
    let left = limit.saturating_sub(used);
    let for_wanted = wanted.min(left);
    let rest = (left - for_wanted) / claims.len().max(1) as u64;
    let part = (limit / LIMIT_PARTS).max(1);
    let shares = claims.iter().map(|(pool, claim)| {
        let share = if wanted == 0 {
            0
        } else {
            (u128::from(for_wanted) * u128::from(claim.wanted) / u128::from(wanted)) as u64
        };
        let whole = (claim.used + share + rest).min(limit);
        (pool.clone(), whole / part * part)
    });
    shares.collect()
}
