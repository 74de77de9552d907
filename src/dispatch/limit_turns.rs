//! Decides which pools come first where the limit of an organisation allows one of several starts only.
//!
//! Handles large tasks in several pools of which the limit holds one, and a large task in one pool beside a backlog of
//! small ones in another. The pool that has used the limit least recently comes first, so that each other pool goes at
//! most once before it. A pool's turn ends with a start. It is interrupted, for growing times, if the start does not
//! come: the runs of other pools may take long to end, no worker may have room, or the pool may have no leader.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::dispatch::allowance_split::{self, LimitSplit, PoolDemand};
use crate::dispatch::turn_phase;
use crate::model::id::{OrganisationId, PoolId};
use crate::model::resource::ResourceSet;

/// Time for which the limit is kept for a pool at first, while runs of other pools end.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// Time for which an allowance that is large enough is kept at first. A plan and the report that follows a start take
/// up to 1.5 s together.
const USE_TIME: Duration = Duration::from_secs(3);

/// Order of one pool among those that share a limit.
#[derive(Debug, Clone, Copy, Default)]
struct PoolTurn {
    /// Time at which the pool last used as much as its next start needs; absent if it has not since it began to wait.
    served_at: Option<Instant>,
    /// Time since which the limit is kept for the pool.
    kept_since: Option<Instant>,
    /// Time at which the pool was first granted all that its next start needs.
    granted_at: Option<Instant>,
}

impl PoolTurn {
    fn is_kept(&self, now: Instant) -> bool {
        let is_kept = |since: Option<Instant>, first| {
            since.is_none_or(|since| turn_phase::is_kept(now.saturating_duration_since(since), first))
        };
        is_kept(self.kept_since, KEEP_TIME) && is_kept(self.granted_at, USE_TIME)
    }
}

/// Limit for which pools compete, as it was last divided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[expect(missing_docs, reason = "the types of the fields say what they hold")]
pub struct DividedLimit {
    pub limit: ResourceSet,
    pub demands: BTreeMap<PoolId, PoolDemand>,
    pub split: LimitSplit,
}

impl DividedLimit {
    /// What the pools use, want and may use, as text; at most `count` pools, those with waiting tasks first.
    pub fn describe_pools(&self, count: usize) -> String {
        let mut pools: Vec<(bool, &PoolId, &PoolDemand)> = self
            .demands
            .iter()
            .map(|(pool, demand)| (demand.next_start.is_none(), pool, demand))
            .collect();
        pools.sort_unstable_by_key(|(is_idle, pool, _)| (*is_idle, *pool));
        let texts = pools.into_iter().take(count).map(|(_, pool, demand)| {
            let allowance = self.split.allowances.get(pool).copied().unwrap_or_default();
            let next = demand.next_start.unwrap_or_default().demand;
            let is_kept = self.split.reserved.contains_key(pool);
            format!(
                "{pool}: used {}, wanted {}, next start {next}{}, allowance {allowance}",
                demand.used,
                demand.wanted,
                if is_kept { " (kept)" } else { "" }
            )
        });
        texts.collect::<Vec<_>>().join("; ")
    }
}

/// Order of the pools in the use of each limit for which they compete.
#[derive(Debug, Clone, Default)]
pub struct LimitTurns {
    turns: BTreeMap<OrganisationId, BTreeMap<PoolId, PoolTurn>>,
    divided: BTreeMap<OrganisationId, DividedLimit>,
}

impl LimitTurns {
    /// Limits for which pools compete.
    pub fn divided(&self) -> &BTreeMap<OrganisationId, DividedLimit> {
        &self.divided
    }

    /// Forgets organisations that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&OrganisationId) -> bool) {
        self.turns.retain(|organisation, _| is_configured(organisation));
        self.divided.retain(|organisation, _| is_configured(organisation));
    }

    /// Splits the limit of an organisation between pools and returns their allowances.
    pub fn split(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: ResourceSet,
        demands: BTreeMap<PoolId, PoolDemand>,
    ) -> BTreeMap<PoolId, ResourceSet> {
        if !allowance_split::is_contended(&limit, &demands) {
            self.turns.remove(organisation);
            self.divided.remove(organisation);
            let order: Vec<&PoolId> = demands.keys().collect();
            return allowance_split::split(&limit, &demands, &order).allowances;
        }
        let split = self.split_contended(now, organisation, &limit, &demands);
        let allowances = split.allowances.clone();
        let divided = DividedLimit {
            limit,
            demands,
            split,
        };
        self.divided.insert(organisation.clone(), divided);
        allowances
    }

    fn split_contended(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: &ResourceSet,
        demands: &BTreeMap<PoolId, PoolDemand>,
    ) -> LimitSplit {
        let turns = self.turns.entry(organisation.clone()).or_default();
        turns.retain(|pool, _| {
            demands
                .get(pool)
                .is_some_and(|demand| demand.next_start.is_some())
        });
        let mut order = Vec::new();
        for (pool, demand) in demands {
            let Some(next) = &demand.next_start else {
                continue;
            };
            let turn = turns.entry(pool.clone()).or_default();
            let finite = demand.used.saturating_sub(&demand.pinned);
            if next.demand.fits_within(&finite, limit) {
                *turn = PoolTurn {
                    served_at: Some(now),
                    ..PoolTurn::default()
                };
            }
            if turn.is_kept(now) {
                order.push((turn.served_at, next.accepted_at, pool));
            }
        }
        order.sort_unstable();
        let order: Vec<&PoolId> = order.into_iter().map(|(_, _, pool)| pool).collect();
        let split = allowance_split::split(limit, demands, &order);
        for (pool, need) in &split.reserved {
            let Some(turn) = turns.get_mut(pool).filter(|turn| turn.served_at != Some(now)) else {
                continue;
            };
            turn.kept_since.get_or_insert(now);
            let is_granted = split
                .allowances
                .get(pool)
                .is_some_and(|granted| granted.covers(need));
            if is_granted {
                turn.granted_at.get_or_insert(now);
            }
        }
        split
    }
}
