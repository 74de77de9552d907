//! Forecasts the remaining time of a plan's roll-out, before it starts and while it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::journal::fleet_state::FleetState;
use crate::model::amount::InstanceCount;
use crate::model::id::{PlanId, PoolId};
use crate::policy::budget_ledger::BudgetLedger;
use crate::policy::move_times::MoveTimes;
use crate::policy::observation::FleetObservation;
use crate::policy::plan_scope::PlanScope;
use crate::record::plan::WaveAction;

/// Forecast for one pool of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolForecast {
    /// Number of instances that the plan has yet to start.
    pub unstarted_count: usize,
    /// Maximum number of instances that may be out of service at once; 0 if the budget allows none.
    pub parallel: u32,
    /// Time until the last of them is back in service; absent if the budget allows none.
    pub time_to_finish: Option<Duration>,
}

/// Forecast of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanForecast {
    /// Pools with instances that the plan has yet to start.
    pub pools: BTreeMap<PoolId, PoolForecast>,
    /// Number of instances that the plan has started and not yet completed.
    pub in_progress: usize,
    /// Time until the plan is complete; absent if the budget of some pool allows no instance to be taken out.
    pub time_to_finish: Option<Duration>,
}

/// Forecasts a plan from the present budgets, the expected drain times and the learned times. An unknown plan
/// has an empty forecast.
pub fn forecast_plan(
    state: &FleetState,
    observed: &FleetObservation,
    times: &MoveTimes,
    plan: &PlanId,
) -> PlanForecast {
    let (Some(record), Some(progress)) = (state.records.plans.get(plan), state.plans.get(plan)) else {
        return PlanForecast::default();
    };
    let scope = PlanScope::new(state, observed);
    let ledger = BudgetLedger::new(state, observed);
    let mut work: BTreeMap<PoolId, Vec<Duration>> = BTreeMap::new();
    for (index, wave) in record.waves.iter().enumerate() {
        let unstarted = scope.unstarted(record, progress, index);
        let startable = PlanScope::startable_count(wave, progress, index, unstarted.len());
        let move_times = work.entry(wave.pool.clone()).or_default();
        for (instance, _) in unstarted.into_iter().take(startable) {
            let drain = observed.drain_times.get(instance).copied().unwrap_or(times.drain);
            let reboot = if wave.action == WaveAction::Reboot {
                times.reboot
            } else {
                Duration::ZERO
            };
            move_times.push(drain + reboot + times.join);
        }
    }
    // Instances in progress are assumed to be half done on average.
    let remaining_time = if progress.started.is_empty() {
        Duration::ZERO
    } else {
        times.total() / 2
    };
    let mut result = PlanForecast {
        in_progress: progress.started.len(),
        time_to_finish: Some(remaining_time),
        ..PlanForecast::default()
    };
    for (pool, move_times) in work {
        if move_times.is_empty() {
            continue;
        }
        let parallel = parallel_limit(
            state,
            &scope,
            &ledger,
            &pool,
            record.max_parallel.map(InstanceCount::get),
        );
        let time_to_finish = makespan(move_times.clone(), parallel).map(|time| time + remaining_time);
        result.time_to_finish = result.time_to_finish.zip(time_to_finish).map(|(a, b)| a.max(b));
        let unstarted_count = move_times.len();
        result.pools.insert(
            pool,
            PoolForecast {
                unstarted_count,
                parallel,
                time_to_finish,
            },
        );
    }
    result
}

fn parallel_limit(
    state: &FleetState,
    scope: &PlanScope<'_>,
    ledger: &BudgetLedger,
    pool: &PoolId,
    max: Option<u32>,
) -> u32 {
    let home = scope.pool(pool).map_or(0, |summary| summary.home.len() as u32);
    let lent = scope.pool(pool).map_or(0, |summary| summary.lent_in.len() as u32);
    let service = state
        .service_of_pool(pool)
        .and_then(|service| ledger.service(&service.id));
    let allowed = service.map_or(home, |budget| budget.allowed() + lent);
    allowed.min(max.unwrap_or(u32::MAX))
}

/// Total time of running the jobs on parallel slots, longest first; absent if there are jobs but no slots.
fn makespan(mut move_times: Vec<Duration>, slots: u32) -> Option<Duration> {
    move_times.sort_unstable_by(|a, b| b.cmp(a));
    let mut slot_ends = vec![Duration::ZERO; (slots as usize).min(move_times.len())];
    for move_time in move_times {
        let earliest = slot_ends.iter_mut().min()?;
        *earliest += move_time;
    }
    slot_ends.into_iter().max()
}
